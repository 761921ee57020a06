/**
 * Hosts learn from the owner of a batch that it runs it, and need not ask the store.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld } from './gatewayHosts.js';
import { batch, item } from './gatewayFixtures.js';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f'];

async function ownedWorld(): Promise<GatewayWorld> {
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

await tap.test('should ask the store for no claim where its owner has told of it', async t => {
  // Readers come to any host, and each host that is asked for the first time reads the claim: as many calls as hosts.
  const world = await ownedWorld();
  const before = claimReads(world);
  for (const hostId of HOSTS.slice(1)) {
    const read = world.hosts.get(hostId)?.batches.read('b1', 0, 0);
    t.match(read && (await world.until(read)), { kind: 'page' }, hostId);
  }
  t.equal(claimReads(world) - before, 0);
  world.stop();
});

await tap.test('should find the next owner where the one that was told of is gone', async t => {
  // A host believes what it was told of a claim though the owner has ended since.
  const world = await ownedWorld();
  world.hosts.get('a')?.kill();
  world.expireLease('a');
  const taken = world.hosts.get('b')?.batches.read('b1', 0, 0);
  t.match(taken && (await world.until(taken)), { kind: 'page' });
  await world.clock.advance(100);
  const before = claimReads(world);
  const read = world.hosts.get('c')?.batches.read('b1', 0, 0);
  t.match(read && (await world.until(read)), { kind: 'page' });
  t.equal(claimReads(world) - before, 0, 'the new owner has told too');
  world.stop();
});

await tap.test('should not go back to an older claim that is told late', async t => {
  const world = await ownedWorld();
  const told = world.store.value('fuchsiahitch/own/b1') ?? '';
  world.hosts.get('a')?.kill();
  world.expireLease('a');
  const taken = world.hosts.get('b')?.batches.read('b1', 0, 0);
  if (taken) await world.until(taken);
  await world.clock.advance(100);
  const claim = JSON.parse(told) as object;
  world.hosts.get('c')?.handlers.get('batchClaimed')?.({ batchId: 'b1', claim, revision: 1 } as never);
  const before = claimReads(world);
  const read = world.hosts.get('c')?.batches.read('b1', 0, 0);
  t.match(read && (await world.until(read)), { kind: 'page' });
  t.equal(claimReads(world) - before, 0);
  world.stop();
});
