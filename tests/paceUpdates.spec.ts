/**
 * Owners of batches exchange the measured paces of endpoints.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, item, type ItemScript } from './gatewayFixtures.js';

const SLOWER_MS = 65;
const FAST_MS = 50;

function runAt(endpointId: string, slower: string): ItemScript {
  return { events: 60, eventMs: endpointId === slower ? SLOWER_MS : FAST_MS, end: { kind: 'done' } };
}

async function submit(world: GatewayWorld, host: GatewayHost, batchId: string, items: number): Promise<void> {
  const all = Array.from({ length: items }, (_, i) =>
    item(`${batchId}-${i}`, { expectedTokens: 1000, group: `${batchId}-g${i}` }),
  );
  await world.until(host.batches.submit(batch(batchId, all), Deadline.after(world.clock, 3000)));
}

/** Returns the endpoint at which the only item of a second host's batch starts, after a first host's batch has run. */
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

await tap.test('should start a long item at an endpoint that another owner has measured as fast', async t => {
  // Fails if a new owner knows no paces: its longest items then start at any endpoint and have to move.
  t.equal(await firstChoice('e1', 5000), 'e2');
  t.equal(await firstChoice('e2', 5000), 'e1');
});

await tap.test('should let paces received from another owner expire', async t => {
  // Fails if an endpoint that was slow for a while is avoided long afterwards.
  const choices = [await firstChoice('e1', 30_000), await firstChoice('e2', 30_000)];
  t.equal(choices[0], choices[1], 'no pace of either is valid');
});
