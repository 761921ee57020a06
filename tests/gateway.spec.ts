/**
 * The gateway's store mirror, endpoint directory, leases, weight orders and store relay.
 */
import tap from 'tap';
import { decodeHandover } from '@fuchsiahitch/orders';
import { Deadline, err, every, ok, VirtualClock } from '@fuchsiahitch/base';
import type { StoredValue } from '@fuchsiahitch/clients';
import {
  ConfigurationService,
  EndpointDirectory,
  lastOrdersKey,
  ordersKey,
  ReachabilityMonitor,
  RelayedStore,
  StoreLease,
  newsBudget,
  StoreMirror,
  WeightOrders,
  type CallRegistry,
  type Hosts,
  type StoreReply,
} from '@fuchsiahitch/gateway';
import { FakeStore, type FakeStoreClient } from './fakeStore.js';
import {
  endpointRecord,
  keys,
  JsonRecordDecoder,
  route,
  ScriptedClient,
  testContext,
} from './gatewayFixtures.js';

interface MirrorSetup {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly client: FakeStoreClient;
  readonly mirror: StoreMirror;
  readonly seen: Map<string, string>;
  readonly stop: AbortController;
}

function startMirror(): MirrorSetup {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const client = store.client();
  const seen = new Map<string, string>();
  const context = testContext(clock);
  const mirror = new StoreMirror(
    context,
    client,
    { prefix: 'p/', budget: newsBudget(), spacingMs: 100 },
    {
      changed: (value: StoredValue) => seen.set(value.key, value.value),
      removed: key => seen.delete(key),
    },
  );
  mirror.start();
  return { clock, store, client, mirror, seen, stop: context.stop };
}

await tap.test('should mirror changes and removals', async t => {
  const { clock, store, seen, stop } = startMirror();
  store.put('p/a', '1');
  await clock.advance(200);
  store.put('p/b', '2');
  store.remove('p/a');
  await clock.advance(300);
  t.same([...seen], [['p/b', '2']]);
  stop.abort();
});

await tap.test('should read a new snapshot when the store has compacted its history', async t => {
  // Guards against missing changes that were compacted while the store was unavailable.
  const { clock, store, client, seen, stop } = startMirror();
  store.put('p/a', '1');
  await clock.advance(200);
  client.mode = 'refusing';
  store.put('p/b', '2');
  store.remove('p/a');
  store.compact();
  client.mode = 'available';
  await clock.advance(3000);
  t.same([...seen], [['p/b', '2']]);
  stop.abort();
});

await tap.test('should abandon an unresponsive watch and keep the mirrored values meanwhile', async t => {
  const { clock, store, client, mirror, seen, stop } = startMirror();
  store.put('p/a', '1');
  await clock.advance(200);
  client.mode = 'silent';
  await clock.advance(8000);
  t.same([...seen], [['p/a', '1']]);
  t.ok(mirror.sinceFailureMs() < 4000);
  store.put('p/b', '2');
  client.mode = 'available';
  await clock.advance(5000);
  t.equal(seen.get('p/b'), '2');
  stop.abort();
});

await tap.test('should read changes in groups', async t => {
  const { clock, store, client, stop } = startMirror();
  await clock.advance(200);
  const before = client.calls;
  for (let i = 0; i < 100; i++) {
    store.put(`p/${i}`, 'x');
    await clock.advance(10);
  }
  t.ok(client.calls - before <= 12, `${client.calls - before} calls for 100 changes in a second`);
  stop.abort();
});

function startDirectory(): {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly client: FakeStoreClient;
  readonly endpoints: EndpointDirectory;
  readonly stop: AbortController;
} {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const client = store.client();
  const context = testContext(clock);
  const endpoints = new EndpointDirectory(context, client, keys, new JsonRecordDecoder(), () => undefined);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord());
  store.put(`${keys.endpointPrefix}e2`, endpointRecord());
  endpoints.start();
  return { clock, store, client, endpoints, stop: context.stop };
}

