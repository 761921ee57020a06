/**
 * Resumption of texts: complete ones, ones that no endpoint can continue, and ones with outdated versions.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { BATCH, read, startHosts, submit } from './batchCalls.js';
import { batch } from './gatewayFixtures.js';

await tap.test('should list a complete stored text without sending it to an endpoint', async t => {
  // If a complete text that was not listed were resumed in a later step, the endpoint would have nothing to add and
  // report no version, so that the item would be retried forever.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = call => {
    const events = 60 - call.afterEvent;
    return events > 0
      ? { events, end: { kind: 'done' }, eventMs: 10 }
      : { events, end: { kind: 'done' }, version: 'none' };
  };
  await submit(world, a);
  await world.clock.advance(650);
  t.equal(await world.until(a.batches.end('b1')), 'ended');
  await world.clock.advance(500);
  const before = world.client.items.length;
  const next = batch('b2', BATCH.items, { step: 3 });
  await world.until(b.batches.submit(next, Deadline.after(world.clock, 1000)));
  await world.clock.advance(1000);
  const page = await world.until(b.batches.read('b2', 0, 1000));
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  t.ok(page.kind === 'page' && page.page.results.every(({ text }) => text.split('\n').length === 60));
  t.equal(world.client.items.length, before, 'no request to an endpoint');
  world.stop();
});

await tap.test('should complete a text if the resumed stream ends without another event', async t => {
  // The owner may die when all events of a text are stored but not that it is complete.
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.client.script = call => {
    if (call.afterEvent > 0) return { events: 0, end: { kind: 'done' }, version: 'none' };
    return { events: 5, end: { kind: 'broken', text: 'reset after the last event' } };
  };
  await submit(world, a);
  await world.clock.advance(1500);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  t.equal(world.client.items.length, 6, 'two attempts per item');
  world.stop();
});

await tap.test('should not accept a stream without events as a text', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  let attempts = 0;
  world.client.script = () => {
    attempts += 1;
    return attempts <= 3 ? { events: 0, end: { kind: 'done' } } : { events: 2, end: { kind: 'done' } };
  };
  await submit(world, a);
  await world.clock.advance(1500);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  t.ok(page.kind === 'page' && page.page.results.every(({ text }) => text !== ''));
  world.stop();
});

await tap.test('should start an item over if no endpoint can continue its text', async t => {
  // Otherwise an item whose text every endpoint refuses would be retried forever.
  for (const mode of ['always', 'once'] as const) {
    const [world, a] = await startHosts('a');
    if (!a) return;
    let refusals = 0;
    world.client.script = call => {
      if (call.itemId !== 'x') return { events: 1, end: { kind: 'done' } };
      if (call.afterEvent === 0 && refusals === 0)
        return { events: 3, end: { kind: 'broken', text: 'reset' } };
      if (call.afterEvent === 0 || (mode === 'once' && refusals > 0))
        return { events: 6 - call.afterEvent, end: { kind: 'done' } };
      refusals += 1;
      return { events: 0, end: { kind: 'done' }, version: 0 };
    };
    await submit(world, a);
    await world.clock.advance(9000);
    const page = await read(world, a);
    t.ok(page.kind === 'page' && page.page.results.length === 3, mode);
    const calls = world.client.items.filter(call => call.itemId === 'x').length;
    t.ok(calls <= 6, `${mode}: ${calls} attempts`);
    const isDiscarded = a.context.log.lines.some(
      line => line.text === 'item makes no progress' && line.details.isTextDropped === true,
    );
    t.equal(isDiscarded, mode === 'always', 'the text is discarded only if no endpoint continues it');
    world.stop();
  }
});

await tap.test('should wait for an endpoint with new enough weights and keep the text', async t => {
  // The versions in the endpoints' answers take precedence over outdated records.
  const [world, a] = await startHosts('a');
  if (!a) return;
  const untilMs = world.clock.nowMs() + 4000;
  world.client.script = () =>
    world.clock.nowMs() < untilMs
      ? { events: 0, end: { kind: 'done' }, version: 0 }
      : { events: 3, end: { kind: 'done' } };
  await submit(world, a);
  await world.clock.advance(3900);
  const calls = world.client.items.length;
  t.ok(calls <= 20, `${calls} attempts in 4 s at two endpoints`);
  await world.clock.advance(6000);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  world.stop();
});
