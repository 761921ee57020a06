/**
 * Batches in a store that loses answers, executes writes late, and becomes unavailable.
 */
import tap from 'tap';
import { Deadline, VirtualClock } from '@fuchsiahitch/base';
import { claimKey, type ItemResult, type Owner } from '@fuchsiahitch/batches';
import { BatchStore, BatchSweeper } from '@fuchsiahitch/gateway';
import { FakeStore } from './fakeStore.js';
import { batch, item, testContext } from './gatewayFixtures.js';

const A: Owner = { hostId: 'a', incarnation: '1', address: '10.0.0.1:1' };
const B: Owner = { hostId: 'b', incarnation: '1', address: '10.0.0.2:1' };
const ONE: ItemResult = { id: 'x', state: 'completed', text: 'one', versions: [1] };
const TWO: ItemResult = { id: 'y', state: 'completed', text: 'two', versions: [1] };
const BATCH = batch('b1', [item('x'), item('y')]);

interface World {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly batches: BatchStore;
  readonly deadline: (ms?: number) => Deadline;
}

function world(): World {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const batches = new BatchStore(testContext(clock), store.client());
  return { clock, store, batches, deadline: (ms = 1000) => Deadline.after(clock, ms) };
}

async function within<T>(clock: VirtualClock, promise: Promise<T>, ms: number): Promise<T> {
  await clock.advance(ms);
  return promise;
}

await tap.test('should accept a batch once, regardless of the host', async t => {
  const { batches, deadline } = world();
  const first = await batches.accept(BATCH, A, deadline());
  const again = await batches.accept(BATCH, B, deadline());
  t.equal(first.kind, 'accepted');
  t.ok(again.kind === 'known' && again.held.claim.owner.hostId === 'a');
});

await tap.test('should recognize its own acceptance when the answer was lost', async t => {
  // Fails if a retry treats the claim that the first attempt wrote as another host's.
  const { clock, store, batches, deadline } = world();
  store.loseAnswers = 1;
  const outcome = await within(clock, batches.accept(BATCH, A, deadline(2000)), 2000);
  t.equal(outcome.kind, 'accepted');
});

await tap.test('should not report "not run" while a write may still be executed', async t => {
  // Fails if an unanswered write is reported as not done although the store executes it later.
  const { clock, store, deadline } = world();
  const client = store.client();
  const batches = new BatchStore(testContext(clock), client);
  store.delayNextWriteMs = 3000;
  const pending = batches.accept(BATCH, A, deadline(1000));
  client.mode = 'available';
  await clock.advance(50);
  client.mode = 'refusing';
  const outcome = await within(clock, pending, 1500);
  t.equal(outcome.kind, 'unknown');
  await clock.advance(3000);
  t.ok(store.value(claimKey('b1')), 'the write was executed late');
});

await tap.test('should report "not done" when the store executed nothing', async t => {
  const { clock, store, deadline } = world();
  const client = store.client();
  client.mode = 'refusing';
  const batches = new BatchStore(testContext(clock), client);
  const outcome = await within(clock, batches.accept(BATCH, A, deadline(1000)), 1500);
  t.equal(outcome.kind, 'not-done');
  t.same(store.keys(''), []);
});

await tap.test('should accept a batch if the store becomes available before the deadline', async t => {
  const { clock, store, deadline } = world();
  const client = store.client();
  client.mode = 'refusing';
  const batches = new BatchStore(testContext(clock), client);
  const pending = batches.accept(BATCH, A, deadline(6000));
  await clock.advance(4500);
  client.mode = 'available';
  t.equal((await within(clock, pending, 500)).kind, 'accepted');
});

