/**
 * The gateway's view of the store, its leases and orders, and how it forwards requests.
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

interface Mirrored {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly client: FakeStoreClient;
  readonly mirror: StoreMirror;
  readonly seen: Map<string, string>;
  readonly stop: AbortController;
}

function mirrored(): Mirrored {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const client = store.client();
  const seen = new Map<string, string>();
  const context = testContext(clock);
  const mirror = new StoreMirror(
    context,
    client,
    { prefix: 'p/', waitMs: 2000, spacingMs: 100 },
    {
      changed: (value: StoredValue) => seen.set(value.key, value.value),
      removed: key => seen.delete(key),
    },
  );
  mirror.start();
  return { clock, store, client, mirror, seen, stop: context.stop };
}

await tap.test('should hear of changes and of removals', async t => {
  const { clock, store, seen, stop } = mirrored();
  store.put('p/a', '1');
  await clock.advance(200);
  store.put('p/b', '2');
  store.remove('p/a');
  await clock.advance(300);
  t.same([...seen], [['p/b', '2']]);
  stop.abort();
});

await tap.test('should read anew when the store has dropped its history', async t => {
  // Symptom: a host never learns of an endpoint. Sequence: changes are made while no watch hears them, the history
  // is dropped, the watch is refused. Cause: going on from a revision that is gone.
  const { clock, store, client, seen, stop } = mirrored();
  store.put('p/a', '1');
  await clock.advance(200);
  client.mode = 'away';
  store.put('p/b', '2');
  store.remove('p/a');
  store.compact();
  client.mode = 'well';
  await clock.advance(3000);
  t.same([...seen], [['p/b', '2']]);
  stop.abort();
});

await tap.test('should give a silent watch up and keep its view meanwhile', async t => {
  const { clock, store, client, mirror, seen, stop } = mirrored();
  store.put('p/a', '1');
  await clock.advance(200);
  client.mode = 'silent';
  await clock.advance(8000);
  t.same([...seen], [['p/a', '1']]);
  t.ok(mirror.sinceFailureMs() < 4000);
  store.put('p/b', '2');
  client.mode = 'well';
  await clock.advance(5000);
  t.equal(seen.get('p/b'), '2');
  stop.abort();
});

await tap.test('should read changes together rather than one by one', async t => {
  const { clock, store, client, stop } = mirrored();
  await clock.advance(200);
  const before = client.calls;
  for (let i = 0; i < 100; i++) {
    store.put(`p/${i}`, 'x');
    await clock.advance(10);
  }
  t.ok(client.calls - before <= 12, `${client.calls - before} calls for 100 changes in a second`);
  stop.abort();
});

function directory(): {
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

await tap.test('should stop using an endpoint that is leaving or gone', async t => {
  const { clock, store, endpoints, stop } = directory();
  await clock.advance(4000);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord({ isLeaving: true }));
  store.remove(`${keys.endpointPrefix}e2`);
  await clock.advance(1000);
  t.ok(endpoints.get('e1')?.isLeaving);
  t.equal(endpoints.get('e2'), undefined);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord());
  await clock.advance(1000);
  t.ok(endpoints.get('e1')?.isLeaving, 'leaving is final for one start');
  stop.abort();
});

await tap.test('should keep endpoints that lapsed in an outage until they had time to return', async t => {
  // Symptom: after an outage of the store every request is refused for two seconds. Sequence: the store is away,
  // the endpoints' records lapse, it returns, the records follow. Cause: a missing record taken for a dead endpoint.
  const { clock, store, client, endpoints, stop } = directory();
  await clock.advance(1000);
  client.mode = 'away';
  await clock.advance(3000);
  store.remove(`${keys.endpointPrefix}e1`);
  store.remove(`${keys.endpointPrefix}e2`);
  client.mode = 'well';
  await clock.advance(1500);
  t.equal(endpoints.all().length, 2);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord());
  await clock.advance(3000);
  t.ok(endpoints.get('e1'), 'came back');
  t.equal(endpoints.get('e2'), undefined, 'still missing: gone');
  stop.abort();
});

await tap.test('should take a lost lease anew, and release it at once', async t => {
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

await tap.test('should not leave a key behind whose taking got no answer', async t => {
  // Symptom: nobody gives orders. Sequence: the key is written, the answer lost, the host takes itself for not the
  // holder, and the key stays. Cause: "no answer" taken for "not done".
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
  t.equal(store.value('k'), 'me', 'under a lease that is renewed');
  context.stop.abort();
});

/** A clock whose wall time can be set apart from its monotonic time, as a pause of the process does. */
class PausableClock extends VirtualClock {
  private _pausedMs = 0;

  override wallMs(): number {
    return super.wallMs() + this._pausedMs;
  }

  pause(ms: number): void {
    this._pausedMs += ms;
  }
}

interface Ordering {
  readonly clock: PausableClock;
  readonly store: FakeStore;
  readonly client: ScriptedClient;
  readonly storeClient: FakeStoreClient;
  readonly orders: WeightOrders;
  readonly stop: AbortController;
}

