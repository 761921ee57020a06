/**
 * Guarantee: a result that was returned to one reader is returned to every later reader at any host, at the same
 * position. A page may be short and a host may answer `unsure`, but must not return an empty page instead of a known
 * result.
 */
import tap from 'tap';
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { Batch, ItemResult } from '@fuchsiahitch/batches';
import { BATCH, startHosts } from './batchCalls.js';
import type { GatewayHost, GatewayWorld } from './gatewayHosts.js';
import { batch, item, type ItemScript } from './gatewayFixtures.js';

const FOUR_ITEMS = batch('b1', [
  item('w'),
  item('x'),
  item('y', { group: 'g2' }),
  item('z', { group: 'g3' }),
]);

/** The oldest empty page, so that it reaches its reader within `SETTLED_MS` after the result that it lacks was read. */
const MAX_PAGE_AGE_MS = 900;
/** A recently confirmed owner of a running batch may return an outdated empty page for less than this. */
const SETTLED_MS = 1000;
const READ_DELAYS_MS = [0, 1000, 10_000] as const;
/** For tests with many cases. */
const SHORT_READ_DELAYS_MS = [0, 1500] as const;

/**
 * A short item, one that takes half a second, and one that does not end within a test. All have the same pace, so that
 * no item moves to a faster endpoint.
 */
const SHORT: ItemScript = { events: 2, end: { kind: 'done' }, eventMs: 20 };
const HALF_SECOND: ItemScript = { events: 25, end: { kind: 'done' }, eventMs: 20 };
const ENDLESS: ItemScript = { events: 2000, end: { kind: 'done' }, eventMs: 20 };
/** Times after submission: when short items are listed, and just before and after the half-second item completes. */
const SHORT_LISTED_MS = 350;
const BEFORE_COMPLETE_MS = 480;
const COMPLETE_MS = 520;
/** Attempts to read from a host that answers `unsure`. */
const MAX_REFUSALS = 3;

/** The readers of one batch and the results that were returned to them. */
class Readers {
  /** Violations of the guarantee, in the order of the reads. */
  readonly broken: string[] = [];
  private readonly _world: GatewayWorld;
  private readonly _returned: ItemResult[] = [];

  constructor(world: GatewayWorld) {
    this._world = world;
  }

  /** Number of results that were returned to any reader. */
  returnedCount(): number {
    return this._returned.length;
  }

  /** Reads from the first position, and from the last one that was returned before. */
  async read(host: GatewayHost, when: string): Promise<void> {
    const where = `at host ${host.context.hostId}, ${when}`;
    for (const after of new Set([0, Math.max(0, this._returned.length - 1)]))
      await this._read(host, after, where);
  }

  async readAt(hosts: readonly GatewayHost[], when: string): Promise<void> {
    for (const host of hosts) await this.read(host, when);
  }

  /** Reads at each host after each of the delays. */
  async readAfterDelays(
    hosts: readonly GatewayHost[],
    when: string,
    delaysMs: readonly number[] = READ_DELAYS_MS,
  ): Promise<void> {
    let passedMs = 0;
    for (const delayMs of delaysMs) {
      await this._world.clock.advance(delayMs - passedMs);
      passedMs = delayMs;
      await this.readAt(hosts, `${delayMs} ms later, ${when}`);
    }
  }

  /** Reads pages until all results that were returned before are read. Retries hosts that answer `unsure`. */
  private async _read(host: GatewayHost, first: number, where: string): Promise<void> {
    const count = this._returned.length;
    let after = first;
    let refusals = 0;
    do {
      const outcome = await this._world.until(host.batches.read('b1', after, 100));
      if (outcome.kind === 'page') {
        const { results } = outcome.page;
        this._check(after, results, where);
        if (results.length === 0) return;
        after += results.length;
      } else {
        refusals += 1;
        if (refusals < MAX_REFUSALS) continue;
        if (host.storeClient.mode === 'available') this._report(`${outcome.kind} ${where}`);
        return;
      }
    } while (after < count);
  }

