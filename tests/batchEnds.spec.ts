/**
 * The end of a batch at a host that doesn't hear of it: what a former owner does while it can't ask the store, and
 * after it took its batch back.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import type { Batch } from '@fuchsiahitch/batches';
import { BATCH, read, startHosts } from './batchCalls.js';
import type { GatewayHost, GatewayWorld } from './gatewayHosts.js';
import { answer, batch, scoredItem } from './gatewayFixtures.js';

/** The users' bound: nothing of a batch is sent later than this after its end was confirmed. */
const AFTER_END_MS = 3000;
/** How long a test looks on after that. */
const WATCHED_MS = 10_000;

async function submitAt(world: GatewayWorld, host: GatewayHost, given: Batch): Promise<void> {
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
}

/** The lease of a batch's owner ends, another host takes the batch over and ends it: when that was confirmed. */
async function endElsewhere(world: GatewayWorld, owner: GatewayHost, other: GatewayHost): Promise<number> {
  world.blockedLinks.add(`${other.context.hostId}-${owner.context.hostId}`);
  world.expireLease(owner.context.hostId);
  await read(world, other, 0, 100);
  const end = await world.until(other.batches.end('b1'));
  if (end !== 'ended') throw new Error(`the batch was not ended: ${end}`);
  return world.clock.nowMs();
}

/** The calls that came later than the users allow; nothing if there is none. */
function late(sentMs: readonly number[], endMs: number): string {
  const afterMs = sentMs.map(ms => ms - endMs).filter(ms => ms > AFTER_END_MS);
  return afterMs.length === 0
    ? ''
    : `${afterMs.length} sent ${afterMs[0]} to ${afterMs.at(-1)} ms after the end`;
}

/** When items were sent: to endpoints that break each off once, after some events, and refuse it from then on. */
function breakOff(world: GatewayWorld): readonly number[] {
  const sentMs: number[] = [];
  const begun = new Set<string>();
  world.client.script = ({ itemId }) => {
    sentMs.push(world.clock.nowMs());
    if (begun.has(itemId)) return { events: 0, end: { kind: 'not-run', reason: 'refused', load: undefined } };
    begun.add(itemId);
    return { events: 30, end: { kind: 'broken', text: 'reset' }, eventMs: 20 };
  };
  return sentMs;
}

/** How many runs of each item are under way. No run ends by itself. */
function underWay(world: GatewayWorld): readonly number[] {
  const { items, cancelled } = world.client;
  return BATCH.items.map(({ id }) => {
    const begun = items.filter(call => call.itemId === id).length;
    return begun - cancelled.filter(itemId => itemId === id).length;
  });
}

await tap.test(
  'should send nothing of a batch for long after its end, while its former owner can’t ask the store',
  async t => {
    // Symptom: items reach endpoints 4 s after the end of their batch was confirmed. Sequence: the owner's calls to the
    // store stay without answer, its lease ends, another host takes the batch over, the trainer ends it there; at some
    // moment the store answers the former owner again, at once or slowly. Cause: an owner's right to run a batch has no
    // bound in time.
    const found: string[] = [];
    for (const silentMs of [600, 2400])
      for (const slowMs of [0, 950])
        for (const backMs of [0, 500, 1000, 1500, 2000, 2500, 3000, 3500, 7500]) {
          const [world, a, b] = await startHosts('a', 'b');
          if (!a || !b) return;
          const sentMs = breakOff(world);
          await submitAt(world, a, BATCH);
          await world.clock.advance(900);
          a.storeClient.mode = 'silent';
          await world.clock.advance(silentMs);
          const endMs = await endElsewhere(world, a, b);
          t.ok(sentMs.length > 0, 'items are sent before');
          await world.clock.advance(backMs);
          a.storeClient.mode = 'well';
          a.storeClient.callDelayMs = slowMs;
          await world.clock.advance(AFTER_END_MS + WATCHED_MS - backMs);
          const lateCalls = late(sentMs, endMs);
          const when = `silent from ${silentMs} ms before the end to ${backMs} after, then ${slowMs} ms a call`;
          if (lateCalls !== '') found.push(`${when}: ${lateCalls}`);
          if (a.batches.ownedCount() > 0) found.push(`${when}: the former owner has not heard of the end`);
          world.stop();
        }
    t.same(found, []);
  },
);

await tap.test(
  'should send nothing of a batch for long after its end, while the store is slow for its former owner',
  async t => {
    // The same where each call is answered just in time, and the end comes at any moment of the owner's round of calls.
    for (const slowForMs of [0, 500, 1000, 1500, 2000, 2500]) {
      const [world, a, b] = await startHosts('a', 'b');
      if (!a || !b) return;
      const sentMs = breakOff(world);
      await submitAt(world, a, BATCH);
      await world.clock.advance(900);
      a.storeClient.callDelayMs = 950;
      await world.clock.advance(slowForMs);
      const endMs = await endElsewhere(world, a, b);
      await world.clock.advance(AFTER_END_MS + WATCHED_MS);
      t.equal(late(sentMs, endMs), '', `ended after ${slowForMs} ms of slow answers`);
      t.equal(a.batches.ownedCount(), 0, 'and the former owner has heard of it');
      world.stop();
    }
  },
);

