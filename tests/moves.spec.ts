/**
 * Items that move away from unresponsive or slow endpoints.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { idleTimeouts } from '@fuchsiahitch/batches';
import { GatewayWorld } from './gatewayHosts.js';
import { batch, item, keys } from './gatewayFixtures.js';

const EVENT_MS = 40;

await tap.test('should leave an unresponsive endpoint as soon as events are missed', async t => {
  // Fails if an endpoint that stops without a connection reset is detected only by a long fixed timeout.
  const world = new GatewayWorld();
  const host = world.start('a');
  await world.clock.advance(200);
  world.client.script = call =>
    call.afterEvent === 0
      ? { events: 10, end: { kind: 'cancelled' }, eventMs: EVENT_MS }
      : { events: 5, end: { kind: 'done' }, eventMs: EVENT_MS };
  const given = batch('b1', [item('x')]);
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  await world.clock.advance(10 * EVENT_MS + 500);
  t.equal(world.client.items.length, 2, 'within half a second');
  t.equal(world.client.items[1]?.afterEvent, 10);
  world.stop();
});

await tap.test('should move no more items than there are free slots', async t => {
  // Fails if several items of a slow endpoint move to the same free slot: all but one of them then wait.
  const world = new GatewayWorld();
  const host = world.start('a');
  await world.clock.advance(200);
  world.client.script = call => {
    const eventMs = call.endpoint.id === 'e1' ? 3 * EVENT_MS : EVENT_MS;
    return { events: 100, end: { kind: 'done' }, eventMs };
  };
  const slow = ['a', 'b', 'c', 'd'].map(id => item(id, { group: 'g1' }));
  const fast = ['x', 'y', 'z'].map(id => item(id, { group: 'g2' }));
  const given = batch('b1', [...slow, ...fast]);
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  t.same(
    world.client.items.map(({ endpoint }) => endpoint.id),
    ['e1', 'e1', 'e1', 'e1', 'e2', 'e2', 'e2'],
  );
  await world.clock.advance(3000);
  t.equal(world.client.cancelled.length, 1);
  t.same(
    world.client.items.slice(7).map(({ endpoint }) => endpoint.id),
    ['e2'],
  );
  world.stop();
});

await tap.test('should wait longer for an unresponsive endpoint if no other has a free slot', async t => {
  const world = new GatewayWorld();
  world.store.remove(`${keys.endpointPrefix}e2`);
  const host = world.start('a');
  await world.clock.advance(3000);
  world.client.script = () => ({ events: 10, end: { kind: 'cancelled' }, eventMs: EVENT_MS });
  const given = batch('b1', [item('x')]);
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  await world.clock.advance(10 * EVENT_MS + 1000);
  t.equal(world.client.items.length, 1);
  await world.clock.advance(400);
  t.same(world.client.cancelled, ['x'], 'abandoned after 1.2 s');
  world.stop();
});

await tap.test('should derive idle timeouts from the endpoint’s pace', t => {
  t.match(idleTimeouts(true, 40), { suspectMs: 350, abandonMs: 1200 });
  t.match(idleTimeouts(true, 100), { suspectMs: 800 });
  t.match(idleTimeouts(true, 400), { suspectMs: 1200 }, 'the maximum for a slow endpoint');
  t.match(idleTimeouts(true, undefined), { suspectMs: 1200 });
  t.match(idleTimeouts(false, 40), { suspectMs: 700, abandonMs: 2500 });
  t.end();
});
