/**
 * Hosts whose memory for open batches is used up.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, item, type ItemScript } from './gatewayFixtures.js';

const ENDLESS: ItemScript = { events: 2000, end: { kind: 'done' }, eventMs: 20 };

/** Hosts that have memory for one batch each. */
async function startHosts(...ids: readonly string[]): Promise<[GatewayWorld, ...GatewayHost[]]> {
  const world = new GatewayWorld();
  world.maxBatchBytes = 1;
  world.client.script = () => ENDLESS;
  const hosts = ids.map(id => world.start(id));
  await world.clock.advance(200);
  return [world, ...hosts];
}

async function submit(world: GatewayWorld, host: GatewayHost, id: string): Promise<string> {
  const given = batch(id, [item(`${id}-x`)]);
  const outcome = await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  return outcome.kind === 'not-run' ? String(outcome.limit) : outcome.kind;
}

await tap.test('should refuse a batch while the open ones take all memory', async t => {
  // Guards against batches of legal size that are each held until they end.
  const [world, a] = await startHosts('a');
  if (!a) return;
  t.equal(await submit(world, a, 'b1'), 'accepted');
  t.equal(await submit(world, a, 'b2'), 'open-batches');
  t.equal(world.store.keys('').filter(key => key.includes('b2')).length, 0, 'nothing is written');
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  t.equal(await submit(world, a, 'b2'), 'accepted');
  world.stop();
});

await tap.test(
  'should confirm a batch that another host has accepted, also without memory for it',
  async t => {
    // Guards against the promise that a batch does not run while it runs elsewhere.
    const [world, a, b] = await startHosts('a', 'b');
    if (!a || !b) return;
    t.equal(await submit(world, a, 'b1'), 'accepted');
    t.equal(await submit(world, b, 'b2'), 'accepted');
    t.equal(await submit(world, b, 'b1'), 'accepted');
    b.storeClient.mode = 'silent';
    t.equal(await submit(world, b, 'b3'), 'unknown');
    world.stop();
  },
);

await tap.test('should leave the batches of a terminated host to hosts with memory', async t => {
  // Guards against hosts that end one after the other under the batches that each of them takes over.
  const [world, a, b, c] = await startHosts('a', 'b', 'c');
  if (!a || !b || !c) return;
  t.equal(await submit(world, a, 'b1'), 'accepted');
  t.equal(await submit(world, b, 'b2'), 'accepted');
  a.kill();
  world.expireLease('a');
  t.equal((await world.until(b.batches.read('b1', 0, 0))).kind, 'unsure');
  t.equal(b.batches.ownedCount(), 1);
  t.equal((await world.until(c.batches.read('b1', 0, 0))).kind, 'page');
  t.equal(c.batches.ownedCount(), 1);
  world.stop();
});

for (const [bodyBytes, reads] of [
  [1000, 1],
  [2_000_000, 2],
] as const)
  await tap.test(
    `should read a batch of another host ${reads} times for two bodies of ${bodyBytes} bytes`,
    async t => {
      // Guards against a cache that holds batches of legal size which this host has no memory for.
      const [world, a] = await startHosts('a');
      if (!a) return;
      const x = item('x', { bodyBase64: 'A'.repeat(bodyBytes) });
      await world.until(a.batches.submit(batch('b1', [x]), Deadline.after(world.clock, 1000)));
      t.equal(await world.until(a.batches.end('b1')), 'ended');
      const b = world.start('b');
      await world.clock.advance(200);
      const count = (): number => world.store.calls.filter(call => call === 'list').length;
      const before = count();
      for (let i = 0; i < 2; i++) t.equal((await world.until(b.batches.item('b1', 'x'))).kind, 'body');
      t.equal(count() - before, reads);
      world.stop();
    },
  );
