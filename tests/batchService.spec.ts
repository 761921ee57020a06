/**
 * Batches at several hosts: acceptance, reading anywhere, takeover, ends, cuts.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { BATCH, read, startHosts, submit } from './batchCalls.js';
import { batch, item } from './gatewayFixtures.js';

await tap.test('should run a batch once and show its results at every host', async t => {
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  t.equal(await submit(world, a), 'accepted');
  t.equal(await submit(world, b), 'accepted');
  await world.clock.advance(1000);
  t.equal(world.client.items.length, 3, 'each item ran once');
  const here = await read(world, a);
  const there = await read(world, b);
  t.ok(here.kind === 'page' && here.page.results.length === 3);
  t.same(there, here, 'the same results at the same positions');
  world.stop();
});

await tap.test('should wait for a result and answer as soon as there is one', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.client.script = () => ({ events: 10, end: { kind: 'done' }, eventMs: 60 });
  await submit(world, a);
  const startMs = world.clock.nowMs();
  const page = await read(world, a, 0, 2000);
  const tookMs = world.clock.nowMs() - startMs;
  t.ok(page.kind === 'page' && page.page.results.length > 0);
  t.ok(tookMs > 500 && tookMs < 1200, `${tookMs} ms`);
  world.stop();
});

await tap.test('should go on with a batch whose owner was killed', async t => {
  // Symptom: a trainer waits until its deadline. Sequence: the owner is killed, its lease ends, the trainer reads
  // at another host. Cause: nobody takes the batch over.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = call =>
    call.itemId === 'x'
      ? { events: 2, end: { kind: 'done' } }
      : { events: 100, end: { kind: 'done' }, eventMs: 20 };
  await submit(world, a);
  await world.clock.advance(600);
  a.kill();
  world.expireLease('a');
  const page = await read(world, b, 0, 5000);
  t.ok(page.kind === 'page' && page.page.results[0]?.id === 'x', 'what was listed stays where it was');
  t.equal(b.batches.ownedCount(), 1);
  await world.clock.advance(4000);
  const all = await read(world, b);
  t.ok(all.kind === 'page' && all.page.results.length === 3);
  t.equal(world.client.items.filter(call => call.itemId === 'x').length, 1, 'no listed item ran again');
  world.stop();
});

await tap.test(
  'should go on with the items of a host that lost its power, from what the store has',
  async t => {
    // Symptom: a step that was under way when all hosts lost power is late or lost. Sequence: the items have run for
    // seconds, the owner dies, the next owner begins them anew. Cause: generated events stood in the owner's memory only.
    const [world, a, b] = await startHosts('a', 'b');
    if (!a || !b) return;
    world.client.script = call => ({ events: 100 - call.afterEvent, end: { kind: 'done' }, eventMs: 40 });
    await submit(world, a);
    await world.clock.advance(2600);
    a.kill();
    world.expireLease('a');
    const before = world.client.items.length;
    await read(world, b);
    const resumed = world.client.items.slice(before).map(call => call.afterEvent);
    t.equal(resumed.length, 3);
    t.ok(
      resumed.every(afterEvent => afterEvent >= 40),
      `each goes on after event 40 or later: ${resumed.join(', ')}`,
    );
    await world.clock.advance(3000);
    const page = await read(world, b);
    t.ok(page.kind === 'page' && page.page.results.length === 3);
    const [first] = page.kind === 'page' ? page.page.results : [];
    const whole = Array.from({ length: 100 }, (_, i) => `${first?.id}-${i + 1}`).join('\n');
    t.equal(first?.text, whole, 'no event is missing or doubled');
    world.stop();
  },
);

for (const step of [2, 3]) {
  await tap.test(`should go on in step ${step} with groups that were not whole in step 1`, async t => {
    // Symptom: an item that is too long for one step is generated anew in each. Sequence: the trainer ends a step whose
    // items still run, and submits them again in the next, or in the one after if steps overlap, at another host.
    // Cause: a batch's texts end with it.
    const [world, a, b] = await startHosts('a', 'b');
    if (!a || !b) return;
    world.client.script = call =>
      call.itemId === 'x'
        ? { events: 2, end: { kind: 'done' } }
        : { events: 100 - call.afterEvent, end: { kind: 'done' }, eventMs: 40 };
    await submit(world, a);
    await world.clock.advance(1500);
    t.equal(await world.until(a.batches.end('b1')), 'ended');
    await world.clock.advance(500);
    const before = world.client.items.length;
    const next = batch('b2', BATCH.items, { step });
    await world.until(b.batches.submit(next, Deadline.after(world.clock, 1000)));
    await world.clock.advance(300);
    const calls = world.client.items.slice(before);
    t.same(
      calls.map(call => call.itemId),
      ['y', 'z'],
      'what was whole is not generated again',
    );
    t.ok(
      calls.every(call => call.afterEvent >= 30),
      'what had begun goes on',
    );
    const page = await world.until(b.batches.read('b2', 0, 1000));
    t.equal(page.kind === 'page' ? page.page.results[0]?.text : '', 'x-1\nx-2');
    world.stop();
  });
}

await tap.test('should keep progress through an outage of the store, and lose none of it', async t => {
  // Symptom: after a takeover an item has a gap, and begins anew. Sequence: a write of its events gets no answer, and
  // the next events are written beside it. Cause: a lost answer taken for a write that was done, or that was not.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = call => ({ events: 150 - call.afterEvent, end: { kind: 'done' }, eventMs: 40 });
  await submit(world, a);
  await world.clock.advance(900);
  world.store.loseAnswers = 1;
  await world.clock.advance(1000);
  a.storeClient.mode = 'away';
  await world.clock.advance(1000);
  a.storeClient.mode = 'well';
  await world.clock.advance(1300);
  a.kill();
  world.expireLease('a');
  const before = world.client.items.length;
  await read(world, b);
  const resumed = world.client.items.slice(before).map(call => call.afterEvent);
  t.ok(
    resumed.length === 3 && resumed.every(afterEvent => afterEvent >= 70),
    `each goes on after event 70 or later: ${resumed.join(', ')}`,
  );
  world.stop();
});

await tap.test('should take a batch over as soon as its owner is known to be gone', async t => {
  // Symptom: a step stands still for seconds after its owner's lease has ended. Sequence: the owner loses its power
  // without a reset; a reader waits at another host for a result, and the question to the dead owner waits as long.
  // Cause: who is gone is asked as patiently as who lives.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = call => ({ events: 200 - call.afterEvent, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  await world.clock.advance(300);
  a.kill();
  world.unresponsive.add('a');
  const reading = b.batches.read('b1', 0, 3000);
  await world.clock.advance(500);
  world.expireLease('a');
  await world.clock.advance(500);
  t.equal(b.batches.ownedCount(), 1, 'within half a second of the end of its lease');
  await world.clock.advance(3000);
  await reading;
  world.stop();
});

await tap.test('should leave a batch to an owner whose lease was revoked and that lives', async t => {
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = call => ({ events: 200 - call.afterEvent, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  await world.clock.advance(300);
  const reading = b.batches.read('b1', 0, 1000);
  await world.clock.advance(100);
  world.expireLease('a');
  await world.clock.advance(1500);
  t.equal((await reading).kind, 'page');
  t.same([a.batches.ownedCount(), b.batches.ownedCount()], [1, 0]);
  world.stop();
});

await tap.test('should take a batch over from a process that was replaced at its address', async t => {
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 100, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.kill();
  world.start('a', '2');
  await world.clock.advance(200);
  const page = await read(world, b, 0, 6000);
  t.equal(page.kind, 'page');
  t.equal(b.batches.ownedCount(), 1);
  world.stop();
});

await tap.test('should take a batch over once, while the store is slow', async t => {
  // Symptom: a step makes no progress while its batch goes from host to host. Sequence: the owner is gone; one host takes
  // the batch over, and reads it from a store whose calls take 0.25 s; others ask it meanwhile. Cause: it says that it does
  // not run the batch, which is what a replaced process says.
  const [world, a, b, c] = await startHosts('a', 'b', 'c');
  if (!a || !b || !c) return;
  world.client.script = call => ({ events: 200 - call.afterEvent, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  await world.clock.advance(500);
  a.kill();
  world.expireLease('a');
  for (const host of [b, c]) host.storeClient.callDelayMs = 250;
  const reading: Promise<unknown>[] = [];
  for (let i = 0; i < 10; i++) {
    for (const host of [b, c]) reading.push(host.batches.read('b1', 0, 500));
    await world.clock.advance(300);
  }
  await world.clock.advance(4000);
  await Promise.all(reading);
  const taken = [b, c].flatMap(host =>
    host.context.log.lines.filter(line => line.text === 'batch takeover' && line.details.outcome === 'done'),
  );
  t.equal(taken.length, 1);
  world.stop();
});

await tap.test('should leave a batch to an owner that lives but can’t be reached from here', async t => {
  // Symptom: every item of a batch runs twice. Sequence: a network cut between two hosts, both with their leases.
  // Cause: "I can't reach it" taken for "it is dead".
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  await submit(world, a);
  await world.clock.advance(800);
  world.blockedLinks.add('b-a');
  const page = await read(world, b);
  t.ok(page.kind === 'page' && page.page.results.length === 3, 'its results come from the store');
  t.equal(b.batches.ownedCount(), 0);
  world.stop();
});

await tap.test('should replace an owner that lost its lease and can’t ask the store', async t => {
  // Symptom: reads of a batch are refused for seconds. Sequence: the owner is cut off from the store alone; peers
  // reach it; it can't be sure and says so. Cause: an answer of any kind taken for a living owner.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 100, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.storeClient.mode = 'away';
  await world.clock.advance(1500);
  t.equal((await read(world, b)).kind, 'unsure', 'its lease stands');
  world.expireLease('a');
  await read(world, b);
  t.equal(b.batches.ownedCount(), 1);
  await world.clock.advance(4000);
  const page = await read(world, b);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  world.stop();
});

await tap.test('should stop the runs of a host that has lost its batch', async t => {
  // Symptom: the same item runs at two endpoints for long. Sequence: the owner is paused, another host takes over,
  // the owner wakes. Cause: the former owner never looks at the claim again.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.storeClient.mode = 'away';
  world.expireLease('a');
  world.blockedLinks.add('b-a');
  await world.clock.advance(1000);
  await read(world, b);
  t.equal(b.batches.ownedCount(), 1);
  a.storeClient.mode = 'well';
  await read(world, a);
  t.equal(a.batches.ownedCount(), 0);
  t.ok(world.client.cancelled.length >= 3, 'the former owner ended its runs');
  world.stop();
});

await tap.test('should hear by itself that its batch has ended elsewhere', async t => {
  // Symptom: items run seconds after the end of their batch was confirmed. Sequence: the owner is cut off from its
  // peers, another host takes the batch over, the trainer ends it there; the former owner's items wait for an endpoint,
  // so that it writes nothing. Cause: the claim was looked at only by writes and by readers.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 0, end: { kind: 'not-run', reason: 'refused', load: undefined } });
  await submit(world, a);
  world.blockedLinks.add('b-a');
  world.expireLease('a');
  await read(world, b);
  t.equal(await world.until(b.batches.end('b1')), 'ended');
  await world.clock.advance(1500);
  const before = world.client.items.length;
  await world.clock.advance(5000);
  t.equal(world.client.items.length, before, 'nothing is sent any more');
  t.equal(a.batches.ownedCount(), 0);
  world.stop();
});

await tap.test('should say nothing rather than "nothing yet" when it can’t be sure', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.storeClient.mode = 'away';
  await world.clock.advance(1000);
  t.equal((await read(world, a, 0, 100)).kind, 'unsure');
  world.stop();
});

await tap.test('should tell an unknown batch from one that it can’t ask for', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  t.equal((await read(world, a)).kind, 'no-batch');
  a.storeClient.mode = 'away';
  t.equal((await read(world, a)).kind, 'unsure');
  world.stop();
});

await tap.test('should end a batch at any host, for good', async t => {
  // Symptom: items of an ended batch go on running. Cause: the end reaches one host only.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  await world.clock.advance(300);
  t.equal(await world.until(b.batches.end('b1')), 'ended');
  t.equal(await world.until(b.batches.end('b1')), 'ended', 'and again');
  t.equal(world.client.cancelled.length, 3);
  const ran = world.client.items.length;
  a.kill();
  world.expireLease('a');
  await read(world, b);
  await world.clock.advance(2000);
  t.equal(world.client.items.length, ran, 'no host goes on with it');
  t.equal(await submit(world, b), 'accepted', 'a repeated submission is known');
  await world.clock.advance(1000);
  t.equal(world.client.items.length, ran);
  world.stop();
});

await tap.test('should go on at another endpoint after the last whole event', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  let attempt = 0;
  world.client.script = call => {
    if (call.itemId !== 'x') return { events: 1, end: { kind: 'done' } };
    attempt += 1;
    return attempt === 1
      ? { events: 3, end: { kind: 'broken', text: 'reset' } }
      : { events: 2, end: { kind: 'done' } };
  };
  await submit(world, a);
  await world.clock.advance(1000);
  const calls = world.client.items.filter(call => call.itemId === 'x');
  t.same(
    calls.map(call => call.afterEvent),
    [0, 3],
  );
  t.not(calls[0]?.endpoint.id, calls[1]?.endpoint.id);
  const page = await read(world, a);
  const result = page.kind === 'page' ? page.page.results.find(one => one.id === 'x') : undefined;
  t.equal(result?.text, 'x-1\nx-2\nx-3\nx-4\nx-5');
  world.stop();
});

await tap.test('should give a silent endpoint up and run the item elsewhere', async t => {
  // Symptom: an item hangs until its step is over. Sequence: the endpoint goes dark without a reset. Cause: no
  // time-out between events.
  const [world, a] = await startHosts('a');
  if (!a) return;
  let attempt = 0;
  world.client.script = call => {
    if (call.itemId !== 'x') return { events: 1, end: { kind: 'done' } };
    attempt += 1;
    return attempt === 1 ? { events: 2, end: { kind: 'cancelled' } } : { events: 2, end: { kind: 'done' } };
  };
  await submit(world, a);
  await world.clock.advance(3000);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  t.same(world.client.cancelled, ['x'], 'the silent endpoint was told');
  world.stop();
});

await tap.test('should use no endpoint whose weights are too old', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  const fresh = batch('b1', [item('x')], { minVersion: 2 });
  await world.until(a.batches.submit(fresh, Deadline.after(world.clock, 1000)));
  await world.clock.advance(1000);
  t.equal(world.client.items.length, 0);
  a.endpoints.get('e2')?.recordVersion('m', 2);
  world.client.script = () => ({ events: 1, end: { kind: 'done' }, version: 2 });
  await world.clock.advance(500);
  t.same(
    world.client.items.map(call => call.endpoint.id),
    ['e2'],
  );
  world.stop();
});

await tap.test('should not count refusals as failures of an item', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  let refusals = 0;
  world.client.script = () => {
    refusals += 1;
    return refusals <= 12
      ? { events: 0, end: { kind: 'not-run', reason: 'refused' } }
      : { events: 1, end: { kind: 'done' } };
  };
  await submit(world, a);
  await world.clock.advance(8000);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.every(result => result.state === 'completed'));
  world.stop();
});

await tap.test('should list items that can’t be done as terminated', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.client.script = call =>
    call.itemId === 'x'
      ? { events: 0, end: { kind: 'impossible' } }
      : { events: 0, end: { kind: 'failed', status: 500 } };
  await submit(world, a);
  await world.clock.advance(3000);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.every(result => result.state === 'terminated'));
  t.equal(world.client.items.filter(call => call.itemId === 'x').length, 1);
  t.equal(world.client.items.filter(call => call.itemId === 'y').length, 3, 'as often as the route allows');
  world.stop();
});

await tap.test('should list results when the store returns', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  await submit(world, a);
  a.storeClient.mode = 'silent';
  await world.clock.advance(5000);
  a.storeClient.mode = 'well';
  await world.clock.advance(2500);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  t.equal(world.client.items.length, 3, 'nothing ran again');
  world.stop();
});

await tap.test('should give the body of an item at any host', async t => {
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  await submit(world, a);
  const body = await world.until(b.batches.item('b1', 'y'));
  t.ok(body.kind === 'body' && body.body.toString() === 'y');
  t.equal((await world.until(b.batches.item('b1', 'nothing'))).kind, 'no-item');
  t.equal((await world.until(b.batches.item('b2', 'y'))).kind, 'no-item');
  world.stop();
});

await tap.test('should give its batches to another host when it shuts down, with what it has', async t => {
  // Symptom: a step stands still for seconds at each planned restart. Sequence: the owner gets the signal to end,
  // stops its runs, and answers reads with empty pages until it is gone. Cause: nobody was asked to go on.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 60, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  await world.clock.advance(600);
  const leaving = a.batches.handOver();
  await world.clock.advance(100);
  await leaving;
  t.same([a.batches.ownedCount(), b.batches.ownedCount()], [0, 1]);
  const resumed = world.client.items.filter(call => call.afterEvent > 0);
  t.equal(resumed.length, 3, 'no event is generated again');
  await world.clock.advance(2000);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.length === 3, 'the leaving host asks the new owner');
  t.ok(page.kind === 'page' && page.page.results[0]?.text.startsWith('x-1\nx-2\n'));
  const late = batch('b2', [item('late')]);
  await world.until(a.batches.submit(late, Deadline.after(world.clock, 1000)));
  await world.clock.advance(200);
  t.equal(b.batches.ownedCount(), 2, 'what still arrives is passed on');
  world.stop();
});