  private _check(after: number, results: readonly ItemResult[], where: string): void {
    const count = this._returned.length;
    if (results.length === 0 && after < count)
      this._report(`${count} results had been read, but none was returned from position ${after} ${where}`);
    for (const [i, result] of results.entries()) {
      const before = this._returned[after + i];
      const isSame = before === undefined || JSON.stringify(before) === JSON.stringify(result);
      if (!isSame) this._report(`position ${after + i} has a different result ${where}`);
      this._returned[after + i] ??= result;
    }
  }

  private _report(text: string): void {
    if (!this.broken.includes(text)) this.broken.push(text);
  }
}

/** Submits a batch and returns when. */
async function submitAt(world: GatewayWorld, host: GatewayHost, given: Batch = BATCH): Promise<number> {
  const startMs = world.clock.nowMs();
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  return startMs;
}

async function advanceTo(world: GatewayWorld, atMs: number): Promise<void> {
  await world.clock.advance(atMs - world.clock.nowMs());
}

/** Blocks calls between two hosts in both directions. */
function disconnect(world: GatewayWorld, one: GatewayHost, other: GatewayHost): void {
  world.blockedLinks.add(`${one.context.hostId}-${other.context.hostId}`);
  world.blockedLinks.add(`${other.context.hostId}-${one.context.hostId}`);
}

type Script = GatewayWorld['client']['script'];

/** All items are short except the last one, which takes half a second. */
const lastItemIsSlow: Script = ({ itemId }) => (itemId === 'z' ? HALF_SECOND : SHORT);

/** A batch whose owner `a` is about to list the third result. Two were read at `a` and `b`. `c` can't reach `a`. */
interface RunningBatch {
  readonly world: GatewayWorld;
  readonly a: GatewayHost;
  readonly b: GatewayHost;
  readonly c: GatewayHost;
  readonly readers: Readers;
  readonly startMs: number;
}

async function startBatch(given: Batch, script: Script): Promise<RunningBatch> {
  const [world, a, b, c] = await startHosts('a', 'b', 'c');
  if (!a || !b || !c) throw new Error('expected three hosts');
  disconnect(world, a, c);
  world.client.script = script;
  const startMs = await submitAt(world, a, given);
  await advanceTo(world, startMs + SHORT_LISTED_MS);
  const readers = new Readers(world);
  await readers.readAt([a, b], 'at the beginning');
  if (readers.returnedCount() !== 2)
    throw new Error(`${readers.returnedCount()} results are listed, expected 2`);
  await advanceTo(world, startMs + BEFORE_COMPLETE_MS);
  return { world, a, b, c, readers, startMs };
}

await tap.test(
  'should show a result whose append got no answer before its owner ended the batch',
  async t => {
    // Fails if an owner that ends its batch before it retries an unanswered append continues to answer from its shorter
    // list, while hosts that can't reach it read the complete list from the store.
    const violations: string[] = [];
    for (const endMs of [10, 100, 200]) {
      const { world, a, b, c, readers, startMs } = await startBatch(BATCH, lastItemIsSlow);
      world.store.loseAnswers = 1;
      await advanceTo(world, startMs + COMPLETE_MS + endMs);
      t.equal(world.store.loseAnswers, 0, 'the append took effect without an answer');
      t.equal(await world.until(a.batches.end('b1')), 'ended');
      await readers.read(c, 'from the store');
      t.equal(readers.returnedCount(), 3);
      await readers.readAfterDelays([a, b, c], `ended ${endMs} ms after the append`);
      violations.push(...readers.broken);
      world.stop();
    }
    t.same(violations, []);
  },
);

await tap.test('should show a result whose append is answered after its owner ended the batch', async t => {
  // As above, with a slow answer instead of a lost one.
  const { world, a, b, c, readers, startMs } = await startBatch(BATCH, lastItemIsSlow);
  a.storeClient.answerDelayMs = 600;
  await advanceTo(world, startMs + COMPLETE_MS + 10);
  a.storeClient.answerDelayMs = 0;
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  await readers.read(c, 'from the store');
  t.equal(readers.returnedCount(), 3);
  await readers.readAfterDelays([a, b, c], 'after the end');
  t.same(readers.broken, []);
  world.stop();
});

