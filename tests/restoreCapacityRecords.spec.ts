/**
 * Restoring a pool's capacity with complete hosts: records, failures of the holder, the store and the platform.
 */
import tap from 'tap';
import { sleep } from '@fuchsiahitch/base';
import { CAPACITY_KEY, PoolBases } from '@fuchsiahitch/gateway';
import { keys, testContext } from './gatewayFixtures.js';
import { GatewayFleet, type FleetHost } from './gatewayFleet.js';
import {
  RECORD_KEY,
  NOTICE_MS,
  START_MS,
  deploy,
  holderOf,
  reclaimAll,
  baseOf,
  BASE,
  checkRestored,
} from './restoreCapacityFixtures.js';

await tap.test('should measure the base again if its record is unreadable', async t => {
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  fleet.store.put(RECORD_KEY, 'not a record');
  fleet.restart(holderOf(fleet), 'again');
  await fleet.clock.advance(START_MS);
  t.same(baseOf(fleet), BASE);
  t.same(fleet.duties.arrivals, []);
  reclaimAll(deployment);
  await fleet.clock.advance(8000);
  t.equal(platform.serving(), 34);
  fleet.stop();
});

await tap.test(
  'should compare with the recorded base after all hosts have restarted in a shortage',
  async t => {
    // Also if the record was written by a version that did not store withdrawn endpoints.
    for (const isOldRecord of [false, true]) {
      const deployment = await deploy();
      const { fleet, platform } = deployment;
      for (const host of fleet.hosts) host.kill();
      platform.reclaim('domain-2', 12, NOTICE_MS);
      await fleet.clock.advance(10_000);
      if (isOldRecord) fleet.store.put(RECORD_KEY, JSON.stringify({ base: BASE, added: {} }));
      await fleet.start('2');
      await fleet.clock.advance(START_MS);
      t.same(baseOf(fleet), BASE);
      t.equal(platform.serving(), 34);
      fleet.stop();
    }
  },
);

await tap.test('should order nothing for records that expire during an outage of the store', async t => {
  // Guards against orders, and a base, that follow from missing records of endpoints that serve.
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  // After a short outage the holder remains the same, and it sees records that return after the directory's grace.
  const cases = [
    { mode: 'refusing', outageMs: 5000, awayMs: 2000 },
    { mode: 'silent', outageMs: 5000, awayMs: 2000 },
    { mode: 'refusing', outageMs: 1500, awayMs: 3800 },
  ] as const;
  for (const { mode, outageMs, awayMs } of cases) {
    for (const host of fleet.hosts) host.storeClient.mode = mode;
    await fleet.clock.advance(outageMs);
    platform.crash('domain-0', 7);
    for (const host of fleet.hosts) host.storeClient.mode = 'available';
    await fleet.clock.advance(awayMs);
    platform.restore('domain-0');
    await fleet.clock.advance(25_000);
    t.same(fleet.duties.arrivals, [], JSON.stringify({ mode, outageMs }));
    checkRestored(t, deployment);
  }
  fleet.stop();
});

/** Fails the writes of a host, and not the renewals of its leases. The returned function ends that. */
function refuseWrites({ storeClient }: FleetHost): () => void {
  const transact = storeClient.transact.bind(storeClient);
  storeClient.transact = () => Promise.resolve({ ok: false, error: 'not-done' });
  return () => {
    storeClient.transact = transact;
  };
}

await tap.test('should order nothing while the record cannot be stored', async t => {
  // Guards against additional endpoints that a successor takes for a part of the base.
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  const restores = fleet.hosts.map(host => refuseWrites(host));
  reclaimAll(deployment);
  await fleet.clock.advance(8000);
  t.same(fleet.duties.arrivals, []);
  for (const restore of restores) restore();
  await fleet.clock.advance(8000);
  t.equal(platform.serving(), 34);
  fleet.stop();
});

/** Calls `run` when the host has stored that it adds endpoints, and answers its write after `delayMs`. */
function onAdditionStored(
  fleet: GatewayFleet,
  { storeClient }: FleetHost,
  delayMs: number,
  run: () => void,
): void {
  const transact = storeClient.transact.bind(storeClient);
  storeClient.transact = async (compares, writes, deadline) => {
    const result = await transact(compares, writes, deadline);
    const isAddition = writes.some(
      write => write.kind === 'put' && write.key === RECORD_KEY && write.value.includes('"added":{"'),
    );
    if (!isAddition) return result;
    storeClient.transact = transact;
    run();
    await sleep(fleet.clock, delayMs);
    return result;
  };
}

function causesOf({ context }: FleetHost): readonly unknown[] {
  return context.log.lines
    .filter(({ text }) => text === 'capacity order')
    .map(({ details }) => details.cause);
}

