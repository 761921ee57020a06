/**
 * Trials of items that are suspected to be poison requests, when the trial ends without an answer.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, item, type ItemScript } from './gatewayFixtures.js';

const EVENT_MS = 40;
const LONG_TEXT: ItemScript = { events: 500, end: { kind: 'done' }, eventMs: EVENT_MS };
const BROKEN: ItemScript = { events: 1, end: { kind: 'broken', text: 'reset' }, eventMs: EVENT_MS };

async function submit(world: GatewayWorld, host: GatewayHost, batchId: string): Promise<void> {
  const given = batch(batchId, [item('x')]);
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
}

/** A host whose only item has broken at two endpoints that refuse connections, and waits for its trial. */
async function withSuspectItem(): Promise<{ world: GatewayWorld; host: GatewayHost }> {
  const world = new GatewayWorld();
  const host = world.start('a');
  await world.clock.advance(200);
  world.client.ended = () => true;
  world.client.script = () => BROKEN;
  await submit(world, host, 'b1');
  await world.clock.advance(1000);
  return { world, host };
}

await tap.test(
  'should send an item again whose trial generated text and was stopped with its batch',
  async t => {
    // Guards against holding a carried-over item for a minute after its trial proved that endpoints survive it.
    const { world, host } = await withSuspectItem();
    t.equal(world.client.items.length, 2, 'held after two endpoints');
    world.client.script = () => LONG_TEXT;
    await world.clock.advance(3000);
    t.equal(world.client.items.length, 3, 'its trial');
    await world.until(host.batches.end('b1'));
    await submit(world, host, 'b2');
    await world.clock.advance(2000);
    t.equal(world.client.items.length, 4, 'sent again in the next batch');
    world.stop();
  },
);

await tap.test('should hold an item whose trial was stopped before it generated text', async t => {
  // Guards against repeated trials of an item whose effect on endpoints is still unknown.
  const { world, host } = await withSuspectItem();
  world.client.script = () => ({ ...LONG_TEXT, eventMs: 60_000 });
  await world.clock.advance(2200);
  t.equal(world.client.items.length, 3, 'its trial');
  await world.until(host.batches.end('b1'));
  await submit(world, host, 'b2');
  await world.clock.advance(3000);
  t.equal(world.client.items.length, 3, 'not sent again');
  world.stop();
});
