/**
 * What an owner may send on the store's last confirmation, and who keeps a batch whose owner is late.
 */
import tap from 'tap';
import type { ItemCall, ItemEnd, ItemListener } from '@fuchsiahitch/gateway';
import { read, startHosts, submit } from './batchCalls.js';
import type { GatewayWorld } from './gatewayHosts.js';
import { answer, batch, scoredItem } from './gatewayFixtures.js';
import { Deadline } from '@fuchsiahitch/base';

/** How old the store's last confirmation may be when something is sent, and one look at it more. */
const LEASE_MS = 2000 + 30;

/** When items began, and when they were written to an endpoint. */
interface Sent {
  readonly begunMs: readonly number[];
  readonly writtenMs: readonly number[];
}

/** Endpoints whose connections take a while. Each item is broken off after it was written. */
function connectSlowly(world: GatewayWorld, connectMs: number): Sent {
  const begunMs: number[] = [];
  const writtenMs: number[] = [];
  world.client.runItem = async (
    _call: ItemCall,
    _listener: ItemListener,
    signal: AbortSignal,
  ): Promise<ItemEnd> => {
    begunMs.push(world.clock.nowMs());
    await new Promise<void>(resolve => world.clock.after(connectMs, resolve));
    if (signal.aborted) return { kind: 'cancelled' };
    writtenMs.push(world.clock.nowMs());
    return { kind: 'broken', text: 'reset' };
  };
  return { begunMs, writtenMs };
}

await tap.test('should write no item once the store’s confirmation is older than the lease', async t => {
  // Symptom: an item reaches an endpoint after its batch's end, from an owner that had stopped to begin items. Sequence: it
  // begins within the lease, its connection takes a second or its process is held up, and it is written then. Cause: what
  // is begun is not looked at again before it is written.
  for (const connectMs of [50, 700, 1600]) {
    const [world, a] = await startHosts('a');
    if (!a) return;
    const { begunMs, writtenMs } = connectSlowly(world, connectMs);
    await submit(world, a);
    await world.clock.advance(2000);
    const silentMs = world.clock.nowMs();
    a.storeClient.mode = 'silent';
    await world.clock.advance(8000);
    const lateMs = writtenMs.map(ms => ms - silentMs).filter(ms => ms > LEASE_MS);
    t.same(lateMs, [], `connections take ${connectMs} ms`);
    t.ok(begunMs.length > 0, 'items are begun before');
    world.stop();
  }
});

await tap.test('should ask for no score once the store’s confirmation is older than the lease', async t => {
  // The same with requests for scores, which the forwarder repeats for up to a second.
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
  const silentMs = world.clock.nowMs();
  a.storeClient.mode = 'silent';
  await world.clock.advance(8000);
  const lateMs = sentMs.map(ms => ms - silentMs).filter(ms => ms > LEASE_MS);
  t.same(lateMs, []);
  world.stop();
});

await tap.test('should not begin a batch in order to end it', async t => {
  // Symptom: items of a batch are sent by the host at which it is being ended. Sequence: the owner dies, and the end arrives
  // at another host before any reader. Cause: that host takes the batch over, begins it, and ends it then.
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

await tap.test('should send nothing of a batch whose end was asked, though the store is silent', async t => {
  // Symptom: items are sent for seconds after a trainer asked for the end. Sequence: the owner can't write the end to the
  // store, and says that it is unsure. Cause: it goes on as if nothing had been asked.
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
  a.storeClient.mode = 'well';
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  world.stop();
});

await tap.test('should leave a batch to a living owner whose store is slow', async t => {
  // Symptom: a batch goes from owner to owner, with "its owner is gone" each time. Sequence: the owner's lease lapses while it
  // lives; a reader, or the host that looks for orphans, asks it. Cause: the owner must ask a slow store before it can say
  // that it runs the batch, and its answer comes after the question's time.
  const found: string[] = [];
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
      if (a.batches.ownedCount() !== 1) found.push(`store takes ${slowMs} ms, asked after ${afterMs} ms`);
      world.stop();
    }
  t.same(found, []);
});