const HANDOVER_MS = 3000;

async function ordering(
  store?: FakeStore,
  clock: PausableClock = new PausableClock(),
  hostId = 'a',
): Promise<Ordering> {
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
  const ports = { store: storeClient, configuration, endpoints, hosts, client };
  const orders = new WeightOrders(context, ports, 'tekapo', { handoverMs: HANDOVER_MS });
  configuration.start();
  endpoints.start();
  orders.start();
  await clock.advance(100);
  return { clock, store: shared, client, storeClient, orders, stop: context.stop };
}

function name(world: Ordering, version: number): void {
  world.store.put(`${keys.versionPrefix}m`, JSON.stringify({ model: 'm', version }));
}

await tap.test('should wait before its first order until a former holder’s are over', async t => {
  // Symptom: an endpoint goes back to older weights. Sequence: the holder's key is revoked, it orders on until its
  // right ends, its successor orders at once. Cause: a free key taken for a silent predecessor.
  const world = await ordering();
  name(world, 2);
  await world.clock.advance(HANDOVER_MS + 900);
  t.equal(world.client.orders.length, 0);
  await world.clock.advance(1000);
  t.ok(world.client.orders.length > 0);
  world.stop.abort();
});

await tap.test('should order at once where the last holder was the same host', async t => {
  // Symptom: after a restart of all hosts trainers stand still for seconds, without new weights. Sequence: all are
  // killed and back within a second. Cause: the holder waits for its own former orders.
  const world = await ordering();
  await world.clock.advance(6000);
  world.stop.abort();
  name(world, 2);
  const again = await ordering(world.store, world.clock, 'a');
  await again.clock.advance(2500);
  t.ok(again.client.orders.length > 0);
  again.stop.abort();
});