await tap.test('should reject an append of a host that has lost the batch', async t => {
  // Fails if appends are not conditional on the claim: two owners could then write the same position.
  const { batches, deadline } = world();
  const accepted = await batches.accept(BATCH, A, deadline());
  if (accepted.kind !== 'accepted') return t.fail('accepted');
  const takenOver = await batches.changeClaim('b1', accepted.held, { owner: B, takeovers: 1 }, deadline());
  if (takenOver.kind !== 'done') return t.fail('taken over');
  t.equal((await batches.append('b1', takenOver.value, 0, [TWO], deadline())).kind, 'done');
  t.equal((await batches.append('b1', accepted.held, 0, [ONE], deadline())).kind, 'lost');
  t.equal((await batches.append('b1', accepted.held, 1, [ONE], deadline())).kind, 'lost');
  const results = await batches.results('b1', deadline());
  t.ok(results.ok && results.value.length === 1 && results.value[0]?.id === 'y');
});

await tap.test('should reject a late append of a previous owner', async t => {
  // Fails if an unanswered append takes effect after a takeover.
  const { clock, store, batches, deadline } = world();
  const accepted = await batches.accept(BATCH, A, deadline());
  if (accepted.kind !== 'accepted') return t.fail('accepted');
  store.delayNextWriteMs = 2000;
  t.equal((await batches.append('b1', accepted.held, 0, [ONE], deadline())).kind, 'out-of-reach');
  await batches.changeClaim('b1', accepted.held, { owner: B, takeovers: 1 }, deadline());
  await clock.advance(3000);
  const results = await batches.results('b1', deadline());
  t.same(results.ok && results.value, []);
});

await tap.test('should recognize its own append when the answer was lost', async t => {
  const { store, batches, deadline } = world();
  const accepted = await batches.accept(BATCH, A, deadline());
  if (accepted.kind !== 'accepted') return t.fail('accepted');
  store.loseAnswers = 1;
  t.equal((await batches.append('b1', accepted.held, 0, [ONE], deadline())).kind, 'out-of-reach');
  t.equal((await batches.append('b1', accepted.held, 0, [ONE], deadline())).kind, 'done');
});

await tap.test('should let only one of two hosts take a batch over', async t => {
  const { batches, deadline } = world();
  const accepted = await batches.accept(BATCH, A, deadline());
  if (accepted.kind !== 'accepted') return t.fail('accepted');
  const [one, two] = await Promise.all([
    batches.changeClaim('b1', accepted.held, { owner: B, takeovers: 1 }, deadline()),
    batches.changeClaim('b1', accepted.held, { owner: { ...B, hostId: 'c' }, takeovers: 1 }, deadline()),
  ]);
  t.same([one.kind, two.kind].sort(), ['done', 'lost']);
});

await tap.test('should load what was written and remove it completely', async t => {
  const { store, batches, deadline } = world();
  const accepted = await batches.accept(BATCH, A, deadline());
  if (accepted.kind !== 'accepted') return t.fail('accepted');
  await batches.append('b1', accepted.held, 0, [ONE, TWO], deadline());
  const loaded = await batches.load('b1', deadline());
  t.ok(loaded.ok && loaded.value.batch.items.length === 2 && loaded.value.results.length === 2);
  t.ok(await batches.remove('b1', deadline()));
  t.same(store.keys(''), []);
});

await tap.test('should remove expired batches but none that may still be read', async t => {
  const { clock, store, batches, deadline } = world();
  const context = testContext(clock);
  const sweeper = new BatchSweeper(context, store.client(), batches, 120_000);
  const accept = async (id: string, isEnded: boolean): Promise<void> => {
    const accepted = await batches.accept({ ...BATCH, id }, A, deadline());
    if (accepted.kind === 'accepted' && isEnded)
      await batches.changeClaim(id, accepted.held, { isEnded: true }, deadline());
  };
  await accept('ended', true);
  await accept('open', false);
  sweeper.start();
  await clock.advance(230_000);
  t.ok(store.value(claimKey('ended')), 'still readable');
  await accept('fresh', true);
  await clock.advance(230_000);
  t.equal(store.value(claimKey('ended')), undefined);
  t.same(store.keys('fuchsiahitch/batch/ended'), []);
  t.ok(store.value(claimKey('open')) && store.value(claimKey('fresh')));
  await clock.advance(1_200_000);
  t.same(store.keys(''), [], 'including one that was never ended');
  context.stop.abort();
});
