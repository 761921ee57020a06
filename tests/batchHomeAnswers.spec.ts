/**
 * Answers to submissions whose earlier write may still be executed, and submissions that join the acceptance of a peer.
 */
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import { RecentAcceptances } from '@fuchsiahitch/gateway';
import { BATCH, submit } from './batchCalls.js';
import { batch, item } from './gatewayFixtures.js';
import type { GatewayHost } from './gatewayHosts.js';
import { claimOwner, never, startScarceHosts, submitAt } from './homeHostCalls.js';

await tap.test('should remember for a minute that a write may be executed', async t => {
  const clock = new VirtualClock();
  const recent = new RecentAcceptances(clock);
  recent.markAccepted('b0');
  recent.markUnknown('b1');
  await clock.advance(30_000);
  recent.markUnknown('b2');
  t.same(
    ['b0', 'b1', 'b2'].map(id => recent.stateOf(id)),
    [undefined, 'unknown', 'unknown'],
  );
  recent.markAccepted('b2');
  recent.markUnknown('b2');
  t.equal(recent.stateOf('b2'), 'accepted', 'a claim that has been read is certain');
  await clock.advance(30_001);
  t.same(
    ['b1', 'b2'].map(id => recent.stateOf(id)),
    [undefined, 'accepted'],
  );
  await clock.advance(30_001);
  t.equal(recent.stateOf('b2'), undefined);
});

await tap.test('should answer “unknown” for any batch after the number of entries was exceeded', async t => {
  // Fails if a store that answers nothing makes a host forget the writes that may still be executed.
  const clock = new VirtualClock();
  const recent = new RecentAcceptances(clock);
  for (let i = 0; i < 1000; i++) recent.markUnknown(`b${i}`);
  t.equal(recent.stateOf('other'), undefined);
  await clock.advance(10_000);
  recent.markUnknown('b1000');
  t.same(
    ['b0', 'other', 'b1000'].map(id => recent.stateOf(id)),
    ['unknown', 'unknown', 'unknown'],
  );
  await clock.advance(50_001);
  t.same(
    ['b0', 'other', 'b1000'].map(id => recent.stateOf(id)),
    [undefined, undefined, 'unknown'],
  );
});

/** Submits the batch at the host with a write that is executed after five seconds. */
async function submitWithLateWrite(
  world: Awaited<ReturnType<typeof startScarceHosts>>['world'],
  host: GatewayHost,
): Promise<string> {
  world.store.delayNextWriteMs = 5000;
  return submit(world, host, 150);
}

await tap.test('should not decline a batch whose write may still be executed', async t => {
  // Fails if the accepting host answers “not run” because its home declined, and the home's late write runs the batch.
  const { world, accepting, home } = await startScarceHosts('a', 'b');
  t.equal(await submitWithLateWrite(world, home), 'unknown');
  home.isRelaying = true;
  accepting.storeClient.mode = 'refusing';
  t.equal(await submit(world, accepting), 'unknown');
  t.equal(await submitAt(world, accepting, batch('b2', [item('w')])), 'not-run', 'another batch');
  await world.clock.advance(5000);
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  world.stop();
});

await tap.test('should not answer “not run” to a trainer while an earlier write may be executed', async t => {
  // Fails if a refused write hides that the write of an earlier submission is pending.
  const { world, home } = await startScarceHosts('a', 'b');
  t.equal(await submitWithLateWrite(world, home), 'unknown');
  home.storeClient.mode = 'refusing';
  t.equal(await submit(world, home), 'unknown');
  home.storeClient.mode = 'available';
  await world.clock.advance(5000);
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  t.equal(await submit(world, home), 'accepted');
  world.stop();
});

await tap.test('should not answer “not run” again while a write of the home may be executed', async t => {
  // Fails if the repeated submission skips the paused home and forgets that the home may still accept the batch.
  const { world, accepting, home } = await startScarceHosts('a', 'b');
  const handler = home.handlers.get('batchSubmit') as (request: never) => unknown;
  home.handlers.set('batchSubmit', (request: never) => {
    world.clock.after(5000, () => void handler(request));
    return never();
  });
  accepting.storeClient.mode = 'refusing';
  t.equal(await submit(world, accepting), 'unknown');
  t.equal(await submit(world, accepting), 'unknown');
  await world.clock.advance(5000);
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  world.stop();
});

await tap.test('should not answer “not run” after a write that failed with an exception', async t => {
  const { world, accepting, home } = await startScarceHosts('a', 'b');
  const { storeClient } = home;
  const transact = storeClient.transact.bind(storeClient);
  storeClient.transact = async (...args) => {
    await transact(...args);
    throw new Error('after the write');
  };
  accepting.storeClient.mode = 'refusing';
  t.equal(await submit(world, accepting, 2000), 'unknown');
  home.isRelaying = true;
  await world.clock.advance(3000);
  t.equal(await submit(world, accepting, 2000), 'unknown');
  world.stop();
});

/** Starts a forwarded submission with 500 ms left, then one of a trainer with three seconds left. */
async function joinPeer(
  given: Awaited<ReturnType<typeof startScarceHosts>>,
  changes: () => void,
): Promise<{ readonly peer: unknown; readonly trainer: string }> {
  const { world, home } = given;
  const handler = home.handlers.get('batchSubmit') as (
    request: unknown,
  ) => Promise<{ readonly kind: string }>;
  const forwarded = handler({ batch: BATCH, leftMs: 500 });
  const submitted = submit(world, home, 3000);
  changes();
  const trainer = await submitted;
  return { peer: (await forwarded).kind, trainer };
}

for (const [mode, peerAnswer] of [
  ['refusing', 'not-run'],
  ['silent', 'unknown'],
] as const) {
  await tap.test(`should use a trainer's own deadline after joining a peer's (store ${mode})`, async t => {
    // Fails if a submission with time left ends at the shorter deadline of a forwarded one.
    const given = await startScarceHosts('a', 'b');
    const { world, home } = given;
    home.storeClient.mode = mode;
    const { peer, trainer } = await joinPeer(given, () => {
      world.clock.after(450, () => (home.storeClient.mode = 'available'));
    });
    t.same([peer, trainer], [peerAnswer, 'accepted']);
    await world.clock.advance(1000);
    t.equal(world.client.items.length, 3, 'each item ran once');
    world.stop();
  });
}

await tap.test('should not answer “not run” after a joined acceptance whose outcome is unknown', async t => {
  const given = await startScarceHosts('a', 'b');
  const { world, home } = given;
  world.store.delayNextWriteMs = 5000;
  const { peer, trainer } = await joinPeer(given, () => {
    world.clock.after(10, () => (home.storeClient.mode = 'refusing'));
  });
  t.same([peer, trainer], ['unknown', 'unknown']);
  await world.clock.advance(5000);
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  world.stop();
});

await tap.test('should not repeat a joined acceptance that used the same time', async t => {
  // Fails if each of many forwarded submissions of a batch tries the store in turn after a common failure.
  const { world, home } = await startScarceHosts('a', 'b');
  home.storeClient.mode = 'refusing';
  const handler = home.handlers.get('batchSubmit') as (
    request: unknown,
  ) => Promise<{ readonly kind: string }>;
  const writes = (): number => world.store.calls.filter(call => call === 'transact').length;
  const before = writes();
  const replies = Array.from({ length: 10 }, () => handler({ batch: BATCH, leftMs: 500 }));
  const kinds = await world.until(Promise.all(replies));
  t.ok(kinds.every(({ kind }) => kind === 'not-run'));
  t.ok(writes() - before <= 3, `${writes() - before} writes`);
  world.stop();
});