await tap.test('should stop using an endpoint that is leaving or was removed', async t => {
  const { clock, store, endpoints, stop } = startDirectory();
  await clock.advance(4000);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord({ isLeaving: true }));
  store.remove(`${keys.endpointPrefix}e2`);
  await clock.advance(1000);
  t.ok(endpoints.get('e1')?.isLeaving);
  t.equal(endpoints.get('e2'), undefined);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord());
  await clock.advance(1000);
  t.ok(endpoints.get('e1')?.isLeaving, 'leaving is final for one process of the endpoint');
  stop.abort();
});

await tap.test('should retain endpoints whose records expired in a store outage', async t => {
  // Guards against refusing every request after a store outage, until the endpoints have renewed their records.
  const { clock, store, client, endpoints, stop } = startDirectory();
  await clock.advance(1000);
  client.mode = 'refusing';
  await clock.advance(3000);
  store.remove(`${keys.endpointPrefix}e1`);
  store.remove(`${keys.endpointPrefix}e2`);
  client.mode = 'available';
  await clock.advance(1500);
  t.equal(endpoints.all().length, 2);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord());
  await clock.advance(3000);
  t.ok(endpoints.get('e1'), 'renewed its record');
  t.equal(endpoints.get('e2'), undefined, 'did not renew its record');
  stop.abort();
});

await tap.test('should reacquire a lost lease, and release it on request', async t => {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const context = testContext(clock);
  let losses = 0;
  const lease = new StoreLease(context, store.client(), 'k', { ttlMs: 2000, renewMs: 600 }, true, {
    value: () => 'me',
    acquireDelayMs: () => 0,
    held: () => undefined,
    lost: () => {
      losses += 1;
    },
  });
  lease.start();
  await clock.advance(5000);
  t.equal(store.value('k'), 'me', 'renewed');
  store.end('1');
  await clock.advance(1500);
  t.equal(losses, 1);
  t.equal(store.value('k'), 'me');
  await lease.release();
  t.equal(store.value('k'), undefined);
  context.stop.abort();
});

await tap.test('should hold a key whose acquisition got no response', async t => {
  // Guards against a key that is written but has no holder, because its writer took the lost response for a failure.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const context = testContext(clock);
  store.loseAnswers = 1;
  const lease = new StoreLease(context, store.client(), 'k', { ttlMs: 2000, renewMs: 600 }, true, {
    value: () => 'me',
    acquireDelayMs: () => 0,
    held: () => undefined,
    lost: () => undefined,
  });
  lease.start();
  await clock.advance(1000);
  t.equal(store.value('k'), 'me');
  await clock.advance(5000);
  t.equal(store.value('k'), 'me', 'its lease is renewed');
  context.stop.abort();
});

/** A clock whose wall time can advance without its monotonic time, as during a suspension of the process. */
class PausableClock extends VirtualClock {
  private _pausedMs = 0;

  override wallMs(): number {
    return super.wallMs() + this._pausedMs;
  }

  pause(ms: number): void {
    this._pausedMs += ms;
  }
}

interface OrdersSetup {
  readonly clock: PausableClock;
  readonly store: FakeStore;
  readonly client: ScriptedClient;
  readonly storeClient: FakeStoreClient;
  readonly orders: WeightOrders;
  readonly stop: AbortController;
}

const HANDOVER_MS = 3000;

