/**
 * Answers to submissions whose earlier write may still be executed.
 */
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import { RecentAcceptances } from '@fuchsiahitch/gateway';
import { submit } from './batchCalls.js';
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
