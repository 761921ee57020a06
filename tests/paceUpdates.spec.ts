/**
 * Owners of batches learn from each other how quick endpoints are.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, item, type ItemScript } from './gatewayFixtures.js';

const SLOWER_MS = 65;
const QUICK_MS = 50;

function runAt(endpointId: string, slower: string): ItemScript {
  return { events: 60, eventMs: endpointId === slower ? SLOWER_MS : QUICK_MS, end: { kind: 'done' } };
}

async function submit(world: GatewayWorld, host: GatewayHost, batchId: string, items: number): Promise<void> {
  const all = Array.from({ length: items }, (_, i) =>
    item(`${batchId}-${i}`, { expectedTokens: 1000, group: `${batchId}-g${i}` }),
  );
  await world.until(host.batches.submit(batch(batchId, all), Deadline.after(world.clock, 3000)));
}

/** The endpoint at which the one item of a second host's batch begins, after a first host's batch has run. */
async function firstChoice(slower: string, waitMs: number): Promise<string | undefined> {
  const world = new GatewayWorld();
  const [a, b] = [world.start('a'), world.start('b')];
  await world.clock.advance(200);
  world.client.script = call => runAt(call.endpoint.id, slower);
  await submit(world, a, 'b1', 8);
  await world.clock.advance(waitMs);
  await submit(world, b, 'b2', 1);
  await world.clock.advance(200);
  const call = world.client.items.find(({ itemId }) => itemId === 'b2-0');
  world.stop();
  return call?.endpoint.id;
}

await tap.test('should begin a long item at an endpoint that another owner has found quick', async t => {
  // Each step has another owner, which knows no pace: its longest items begin anywhere, and move after 1.7 s.
  t.equal(await firstChoice('e1', 5000), 'e2');
  t.equal(await firstChoice('e2', 5000), 'e1');
});

await tap.test('should not believe for long what another owner has found', async t => {
  // An endpoint that was slow for a while is left alone long after.
  const choices = [await firstChoice('e1', 30_000), await firstChoice('e2', 30_000)];
  t.equal(choices[0], choices[1], 'nothing is known of either');
});