async function startOrders(
  store?: FakeStore,
  clock: PausableClock = new PausableClock(),
  hostId = 'a',
): Promise<OrdersSetup> {
  const shared = store ?? new FakeStore(clock);
  if (!store) {
    const configuration = { revision: 1, route: route(), models: ['m'] };
    shared.put(keys.configurationKey, JSON.stringify(configuration));
    for (const id of ['e1', 'e2', 'e3', 'e4']) shared.put(`${keys.endpointPrefix}${id}`, endpointRecord());
  }
  const context = testContext(clock, hostId);
  const storeClient = shared.client();
  const client = new ScriptedClient(clock);
  const records = new JsonRecordDecoder();
  const configuration = new ConfigurationService(context, storeClient, keys, records);
  const endpoints = new EndpointDirectory(context, storeClient, keys, records, () => undefined);
  const hosts: Hosts = {
    self: () => ({ hostId, incarnation: '1', address: hostId }),
    isSynced: () => true,
    isAlive: () => true,
    onTerminated: () => () => undefined,
    isTerminated: () => false,
    isOwnDomain: () => true,
    isHeld: key => shared.value(key) !== undefined,
    onKeyChange: (_key, run) => every(clock, 10, context.stopped, run),
    lastOrders: domain => decodeHandover(shared.value(lastOrdersKey(domain)) ?? ''),
    peers: () => [],
    call: () => Promise.resolve(err({ kind: 'timed-out' })),
  };
  const demand = { ofPool: () => undefined, isAwaited: () => false };
  const ports = { store: storeClient, configuration, endpoints, hosts, client, demand };
  const orders = new WeightOrders(context, ports, 'tekapo', { handoverMs: HANDOVER_MS });
  configuration.start();
  endpoints.start();
  orders.start();
  await clock.advance(100);
  return { clock, store: shared, client, storeClient, orders, stop: context.stop };
}

function publishVersion(world: OrdersSetup, version: number): void {
  world.store.put(`${keys.versionPrefix}m`, JSON.stringify({ model: 'm', version }));
}

await tap.test('should delay its first order until the previous holder’s lease has expired', async t => {
  // Guards against conflicting orders: a holder whose key was revoked may order until its lease would have expired.
  const world = await startOrders();
  publishVersion(world, 2);
  await world.clock.advance(HANDOVER_MS + 900);
  t.equal(world.client.orders.length, 0);
  await world.clock.advance(1000);
  t.ok(world.client.orders.length > 0);
  world.stop.abort();
});

await tap.test('should order immediately if the last holder was the same host', async t => {
  // Guards against seconds without new weights after a restart of all hosts.
  const world = await startOrders();
  await world.clock.advance(6000);
  world.stop.abort();
  publishVersion(world, 2);
  const restarted = await startOrders(world.store, world.clock, 'a');
  await restarted.clock.advance(2500);
  t.ok(restarted.client.orders.length > 0);
  restarted.stop.abort();
});

await tap.test('should load weights at one of four endpoints at a time, at half in total', async t => {
  const world = await startOrders();
  await world.clock.advance(6000);
  publishVersion(world, 2);
  await world.clock.advance(500);
  t.equal(world.client.orders.length, 1, 'one endpoint loads');
  const [first] = world.client.orders;
  t.equal(first?.version, 2);
  t.ok((first?.fencingToken ?? 0) > 0);
  world.client.weightReport = endpoint => ({
    startWallMs: 0,
    versions: new Map([['m', world.client.orders.some(order => order.endpoint.id === endpoint.id) ? 2 : 1]]),
    isBusy: false,
    sequence: 0,
  });
  await world.clock.advance(4000);
  t.equal(new Set(world.client.orders.map(order => order.endpoint.id)).size, 2, 'half of the endpoints');
  world.stop.abort();
});

await tap.test('should stop ordering when its lease can’t be renewed', async t => {
  // Guards against two hosts that order the same endpoint. The lease counts from the request for its renewal, not from
  // the response.
  const world = await startOrders();
  await world.clock.advance(6000);
  world.storeClient.mode = 'silent';
  const cutMs = world.clock.nowMs();
  world.client.weightReport = endpoint => ({
    startWallMs: 0,
    versions: endpoint.versions,
    isBusy: false,
    sequence: 0,
  });
  world.orders.isHolder();
  await world.clock.advance(1200);
  world.client.orders.length = 0;
  await world.clock.advance(8000);
  t.same(
    world.client.orders.filter(order => order.atMs > cutMs + 1000),
    [],
  );
  world.stop.abort();
});

