/**
 * What an owner may send while its claim lease is valid, and which host keeps a batch whose owner is slow.
 */
import tap from 'tap';
import type { ItemCall, ItemEnd, ItemProgressListener } from '@fuchsiahitch/gateway';
import { read, startHosts, submit } from './batchCalls.js';
import type { GatewayWorld } from './gatewayHosts.js';
import { answer, batch, scoredItem } from './gatewayFixtures.js';
import { Deadline } from '@fuchsiahitch/base';

/** Maximum age of the store's last confirmation when a request is sent, plus one placement interval. */
const LEASE_MS = 2000 + 30;

/** When attempts started, and when their requests were written to an endpoint. */
interface SendTimes {
  readonly startedMs: readonly number[];
  readonly writtenMs: readonly number[];
}

/** Delays connections to endpoints. Each attempt breaks after its request was written. */
function connectSlowly(world: GatewayWorld, connectMs: number): SendTimes {
  const startedMs: number[] = [];
  const writtenMs: number[] = [];
  world.client.runItem = async (
    _call: ItemCall,
    _listener: ItemProgressListener,
    signal: AbortSignal,
  ): Promise<ItemEnd> => {
    startedMs.push(world.clock.nowMs());
    await new Promise<void>(resolve => world.clock.after(connectMs, resolve));
    if (signal.aborted) return { kind: 'cancelled' };
    writtenMs.push(world.clock.nowMs());
    return { kind: 'broken', text: 'reset' };
  };
  return { startedMs, writtenMs };
}

await tap.test('should write no item after the claim lease has expired', async t => {
  // Fails if an attempt that started within the lease is written after it, because its connection took long.
  for (const connectMs of [50, 700, 1600]) {
    const [world, a] = await startHosts('a');
    if (!a) return;
    const { startedMs, writtenMs } = connectSlowly(world, connectMs);
    await submit(world, a);
    await world.clock.advance(2000);
    const outageStartMs = world.clock.nowMs();
    a.storeClient.mode = 'silent';
    await world.clock.advance(8000);
    const lateMs = writtenMs.map(ms => ms - outageStartMs).filter(ms => ms > LEASE_MS);
    t.same(lateMs, [], `connections take ${connectMs} ms`);
    t.ok(startedMs.length > 0, 'attempts were started before');
    world.stop();
  }
});

await tap.test('should request no score after the claim lease has expired', async t => {
  // The forwarder repeats score requests for up to a second.
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.addScorers('s1', 's2', 's3', 's4');
  await world.clock.advance(200);
  const sentMs: number[] = [];
  world.client.reply = async () => {
    sentMs.push(world.clock.nowMs());
    await new Promise<void>(resolve => world.clock.after(300, resolve));
    return { kind: 'answered', answer: answer(500, 'failed') };
  };
  const items = ['u', 'v', 'w', 'x', 'y', 'z'].map(id => scoredItem(id));
  await world.until(a.batches.submit(batch('b1', items), Deadline.after(world.clock, 1000)));
  await world.clock.advance(600);
  const outageStartMs = world.clock.nowMs();
  a.storeClient.mode = 'silent';
  await world.clock.advance(8000);
  const lateMs = sentMs.map(ms => ms - outageStartMs).filter(ms => ms > LEASE_MS);
  t.same(lateMs, []);
  world.stop();
});

await tap.test('should not start a batch in order to end it', async t => {
  // Fails if a host that receives the end of a dead owner's batch takes it over and sends items before it ends it.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.kill();
  world.expireLease('a');
  const sent = world.client.items.length;
  t.equal(await world.until(b.batches.end('b1')), 'ended');
  t.equal(world.client.items.length, sent);
  world.stop();
});

await tap.test(
  'should send nothing after an end was requested, even if the store is unresponsive',
  async t => {
    // Fails if the owner resumes sending because it could not write the end to the store.
    const [world, a] = await startHosts('a');
    if (!a) return;
    world.client.script = () => ({ events: 1, end: { kind: 'broken', text: 'reset' }, eventMs: 20 });
    await submit(world, a);
    await world.clock.advance(1500);
    a.storeClient.mode = 'silent';
    const end = a.batches.end('b1');
    await world.clock.advance(20);
    const sent = world.client.items.length;
    t.equal(await world.until(end), 'unsure');
    await world.clock.advance(3000);
    t.equal(world.client.items.length, sent);
    a.storeClient.mode = 'available';
    t.equal(await world.until(a.batches.end('b1')), 'ended');
    world.stop();
  },
);

await tap.test('should not take a batch over from a live owner whose store is slow', async t => {
  // Fails if an owner whose host lease lapsed must query a slow store to answer the probe, which then times out.
  const violations: string[] = [];
  for (const slowMs of [0, 250, 400])
    for (const afterMs of [600, 800, 1000, 1200, 1400, 1600]) {
      const [world, a, b] = await startHosts('a', 'b');
      if (!a || !b) return;
      world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
      await submit(world, a);
      await world.clock.advance(1500);
      a.storeClient.callDelayMs = slowMs;
      await world.clock.advance(afterMs);
      const { leases } = world;
      world.expireLease('a');
      await read(world, b, 0, 500);
      await world.until(b.batches.adoptFrom('b1', a.self()));
      world.leases = leases;
      await world.clock.advance(1000);
      if (a.batches.ownedCount() !== 1)
        violations.push(`store takes ${slowMs} ms, probed after ${afterMs} ms`);
      world.stop();
    }
  t.same(violations, []);
});