await tap.test('should load one of four at a time, and half of them', async t => {
  const world = await ordering();
  await world.clock.advance(6000);
  name(world, 2);
  await world.clock.advance(500);
  t.equal(world.client.orders.length, 1, 'one loads');
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

await tap.test('should stop ordering when the store can’t renew its lease', async t => {
  // Symptom: two hosts order one endpoint in turns. Sequence: the holder is cut off from the store, its lease ends,
  // another takes it. Cause: the lease counted from the answer and not from the question, or not at all.
  const world = await ordering();
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

await tap.test('should not order after a pause of the process until the lease is renewed', async t => {
  // Symptom: as before. Sequence: the process stands still for seconds, its lease ends, it wakes and goes on. Cause:
  // the monotonic clock does not count the pause.
  const world = await ordering();
  await world.clock.advance(6000);
  world.storeClient.mode = 'silent';
  await world.clock.advance(50);
  world.clock.pause(5000);
  await world.clock.advance(150);
  name(world, 2);
  await world.clock.advance(700);
  t.equal(world.client.orders.length, 0);
  world.stop.abort();
});

await tap.test('should let one host of a domain hold the orders', async t => {
  const first = await ordering();
  await first.clock.advance(1000);
  const second = await ordering(first.store, first.clock, 'b');
  await first.clock.advance(3000);
  t.same([first.orders.isHolder(), second.orders.isHolder()], [true, false]);
  await first.orders.stop();
  first.stop.abort();
  // A holder that gives its right up leaves nothing to wait for but the spread of 0.3 s.
  await first.clock.advance(1500);
  t.ok(second.orders.isHolder());
  t.equal(first.store.value(ordersKey('tekapo')), 'b');
  second.stop.abort();
});

await tap.test('should go on at once after a planned end, but for the endpoints ordered last', async t => {
  // Symptom: a step finds no new weights after each planned restart. Sequence: the holder of the orders gets the signal
  // to end and gives the right up; its successor waits 4 s as if it had died. Cause: nothing tells which endpoints were
  // ordered, and when.
  const first = await ordering();
  await first.clock.advance(6000);
  name(first, 2);
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
  const second = await ordering(first.store, first.clock, 'b');
  await first.orders.stop();
  first.stop.abort();
  const stoppedMs = first.clock.nowMs();
  name(first, 4);
  await first.clock.advance(1000);
  const soon = second.client.orders.map(order => order.endpoint.id);
  t.ok(soon.length > 0 && !soon.includes(orderedId), `ordered within a second: ${soon.join(', ')}`);
  await first.clock.advance(9000);
  const again = second.client.orders.find(order => order.endpoint.id === orderedId);
  t.ok(again && again.atMs - (ordered?.atMs ?? 0) > HANDOVER_MS, `ordered ${ordered?.atMs}, ${again?.atMs}`);
  t.ok(stoppedMs > 0);
  second.stop.abort();
});

await tap.test('should not order again after giving the right up', async t => {
  // Symptom: an endpoint gets orders of two hosts within a second of a planned end. Sequence: the holder ends while a
  // renewal of its lease is on its way to a slow store; the answer comes after the release. Cause: the answer was taken
  // for the right to order.
  for (let phaseMs = 0; phaseMs < 500; phaseMs += 50) {
    const world = await ordering();
    await world.clock.advance(6000);
    world.storeClient.callDelayMs = 200;
    await world.clock.advance(600 + phaseMs);
    void world.orders.stop();
    await world.clock.advance(250);
    t.notOk(world.orders.isHolder(), `ended ${phaseMs} ms into its renewals`);
    world.stop.abort();
  }
});

await tap.test('should not wait for endpoints that nobody orders', async t => {
  // Symptom: new weights come 2.5 s late while another failure domain is cut off. Sequence: the endpoints that are due
  // first stand in the domain whose holder is gone; one load at a time is allowed. Cause: every domain keeps the same
  // order, and waits for the first in it.
  const clock = new PausableClock();
  const store = new FakeStore(clock);
  store.put(keys.configurationKey, JSON.stringify({ revision: 1, route: route(), models: ['m'] }));
  for (const id of ['e1', 'e2'])
    store.put(`${keys.endpointPrefix}${id}`, endpointRecord({ domain: 'twizel' }));
  for (const id of ['e3', 'e4']) store.put(`${keys.endpointPrefix}${id}`, endpointRecord());
  const world = await ordering(store, clock);
  await clock.advance(6000);
  name(world, 3);
  await clock.advance(1000);
  t.same(
    world.client.orders.map(order => order.endpoint.id),
    ['e3'],
  );
  world.stop.abort();
});

interface Relaying {
  readonly clock: VirtualClock;
  readonly own: FakeStoreClient;
  readonly peer: FakeStoreClient;
  readonly store: RelayedStore;
  readonly data: FakeStore;
  readonly stop: AbortController;
}

function relaying(): Relaying {
  const clock = new VirtualClock();
  const data = new FakeStore(clock);
  const own = data.client();
  const peer = data.client();
  const context = testContext(clock);
  const store = new RelayedStore(context, own);
  const helper = new RelayedStore(testContext(clock, 'peer'), peer);
  const handlers = new Map<string, (request: never) => unknown>();
  const registry: CallRegistry = {
    handle: (call, handler) => {
      handlers.set(call.name, handler as unknown as (request: never) => unknown);
    },
  };
  helper.serve(registry);
  store.setPeers({
    addresses: () => ['peer'],
    relay: async (_address, request) =>
      ok((await handlers.get('storeRelay')?.(request as never)) as StoreReply),
  });
  return { clock, own, peer, store, data, stop: context.stop };
}

await tap.test('should reach the store through a peer, and directly again when it can', async t => {
  // Symptom: one host can list nothing for seconds while its neighbours can. Sequence: the store turns this host
  // away. Cause: no other way to it.
  const { clock, own, store, data, stop } = relaying();
  own.mode = 'away';
  const put = { kind: 'put', key: 'k', value: 'v' } as const;
  const done = await store.transact([], [put], Deadline.after(clock, 1000));
  t.ok(done.ok && done.value.succeeded);
  t.equal(data.value('k'), 'v');
  const got = await store.get('k', Deadline.after(clock, 1000));
  t.ok(got.ok && got.value?.value === 'v');
  own.mode = 'well';
  await clock.advance(1500);
  const before = own.calls;
  await store.get('k', Deadline.after(clock, 1000));
  t.equal(own.calls, before + 1, 'direct again');
  stop.abort();
});

await tap.test('should not repeat a write by another way when it may have been done', async t => {
  const { clock, own, peer, store, stop } = relaying();
  own.mode = 'silent';
  const put = { kind: 'put', key: 'k', value: 'v' } as const;
  const pending = store.transact([{ key: 'k', version: 0 }], [put], Deadline.after(clock, 2000));
  await clock.advance(2000);
  const done = await pending;
  t.ok(!done.ok && done.error === 'unknown');
  t.equal(peer.calls, 0);
  stop.abort();
});

await tap.test('should say that nothing was done when no peer reaches the store either', async t => {
  const { clock, own, peer, store, stop } = relaying();
  own.mode = 'away';
  peer.mode = 'away';
  const done = await store.transact([], [], Deadline.after(clock, 1000));
  t.ok(!done.ok && done.error === 'not-done');
  stop.abort();
});

await tap.test('should take itself for cut off only when no other domain answers', async t => {
  // Symptom: during an outage of the store no host is ready. Cause: the store's absence taken for an own cut.
  const { clock, own, peer, store, stop } = relaying();
  const context = testContext(clock);
  let doesAnswer = true;
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
      Promise.resolve(doesAnswer ? ok({ isStoreReachable: false } as never) : err({ kind: 'timed-out' })),
  };
  const monitor = new ReachabilityMonitor(context, store, hosts);
  monitor.start();
  own.mode = 'away';
  peer.mode = 'away';
  await clock.advance(5000);
  t.notOk(monitor.isCutOff(), 'the store is away for all');
  doesAnswer = false;
  await clock.advance(1500);
  t.ok(monitor.isCutOff());
  own.mode = 'well';
  await store.get('k', Deadline.after(clock, 500));
  await clock.advance(500);
  await clock.advance(1500);
  stop.abort();
  context.stop.abort();
});