await tap.test('should not order after a suspension of the process until the lease is renewed', async t => {
  // Guards against an expired lease that looks valid, because the monotonic clock does not count a suspension.
  const world = await startOrders();
  await world.clock.advance(6000);
  world.storeClient.mode = 'silent';
  await world.clock.advance(50);
  world.clock.pause(5000);
  await world.clock.advance(150);
  publishVersion(world, 2);
  await world.clock.advance(700);
  t.equal(world.client.orders.length, 0);
  world.stop.abort();
});

await tap.test('should let one host of a failure domain hold the lease on its orders', async t => {
  const first = await startOrders();
  await first.clock.advance(1000);
  const second = await startOrders(first.store, first.clock, 'b');
  await first.clock.advance(3000);
  t.same([first.orders.isHolder(), second.orders.isHolder()], [true, false]);
  await first.orders.stop();
  first.stop.abort();
  // After a release, the successor waits only for the random acquisition delay of up to 0.3 s.
  await first.clock.advance(1500);
  t.ok(second.orders.isHolder());
  t.equal(first.store.value(ordersKey('tekapo')), 'b');
  second.stop.abort();
});

await tap.test('should resume most orders at once after a planned shutdown', async t => {
  // Guards against steps without new weights after a planned restart. The hand-over record lists the endpoints that
  // were ordered last, so the successor delays only their orders.
  const first = await startOrders();
  await first.clock.advance(6000);
  publishVersion(first, 2);
  await first.clock.advance(500);
  const [ordered] = first.client.orders;
  const orderedId = ordered?.endpoint.id ?? '';
  first.client.weightReport = endpoint => ({
    startWallMs: 0,
    versions: new Map([['m', endpoint.id === orderedId ? 2 : 1]]),
    isBusy: false,
    sequence: 0,
  });
  await first.clock.advance(300);
  const second = await startOrders(first.store, first.clock, 'b');
  await first.orders.stop();
  first.stop.abort();
  const stoppedMs = first.clock.nowMs();
  publishVersion(first, 4);
  await first.clock.advance(1000);
  const orderedIds = second.client.orders.map(order => order.endpoint.id);
  t.ok(
    orderedIds.length > 0 && !orderedIds.includes(orderedId),
    `ordered within a second: ${orderedIds.join(', ')}`,
  );
  await first.clock.advance(9000);
  const later = second.client.orders.find(order => order.endpoint.id === orderedId);
  t.ok(later && later.atMs - (ordered?.atMs ?? 0) > HANDOVER_MS, `ordered ${ordered?.atMs}, ${later?.atMs}`);
  t.ok(stoppedMs > 0);
  second.stop.abort();
});

await tap.test('should not order again after releasing its lease', async t => {
  // Guards against a lease renewal whose response arrives after the release and restores the lease.
  for (let phaseMs = 0; phaseMs < 500; phaseMs += 50) {
    const world = await startOrders();
    await world.clock.advance(6000);
    world.storeClient.callDelayMs = 200;
    await world.clock.advance(600 + phaseMs);
    void world.orders.stop();
    await world.clock.advance(250);
    t.notOk(world.orders.isHolder(), `stopped ${phaseMs} ms into its renewals`);
    world.stop.abort();
  }
});

await tap.test('should not wait for endpoints of a failure domain without a holder', async t => {
  // Guards against late weights while another failure domain is unreachable and its endpoints are first in the order.
  const clock = new PausableClock();
  const store = new FakeStore(clock);
  store.put(keys.configurationKey, JSON.stringify({ revision: 1, route: route(), models: ['m'] }));
  for (const id of ['e1', 'e2'])
    store.put(`${keys.endpointPrefix}${id}`, endpointRecord({ domain: 'twizel' }));
  for (const id of ['e3', 'e4']) store.put(`${keys.endpointPrefix}${id}`, endpointRecord());
  const world = await startOrders(store, clock);
  await clock.advance(6000);
  publishVersion(world, 3);
  await clock.advance(1000);
  t.same(
    world.client.orders.map(order => order.endpoint.id),
    ['e3'],
  );
  world.stop.abort();
});

interface RelaySetup {
  readonly clock: VirtualClock;
  readonly own: FakeStoreClient;
  readonly peer: FakeStoreClient;
  readonly store: RelayedStore;
  readonly data: FakeStore;
  readonly stop: AbortController;
}