await tap.test('should send no order if the view became unreliable while it was recorded', async t => {
  // Guards against orders that follow from records that expire in an outage of the store.
  const deployment = await deploy();
  const { fleet } = deployment;
  const holder = holderOf(fleet);
  onAdditionStored(fleet, holder, 500, () => {
    // All hosts, since they relay the calls of one another.
    for (const { storeClient } of fleet.hosts) storeClient.mode = 'refusing';
    fleet.clock.after(300, () => {
      for (const { storeClient } of fleet.hosts) storeClient.mode = 'available';
    });
  });
  reclaimAll(deployment);
  await fleet.clock.advance(4000);
  t.same(fleet.duties.arrivals, []);
  t.same(causesOf(holder), ['view of endpoints may be incomplete']);
  await fleet.clock.advance(20_000);
  t.equal(deployment.platform.serving(), 34);
  fleet.stop();
});

await tap.test('should send no order of an earlier tenure of the same host', async t => {
  // Guards against an order that follows from a state before another host may have held the duty.
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  const holder = holderOf(fleet);
  const token = fleet.store.read(CAPACITY_KEY)?.version;
  onAdditionStored(fleet, holder, 3000, () => fleet.store.end(fleet.store.leaseOf(CAPACITY_KEY) ?? ''));
  reclaimAll(deployment);
  await fleet.clock.advance(30_000);
  t.same(causesOf(holder).slice(0, 1), ['lease ended or not renewed']);
  t.notOk(fleet.duties.arrivals.some(({ fencingToken }) => fencingToken === token));
  t.equal(platform.serving(), 34);
  t.same(fleet.duties.broken, []);
  fleet.stop();
});

await tap.test('should measure times again after the endpoints were read completely', async t => {
  // Guards against a release that counts the time in which the view was not current.
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  reclaimAll(deployment);
  await fleet.clock.advance(NOTICE_MS + 6000);
  platform.addReclaimable('domain-2', 12);
  await fleet.clock.advance(6000);
  const { storeClient } = holderOf(fleet);
  const snapshot = storeClient.snapshot.bind(storeClient);
  storeClient.snapshot = async (...args) => {
    await sleep(fleet.clock, 1200);
    return snapshot(...args);
  };
  const key = `${keys.endpointPrefix}p1`;
  fleet.store.put(key, fleet.store.value(key) ?? '');
  fleet.store.compact();
  await fleet.clock.advance(9000);
  t.equal(fleet.duties.orders.length, 1);
  await fleet.clock.advance(6000);
  checkRestored(t, deployment);
  fleet.stop();
});

await tap.test('should log orders that are not sent or given up', async t => {
  // Guards against decisions without a log line, and against one that names another cause.
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  const holder = holderOf(fleet);
  const restores = fleet.hosts.map(host => refuseWrites(host));
  reclaimAll(deployment);
  await fleet.clock.advance(1500);
  t.match(holder.context.log.lines.find(({ text }) => text === 'capacity order')?.details, {
    pool: 'gen-pool',
    of: 'domain-1',
    base: 8,
    wanted: 20,
    answer: 'not-sent',
    cause: 'record not stored',
  });
  for (const restore of restores) restore();
  // The platform accepts the order and starts nothing.
  fleet.duties.onOrder = () => (fleet.duties.onOrder = order => platform.execute(order));
  await fleet.clock.advance(18_000);
  t.match(holder.context.log.lines.find(({ text }) => text === 'capacity order overdue')?.details, {
    pool: 'gen-pool',
    of: 'domain-1',
    planned: 12,
    arrived: 0,
  });
  fleet.stop();
});

await tap.test('should write records after a write has thrown', async t => {
  // Guards against a record that is never stored again.
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  const context = testContext(fleet.clock, 'host-x');
  const endpoints = {
    inPool: () => [],
    isComplete: () => true,
    viewAgeMs: () => 0,
    sinceFailureMs: () => 60_000,
  };
  const store = fleet.store.client();
  const bases = new PoolBases(context, store, endpoints);
  bases.observe('gen-pool', 4000);
  await fleet.clock.advance(100);
  const held = { key: CAPACITY_KEY, version: fleet.store.read(CAPACITY_KEY)?.version ?? 0 };
  bases.observe('gen-pool', 4000)?.orderPlanned('domain-1', 9, fleet.clock.nowMs());
  const transact = store.transact.bind(store);
  store.transact = () => Promise.reject(new Error('fault of a client'));
  await t.rejects(bases.write('gen-pool', held));
  store.transact = transact;
  await fleet.clock.advance(2000);
  bases.writeInBackground('gen-pool', held);
  await fleet.clock.advance(100);
  t.match(JSON.parse(fleet.store.value(RECORD_KEY) ?? ''), { added: { 'domain-1': 1 } });
  t.equal(platform.serving(), 34);
  fleet.stop();
});

await tap.test('should give up the duty on a host that cannot reach the platform', async t => {
  const deployment = await deploy();
  const { fleet, platform } = deployment;
  const holder = holderOf(fleet);
  fleet.duties.unreachableFrom.add(holder.context.hostId);
  reclaimAll(deployment);
  await fleet.clock.advance(25_000);
  t.not(holderOf(fleet), holder);
  t.equal(platform.serving(), 34);
  platform.addReclaimable('domain-2', 12);
  await fleet.clock.advance(25_000);
  checkRestored(t, deployment);
  fleet.stop();
});
