/**
 * Reads are consistent: a result that was returned to one reader is returned to every later reader at any host, at the
 * same position. A page may be short, and a host may respond `unsure`, but it may not return an empty page.
 *
 * Each test creates one case in which the store has a result that the owner has not, or a cached response is stale.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import type { Batch, ItemResult } from '@fuchsiahitch/batches';
import { BATCH, startHosts } from './batchCalls.js';
import type { GatewayHost, GatewayWorld } from './gatewayHosts.js';
import { batch, item, type ItemScript } from './gatewayFixtures.js';

const FOUR_ITEM_BATCH = batch('b1', [
  item('w'),
  item('x'),
  item('y', { group: 'g2' }),
  item('z', { group: 'g3' }),
]);

/** An owner may return an empty page for less than this after the store confirmed its claim. */
const CONFIRMATION_AGE_MS = 1000;
/** When reads are repeated. */
const READ_DELAYS_MS = [0, 1000, 10_000] as const;
/** The same for tests with many cases. */
const SHORT_READ_DELAYS_MS = [0, 1500] as const;

/** Items of different lengths. All have the same pace, so that none is moved to a faster endpoint. */
const SHORT: ItemScript = { events: 2, end: { kind: 'done' }, eventMs: 20 };
const HALF_SECOND: ItemScript = { events: 25, end: { kind: 'done' }, eventMs: 20 };
const ENDLESS: ItemScript = { events: 2000, end: { kind: 'done' }, eventMs: 20 };
/** Times after the submission: the short items are listed; just before and after the half-second item is complete. */
const SHORT_LISTED_MS = 350;
const BEFORE_COMPLETE_MS = 480;
const COMPLETE_MS = 520;
/** A reader stops after this many responses that are not a page. */
const MAX_UNSURE_ANSWERS = 3;

/** The readers of one batch, and the results that were returned to them. */
class Readers {
  /** Inconsistent reads, in their order. */
  readonly broken: string[] = [];
  private readonly _world: GatewayWorld;
  private readonly _shown: ItemResult[] = [];

  constructor(world: GatewayWorld) {
    this._world = world;
  }

  shownCount(): number {
    return this._shown.length;
  }

  /** Reads from the first position, and from the last that was returned before. */
  async read(host: GatewayHost, when: string): Promise<void> {
    const where = `at host ${host.context.hostId}, ${when}`;
    for (const after of new Set([0, Math.max(0, this._shown.length - 1)]))
      await this._read(host, after, where);
  }

  async readAtEach(hosts: readonly GatewayHost[], when: string): Promise<void> {
    for (const host of hosts) await this.read(host, when);
  }

  /** Reads at each host, repeatedly after the given delays. */
  async readRepeatedly(
    hosts: readonly GatewayHost[],
    when: string,
    delaysMs: readonly number[] = READ_DELAYS_MS,
  ): Promise<void> {
    let passedMs = 0;
    for (const delayMs of delaysMs) {
      await this._world.clock.advance(delayMs - passedMs);
      passedMs = delayMs;
      await this.readAtEach(hosts, `${delayMs} ms later, ${when}`);
    }
  }

  /** Reads pages up to the last known result; repeats a read whose response is not a page. */
  private async _read(host: GatewayHost, first: number, where: string): Promise<void> {
    const count = this._shown.length;
    let after = first;
    let refusals = 0;
    do {
      const outcome = await this._world.until(host.batches.read('b1', after, 100));
      if (outcome.kind === 'page') {
        const { results } = outcome.page;
        this._compare(after, results, where);
        if (results.length === 0) return;
        after += results.length;
      } else {
        refusals += 1;
        if (refusals < MAX_UNSURE_ANSWERS) continue;
        if (host.storeClient.mode === 'well') this._addViolation(`${outcome.kind} ${where}`);
        return;
      }
    } while (after < count);
  }

  private _compare(after: number, results: readonly ItemResult[], where: string): void {
    const count = this._shown.length;
    if (results.length === 0 && after < count)
      this._addViolation(`${count} results were returned before, and none at position ${after} ${where}`);
    for (const [i, result] of results.entries()) {
      const before = this._shown[after + i];
      const isSame = before === undefined || JSON.stringify(before) === JSON.stringify(result);
      if (!isSame) this._addViolation(`position ${after + i} has another result ${where}`);
      this._shown[after + i] ??= result;
    }
  }

