/**
 * Restoring a pool's capacity with complete hosts: orders, records, failures of the holder, the store and the platform.
 */
import tap, { type Test } from 'tap';
import { sleep } from '@fuchsiahitch/base';
import { KeepCapacity, RestoreCapacity, type CapacityPolicy } from '@fuchsiahitch/capacity';
import { CAPACITY_KEY, CAPACITY_RECORD_PREFIX, PoolBases } from '@fuchsiahitch/gateway';
import { CapacityPlatform, type KindCounts } from './capacityPlatform.js';
import { keys, testContext } from './gatewayFixtures.js';
import { GatewayFleet, type FleetHost } from './gatewayFleet.js';

/** 34 endpoints: 22 regular and 12 reclaimable ones, the latter in one domain. */
const COUNTS: KindCounts = { 'domain-0': [7, 0], 'domain-1': [8, 0], 'domain-2': [7, 12] };
const PRICES = { 'domain-0': 1, 'domain-1': 0.8, 'domain-2': 1.25 };
const RECORD_KEY = `${CAPACITY_RECORD_PREFIX}gen-pool`;
const NOTICE_MS = 2500;
/** Until the duty is held, no earlier holder may act, and the base has been seen for ten seconds. */
const START_MS = 22_000;

interface Deployment {
  readonly fleet: GatewayFleet;
  readonly platform: CapacityPlatform;
}

async function deploy(policy: CapacityPolicy = new RestoreCapacity()): Promise<Deployment> {
  const fleet = new GatewayFleet({ hosts: 6, domains: 3, endpoints: 0, capacity: policy });
  const platform = new CapacityPlatform(fleet, COUNTS, PRICES);
  await fleet.start();
  await fleet.clock.advance(START_MS);
  return { fleet, platform };
}

function holderOf(fleet: GatewayFleet): FleetHost {
  const host = fleet.hostAt(fleet.store.value(CAPACITY_KEY) ?? '');
  if (!host) throw new Error('no host holds the capacity lease');
  return host;
}

function reclaimAll({ fleet, platform }: Deployment): void {
  fleet.duties.soldOutDomains.add('domain-2');
  platform.reclaim('domain-2', 12, NOTICE_MS);
}

function baseOf(fleet: GatewayFleet): unknown {
  const { base } = JSON.parse(fleet.store.value(RECORD_KEY) ?? '{}') as { readonly base?: unknown };
  return base;
}

const BASE = {
  'domain-0': { regular: 7, reclaimable: 0 },
  'domain-1': { regular: 8, reclaimable: 0 },
  'domain-2': { regular: 7, reclaimable: 12 },
};

/** Checks that the pool, its base and the platform's targets are as before the shortage. */
function checkRestored(t: Test, { fleet, platform }: Deployment): void {
  t.same(baseOf(fleet), BASE);
  t.same([...platform.targets.values()], [7, 8, 7]);
  t.equal(platform.serving(), 34);
  t.same(fleet.duties.broken, []);
}

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

await tap.test('should follow a planned scale-in without undoing it', async t => {
  // A successor learns from the record which endpoints were withdrawn.
  for (const isHolderKilled of [false, true]) {
    const { fleet, platform } = await deploy();
    platform.execute({ pool: 'gen-pool', domain: 'domain-1', count: 3 });
    await fleet.clock.advance(5000);
    if (isHolderKilled) holderOf(fleet).kill();
    await fleet.clock.advance(70_000);
    t.same(fleet.duties.arrivals, []);
    t.same([...platform.targets.values()], [7, 3, 7]);
    t.equal(platform.serving(), 29);
    t.match(baseOf(fleet), { 'domain-1': { regular: 3 } });
    fleet.stop();
  }
});

const SLOTS = 8;
const STEP_MS = 50;
/** Four trainers with 14 groups of 8 items each, every 4 s. */
const ITEMS_PER_STEP = 448;
const STEP_INTERVAL_MS = 4000;
/** 20 events of 65 ms, and the prompt. */
const ITEM_MS = 1700;
const OBSERVED_MS = 60_000;

interface Waits {
  readonly p50: number;
  readonly p90: number;
  readonly max: number;
}

/** Waits of items for a first slot in a queue that all endpoints share, after a third of the pool is reclaimed. */
async function waitsAfterReclaim(policy: CapacityPolicy): Promise<Waits> {
  const deployment = await deploy(policy);
  const { fleet, platform } = deployment;
  reclaimAll(deployment);
  fleet.clock.after(9000, () => fleet.duties.soldOutDomains.delete('domain-2'));
  const waits: number[] = [];
  const queue: number[] = [];
  let running: number[] = [];
  for (let nowMs = 0; nowMs < OBSERVED_MS; nowMs += STEP_MS) {
    if (nowMs % STEP_INTERVAL_MS === 0) for (let i = 0; i < ITEMS_PER_STEP; i++) queue.push(nowMs);
    running = running.filter(endMs => endMs > nowMs);
    const free = Math.max(0, platform.serving() * SLOTS - running.length);
    for (const atMs of queue.splice(0, free)) {
      waits.push(nowMs - atMs);
      running.push(nowMs + ITEM_MS);
    }
    await fleet.clock.advance(STEP_MS);
  }
  for (const atMs of queue) waits.push(OBSERVED_MS - atMs);
  fleet.stop();
  waits.sort((a, b) => a - b);
  const at = (part: number): number => waits[Math.ceil(waits.length * part) - 1] ?? 0;
  return { p50: at(0.5), p90: at(0.9), max: at(1) };
}

await tap.test('should keep items from waiting after a third of the pool was reclaimed', async t => {
  const keep = await waitsAfterReclaim(new KeepCapacity());
  const restore = await waitsAfterReclaim(new RestoreCapacity());
  t.comment(`wait for a first slot in ms: keep ${JSON.stringify(keep)}, restore ${JSON.stringify(restore)}`);
  t.ok(restore.p90 < keep.p90 / 2);
  t.ok(restore.max < keep.max);
});