function startRelay(): RelaySetup {
  const clock = new VirtualClock();
  const data = new FakeStore(clock);
  const own = data.client();
  const peer = data.client();
  const context = testContext(clock);
  const store = new RelayedStore(context, own);
  const peerStore = new RelayedStore(testContext(clock, 'peer'), peer);
  const handlers = new Map<string, (request: never) => unknown>();
  const registry: CallRegistry = {
    handle: (call, handler) => {
      handlers.set(call.name, handler as unknown as (request: never) => unknown);
    },
  };
  peerStore.serve(registry);
  store.setPeers({
    addresses: () => ['peer'],
    relay: async (_address, request) =>
      ok((await handlers.get('storeRelay')?.(request as never)) as StoreReply),
  });
  return { clock, own, peer, store, data, stop: context.stop };
}

await tap.test('should reach the store through a peer, and directly once it is available again', async t => {
  // Guards against a host that can't use the store while its peers can.
  const { clock, own, store, data, stop } = startRelay();
  own.mode = 'refusing';
  const put = { kind: 'put', key: 'k', value: 'v' } as const;
  const done = await store.transact([], [put], Deadline.after(clock, 1000));
  t.ok(done.ok && done.value.succeeded);
  t.equal(data.value('k'), 'v');
  const got = await store.get('k', Deadline.after(clock, 1000));
  t.ok(got.ok && got.value?.value === 'v');
  own.mode = 'available';
  await clock.advance(1500);
  const before = own.calls;
  await store.get('k', Deadline.after(clock, 1000));
  t.equal(own.calls, before + 1, 'direct again');
  stop.abort();
});

await tap.test('should not relay a write that may have been executed', async t => {
  const { clock, own, peer, store, stop } = startRelay();
  own.mode = 'silent';
  const put = { kind: 'put', key: 'k', value: 'v' } as const;
  const pending = store.transact([{ key: 'k', version: 0 }], [put], Deadline.after(clock, 2000));
  await clock.advance(2000);
  const done = await pending;
  t.ok(!done.ok && done.error === 'unknown');
  t.equal(peer.calls, 0);
  stop.abort();
});

await tap.test('should report that nothing was executed when no peer reaches the store either', async t => {
  const { clock, own, peer, store, stop } = startRelay();
  own.mode = 'refusing';
  peer.mode = 'refusing';
  const done = await store.transact([], [], Deadline.after(clock, 1000));
  t.ok(!done.ok && done.error === 'not-done');
  stop.abort();
});

await tap.test('should consider itself isolated only if no other failure domain responds', async t => {
  // Guards against all hosts being unready during a store outage.
  const { clock, own, peer, store, stop } = startRelay();
  const context = testContext(clock);
  let isPeerUp = true;
  const hosts: Hosts = {
    self: () => ({ hostId: 'a', incarnation: '1', address: 'a' }),
    isSynced: () => true,
    isAlive: () => true,
    onTerminated: () => () => undefined,
    isTerminated: () => false,
    isOwnDomain: () => false,
    isHeld: () => false,
    onKeyChange: () => undefined,
    lastOrders: () => undefined,
    peers: () => [{ hostId: 'b', incarnation: '1', address: 'b' }],
    call: () =>
      Promise.resolve(isPeerUp ? ok({ isStoreReachable: false } as never) : err({ kind: 'timed-out' })),
  };
  const monitor = new ReachabilityMonitor(context, store, hosts);
  monitor.start();
  own.mode = 'refusing';
  peer.mode = 'refusing';
  await clock.advance(5000);
  t.notOk(monitor.isIsolated(), 'the store is unavailable to all hosts');
  isPeerUp = false;
  await clock.advance(1500);
  t.ok(monitor.isIsolated());
  own.mode = 'available';
  await store.get('k', Deadline.after(clock, 500));
  await clock.advance(500);
  await clock.advance(1500);
  stop.abort();
  context.stop.abort();
});
