/**
 * Batches at several hosts: submission, reading, takeover, ends and network partitions.
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
  const atOwner = await read(world, a);
  const atPeer = await read(world, b);
  t.ok(atOwner.kind === 'page' && atOwner.page.results.length === 3);
  t.same(atPeer, atOwner, 'the same results at the same positions');
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

await tap.test('should continue a batch whose owner was killed', async t => {
  // Fails if a read at another host does not trigger a takeover.
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
  t.ok(page.kind === 'page' && page.page.results[0]?.id === 'x', 'listed results keep their positions');
  t.equal(b.batches.ownedCount(), 1);
  await world.clock.advance(4000);
  const all = await read(world, b);
  t.ok(all.kind === 'page' && all.page.results.length === 3);
  t.equal(world.client.items.filter(call => call.itemId === 'x').length, 1, 'no listed item ran again');
  world.stop();
});

await tap.test('should resume the items of a crashed owner from the progress in the store', async t => {
  // Fails if generated events exist only in the owner's memory, so that the next owner restarts its items.
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
    `each resumes after event 40 or later: ${resumed.join(', ')}`,
  );
  await world.clock.advance(3000);
  const page = await read(world, b);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  const [first] = page.kind === 'page' ? page.page.results : [];
  const complete = Array.from({ length: 100 }, (_, i) => `${first?.id}-${i + 1}`).join('\n');
  t.equal(first?.text, complete, 'no event is missing or duplicated');
  world.stop();
});

for (const step of [2, 3]) {
  await tap.test(`should resume in step ${step} groups that were incomplete in step 1`, async t => {
    // Fails if the texts of an ended batch are dropped, so that an item that is too long for one step never completes.
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
      'complete texts are not generated again',
    );
    t.ok(
      calls.every(call => call.afterEvent >= 30),
      'partial texts are continued',
    );
    const page = await world.until(b.batches.read('b2', 0, 1000));
    t.equal(page.kind === 'page' ? page.page.results[0]?.text : '', 'x-1\nx-2');
    world.stop();
  });
}

await tap.test('should record progress without gaps through an outage of the store', async t => {
  // Fails if an unanswered write is assumed to have succeeded or failed: the record then has a gap, and items restart.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = call => ({ events: 150 - call.afterEvent, end: { kind: 'done' }, eventMs: 40 });
  await submit(world, a);
  await world.clock.advance(900);
  world.store.loseAnswers = 1;
  await world.clock.advance(1000);
  a.storeClient.mode = 'refusing';
  await world.clock.advance(1000);
  a.storeClient.mode = 'available';
  await world.clock.advance(1300);
  a.kill();
  world.expireLease('a');
  const before = world.client.items.length;
  await read(world, b);
  const resumed = world.client.items.slice(before).map(call => call.afterEvent);
  t.ok(
    resumed.length === 3 && resumed.every(afterEvent => afterEvent >= 70),
    `each resumes after event 70 or later: ${resumed.join(', ')}`,
  );
  world.stop();
});

await tap.test('should take a batch over as soon as its owner is known to have terminated', async t => {
  // Fails if a call to a dead owner whose connection was not reset runs into its full timeout.
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

await tap.test('should not take a batch over from a live owner whose lease was revoked', async t => {
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
  // Fails if a host that is still loading a batch that it took over answers `not-owner`: others then take it over.
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
  const takeovers = [b, c].flatMap(host =>
    host.context.log.lines.filter(line => line.text === 'batch takeover' && line.details.outcome === 'done'),
  );
  t.equal(takeovers.length, 1);
  world.stop();
});

await tap.test(
  'should not take a batch over from a live owner that is unreachable from one host',
  async t => {
    // Fails if a network partition between two hosts makes every item run twice.
    const [world, a, b] = await startHosts('a', 'b');
    if (!a || !b) return;
    await submit(world, a);
    await world.clock.advance(800);
    world.blockedLinks.add('b-a');
    const page = await read(world, b);
    t.ok(page.kind === 'page' && page.page.results.length === 3, 'its results come from the store');
    t.equal(b.batches.ownedCount(), 0);
    world.stop();
  },
);

await tap.test('should replace an owner that lost its lease and can’t reach the store', async t => {
  // Fails if an `unsure` answer counts as proof that the owner is alive: reads are then refused for seconds.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 100, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.storeClient.mode = 'refusing';
  await world.clock.advance(1500);
  t.equal((await read(world, b)).kind, 'unsure', 'its lease is still valid');
  world.expireLease('a');
  await read(world, b);
  t.equal(b.batches.ownedCount(), 1);
  await world.clock.advance(4000);
  const page = await read(world, b);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  world.stop();
});

await tap.test('should stop the attempts of a host that has lost its batch', async t => {
  // Fails if a previous owner never checks its claim again after a takeover: items then run at two endpoints.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.storeClient.mode = 'refusing';
  world.expireLease('a');
  world.blockedLinks.add('b-a');
  await world.clock.advance(1000);
  await read(world, b);
  t.equal(b.batches.ownedCount(), 1);
  a.storeClient.mode = 'available';
  await read(world, a);
  t.equal(a.batches.ownedCount(), 0);
  t.ok(world.client.cancelled.length >= 3, 'the previous owner cancelled its attempts');
  world.stop();
});

await tap.test('should detect without a write or a read that its batch has ended elsewhere', async t => {
  // Fails if the claim is checked only by writes and reads: items then run after the end of their batch was confirmed.
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
  t.equal(world.client.items.length, before, 'nothing more is sent');
  t.equal(a.batches.ownedCount(), 0);
  world.stop();
});

await tap.test('should not return an empty page without a confirmed claim', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  a.storeClient.mode = 'refusing';
  await world.clock.advance(1000);
  t.equal((await read(world, a, 0, 100)).kind, 'unsure');
  world.stop();
});

await tap.test('should distinguish an unknown batch from an unreachable store', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  t.equal((await read(world, a)).kind, 'no-batch');
  a.storeClient.mode = 'refusing';
  t.equal((await read(world, a)).kind, 'unsure');
  world.stop();
});

await tap.test('should end a batch for good at any host', async t => {
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 400, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  await world.clock.advance(300);
  t.equal(await world.until(b.batches.end('b1')), 'ended');
  t.equal(await world.until(b.batches.end('b1')), 'ended', 'repeated');
  t.equal(world.client.cancelled.length, 3);
  const sent = world.client.items.length;
  a.kill();
  world.expireLease('a');
  await read(world, b);
  await world.clock.advance(2000);
  t.equal(world.client.items.length, sent, 'no host continues it');
  t.equal(await submit(world, b), 'accepted', 'a repeated submission is recognized');
  await world.clock.advance(1000);
  t.equal(world.client.items.length, sent);
  world.stop();
});

await tap.test('should resume at another endpoint after the last complete event', async t => {
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

await tap.test('should abandon an unresponsive endpoint and run the item elsewhere', async t => {
  // Fails if there is no timeout between events: an item hangs if its endpoint stops without a connection reset.
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
  t.same(world.client.cancelled, ['x'], 'the attempt at the unresponsive endpoint was cancelled');
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

await tap.test('should list impossible and failed items as terminated', async t => {
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

await tap.test('should list results after an outage of the store', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  await submit(world, a);
  a.storeClient.mode = 'silent';
  await world.clock.advance(5000);
  a.storeClient.mode = 'available';
  await world.clock.advance(2500);
  const page = await read(world, a);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  t.equal(world.client.items.length, 3, 'nothing ran again');
  world.stop();
});

await tap.test('should return the body of an item at any host', async t => {
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  await submit(world, a);
  const body = await world.until(b.batches.item('b1', 'y'));
  t.ok(body.kind === 'body' && body.body.toString() === 'y');
  t.equal((await world.until(b.batches.item('b1', 'nothing'))).kind, 'no-item');
  t.equal((await world.until(b.batches.item('b2', 'y'))).kind, 'no-item');
  world.stop();
});

await tap.test('should hand its batches and their progress over when it shuts down', async t => {
  // Fails if a host that shuts down only stops its batches: steps then stall at each planned restart of a host.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  world.client.script = () => ({ events: 60, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, a);
  await world.clock.advance(600);
  const handOver = a.batches.handOver();
  await world.clock.advance(100);
  await handOver;
  t.same([a.batches.ownedCount(), b.batches.ownedCount()], [0, 1]);
  const resumed = world.client.items.filter(call => call.afterEvent > 0);
  t.equal(resumed.length, 3, 'no event is generated again');
  await world.clock.advance(2000);
  const page = await read(world, a);
  t.ok(
    page.kind === 'page' && page.page.results.length === 3,
    'the leaving host forwards reads to the new owner',
  );
  t.ok(page.kind === 'page' && page.page.results[0]?.text.startsWith('x-1\nx-2\n'));
  const late = batch('b2', [item('late')]);
  await world.until(a.batches.submit(late, Deadline.after(world.clock, 1000)));
  await world.clock.advance(200);
  t.equal(b.batches.ownedCount(), 2, 'batches accepted during the shutdown are handed over');
  world.stop();
});
