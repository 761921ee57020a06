/**
 * Restoring a pool's capacity with complete hosts: orders and their answers.
 */
import tap from 'tap';
import {
  NOTICE_MS,
  deploy,
  holderOf,
  reclaimAll,
  baseOf,
  BASE,
  checkRestored,
} from './restoreCapacityFixtures.js';

await tap.test(
  'should restore a pool before its endpoints leave, and release the additional ones',
  async t => {
    const deployment = await deploy();
    const { fleet, platform } = deployment;
    t.same(fleet.duties.arrivals, [], 'nothing is ordered for a complete pool');
    t.same(baseOf(fleet), BASE);
    reclaimAll(deployment);
    await fleet.clock.advance(NOTICE_MS);
    t.same(fleet.duties.orders, [{ pool: 'gen-pool', domain: 'domain-1', count: 20 }]);
    await fleet.clock.advance(6000);
    t.equal(platform.serving(), 34);
    const line = holderOf(fleet).context.log.lines.find(({ text }) => text === 'capacity order');
    t.match(line?.details, {
      of: 'domain-1',
      kind: 'regular',
      base: 8,
      present: 8,
      wanted: 20,
      answer: 'accepted',
    });
    await fleet.clock.advance(40_000);
    t.equal(fleet.duties.arrivals.length, 1);
    platform.addReclaimable('domain-2', 12);
    await fleet.clock.advance(9000);
    t.equal(platform.serving(), 46);
    await fleet.clock.advance(6000);
    checkRestored(t, deployment);
    t.equal(platform.reductions.length, 1);
    await fleet.clock.advance(30_000);
    t.equal(fleet.duties.arrivals.length, 2);
    fleet.stop();
  },
);

await tap.test('should continue an order of a holder that was killed before the answer', async t => {
  // Guards against additional endpoints that a successor does not know of and never releases.
  // Only without a restart does the successor start after the endpoints have booted.
  const cases = [
    { isExecuted: true, isRestarted: true },
    { isExecuted: false, isRestarted: true },
    { isExecuted: true, isRestarted: false },
  ];
  for (const { isExecuted, isRestarted } of cases) {
    const deployment = await deploy();
    const { fleet, platform } = deployment;
    const holder = holderOf(fleet);
    fleet.duties.onOrder = order => {
      fleet.duties.onOrder = each => platform.execute(each);
      if (isExecuted) platform.execute(order);
      if (isRestarted) fleet.restart(holder, 'killed');
      else holder.kill();
    };
    reclaimAll(deployment);
    await fleet.clock.advance(30_000);
    t.equal(platform.serving(), 34, JSON.stringify({ isExecuted, isRestarted }));
    t.same([...platform.targets.values()], [7, 20, 7]);
    platform.addReclaimable('domain-2', 12);
    await fleet.clock.advance(25_000);
    checkRestored(t, deployment);
    fleet.stop();
  }
});

await tap.test('should not exceed the missing number if answers are lost', async t => {
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  fleet.duties.mode = 'lost';
  reclaimAll(deployment);
  await fleet.clock.advance(20_000);
  t.equal(platform.serving(), 34);
  t.ok(fleet.duties.arrivals.length <= 5, `${fleet.duties.arrivals.length} calls`);
  fleet.duties.mode = 'available';
  platform.addReclaimable('domain-2', 12);
  await fleet.clock.advance(60_000);
  checkRestored(t, deployment);
  fleet.stop();
});

await tap.test('should retry with a backoff while no domain has endpoints', async t => {
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  fleet.duties.isSoldOut = true;
  reclaimAll(deployment);
  await fleet.clock.advance(60_000);
  t.ok(fleet.duties.arrivals.length <= 20, `${fleet.duties.arrivals.length} calls in a minute`);
  t.ok(fleet.duties.arrivals.length >= 6);
  t.same(baseOf(fleet), BASE);
  fleet.duties.isSoldOut = false;
  await fleet.clock.advance(25_000);
  t.equal(platform.serving(), 34);
  platform.addReclaimable('domain-2', 12);
  await fleet.clock.advance(25_000);
  checkRestored(t, deployment);
  fleet.stop();
});

await tap.test(
  'should release endpoints of an order that was executed after the others returned',
  async t => {
    const deployment = await deploy();
    const { fleet, platform } = deployment;
    fleet.duties.mode = 'late';
    fleet.duties.lateMs = 18_000;
    reclaimAll(deployment);
    await fleet.clock.advance(NOTICE_MS + 500);
    fleet.duties.mode = 'available';
    platform.addReclaimable('domain-2', 12);
    await fleet.clock.advance(70_000);
    checkRestored(t, deployment);
    fleet.stop();
  },
);