  private _addViolation(text: string): void {
    if (!this.broken.includes(text)) this.broken.push(text);
  }
}

/** Submits a batch and returns the time of the submission. */
async function submitAt(world: GatewayWorld, host: GatewayHost, given: Batch = BATCH): Promise<number> {
  const startMs = world.clock.nowMs();
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  return startMs;
}

async function advanceTo(world: GatewayWorld, atMs: number): Promise<void> {
  await world.clock.advance(atMs - world.clock.nowMs());
}

/** Blocks calls between two hosts in both directions. */
function cut(world: GatewayWorld, one: GatewayHost, other: GatewayHost): void {
  world.blockedLinks.add(`${one.context.hostId}-${other.context.hostId}`);
  world.blockedLinks.add(`${other.context.hostId}-${one.context.hostId}`);
}

type Script = GatewayWorld['client']['script'];

const lastItemSlow: Script = ({ itemId }) => (itemId === 'z' ? HALF_SECOND : SHORT);

/** A batch at its owner `a` with two results read at `a` and `b`, just before the third. `c` can't reach `a`. */
interface RunningBatch {
  readonly world: GatewayWorld;
  readonly a: GatewayHost;
  readonly b: GatewayHost;
  readonly c: GatewayHost;
  readonly readers: Readers;
  /** When it was submitted. */
  readonly startMs: number;
}

async function startBatchWithTwoResults(given: Batch, script: Script): Promise<RunningBatch> {
  const [world, a, b, c] = await startHosts('a', 'b', 'c');
  if (!a || !b || !c) throw new Error('no hosts');
  cut(world, a, c);
  world.client.script = script;
  const startMs = await submitAt(world, a, given);
  await advanceTo(world, startMs + SHORT_LISTED_MS);
  const readers = new Readers(world);
  await readers.readAtEach([a, b], 'at the beginning');
  if (readers.shownCount() !== 2) throw new Error(`${readers.shownCount()} results are listed`);
  await advanceTo(world, startMs + BEFORE_COMPLETE_MS);
  return { world, a, b, c, readers, startMs };
}

await tap.test(
  'should show a result whose append got no response before its owner ended the batch',
  async t => {
    // Guards against an owner that serves fewer results than the store has: the append took effect, its response was
    // lost, and the batch ended before the append was repeated.
    const violations: string[] = [];
    for (const endMs of [10, 100, 200]) {
      const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(BATCH, lastItemSlow);
      world.store.loseAnswers = 1;
      await advanceTo(world, startMs + COMPLETE_MS + endMs);
      t.equal(world.store.loseAnswers, 0, 'the append took effect without a response');
      t.equal(await world.until(a.batches.end('b1')), 'ended');
      await readers.read(c, 'from the store');
      t.equal(readers.shownCount(), 3);
      await readers.readRepeatedly([a, b, c], `ended ${endMs} ms after the append`);
      violations.push(...readers.broken);
      world.stop();
    }
    t.same(violations, []);
  },
);

await tap.test('should show a result whose append is confirmed after its owner ended the batch', async t => {
  // The same with a slow response instead of a lost one.
  const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(BATCH, lastItemSlow);
  a.storeClient.answerDelayMs = 600;
  await advanceTo(world, startMs + COMPLETE_MS + 10);
  a.storeClient.answerDelayMs = 0;
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  await readers.read(c, 'from the store');
  t.equal(readers.shownCount(), 3);
  await readers.readRepeatedly([a, b, c], 'after the end');
  t.same(readers.broken, []);
  world.stop();
});

await tap.test('should show a result of a running batch whose append is not confirmed yet', async t => {
  // Guards against an empty page from an owner whose claim is confirmed again before its unconfirmed append is repeated.
  const violations: string[] = [];
  for (const silentMs of [900, 1300, 2000, 2600]) {
    const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(
      FOUR_ITEM_BATCH,
      ({ itemId }) => {
        if (itemId === 'z') return ENDLESS;
        return itemId === 'y' ? HALF_SECOND : SHORT;
      },
    );
    world.store.loseAnswers = 1;
    await advanceTo(world, startMs + COMPLETE_MS + 160);
    t.equal(world.store.loseAnswers, 0, 'the append took effect without a response');
    a.storeClient.mode = 'silent';
    await world.clock.advance(silentMs);
    await readers.read(c, 'from the store');
    t.equal(readers.shownCount(), 3);
    a.storeClient.mode = 'well';
    for (let passedMs = 0; passedMs < 1500; passedMs += 50) {
      await readers.readAtEach([a, b], `${passedMs} ms after ${silentMs} ms without the store`);
      await world.clock.advance(50);
    }
    violations.push(...readers.broken);
    world.stop();
  }
  t.same(violations, []);
});