await tap.test(
  'should ask for no score of a batch for long after its end, while its former owner can’t ask the store',
  async t => {
    // Symptom: scores are asked for seconds after the end of their batch was confirmed. Sequence: as with items, where
    // the texts are whole and no score comes. Cause: as with items.
    const found: string[] = [];
    for (const backMs of [0, 1500, 3000, 7500]) {
      const [world, a, b] = await startHosts('a', 'b');
      if (!a || !b) return;
      world.addScorers('s1', 's2', 's3');
      await world.clock.advance(200);
      const sentMs: number[] = [];
      world.client.reply = () => {
        sentMs.push(world.clock.nowMs());
        return Promise.resolve({ kind: 'answered', answer: answer(404, 'not yet') });
      };
      await submitAt(world, a, batch('b1', [scoredItem('x'), scoredItem('y'), scoredItem('z')]));
      await world.clock.advance(900);
      t.ok(sentMs.length > 0, 'scores are asked for');
      a.storeClient.mode = 'silent';
      await world.clock.advance(2400);
      const endMs = await endElsewhere(world, a, b);
      await world.clock.advance(backMs);
      a.storeClient.mode = 'well';
      await world.clock.advance(AFTER_END_MS + WATCHED_MS - backMs);
      const lateCalls = late(sentMs, endMs);
      if (lateCalls !== '') found.push(`silent to ${backMs} ms after the end: ${lateCalls}`);
      t.equal(a.batches.ownedCount(), 0, 'the former owner has heard of the end');
      world.stop();
    }
    t.same(found, []);
  },
);

await tap.test('should keep a batch that it took back', async t => {
  // Symptom: each item of a batch runs twice at one host, which then says that it does not run the batch. Sequence: the
  // owner's lease ends, another host takes the batch over and dies, and the former owner takes it back before it has
  // looked at the claim again: its look was not due, or the store was silent. Cause: the former owner object goes on
  // beside the new one of the same process, and what it loses is taken from the new one.
  for (const silentMs of [0, 1500]) {
    const [world, a, b] = await startHosts('a', 'b');
    if (!a || !b) return;
    const when = `after ${silentMs} ms without the store`;
    world.client.script = () => ({ events: 1000, end: { kind: 'done' }, eventMs: 20 });
    await submitAt(world, a, BATCH);
    await world.clock.advance(200);
    if (silentMs > 0) a.storeClient.mode = 'silent';
    await world.clock.advance(silentMs);
    world.blockedLinks.add('b-a');
    world.expireLease('a');
    await read(world, b, 0, 100);
    t.equal(b.batches.ownedCount(), 1, 'another host has taken it over');
    const other = b.self();
    b.kill();
    world.expireLease('b');
    a.storeClient.mode = 'well';
    await world.until(a.batches.adoptFrom('b1', other));
    await world.clock.advance(100);
    for (let ms = 0; ms <= 4000; ms += 500) {
      t.equal(a.batches.ownedCount(), 1, `${when}: the batch is its own ${ms} ms after it took it back`);
      t.same(underWay(world), [1, 1, 1], `${when}: each item runs once, ${ms} ms after it took it back`);
      await world.clock.advance(500);
    }
    t.equal(await world.until(a.batches.end('b1')), 'ended');
    await world.clock.advance(100);
    t.same(underWay(world), [0, 0, 0], `${when}: its end stops every run`);
    const before = world.client.items.length;
    await world.clock.advance(5000);
    t.equal(world.client.items.length, before, `${when}: nothing is sent any more`);
    world.stop();
  }
});

await tap.test('should show what was listed when an ended batch is submitted again at its owner', async t => {
  // Symptom: a reader sees no result of a batch of which others were shown all. Sequence: the batch ends, its owner keeps
  // only the newest ended ones in memory, and its trainer's submission, whose answer was lost, comes once more. Cause: the
  // owner takes its own claim in the store for one that this submission has written, and begins with an empty list.
  const [world, a] = await startHosts('a');
  if (!a) return;
  await submitAt(world, a, BATCH);
  await world.clock.advance(2000);
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  for (const id of ['n1', 'n2', 'n3', 'n4', 'n5', 'n6']) {
    await submitAt(world, a, batch(id, []));
    t.equal(await world.until(a.batches.end(id)), 'ended');
  }
  await submitAt(world, a, BATCH);
  await world.clock.advance(1000);
  const page = await read(world, a, 0, 100);
  t.equal(page.kind === 'page' && page.page.results.length, 3);
  world.stop();
});