await tap.test('should show a result of a running batch whose append is unanswered', async t => {
  // Fails if an owner whose append took effect without an answer returns an empty page once its claim is confirmed, but
  // before it retried the append.
  const violations: string[] = [];
  for (const outageMs of [900, 1300, 2000, 2600]) {
    const { world, a, b, c, readers, startMs } = await startBatch(FOUR_ITEMS, ({ itemId }) => {
      if (itemId === 'z') return ENDLESS;
      return itemId === 'y' ? HALF_SECOND : SHORT;
    });
    world.store.loseAnswers = 1;
    await advanceTo(world, startMs + COMPLETE_MS + 160);
    t.equal(world.store.loseAnswers, 0, 'the append took effect without an answer');
    a.storeClient.mode = 'silent';
    await world.clock.advance(outageMs);
    await readers.read(c, 'from the store');
    t.equal(readers.returnedCount(), 3);
    a.storeClient.mode = 'available';
    for (let passedMs = 0; passedMs < 1500; passedMs += 50) {
      await readers.readAt([a, b], `${passedMs} ms after ${outageMs} ms without the store`);
      await world.clock.advance(50);
    }
    violations.push(...readers.broken);
    world.stop();
  }
  t.same(violations, []);
});

const secondLastIsSlow: Script = ({ itemId }) => {
  if (itemId === 'z') return ENDLESS;
  return itemId === 'y' ? HALF_SECOND : SHORT;
};

/**
 * Reads at `b` from the position after the second result. Returns for how long `c` had read a result from the store when
 * `b` returned an empty page; `-Infinity` for any other outcome.
 */
async function emptyPageAge({ world, b, c, startMs }: RunningBatch, waitMs: number): Promise<number> {
  let shownMs = Infinity;
  const watching = (async () => {
    while (shownMs === Infinity && world.clock.nowMs() < startMs + 4000) {
      const page = await c.batches.read('b1', 2, 0);
      if (page.kind === 'page' && page.page.results.length > 0) shownMs = world.clock.nowMs();
      else await sleep(world.clock, 10);
    }
  })();
  const outcome = await world.until(b.batches.read('b1', 2, waitMs));
  const shownForMs = world.clock.nowMs() - shownMs;
  await world.until(watching);
  const isEmpty = outcome.kind === 'page' && outcome.page.results.length === 0;
  return isEmpty ? shownForMs : -Infinity;
}

await tap.test('should not return an empty page that took long to arrive from the owner', async t => {
  // Guards against a reader who is told that a result does not exist a second after another one has read it.
  const violations: string[] = [];
  for (const waitMs of [0, 100, 300, 500, 700, 900, 1000])
    for (const replyDelayMs of [0, 100, 350, 500, 650, 690]) {
      const running = await startBatch(FOUR_ITEMS, secondLastIsSlow);
      running.world.replyDelaysMs.set('b-a', replyDelayMs);
      running.world.store.withholdAnswers = 1;
      const ageMs = await emptyPageAge(running, waitMs);
      if (ageMs > MAX_PAGE_AGE_MS)
        violations.push(`${waitMs} ms waited, ${replyDelayMs} ms late: ${ageMs} ms old`);
      running.world.stop();
    }
  t.same(violations, []);
});

await tap.test('should not return an empty page that the store answered long ago', async t => {
  // Guards against the same at a host that can't reach the owner and reads the store.
  const script: Script = call =>
    call.itemId === 'y' ? { ...HALF_SECOND, events: 100 } : secondLastIsSlow(call);
  const violations: string[] = [];
  for (const answerDelayMs of [300, 700, 990])
    for (let startMs = 0; startMs <= 1500; startMs += 20) {
      const running = await startBatch(FOUR_ITEMS, script);
      const { world, a, b } = running;
      disconnect(world, a, b);
      b.storeClient.answerDelayMs = answerDelayMs;
      await world.clock.advance(startMs);
      const ageMs = await emptyPageAge(running, 0);
      if (ageMs > MAX_PAGE_AGE_MS) violations.push(`answered ${answerDelayMs} ms late: ${ageMs} ms old`);
      world.stop();
    }
  t.same(violations, []);
});

