/**
 * Texts that are taken up again: whole ones, ones that no endpoint goes on with, and ones whose versions don't fit.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { BATCH, read, startHosts, submit } from './batchCalls.js';
import { batch } from './gatewayFixtures.js';

await tap.test(
  'should list a text that the store has whole, and ask no endpoint to go on with it',
  async t => {
    // Symptom: one item is sent to an endpoint every 23 ms for the rest of its trainer's day, and its step is lost.
    // Sequence: a text is whole, and its batch ends before it is listed; its group comes again in a later step, where an
    // endpoint is asked to go on after its last event. It has nothing to add, and its answer names no weight version.
    // Cause: that text taken for unfinished, and the missing version for version 0, which is older than allowed.
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
    t.equal(world.client.items.length, before, 'no endpoint is asked');
    world.stop();
  },
);

await tap.test('should take an end without another event for the end of a text', async t => {
  // As above, where the store has every event of a text, and not that it is whole: its owner died at that moment.
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
  t.equal(world.client.items.length, 6, 'two attempts for each');
  world.stop();
});

await tap.test('should not take a stream without any event for a text', async t => {
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

await tap.test('should begin an item anew whose text no endpoint goes on with', async t => {
  // Symptom: an item has hundreds of attempts, and its step is lost. Sequence: a stream breaks; each endpoint that is
  // asked to go on answers with weights that are too old for the batch. Cause: nothing ends the round.
  for (const how of ['always', 'once'] as const) {
    const [world, a] = await startHosts('a');
    if (!a) return;
    let refusals = 0;
    world.client.script = call => {
      if (call.itemId !== 'x') return { events: 1, end: { kind: 'done' } };
      if (call.afterEvent === 0 && refusals === 0)
        return { events: 3, end: { kind: 'broken', text: 'reset' } };
      if (call.afterEvent === 0 || (how === 'once' && refusals > 0))
        return { events: 6 - call.afterEvent, end: { kind: 'done' } };
      refusals += 1;
      return { events: 0, end: { kind: 'done' }, version: 0 };
    };
    await submit(world, a);
    await world.clock.advance(9000);
    const page = await read(world, a);
    t.ok(page.kind === 'page' && page.page.results.length === 3, how);
    const calls = world.client.items.filter(call => call.itemId === 'x').length;
    t.ok(calls <= 6, `${how}: ${calls} attempts`);
    const isDropped = a.context.log.lines.some(
      line => line.text === 'item makes no progress' && line.details.isTextDropped === true,
    );
    t.equal(isDropped, how === 'always', 'the text is given up only when no endpoint goes on with it');
    world.stop();
  }
});

await tap.test('should wait for an endpoint whose weights are new enough, and keep the text', async t => {
  // Symptom: as above. Sequence: both endpoints are known with a version that they don't have any more, for 4 s.
  // Cause: what their records say believed over what they answer.
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