await tap.test(
  'should show a result whose append got no response, when the batch ended at another host',
  async t => {
    // The same where a host that can't reach the owner ends the batch, and the owner learns of it from the store.
    const violations: string[] = [];
    for (const endMs of [10, 100, 200, 400]) {
      const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(BATCH, lastItemSlow);
      world.store.loseAnswers = 1;
      await advanceTo(world, startMs + COMPLETE_MS + endMs);
      t.equal(await world.until(c.batches.end('b1')), 'ended');
      await readers.read(c, 'from the store');
      t.equal(readers.shownCount(), 3);
      await world.clock.advance(CONFIRMATION_AGE_MS);
      await readers.readRepeatedly([a, b, c], `ended ${endMs} ms after the append`);
      violations.push(...readers.broken);
      world.stop();
    }
    t.same(violations, []);
  },
);

await tap.test(
  'should not cache results that were loaded before the end as those of the ended batch',
  async t => {
    // Guards against a host that loads a batch for an item's body, then ends it, and caches the results that the
    // store read before the end.
    const [world, a, b, c] = await startHosts('a', 'b', 'c');
    if (!a || !b || !c) return;
    cut(world, a, b);
    world.client.script = lastItemSlow;
    const startMs = await submitAt(world, a);
    await advanceTo(world, startMs + 100);
    b.storeClient.answerDelayMs = 100;
    const body = b.batches.item('b1', 'x');
    // Two reads of the claim, the blocked call and the batch's parts take 350 ms; then the results are read.
    await advanceTo(world, startMs + 440);
    b.storeClient.answerDelayMs = 500;
    await advanceTo(world, startMs + COMPLETE_MS);
    b.storeClient.answerDelayMs = 0;
    const readers = new Readers(world);
    await readers.readAtEach([a, c], 'before the end');
    t.equal(readers.shownCount(), 3);
    t.equal(await world.until(b.batches.end('b1')), 'ended');
    t.equal((await world.until(body)).kind, 'body');
    await readers.readRepeatedly([a, b, c], 'after the end');
    t.same(readers.broken, []);
    world.stop();
  },
);

for (const endsAtOwner of [true, false]) {
  const where = endsAtOwner ? 'at its owner' : 'at another host';
  await tap.test(`should show a result whose append is executed late, around an end ${where}`, async t => {
    // The last append is executed before the end, after it, or after its repetition. After the end the store refuses it.
    const violations: string[] = [];
    for (const lateMs of [20, 120, 240, 260, 600])
      for (const endMs of [10, 50, 150, 200, 300, 700]) {
        const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(BATCH, lastItemSlow);
        world.store.delayNextWriteMs = lateMs;
        await advanceTo(world, startMs + COMPLETE_MS + endMs);
        t.equal(world.store.delayNextWriteMs, undefined, 'the append is under way');
        t.equal(await world.until((endsAtOwner ? a : c).batches.end('b1')), 'ended');
        const when = `appended ${lateMs} ms late, ended after ${endMs}`;
        await readers.read(c, when);
        await world.clock.advance(CONFIRMATION_AGE_MS);
        await readers.readRepeatedly([c, a, b], when, SHORT_READ_DELAYS_MS);
        violations.push(...readers.broken);
        world.stop();
      }
    t.same(violations, []);
  });
}

await tap.test('should show a result whose append is executed late, around a takeover', async t => {
  // Guards against two results at one position. The store refuses the append once the claim has changed.
  const violations: string[] = [];
  for (const lateMs of [10, 100, 200, 600, 2000])
    for (const takenMs of [10, 100, 200]) {
      const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(BATCH, lastItemSlow);
      world.store.delayNextWriteMs = lateMs;
      await advanceTo(world, startMs + COMPLETE_MS + takenMs);
      a.storeClient.mode = 'silent';
      world.expireLease('a');
      const when = `appended ${lateMs} ms late, taken over after ${takenMs}`;
      await readers.read(c, when);
      t.equal(c.batches.ownedCount(), 1, 'the batch is taken over');
      await world.clock.advance(1500);
      await readers.read(c, when);
      t.equal(readers.shownCount(), 3);
      a.storeClient.mode = 'well';
      await world.clock.advance(CONFIRMATION_AGE_MS);
      await readers.readAtEach([a, b, c], when);
      t.equal(await world.until(c.batches.end('b1')), 'ended');
      await readers.readRepeatedly([a, b, c], `ended, ${when}`, SHORT_READ_DELAYS_MS);
      violations.push(...readers.broken);
      world.stop();
    }
  t.same(violations, []);
});

