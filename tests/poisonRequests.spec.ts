/**
 * Poison requests, at a fleet of complete gateways.
 */
import tap from 'tap';
import type { CallerRequest, ForwardOutcome } from '@fuchsiahitch/gateway';
import { CrashingEndpoints } from './crashingEndpoints.js';
import { GatewayFleet } from './gatewayFleet.js';
import {
  ANNOUNCEMENT_BOUND_MS,
  LOOKUP_ROUTE,
  lookupRequest,
  MAX_LATER_SENDS,
  NEVER_ABORTED,
} from './lookupRequests.js';

const POISON_TARGET = '/lookup/deadly';

interface World {
  readonly fleet: GatewayFleet;
  readonly endpoints: CrashingEndpoints;
}

/** A fleet of nine hosts in three failure domains, with `count` endpoints in one pool. */
async function startWorld(pool = 'storefront', count = 3): Promise<World> {
  const fleet = new GatewayFleet({ hosts: 9, domains: 3, endpoints: 0 });
  const endpoints = new CrashingEndpoints(fleet);
  for (let i = 0; i < count; i++) endpoints.add(pool);
  endpoints.isPoison = call => call.target === POISON_TARGET;
  await fleet.start();
  await fleet.clock.advance(1000);
  return { fleet, endpoints };
}

/** Sends a request to the host of the turn, as a round-robin load balancer does. */
async function send({ fleet }: World, turn: number, request: CallerRequest): Promise<ForwardOutcome> {
  const host = fleet.hosts[turn % fleet.hosts.length];
  if (!host) throw new Error('no host');
  return host.gateway.forwarder.forward(request, LOOKUP_ROUTE, NEVER_ABORTED);
}

/** Counts sends of a target after all connected hosts must have received its third end mark. */
function laterSends(endpoints: CrashingEndpoints, target: string): number {
  const third = endpoints.crashes.filter(crash => crash.target === target)[2];
  if (!third) return 0;
  return endpoints.receivedFor(target).filter(({ atMs }) => atMs > third.atMs + ANNOUNCEMENT_BOUND_MS).length;
}

await tap.test('should stop sending a poison request at every host', async t => {
  // Guards against a request that crashes endpoint after endpoint, because callers repeat it at other hosts and under
  // other identifiers.
  const world = await startWorld();
  const { fleet, endpoints } = world;
  for (let turn = 0; turn < 20; turn++) {
    void send(world, turn, lookupRequest(`r${turn}`, POISON_TARGET));
    await fleet.clock.advance(220);
    void send(world, turn + 4, lookupRequest(`again${turn}`, POISON_TARGET));
    await fleet.clock.advance(1300);
  }
  const later = laterSends(endpoints, POISON_TARGET);
  t.ok(later <= MAX_LATER_SENDS, `${later} late sends, ${endpoints.crashes.length} crashes in total`);
  fleet.stop();
});

await tap.test('should serve other requests while a poison request crashes endpoints', async t => {
  // Guards against refusing lookups although an endpoint runs, because refused connections count as attempts.
  const world = await startWorld();
  const { fleet, endpoints } = world;
  const outcomes: ForwardOutcome['kind'][] = [];
  void send(world, 0, lookupRequest('r0', POISON_TARGET));
  await fleet.clock.advance(200);
  t.equal(endpoints.liveCount('storefront'), 1);
  for (let i = 0; i < 40; i++) {
    void send(world, i, lookupRequest(`s${i}`, `/lookup/${i}`)).then(({ kind }) => outcomes.push(kind));
    await fleet.clock.advance(25);
  }
  await fleet.clock.advance(1500);
  t.same(
    outcomes.filter(kind => kind !== 'answered'),
    [],
  );
  fleet.stop();
});

await tap.test('should serve a popular request again after its endpoints have restarted', async t => {
  // A popular request runs on every endpoint that crashes, and must not be condemned for it.
  const world = await startWorld();
  const { fleet, endpoints } = world;
  const outcomes: { readonly atMs: number; readonly kind: string }[] = [];
  const endsMs: number[] = [];
  for (let i = 0; i < 400; i++) {
    const atMs = fleet.clock.nowMs();
    void send(world, i, lookupRequest(`p${i}`, '/lookup/popular')).then(({ kind }) =>
      outcomes.push({ atMs, kind }),
    );
    await fleet.clock.advance(40);
    if (i % 100 !== 20) continue;
    endsMs.push(fleet.clock.nowMs());
    endpoints.crashAll('storefront');
  }
  await fleet.clock.advance(1500);
  const isDown = (atMs: number): boolean => endsMs.some(endMs => atMs > endMs - 100 && atMs < endMs + 2500);
  const refused = outcomes.filter(({ atMs, kind }) => kind !== 'answered' && !isDown(atMs));
  t.equal(endpoints.crashes.length, 12);
  t.same(refused, [], 'half a second after the restarts');
  fleet.stop();
});

await tap.test('should report the outcome of a poison request without delay', async t => {
  // `unknown` after it ran, `not-run` while it is held for a trial, `rejected` after the trial.
  const world = await startWorld();
  const { fleet, endpoints } = world;
  const first = send(world, 0, lookupRequest('r0', POISON_TARGET));
  await fleet.clock.advance(300);
  t.same(await first, { kind: 'unknown', reason: 'broken' });
  const sentMs = fleet.clock.nowMs();
  const held = await send(world, 5, lookupRequest('r1', POISON_TARGET));
  t.ok(held.kind === 'not-run' && held.retryAfterMs > 1000 && held.retryAfterMs <= 2000, held.kind);
  t.equal(fleet.clock.nowMs(), sentMs, 'without delay');
  await fleet.clock.advance(2000);
  const trial = send(world, 7, lookupRequest('r2', POISON_TARGET));
  await fleet.clock.advance(200);
  t.same(await trial, { kind: 'unknown', reason: 'broken' });
  t.equal(endpoints.crashes.length, 3);
  await fleet.clock.advance(500);
  for (let turn = 0; turn < 9; turn++)
    t.equal((await send(world, turn, lookupRequest(`x${turn}`, POISON_TARGET))).kind, 'rejected');
  fleet.stop();
});

