/**
 * Weight orders: all endpoints are updated, the pool keeps serving, and a former lease holder gives no order.
 */
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import { LeaseGuard, SwapPlanner, type WeightTarget } from '@fuchsiahitch/orders';
import { SimFleet, type SimHost } from '@fuchsiahitch/testkit';

const OPTIONS = { maxSwappingShare: 0.34, loadsPerSecond: 20, swapTimeoutMs: 4000, maxTries: 2 };

function target(version: number, sequence = version): WeightTarget {
  return { pool: 'gen-pool', version, sequence, share: 1 };
}

function endpoints(count: number): readonly { readonly id: string; readonly isUsable: boolean }[] {
  return Array.from({ length: count }, (_, i) => ({ id: `e${i}`, isUsable: true }));
}

await tap.test('should stop before the lease expires, measured from when its renewal was sent', async t => {
  // Guards against counting from the answer: the store may have renewed the lease long before it arrives.
  const clock = new VirtualClock();
  const guard = new LeaseGuard(clock, { leaseMs: 10_000, marginMs: 3000 });
  t.equal(guard.token(), undefined);
  const sentMs = clock.nowMs();
  await clock.advance(2000);
  guard.renewed(7, sentMs);
  t.equal(guard.token(), 7);
  await clock.advance(4999);
  t.equal(guard.token(), 7);
  await clock.advance(1);
  t.equal(guard.token(), undefined);
  guard.renewed(6, clock.nowMs());
  t.equal(guard.token(), undefined, 'a late answer about an earlier lease is ignored');
});

await tap.test('should keep most of the pool serving while it swaps', async t => {
  const clock = new VirtualClock();
  const planner = new SwapPlanner(clock, OPTIONS);
  planner.setTarget(target(2));
  await clock.advance(5000);
  const first = planner.next(endpoints(12), 1);
  t.equal(first.length, 4, 'a third of twelve');
  t.same(planner.next(endpoints(12), 1), []);
  for (const order of first) planner.readBack(order.endpointId, { version: 2, startId: 'a' });
  t.equal(planner.next(endpoints(12), 1).length, 4);
});

await tap.test('should respect the rate limit of the weight store', async t => {
  const clock = new VirtualClock();
  const planner = new SwapPlanner(clock, { ...OPTIONS, maxSwappingShare: 1, loadsPerSecond: 10 });
  planner.setTarget(target(2));
  let orders = 0;
  for (let i = 0; i < 30; i++) {
    orders += planner.next(endpoints(130), 1).length;
    await clock.advance(100);
  }
  t.ok(orders <= 31 && orders >= 25, `${orders} orders in 3 s at 10 a second`);
});

await tap.test('should ignore a target that arrives after its successor', t => {
  const planner = new SwapPlanner(new VirtualClock(), OPTIONS);
  t.ok(planner.setTarget(target(3, 2)));
  t.notOk(planner.setTarget(target(2, 1)));
  t.equal(planner.target()?.version, 3);
  t.end();
});

await tap.test('should repeat a failed swap, then exclude the endpoint until it restarts', async t => {
  // Guards against taking an accepted order as proof of the swap: the load may fail without an error.
  const clock = new VirtualClock();
  const planner = new SwapPlanner(clock, OPTIONS);
  planner.setTarget(target(2));
  planner.readBack('e0', { version: 1, startId: 'a' });
  for (let i = 0; i < 2; i++) {
    t.equal(planner.next(endpoints(1), 1).length, 1);
    await clock.advance(4000);
  }
  t.same(planner.next(endpoints(1), 1), []);
  t.same(planner.excludedEndpoints(), ['e0']);
  t.ok(planner.isDone(endpoints(1)));
  planner.readBack('e0', { version: 1, startId: 'b' });
  t.equal(planner.next(endpoints(1), 1).length, 1, 'a restarted endpoint is ordered again');
});

await tap.test('should swap a staged share only', async t => {
  const clock = new VirtualClock();
  const planner = new SwapPlanner(clock, { ...OPTIONS, maxSwappingShare: 1 });
  planner.setTarget({ ...target(2), share: 0.25 });
  await clock.advance(5000);
  t.equal(planner.next(endpoints(8), 1).length, 2);
});

