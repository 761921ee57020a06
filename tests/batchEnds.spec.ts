/**
 * The end of a batch while a previous owner can't reach the store, and takeovers by a previous owner.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import type { Batch } from '@fuchsiahitch/batches';
import { BATCH, read, startHosts } from './batchCalls.js';
import type { GatewayHost, GatewayWorld } from './gatewayHosts.js';
import { answer, batch, scoredItem } from './gatewayFixtures.js';

/** Required bound: no item is sent later than this after the end of its batch was confirmed. */
const MAX_AFTER_END_MS = 3000;
const OBSERVATION_MS = 10_000;

async function submitAt(world: GatewayWorld, host: GatewayHost, given: Batch): Promise<void> {
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
}

/** Lets another host take the batch over and end it. Returns when the end was confirmed. */
async function endElsewhere(world: GatewayWorld, owner: GatewayHost, other: GatewayHost): Promise<number> {
  world.blockedLinks.add(`${other.context.hostId}-${owner.context.hostId}`);
  world.expireLease(owner.context.hostId);
  await read(world, other, 0, 100);
  const end = await world.until(other.batches.end('b1'));
  if (end !== 'ended') throw new Error(`the batch was not ended: ${end}`);
  return world.clock.nowMs();
}

/** Describes calls that exceed the bound; empty if there are none. */
function describeLate(sentMs: readonly number[], endMs: number): string {
  const afterMs = sentMs.map(ms => ms - endMs).filter(ms => ms > MAX_AFTER_END_MS);
  return afterMs.length === 0
    ? ''
    : `${afterMs.length} sent ${afterMs[0]} to ${afterMs.at(-1)} ms after the end`;
}

/** Breaks the first attempt of each item after some events and refuses all later ones. Returns when items were sent. */
function breakAttempts(world: GatewayWorld): readonly number[] {
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

/** Counts the attempts of each item that were not cancelled. Attempts must not end by themselves. */
function runningAttempts(world: GatewayWorld): readonly number[] {
  const { items, cancelled } = world.client;
  return BATCH.items.map(({ id }) => {
    const started = items.filter(call => call.itemId === id).length;
    return started - cancelled.filter(itemId => itemId === id).length;
  });
}

await tap.test(
  'should stop sending items soon after the end of their batch while its previous owner can’t reach the store',
  async t => {
    // Fails if an owner's claim is not limited in time: items are then sent after another host has ended the batch.
    const violations: string[] = [];
    for (const outageMs of [600, 2400])
      for (const slowMs of [0, 950])
        for (const recoveryMs of [0, 500, 1000, 1500, 2000, 2500, 3000, 3500, 7500]) {
          const [world, a, b] = await startHosts('a', 'b');
          if (!a || !b) return;
          const sentMs = breakAttempts(world);
          await submitAt(world, a, BATCH);
          await world.clock.advance(900);
          a.storeClient.mode = 'silent';
          await world.clock.advance(outageMs);
          const endMs = await endElsewhere(world, a, b);
          t.ok(sentMs.length > 0, 'items were sent before');
          await world.clock.advance(recoveryMs);
          a.storeClient.mode = 'available';
          a.storeClient.callDelayMs = slowMs;
          await world.clock.advance(MAX_AFTER_END_MS + OBSERVATION_MS - recoveryMs);
          const lateCalls = describeLate(sentMs, endMs);
          const when = `unresponsive ${outageMs} ms before to ${recoveryMs} ms after the end, then ${slowMs} ms a call`;
          if (lateCalls !== '') violations.push(`${when}: ${lateCalls}`);
          if (a.batches.ownedCount() > 0)
            violations.push(`${when}: the previous owner has not learned of the end`);
          world.stop();
        }
    t.same(violations, []);
  },
);

await tap.test(
  'should stop sending items soon after the end of their batch while the store is slow for its previous owner',
  async t => {
    // Each call is answered just before its timeout, and the end falls at various points of the owner's cycle of calls.
    for (const slowForMs of [0, 500, 1000, 1500, 2000, 2500]) {
      const [world, a, b] = await startHosts('a', 'b');
      if (!a || !b) return;
      const sentMs = breakAttempts(world);
      await submitAt(world, a, BATCH);
      await world.clock.advance(900);
      a.storeClient.callDelayMs = 950;
      await world.clock.advance(slowForMs);
      const endMs = await endElsewhere(world, a, b);
      await world.clock.advance(MAX_AFTER_END_MS + OBSERVATION_MS);
      t.equal(describeLate(sentMs, endMs), '', `ended after ${slowForMs} ms of slow answers`);
      t.equal(a.batches.ownedCount(), 0, 'the previous owner has learned of it');
      world.stop();
    }
  },
);

await tap.test(
  'should stop requesting scores soon after the end of a batch while its previous owner can’t reach the store',
  async t => {
    // The same bound for score requests: the texts are complete, and no score arrives.
    const violations: string[] = [];
    for (const recoveryMs of [0, 1500, 3000, 7500]) {
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
      const endMs = await endElsewhere(world, a, b);
      await world.clock.advance(recoveryMs);
      a.storeClient.mode = 'available';
      await world.clock.advance(MAX_AFTER_END_MS + OBSERVATION_MS - recoveryMs);
      const lateCalls = describeLate(sentMs, endMs);
      if (lateCalls !== '') violations.push(`unresponsive to ${recoveryMs} ms after the end: ${lateCalls}`);
      t.equal(a.batches.ownedCount(), 0, 'the previous owner has learned of the end');
      world.stop();
    }
    t.same(violations, []);
  },
);

await tap.test('should run each item once after taking a batch back', async t => {
  // Fails if the earlier owner object of a process that takes its batch back continues: items then run twice, and the
  // loss that the earlier object detects removes the new one.
  for (const outageMs of [0, 1500]) {
    const [world, a, b] = await startHosts('a', 'b');
    if (!a || !b) return;
    const when = `after ${outageMs} ms without the store`;
    world.client.script = () => ({ events: 1000, end: { kind: 'done' }, eventMs: 20 });
    await submitAt(world, a, BATCH);
    await world.clock.advance(200);
    if (outageMs > 0) a.storeClient.mode = 'silent';
    await world.clock.advance(outageMs);
    world.blockedLinks.add('b-a');
    world.expireLease('a');
    await read(world, b, 0, 100);
    t.equal(b.batches.ownedCount(), 1, 'another host took it over');
    const other = b.self();
    b.kill();
    world.expireLease('b');
    a.storeClient.mode = 'available';
    await world.until(a.batches.adoptFrom('b1', other));
    await world.clock.advance(100);
    for (let ms = 0; ms <= 4000; ms += 500) {
      t.equal(a.batches.ownedCount(), 1, `${when}: it owns the batch ${ms} ms after it took it back`);
      t.same(
        runningAttempts(world),
        [1, 1, 1],
        `${when}: each item runs once, ${ms} ms after it took it back`,
      );
      await world.clock.advance(500);
    }
    t.equal(await world.until(a.batches.end('b1')), 'ended');
    await world.clock.advance(100);
    t.same(runningAttempts(world), [0, 0, 0], `${when}: its end stops every attempt`);
    const before = world.client.items.length;
    await world.clock.advance(5000);
    t.equal(world.client.items.length, before, `${when}: nothing more is sent`);
    world.stop();
  }
});

await tap.test(
  'should return the listed results when an ended batch is resubmitted to its owner',
  async t => {
    // Fails if an owner that has evicted the batch treats its earlier claim as a new one and starts with an empty list.
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