await tap.test(
  'should show a result whose append got no answer, when the batch ended at another host',
  async t => {
    // As above, but a host that can't reach the owner ends the batch in the store.
    const violations: string[] = [];
    for (const endMs of [10, 100, 200, 400]) {
      const { world, a, b, c, readers, startMs } = await startBatch(BATCH, lastItemIsSlow);
      world.store.loseAnswers = 1;
      await advanceTo(world, startMs + COMPLETE_MS + endMs);
      t.equal(await world.until(c.batches.end('b1')), 'ended');
      await readers.read(c, 'from the store');
      t.equal(readers.returnedCount(), 3);
      await world.clock.advance(SETTLED_MS);
      await readers.readAfterDelays([a, b, c], `ended ${endMs} ms after the append`);
      violations.push(...readers.broken);
      world.stop();
    }
    t.same(violations, []);
  },
);

await tap.test('should not cache results that were loaded before the end of their batch', async t => {
  // Fails if a host checks for the end only after it loaded the results: a result that was listed during the load is
  // then missing from its cache for good.
  const [world, a, b, c] = await startHosts('a', 'b', 'c');
  if (!a || !b || !c) return;
  disconnect(world, a, b);
  world.client.script = lastItemIsSlow;
  const startMs = await submitAt(world, a);
  await advanceTo(world, startMs + 100);
  b.storeClient.answerDelayMs = 100;
  const body = b.batches.item('b1', 'x');
  // Two reads of the claim, the failing call and the batch's parts take 350 ms. The results follow.
  await advanceTo(world, startMs + 440);
  b.storeClient.answerDelayMs = 500;
  await advanceTo(world, startMs + COMPLETE_MS);
  b.storeClient.answerDelayMs = 0;
  const readers = new Readers(world);
  await readers.readAt([a, c], 'before the end');
  t.equal(readers.returnedCount(), 3);
  t.equal(await world.until(b.batches.end('b1')), 'ended');
  t.equal((await world.until(body)).kind, 'body');
  await readers.readAfterDelays([a, b, c], 'after the end');
  t.same(readers.broken, []);
  world.stop();
});

for (const endsAtOwner of [true, false]) {
  const where = endsAtOwner ? 'at its owner' : 'at another host';
  await tap.test(`should show a result whose append is executed late, around an end ${where}`, async t => {
    // The store executes the unanswered append before the end, or after its retry, or rejects it after the end.
    const violations: string[] = [];
    for (const lateMs of [20, 120, 240, 260, 600])
      for (const endMs of [10, 50, 150, 200, 300, 700]) {
        const { world, a, b, c, readers, startMs } = await startBatch(BATCH, lastItemIsSlow);
        world.store.delayNextWriteMs = lateMs;
        await advanceTo(world, startMs + COMPLETE_MS + endMs);
        t.equal(world.store.delayNextWriteMs, undefined, 'the append was sent');
        t.equal(await world.until((endsAtOwner ? a : c).batches.end('b1')), 'ended');
        const when = `appended ${lateMs} ms late, ended after ${endMs}`;
        await readers.read(c, when);
        await world.clock.advance(SETTLED_MS);
        await readers.readAfterDelays([c, a, b], when, SHORT_READ_DELAYS_MS);
        violations.push(...readers.broken);
        world.stop();
      }
    t.same(violations, []);
  });
}

await tap.test('should show a result whose append is executed late, around a takeover', async t => {
  // Fails if an unanswered append takes effect after the claim changed: a position then has two results.
  const violations: string[] = [];
  for (const lateMs of [10, 100, 200, 600, 2000])
    for (const takeoverMs of [10, 100, 200]) {
      const { world, a, b, c, readers, startMs } = await startBatch(BATCH, lastItemIsSlow);
      world.store.delayNextWriteMs = lateMs;
      await advanceTo(world, startMs + COMPLETE_MS + takeoverMs);
      a.storeClient.mode = 'silent';
      world.expireLease('a');
      const when = `appended ${lateMs} ms late, taken over after ${takeoverMs}`;
      await readers.read(c, when);
      t.equal(c.batches.ownedCount(), 1, 'it is taken over');
      await world.clock.advance(1500);
      await readers.read(c, when);
      t.equal(readers.returnedCount(), 3);
      a.storeClient.mode = 'available';
      await world.clock.advance(SETTLED_MS);
      await readers.readAt([a, b, c], when);
      t.equal(await world.until(c.batches.end('b1')), 'ended');
      await readers.readAfterDelays([a, b, c], `ended, ${when}`, SHORT_READ_DELAYS_MS);
      violations.push(...readers.broken);
      world.stop();
    }
  t.same(violations, []);
});