for (const isEnded of [true, false]) {
  const state = isEnded ? 'ended batch' : 'running batch';
  await tap.test(`should show results of a ${state} at its former owner after a takeover`, async t => {
    // Guards against an empty page from a former owner that has not checked its claim, and from hosts that forward to it.
    const violations: string[] = [];
    for (const takenMs of [10, 100, 200, 700])
      for (const backMs of [0, 300, 900, 2000, Infinity]) {
        const script: Script = ({ itemId }) => {
          if (itemId === 'z') return ENDLESS;
          return itemId === 'y' ? HALF_SECOND : SHORT;
        };
        const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(FOUR_ITEM_BATCH, script);
        world.store.loseAnswers = 1;
        await advanceTo(world, startMs + COMPLETE_MS + 160);
        t.equal(world.store.loseAnswers, 0, 'the append took effect without a response');
        a.storeClient.mode = 'silent';
        await world.clock.advance(takenMs);
        world.expireLease('a');
        const when = `taken over after ${takenMs} ms, the store back ${backMs} ms later`;
        await readers.read(c, when);
        t.equal(readers.shownCount(), 3);
        t.equal(c.batches.ownedCount(), 1, 'the batch is taken over');
        if (isEnded) t.equal(await world.until(c.batches.end('b1')), 'ended');
        await world.clock.advance(Math.min(backMs, CONFIRMATION_AGE_MS));
        if (backMs < Infinity) {
          await world.clock.advance(Math.max(0, backMs - CONFIRMATION_AGE_MS));
          a.storeClient.mode = 'well';
        }
        await world.clock.advance(Math.max(0, CONFIRMATION_AGE_MS - backMs));
        await readers.readRepeatedly([b, a, c], when, SHORT_READ_DELAYS_MS);
        violations.push(...readers.broken);
        world.stop();
      }
    t.same(violations, []);
  });
}

/** Makes the store available to a host again, and waits until the host logs a response that concerns its batch. */
async function restoreStore(world: GatewayWorld, host: GatewayHost): Promise<boolean> {
  const { lines } = host.context.log;
  const before = lines.length;
  host.storeClient.mode = 'well';
  const storeAnswerLogs = new Set(['results listed', 'progress recorded', 'batch stopped']);
  const hasLogged = (): boolean => lines.slice(before).some(line => storeAnswerLogs.has(line.text));
  for (let ms = 0; ms < 2500 && !hasLogged(); ms += 10) await world.clock.advance(10);
  return hasLogged();
}

/** Times from the takeover until the store is available to the former owner again. */
const STORE_RETURN_DELAYS_MS = [2000, 2400, 2800, 11_000] as const;

for (const isEnded of [false, true]) {
  const state = isEnded ? 'ended batch' : 'running batch';
  await tap.test(
    `should not take its own result in the store as a confirmed claim, of a ${state}`,
    async t => {
      // Guards against an empty page from a former owner that repeats an append after the takeover and finds its own value:
      // this proves that the result is listed, not that the claim is still held.
      const violations: string[] = [];
      for (const takesEffect of [true, false])
        for (const backMs of STORE_RETURN_DELAYS_MS) {
          const started = new Set<string>();
          const script: Script = ({ itemId }) => {
            if (itemId === 'y') return HALF_SECOND;
            if (itemId !== 'z') return SHORT;
            if (started.has(itemId)) return { ...HALF_SECOND, events: 50 };
            started.add(itemId);
            return ENDLESS;
          };
          const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(
            FOUR_ITEM_BATCH,
            script,
          );
          if (takesEffect) world.store.loseAnswers = 1;
          else a.storeClient.mode = 'silent';
          await advanceTo(world, startMs + COMPLETE_MS + 160);
          t.equal(world.store.loseAnswers, 0, 'the append got no response');
          a.storeClient.mode = 'silent';
          world.expireLease('a');
          await readers.read(c, 'at the takeover');
          await world.clock.advance(1700);
          await readers.read(c, 'after the takeover');
          t.equal(readers.shownCount(), 4, 'the new owner has listed the rest');
          if (isEnded) t.equal(await world.until(c.batches.end('b1')), 'ended');
          await advanceTo(world, startMs + COMPLETE_MS + 160 + backMs);
          t.ok(await restoreStore(world, a), 'the former owner gets a response from the store');
          const effect = takesEffect ? 'that took effect' : 'that never arrived';
          await readers.readAtEach([a, b], `the store back after ${backMs} ms, an append ${effect}`);
          violations.push(...readers.broken);
          world.stop();
        }
      t.same(violations, []);
    },
  );
}

