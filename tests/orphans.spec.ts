/**
 * Reassignment of batches whose owners have terminated and that have no readers.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, item } from './gatewayFixtures.js';

const BATCH = batch('b1', [item('x'), item('y'), item('z')]);

/** Starts three hosts. The first one owns a batch that takes 4 s. */
async function startOwnedBatch(): Promise<[GatewayWorld, GatewayHost, GatewayHost, GatewayHost]> {
  const world = new GatewayWorld();
  world.client.script = call => ({ events: 100 - call.afterEvent, end: { kind: 'done' }, eventMs: 40 });
  const hosts = ['c', 'a', 'b'].map(id => world.start(id));
  await world.clock.advance(200);
  const [c, a, b] = hosts;
  if (!c || !a || !b) throw new Error('expected three hosts');
  await world.until(c.batches.submit(BATCH, Deadline.after(world.clock, 1000)));
  return [world, c, a, b];
}

function reportRemoved(...hosts: readonly GatewayHost[]): void {
  for (const host of hosts) host.orphans.hostRemoved();
}

await tap.test('should reassign a batch of an isolated failure domain without a reader', async t => {
  // Fails if only readers trigger takeovers: the readers of an isolated domain can't reach hosts elsewhere.
  const [world, c, a, b] = await startOwnedBatch();
  await world.clock.advance(1500);
  c.storeClient.mode = 'refusing';
  for (const peer of ['a', 'b']) {
    world.blockedLinks.add(`c-${peer}`);
    world.blockedLinks.add(`${peer}-c`);
  }
  world.expireLease('c');
  reportRemoved(a, b);
  await world.clock.advance(1500);
  t.equal(a.batches.ownedCount() + b.batches.ownedCount(), 1);
  await world.clock.advance(4000);
  c.storeClient.mode = 'available';
  world.blockedLinks.clear();
  const page = await world.until(c.batches.read('b1', 0, 500));
  t.ok(page.kind === 'page' && page.page.results.length === 3, 'complete once the domain is reachable again');
  await world.clock.advance(1500);
  t.equal(c.batches.ownedCount(), 0, 'the previous owner has learned of it');
  world.stop();
});

await tap.test('should search for orphans at one host, once for hosts that are removed together', async t => {
  const [world, c, a, b] = await startOwnedBatch();
  const searches = (host: GatewayHost): number =>
    host.context.log.lines.filter(line => line.text === 'searched for orphaned batches').length;
  c.kill();
  world.expireLease('c');
  reportRemoved(a, b, a, b);
  await world.clock.advance(2000);
  t.same([searches(a), searches(b)], [1, 0]);
  world.stop();
});

await tap.test('should not reassign ended batches or batches of live hosts', async t => {
  const [world, c, a, b] = await startOwnedBatch();
  reportRemoved(a, b);
  await world.clock.advance(1000);
  t.same(
    [c, a, b].map(host => host.batches.ownedCount()),
    [1, 0, 0],
  );
  await world.until(c.batches.end('b1'));
  c.kill();
  world.expireLease('c');
  const sent = world.client.items.length;
  reportRemoved(a, b);
  await world.clock.advance(2000);
  t.equal(world.client.items.length, sent);
  world.stop();
});

await tap.test('should retry when the store is available again', async t => {
  const [world, c, a, b] = await startOwnedBatch();
  c.kill();
  world.expireLease('c');
  for (const host of [a, b]) host.storeClient.mode = 'refusing';
  reportRemoved(a, b);
  await world.clock.advance(1500);
  for (const host of [a, b]) host.storeClient.mode = 'available';
  await world.clock.advance(2500);
  t.equal(a.batches.ownedCount() + b.batches.ownedCount(), 1);
  world.stop();
});

await tap.test('should not reassign a batch of a live owner whose lease lapsed', async t => {
  // Fails if orphans are reassigned without probing the owner: an overloaded owner that renews its lease late would
  // lose its batch, and the next owner would be overloaded as well.
  const [world, c, a, b] = await startOwnedBatch();
  await world.clock.advance(500);
  const { leases } = world;
  world.expireLease('c');
  reportRemoved(a, b);
  await world.clock.advance(1000);
  world.leases = leases;
  await world.clock.advance(2000);
  t.same(
    [c, a, b].map(host => host.batches.ownedCount()),
    [1, 0, 0],
  );
  t.equal(world.client.items.length, 3, 'each item is sent once');
  world.stop();
});