for (const isEnded of [true, false]) {
  const state = isEnded ? 'ended batch' : 'running batch';
  await tap.test(`should show results of a ${state} to readers of its replaced owner`, async t => {
    // Fails if a replaced owner, whose append took effect without an answer, returns an empty page without querying the
    // store to hosts that still route reads to it.
    const violations: string[] = [];
    for (const takeoverMs of [10, 100, 200, 700])
      for (const recoveryMs of [0, 300, 900, 2000, Infinity]) {
        const script: Script = ({ itemId }) => {
          if (itemId === 'z') return ENDLESS;
          return itemId === 'y' ? HALF_SECOND : SHORT;
        };
        const { world, a, b, c, readers, startMs } = await startBatch(FOUR_ITEMS, script);
        world.store.loseAnswers = 1;
        await advanceTo(world, startMs + COMPLETE_MS + 160);
        t.equal(world.store.loseAnswers, 0, 'the append took effect without an answer');
        a.storeClient.mode = 'silent';
        await world.clock.advance(takeoverMs);
        world.expireLease('a');
        const when = `taken over after ${takeoverMs} ms, the store available ${recoveryMs} ms later`;
        await readers.read(c, when);
        t.equal(readers.returnedCount(), 3);
        t.equal(c.batches.ownedCount(), 1, 'the batch is taken over');
        if (isEnded) t.equal(await world.until(c.batches.end('b1')), 'ended');
        await world.clock.advance(Math.min(recoveryMs, SETTLED_MS));
        if (recoveryMs < Infinity) {
          await world.clock.advance(Math.max(0, recoveryMs - SETTLED_MS));
          a.storeClient.mode = 'available';
        }
        await world.clock.advance(Math.max(0, SETTLED_MS - recoveryMs));
        await readers.readAfterDelays([b, a, c], when, SHORT_READ_DELAYS_MS);
        violations.push(...readers.broken);
        world.stop();
      }
    t.same(violations, []);
  });
}

/** Reconnects a previous owner to the store. Returns true once it has reacted to an answer. */
async function reconnectStore(world: GatewayWorld, host: GatewayHost): Promise<boolean> {
  const { lines } = host.context.log;
  const before = lines.length;
  host.storeClient.mode = 'available';
  const reactions = new Set(['results listed', 'progress recorded', 'batch stopped']);
  const hasReacted = (): boolean => lines.slice(before).some(line => reactions.has(line.text));
  for (let ms = 0; ms < 2500 && !hasReacted(); ms += 10) await world.clock.advance(10);
  return hasReacted();
}

/** Times from the takeover until the previous owner can reach the store again. */
const OUTAGES_MS = [2000, 2400, 2800, 11_000] as const;

for (const isEnded of [false, true]) {
  const state = isEnded ? 'ended batch' : 'running batch';
  await tap.test(`should not treat a stored result of a ${state} as confirmation of the claim`, async t => {
    // Fails if a previous owner finds its retried append in the store, written by itself or by the new owner, concludes
    // that it still holds the claim, and returns an empty page.
    const violations: string[] = [];
    for (const takesEffect of [true, false])
      for (const recoveryMs of OUTAGES_MS) {
        const started = new Set<string>();
        const script: Script = ({ itemId }) => {
          if (itemId === 'y') return HALF_SECOND;
          if (itemId !== 'z') return SHORT;
          if (started.has(itemId)) return { ...HALF_SECOND, events: 50 };
          started.add(itemId);
          return ENDLESS;
        };
        const { world, a, b, c, readers, startMs } = await startBatch(FOUR_ITEMS, script);
        if (takesEffect) world.store.loseAnswers = 1;
        else a.storeClient.mode = 'silent';
        await advanceTo(world, startMs + COMPLETE_MS + 160);
        t.equal(world.store.loseAnswers, 0, 'the append got no answer');
        a.storeClient.mode = 'silent';
        world.expireLease('a');
        await readers.read(c, 'at the takeover');
        await world.clock.advance(1700);
        await readers.read(c, 'after the takeover');
        t.equal(readers.returnedCount(), 4, 'the new owner has listed the rest');
        if (isEnded) t.equal(await world.until(c.batches.end('b1')), 'ended');
        await advanceTo(world, startMs + COMPLETE_MS + 160 + recoveryMs);
        t.ok(await reconnectStore(world, a), 'the previous owner reacts to the store');
        const effect = takesEffect ? 'that took effect' : 'that never arrived';
        await readers.readAt([a, b], `the store available after ${recoveryMs} ms, an append ${effect}`);
        violations.push(...readers.broken);
        world.stop();
      }
    t.same(violations, []);
  });
}