await tap.test('should identify a request by its caller, method, path and body only', async t => {
  const world = await startWorld();
  const { fleet } = world;
  void send(world, 0, lookupRequest('r0', POISON_TARGET, { caller: 'a', headers: [['x', '1']] }));
  await fleet.clock.advance(2500);
  world.endpoints.isPoison = () => false;
  const kindOf = async (request: CallerRequest): Promise<string> => {
    const outcome = send(world, 4, request);
    await fleet.clock.advance(100);
    return (await outcome).kind;
  };
  t.equal(await kindOf(lookupRequest('r1', POISON_TARGET, { caller: 'b' })), 'answered', 'another account');
  t.equal(
    await kindOf(lookupRequest('r2', POISON_TARGET, { caller: 'a', body: Buffer.from('b') })),
    'answered',
  );
  t.equal(await kindOf(lookupRequest('r3', `${POISON_TARGET}?page=2`, { caller: 'a' })), 'answered');
  t.equal(await kindOf(lookupRequest('r4', POISON_TARGET, { caller: 'a', method: 'PUT' })), 'answered');
  fleet.stop();
});

await tap.test('should remember a poison request after all hosts have restarted', async t => {
  const world = await startWorld();
  const { fleet, endpoints } = world;
  for (let turn = 0; turn < 3; turn++) {
    void send(world, turn, lookupRequest(`r${turn}`, POISON_TARGET));
    await fleet.clock.advance(2300);
  }
  t.equal(endpoints.crashes.length, 3);
  fleet.stop();
  endpoints.received.splice(0);
  await fleet.start('2');
  await fleet.clock.advance(3000);
  for (let turn = 0; turn < 9; turn++) {
    void send(world, turn, lookupRequest(`again${turn}`, POISON_TARGET));
    await fleet.clock.advance(300);
  }
  t.equal(endpoints.receivedFor(POISON_TARGET).length, 0, 'not sent to any endpoint');
  fleet.stop();
});

await tap.test('should announce a poison request to other hosts during a store outage', async t => {
  // Guards against a request that crashes two endpoints at each host while marks can't be stored.
  const world = await startWorld('storefront', 24);
  const { fleet, endpoints } = world;
  for (const host of fleet.hosts) host.storeClient.mode = 'refusing';
  for (let turn = 0; turn < 9; turn++) {
    void send(world, turn, lookupRequest(`r${turn}`, POISON_TARGET));
    await fleet.clock.advance(1100);
  }
  t.ok(endpoints.crashes.length <= 3, `${endpoints.crashes.length} endpoints crashed`);
  for (const host of fleet.hosts) host.storeClient.mode = 'available';
  await fleet.clock.advance(3000);
  const stored = fleet.store.keys('fuchsiahitch/live/poison/');
  t.ok(stored.length >= 2, 'the marks are stored after the outage');
  fleet.stop();
});

await tap.test('should hold poison streams and non-idempotent poison requests', async t => {
  const world = await startWorld();
  const { fleet, endpoints } = world;
  const once = { ...LOOKUP_ROUTE, run: 'non-idempotent' as const };
  const sink = {
    begin: () => undefined,
    write: () => Promise.resolve(),
    end: () => undefined,
    abort: () => undefined,
  };
  for (let turn = 0; turn < 12; turn++) {
    const { forwarder } = fleet.hosts[turn % 9]?.gateway ?? {};
    const request = lookupRequest(`r${turn}`, POISON_TARGET);
    if (turn % 2 === 0) void forwarder?.forward(request, once, NEVER_ABORTED);
    else void forwarder?.stream(request, { ...LOOKUP_ROUTE, run: 'stream' }, sink, NEVER_ABORTED);
    await fleet.clock.advance(700);
  }
  t.ok(endpoints.crashes.length <= 3, `${endpoints.crashes.length} endpoints crashed`);
  fleet.stop();
});

await tap.test('should bound the endpoints crashed by concurrent copies of a request', async t => {
  const world = await startWorld('storefront', 9);
  const { fleet, endpoints } = world;
  for (let turn = 0; turn < 9; turn++) void send(world, turn, lookupRequest(`r${turn}`, POISON_TARGET));
  await fleet.clock.advance(4000);
  for (let turn = 0; turn < 20; turn++) {
    void send(world, turn, lookupRequest(`again${turn}`, POISON_TARGET));
    await fleet.clock.advance(1000);
  }
  const later = laterSends(endpoints, POISON_TARGET);
  t.ok(later <= MAX_LATER_SENDS, `${later} late sends, ${endpoints.crashes.length} crashes in total`);
  fleet.stop();
});

await tap.test(
  'should store no marks for requests that broke once and were answered by another endpoint',
  async t => {
    // A crash breaks all requests at the endpoint; a store write for each would be costly in a large fleet.
    const world = await startWorld('storefront', 6);
    const { fleet, endpoints } = world;
    for (let i = 0; i < 60; i++) void send(world, i, lookupRequest(`s${i}`, `/lookup/${i}`));
    await fleet.clock.advance(10);
    const before = fleet.store.calls.length;
    endpoints.crashBusiest('storefront');
    await fleet.clock.advance(200);
    t.equal(endpoints.crashes.length, 1);
    t.notOk(fleet.store.calls.slice(before).includes('transact'));
    fleet.stop();
  },
);
