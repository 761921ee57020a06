/**
 * Which output of the previous step a home uses: that in its memory only if it is complete and of the right batch.
 */
import tap, { type Test } from 'tap';
import { err, sleep } from '@fuchsiahitch/base';
import { BATCH, read } from './batchCalls.js';
import { batch } from './gatewayFixtures.js';
import type { GatewayHost, GatewayWorld } from './gatewayHosts.js';
import { startScarceHosts, submitAt, type ScarceHosts } from './homeHostCalls.js';

/** Starts hosts whose items generate an event every 20 ms. */
async function startSlowItems(...hostIds: readonly string[]): Promise<ScarceHosts> {
  const given = await startScarceHosts(...hostIds);
  given.world.client.script = call => ({
    events: 300 - call.afterEvent,
    end: { kind: 'done' },
    eventMs: 20,
  });
  return given;
}

/** Changes the host's first read of progress records. */
function interceptProgress(host: GatewayHost, handle: () => Promise<'failed' | 'read'>): void {
  const { storeClient } = host;
  const list = storeClient.list.bind(storeClient);
  let isFirst = true;
  storeClient.list = async (prefix, deadline) => {
    if (!isFirst || !prefix.includes('progress')) return list(prefix, deadline);
    isFirst = false;
    return (await handle()) === 'failed' ? err('not-done') : list(prefix, deadline);
  };
}

/** Submits the next step at the home and checks that each item continues after the events of the previous step. */
async function testContinuation(t: Test, world: GatewayWorld, home: GatewayHost): Promise<void> {
  const before = world.client.items.length;
  t.equal(await submitAt(world, home, batch('b2', BATCH.items, { step: 2 })), 'accepted');
  await world.clock.advance(300);
  const calls = world.client.items.slice(before);
  t.equal(calls.length, 3);
  t.ok(
    calls.every(({ afterEvent }) => afterEvent >= 30),
    calls.map(({ afterEvent }) => afterEvent).join(),
  );
}

for (const [name, isFailure] of [
  ['have not been read yet', false],
  ['could not be read', true],
] as const) {
  await tap.test(`should read the previous step from the store if records of its owners ${name}`, async t => {
    // Fails if a step starts its texts again because the home has taken over the previous batch without its output.
    const { world, home, next } = await startSlowItems('a', 'b', 'c');
    home.isRelaying = true;
    t.equal(await submitAt(world, next, BATCH), 'accepted');
    home.isRelaying = false;
    await world.clock.advance(2000);
    next.kill();
    world.expireLease(next.context.hostId);
    let isReading = false;
    interceptProgress(home, async () => {
      isReading = true;
      if (!isFailure) await sleep(world.clock, 800);
      return isFailure ? 'failed' : 'read';
    });
    const reading = read(world, home, 0, 1000);
    const isReady = (): boolean => (isFailure ? home.context.log.has('batch started') : isReading);
    for (let ms = 0; ms < 1000 && !isReady(); ms += 10) await world.clock.advance(10);
    t.ok(isReady());
    // The items of the previous batch have started again, or start later than those of the next one.
    await world.clock.advance(10);
    await testContinuation(t, world, home);
    await reading;
    world.stop();
  });
}

await tap.test('should use the batch that the record of the step names', async t => {
  // Fails if a home that owned an earlier submission of the step ignores the output of the later one.
  const { world, home, next } = await startSlowItems('a', 'b', 'c');
  t.equal(await submitAt(world, home, BATCH), 'accepted');
  await world.clock.advance(200);
  t.equal(await world.until(home.batches.end('b1')), 'ended');
  home.isRelaying = true;
  t.equal(await submitAt(world, next, batch('b1-again', BATCH.items)), 'accepted');
  home.isRelaying = false;
  await world.clock.advance(2000);
  t.equal(await world.until(next.batches.end('b1-again')), 'ended');
  await testContinuation(t, world, home);
  world.stop();
});
