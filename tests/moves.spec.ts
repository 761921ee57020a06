/**
 * Items that leave an endpoint which fell silent, and those that stay.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { idleTimeouts } from '@fuchsiahitch/batches';
import { GatewayWorld } from './gatewayHosts.js';
import { batch, item, keys } from './gatewayFixtures.js';

const EVENT_MS = 40;

await tap.test('should leave an endpoint that fell silent as soon as events are missed', async t => {
  // Symptom: a step is 1.2 to 2.5 s late. Sequence: an endpoint loses its power in the middle of runs, without a reset.
  // Cause: one long time-out, although events come every 40 ms and a move costs 35.
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

await tap.test('should move no more items than there are places for', async t => {
  // Symptom: items of a slow endpoint stand still for seconds. Sequence: a quick endpoint has one place left; every item
  // of the slow one leaves for it, and all but one find it taken. Cause: each is asked by itself whether a place is free.
  const world = new GatewayWorld();
  const host = world.start('a');
  await world.clock.advance(200);
  world.client.script = call => {
    const eventMs = call.endpoint.id === 'e1' ? 3 * EVENT_MS : EVENT_MS;
    return { events: 100, end: { kind: 'done' }, eventMs };
  };
  const slow = ['a', 'b', 'c', 'd'].map(id => item(id, { group: 'g1' }));
  const quick = ['x', 'y', 'z'].map(id => item(id, { group: 'g2' }));
  const given = batch('b1', [...slow, ...quick]);
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

await tap.test('should wait longer for a silent endpoint where no other has a place', async t => {
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
  t.same(world.client.cancelled, ['x'], 'and gives it up after 1.2 s');
  world.stop();
});

await tap.test('should suspect silence by the endpoint’s own pace', t => {
  t.match(idleTimeouts(true, 40), { suspectMs: 350, abandonMs: 1200 });
  t.match(idleTimeouts(true, 100), { suspectMs: 800 });
  t.match(idleTimeouts(true, 400), { suspectMs: 1200 }, 'a slow one gets as long as any');
  t.match(idleTimeouts(true, undefined), { suspectMs: 1200 });
  t.match(idleTimeouts(false, 40), { suspectMs: 700, abandonMs: 2500 });
  t.end();
});
