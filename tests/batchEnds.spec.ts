/**
 * The end of a batch while its former owner can't reach the store, and after the former owner took the batch back.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import type { Batch } from '@fuchsiahitch/batches';
import { BATCH, read, startHosts } from './batchCalls.js';
import type { GatewayHost, GatewayWorld } from './gatewayHosts.js';
import { answer, batch, scoredItem } from './gatewayFixtures.js';

/** Nothing of a batch may be sent later than this after its end was confirmed. */
const MAX_SEND_AFTER_END_MS = 3000;
const OBSERVATION_MS = 10_000;

async function submitAt(world: GatewayWorld, host: GatewayHost, given: Batch): Promise<void> {
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
}

/** Makes another host take the batch over and end it. Returns when the end was confirmed. */
async function takeOverAndEnd(world: GatewayWorld, owner: GatewayHost, other: GatewayHost): Promise<number> {
  world.blockedLinks.add(`${other.context.hostId}-${owner.context.hostId}`);
  world.expireLease(owner.context.hostId);
  await read(world, other, 0, 100);
  const end = await world.until(other.batches.end('b1'));
  if (end !== 'ended') throw new Error(`the batch was not ended: ${end}`);
  return world.clock.nowMs();
}

/** Describes the calls that were sent too late; empty if there are none. */
function lateSends(sentMs: readonly number[], endMs: number): string {
  const afterMs = sentMs.map(ms => ms - endMs).filter(ms => ms > MAX_SEND_AFTER_END_MS);
  return afterMs.length === 0
    ? ''
    : `${afterMs.length} sent ${afterMs[0]} to ${afterMs.at(-1)} ms after the end`;
}

/** Endpoints that fail each item once, after some events, and refuse it afterwards. Returns the times of all sends. */
function scriptBrokenRuns(world: GatewayWorld): readonly number[] {
  const sentMs: number[] = [];
  const started = new Set<string>();
  world.client.script = ({ itemId }) => {
    sentMs.push(world.clock.nowMs());
    if (started.has(itemId))
      return { events: 0, end: { kind: 'not-run', reason: 'refused', load: undefined } };
    started.add(itemId);
    return { events: 30, end: { kind: 'broken', text: 'reset' }, eventMs: 20 };
  };
  return sentMs;
}

/** The number of active runs of each item. Only for scripts whose runs end by cancellation alone. */
function activeRuns(world: GatewayWorld): readonly number[] {
  const { items, cancelled } = world.client;
  return BATCH.items.map(({ id }) => {
    const begun = items.filter(call => call.itemId === id).length;
    return begun - cancelled.filter(itemId => itemId === id).length;
  });
}

await tap.test(
  'should bound how long items are sent after the end, while the former owner can’t reach the store',
  async t => {
    // Guards against a former owner that runs a batch without a time bound after another host took it over and ended it.
    const violations: string[] = [];
    for (const silentMs of [600, 2400])
      for (const slowMs of [0, 950])
        for (const backMs of [0, 500, 1000, 1500, 2000, 2500, 3000, 3500, 7500]) {
          const [world, a, b] = await startHosts('a', 'b');
          if (!a || !b) return;
          const sentMs = scriptBrokenRuns(world);
          await submitAt(world, a, BATCH);
          await world.clock.advance(900);
          a.storeClient.mode = 'silent';
          await world.clock.advance(silentMs);
          const endMs = await takeOverAndEnd(world, a, b);
          t.ok(sentMs.length > 0, 'items are sent before');
          await world.clock.advance(backMs);
          a.storeClient.mode = 'well';
          a.storeClient.callDelayMs = slowMs;
          await world.clock.advance(MAX_SEND_AFTER_END_MS + OBSERVATION_MS - backMs);
          const lateCalls = lateSends(sentMs, endMs);
          const when = `no store from ${silentMs} ms before the end to ${backMs} after, then ${slowMs} ms a call`;
          if (lateCalls !== '') violations.push(`${when}: ${lateCalls}`);
          if (a.batches.ownedCount() > 0)
            violations.push(`${when}: the former owner has not learned of the end`);
          world.stop();
        }
    t.same(violations, []);
  },
);

await tap.test(
  'should bound how long items are sent after the end, while the store is slow for the former owner',
  async t => {
    // The same where each response arrives just before its timeout.
    for (const slowForMs of [0, 500, 1000, 1500, 2000, 2500]) {
      const [world, a, b] = await startHosts('a', 'b');
      if (!a || !b) return;
      const sentMs = scriptBrokenRuns(world);
      await submitAt(world, a, BATCH);
      await world.clock.advance(900);
      a.storeClient.callDelayMs = 950;
      await world.clock.advance(slowForMs);
      const endMs = await takeOverAndEnd(world, a, b);
      await world.clock.advance(MAX_SEND_AFTER_END_MS + OBSERVATION_MS);
      t.equal(lateSends(sentMs, endMs), '', `ended after ${slowForMs} ms of slow responses`);
      t.equal(a.batches.ownedCount(), 0, 'the former owner has learned of the end');
      world.stop();
    }
  },
);

await tap.test(
  'should bound how long scores are requested after the end, while the former owner can’t reach the store',
  async t => {
    const violations: string[] = [];
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
      t.ok(sentMs.length > 0, 'scores are requested');
      a.storeClient.mode = 'silent';
      await world.clock.advance(2400);
      const endMs = await takeOverAndEnd(world, a, b);
      await world.clock.advance(backMs);
      a.storeClient.mode = 'well';
      await world.clock.advance(MAX_SEND_AFTER_END_MS + OBSERVATION_MS - backMs);
      const lateCalls = lateSends(sentMs, endMs);
      if (lateCalls !== '') violations.push(`no store until ${backMs} ms after the end: ${lateCalls}`);
      t.equal(a.batches.ownedCount(), 0, 'the former owner has learned of the end');
      world.stop();
    }
    t.same(violations, []);
  },
);

await tap.test('should retain a batch that it took back', async t => {
  // Guards against two owner objects of one batch in a process: a former owner takes the batch back before it has checked
  // its claim again.
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
      t.equal(a.batches.ownedCount(), 1, `${when}: the host owns the batch ${ms} ms after it took it back`);
      t.same(activeRuns(world), [1, 1, 1], `${when}: each item runs once, ${ms} ms after it took it back`);
      await world.clock.advance(500);
    }
    t.equal(await world.until(a.batches.end('b1')), 'ended');
    await world.clock.advance(100);
    t.same(activeRuns(world), [0, 0, 0], `${when}: its end stops every run`);
    const before = world.client.items.length;
    await world.clock.advance(5000);
    t.equal(world.client.items.length, before, `${when}: nothing more is sent`);
    world.stop();
  }
});

await tap.test(
  'should return the listed results when an ended batch is submitted again at its owner',
  async t => {
    // Guards against an owner that has evicted the batch from memory, takes its claim in the store as a new acceptance, and
    // starts with an empty result list.
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
  },
);