async function fleetOf(): Promise<SimFleet> {
  return SimFleet.start({ seed: 21, domains: ['tekapo', 'twizel'], hostsPerDomain: 3, enginesPerDomain: 4 });
}

function leaderOf(fleet: SimFleet, domain: string): SimHost | undefined {
  return fleet.liveHosts().find(host => host.domain === domain && host.ready.orders.isLeader());
}

function setTarget(host: SimHost | undefined, version: number): void {
  host?.process.run(() => void host.ready.orders.setTarget('gen-pool', version));
}

const engineVersions = (fleet: SimFleet, domain: string): readonly number[] =>
  [...fleet.engines].filter(([id]) => id.startsWith(domain)).map(([, engine]) => engine.version);

await tap.test('should bring a version to all engines within 10 s', async t => {
  const fleet = await fleetOf();
  await fleet.until(
    'leaders',
    () => leaderOf(fleet, 'tekapo') !== undefined && leaderOf(fleet, 'twizel') !== undefined,
  );
  setTarget(fleet.host('twizel-2'), 2);
  await fleet.until(
    'swapped',
    () => [...fleet.engines.values()].every(engine => engine.version === 2),
    10_000,
  );
  t.ok(
    [...fleet.engines.values()].every(engine => engine.orders.length === 1),
    'one order per engine',
  );
  await fleet.stop();
});

await tap.test('should detect and repeat a swap that failed without an error', async t => {
  const fleet = await fleetOf();
  await fleet.until('leader', () => leaderOf(fleet, 'tekapo') !== undefined);
  fleet.engine('tekapo-engine-1').failSwaps = 1;
  setTarget(fleet.host('tekapo-0'), 2);
  await fleet.until('swapped', () => engineVersions(fleet, 'tekapo').every(version => version === 2), 20_000);
  t.equal(fleet.engine('tekapo-engine-1').orders.length, 2);
  await fleet.stop();
});

await tap.test(
  'should give no order after a pause beyond the lease to engines that check no token',
  async t => {
    // Guards against a leader that resumes after its lease has expired and gives the orders that it had planned.
    const fleet = await fleetOf();
    await fleet.until('leader', () => leaderOf(fleet, 'tekapo') !== undefined);
    const formerLeader = leaderOf(fleet, 'tekapo');
    setTarget(fleet.host('twizel-0'), 2);
    await fleet.clock.advance(60);
    formerLeader?.process.pause();
    await fleet.until('successor', () => leaderOf(fleet, 'tekapo') !== undefined, 40_000);
    setTarget(fleet.host('twizel-0'), 3);
    await fleet.until(
      'all at 3',
      () => [...fleet.engines.values()].every(engine => engine.version === 3),
      20_000,
    );
    const before = [...fleet.engines.values()].reduce((sum, engine) => sum + engine.orders.length, 0);
    formerLeader?.process.resume();
    await fleet.clock.advance(20_000);
    t.ok(engineVersions(fleet, 'tekapo').every(version => version === 3));
    const after = [...fleet.engines.values()].reduce((sum, engine) => sum + engine.orders.length, 0);
    t.equal(after, before, 'no order after the pause');
    await fleet.stop();
  },
);

await tap.test('should not repeat a target whose answer was lost', async t => {
  const fleet = await fleetOf();
  fleet.store.loseAnswers = 1;
  setTarget(fleet.host('tekapo-0'), 2);
  await fleet.until(
    'swapped',
    () => [...fleet.engines.values()].every(engine => engine.version === 2),
    30_000,
  );
  const stored = fleet.store.list('weights/').map(value => JSON.parse(value.value) as WeightTarget);
  t.same(
    stored.map(one => one.sequence),
    [1],
  );
  await fleet.stop();
});

await tap.test('should give up leadership when the leader is cut off from the platform', async t => {
  const fleet = await fleetOf();
  await fleet.until('leader', () => leaderOf(fleet, 'tekapo') !== undefined);
  const formerLeader = leaderOf(fleet, 'tekapo');
  fleet.cutBetween([formerLeader?.id ?? ''], ['store', 'list']);
  await fleet.clock.advance(15_000);
  t.equal(formerLeader?.ready.orders.isLeader(), false, 'it stops on its own');
  await fleet.stop();
});