await tap.test('should not treat stored progress as confirmation of the claim', async t => {
  // As above, with recorded progress of unfinished items.
  const violations: string[] = [];
  for (const recoveryMs of OUTAGES_MS) {
    const started = new Set<string>();
    const script: Script = ({ itemId }) => {
      if (itemId === 'w' || itemId === 'x' || started.has(itemId)) return SHORT;
      started.add(itemId);
      return ENDLESS;
    };
    const { world, a, b, c, readers, startMs } = await startBatch(FOUR_ITEMS, script);
    await advanceTo(world, startMs + 960);
    world.store.loseAnswers = 1;
    await advanceTo(world, startMs + 1040);
    t.equal(world.store.loseAnswers, 0, 'progress was recorded without an answer');
    a.storeClient.mode = 'silent';
    world.expireLease('a');
    await readers.read(c, 'at the takeover');
    await world.clock.advance(SETTLED_MS);
    await readers.read(c, 'after the takeover');
    t.equal(readers.returnedCount(), 4, 'the new owner has listed the rest');
    await advanceTo(world, startMs + 1040 + recoveryMs);
    t.ok(await reconnectStore(world, a), 'the previous owner reacts to the store');
    await readers.readAt([a, b], `the store available after ${recoveryMs} ms`);
    violations.push(...readers.broken);
    world.stop();
  }
  t.same(violations, []);
});

await tap.test('should show the results of an ended batch that is resubmitted', async t => {
  // Fails if an owner that has evicted an ended batch treats its earlier claim as a new one and starts without results.
  const [world, a, b, c] = await startHosts('a', 'b', 'c');
  if (!a || !b || !c) return;
  const readers = new Readers(world);
  for (const id of ['b1', 'b2', 'b3', 'b4', 'b5', 'b6']) {
    await submitAt(world, a, { ...BATCH, id });
    await world.clock.advance(300);
    if (id === 'b1') await readers.readAt([a, b], 'before the end');
    t.equal(await world.until(a.batches.end(id)), 'ended');
  }
  t.equal(readers.returnedCount(), 3);
  await readers.readAt([a, b, c], 'after the end');
  await submitAt(world, a);
  await readers.readAfterDelays([a, b, c], 'submitted again');
  t.same(readers.broken, []);
  world.stop();
});

await tap.test('should read an ended batch from the store once for all requests to a host', async t => {
  // Fails if each request for results or bodies of an ended batch reads its records again.
  const [world, a] = await startHosts('a');
  if (!a) return;
  const { clock, store } = world;
  await world.until(a.batches.submit(BATCH, Deadline.after(clock, 1000)));
  await clock.advance(1000);
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  // This host started after the owner announced the batch.
  const b = world.start('b');
  await clock.advance(200);
  b.storeClient.callDelayMs = 50;
  const listsBefore = store.calls.filter(call => call === 'list').length;
  const lists = (): number => store.calls.filter(call => call === 'list').length - listsBefore;
  const pages = await world.until(Promise.all([1, 2, 3].map(() => b.batches.read('b1', 0, 500))));
  for (const outcome of pages) t.equal(outcome.kind === 'page' && outcome.page.results.length, 3);
  t.equal(lists(), 1, 'the results, and no bodies');
  const bodies = await world.until(Promise.all(['x', 'y', 'x'].map(id => b.batches.item('b1', id))));
  for (const outcome of bodies) t.equal(outcome.kind, 'body');
  await world.until(b.batches.read('b1', 1, 500));
  t.equal(lists(), 2, 'the bodies once');
  world.stop();
});
