/**
 * The owner of a batch announces its claim to all hosts, so that they need not read it from the store.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld } from './gatewayHosts.js';
import { batch, item } from './gatewayFixtures.js';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f'];

async function startOwnedBatch(): Promise<GatewayWorld> {
  const world = new GatewayWorld();
  for (const hostId of HOSTS) world.start(hostId);
  await world.clock.advance(200);
  world.client.script = () => ({ events: 200, eventMs: 50, end: { kind: 'done' } });
  const submitted = world.hosts
    .get('a')
    ?.batches.submit(batch('b1', [item('x')]), Deadline.after(world.clock, 3000));
  if (submitted) await world.until(submitted);
  await world.clock.advance(100);
  return world;
}

function claimReads(world: GatewayWorld): number {
  return world.store.calls.filter(call => call === 'get').length;
}

await tap.test('should not read an announced claim from the store', async t => {
  // Fails if each host reads the claim from the store on its first request for the batch.
  const world = await startOwnedBatch();
  const before = claimReads(world);
  for (const hostId of HOSTS.slice(1)) {
    const read = world.hosts.get(hostId)?.batches.read('b1', 0, 0);
    t.match(read && (await world.until(read)), { kind: 'page' }, hostId);
  }
  t.equal(claimReads(world) - before, 0);
  world.stop();
});

await tap.test('should find the next owner when the announced one has terminated', async t => {
  // Fails if a host relies on an announced claim although its owner has terminated since.
  const world = await startOwnedBatch();
  world.hosts.get('a')?.kill();
  world.expireLease('a');
  const takeoverRead = world.hosts.get('b')?.batches.read('b1', 0, 0);
  t.match(takeoverRead && (await world.until(takeoverRead)), { kind: 'page' });
  await world.clock.advance(100);
  const before = claimReads(world);
  const read = world.hosts.get('c')?.batches.read('b1', 0, 0);
  t.match(read && (await world.until(read)), { kind: 'page' });
  t.equal(claimReads(world) - before, 0, 'the new owner has announced its claim');
  world.stop();
});

await tap.test('should ignore an older claim that is announced late', async t => {
  const world = await startOwnedBatch();
  const oldClaim = world.store.value('fuchsiahitch/own/b1') ?? '';
  world.hosts.get('a')?.kill();
  world.expireLease('a');
  const takeoverRead = world.hosts.get('b')?.batches.read('b1', 0, 0);
  if (takeoverRead) await world.until(takeoverRead);
  await world.clock.advance(100);
  const claim = JSON.parse(oldClaim) as object;
  world.hosts.get('c')?.handlers.get('batchClaimed')?.({ batchId: 'b1', claim, revision: 1 } as never);
  const before = claimReads(world);
  const read = world.hosts.get('c')?.batches.read('b1', 0, 0);
  t.match(read && (await world.until(read)), { kind: 'page' });
  t.equal(claimReads(world) - before, 0);
  world.stop();
});