await tap.test('should not take its own progress in the store as a confirmed claim', async t => {
  // The same with the stored progress of unfinished items.
  const violations: string[] = [];
  for (const backMs of STORE_RETURN_DELAYS_MS) {
    const started = new Set<string>();
    const script: Script = ({ itemId }) => {
      if (itemId === 'w' || itemId === 'x' || started.has(itemId)) return SHORT;
      started.add(itemId);
      return ENDLESS;
    };
    const { world, a, b, c, readers, startMs } = await startBatchWithTwoResults(FOUR_ITEM_BATCH, script);
    await advanceTo(world, startMs + 960);
    world.store.loseAnswers = 1;
    await advanceTo(world, startMs + 1040);
    t.equal(world.store.loseAnswers, 0, 'progress was stored without a response');
    a.storeClient.mode = 'silent';
    world.expireLease('a');
    await readers.read(c, 'at the takeover');
    await world.clock.advance(CONFIRMATION_AGE_MS);
    await readers.read(c, 'after the takeover');
    t.equal(readers.shownCount(), 4, 'the new owner has listed the rest');
    await advanceTo(world, startMs + 1040 + backMs);
    t.ok(await restoreStore(world, a), 'the former owner gets a response from the store');
    await readers.readAtEach([a, b], `the store back after ${backMs} ms`);
    violations.push(...readers.broken);
    world.stop();
  }
  t.same(violations, []);
});

await tap.test('should show the results of an ended batch that is submitted again', async t => {
  // Guards against an empty result list: the owner has evicted the batch from memory, and its own claim in the store looks
  // like a first acceptance whose response was lost.
  const [world, a, b, c] = await startHosts('a', 'b', 'c');
  if (!a || !b || !c) return;
  const readers = new Readers(world);
  for (const id of ['b1', 'b2', 'b3', 'b4', 'b5', 'b6']) {
    await submitAt(world, a, { ...BATCH, id });
    await world.clock.advance(300);
    if (id === 'b1') await readers.readAtEach([a, b], 'before the end');
    t.equal(await world.until(a.batches.end(id)), 'ended');
  }
  t.equal(readers.shownCount(), 3);
  await readers.readAtEach([a, b, c], 'after the end');
  await submitAt(world, a);
  await readers.readRepeatedly([a, b, c], 'submitted again');
  t.same(readers.broken, []);
  world.stop();
});

await tap.test('should load an ended batch once for concurrent readers at a host', async t => {
  // Guards against a load of all records for each reader at a host that did not run the batch.
  const [world, a] = await startHosts('a');
  if (!a) return;
  const { clock, store } = world;
  await world.until(a.batches.submit(BATCH, Deadline.after(clock, 1000)));
  await clock.advance(1000);
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  // It starts after the owner announced the batch.
  const b = world.start('b');
  await clock.advance(200);
  b.storeClient.callDelayMs = 50;
  const listsBefore = store.calls.filter(call => call === 'list').length;
  const lists = (): number => store.calls.filter(call => call === 'list').length - listsBefore;
  const pages = await world.until(Promise.all([1, 2, 3].map(() => b.batches.read('b1', 0, 500))));
  for (const outcome of pages) t.equal(outcome.kind === 'page' && outcome.page.results.length, 3);
  t.equal(lists(), 1, 'only the results are listed');
  const bodies = await world.until(Promise.all(['x', 'y', 'x'].map(id => b.batches.item('b1', id))));
  for (const outcome of bodies) t.equal(outcome.kind, 'body');
  await world.until(b.batches.read('b1', 1, 500));
  t.equal(lists(), 2, 'the bodies are listed once');
  world.stop();
});
