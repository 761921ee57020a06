/**
 * Items of batches under which endpoints crashed: they are still owed, and are placed again at once.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import type { BatchItem } from '@fuchsiahitch/batches';
import { CrashingEndpoints } from './crashingEndpoints.js';
import { GatewayFleet } from './gatewayFleet.js';
import { batch, item, route, scoredItem } from './gatewayFixtures.js';
import { lookupRequest, NEVER_ABORTED } from './lookupRequests.js';

/** More than make a plain request a suspect, and than its trials. */
const CRASHES = 6;
/** A crash breaks an attempt after 60 ms; the next one starts within two rounds of placement. */
const MAX_GAP_MS = 200;
const ITEM_ROUTE = route({ run: 'idempotent', maxAttempts: 2, timeoutMs: 1500, targetMs: 186 });

interface World {
  readonly fleet: GatewayFleet;
  readonly endpoints: CrashingEndpoints;
}

async function startWorld(): Promise<World> {
  const fleet = new GatewayFleet({ hosts: 4, domains: 2, endpoints: 0 });
  const endpoints = new CrashingEndpoints(fleet);
  for (let i = 0; i < 8; i++) endpoints.add('gen-pool');
  for (let i = 0; i < 8; i++) endpoints.add('scorers');
  await fleet.start();
  await fleet.clock.advance(1000);
  return { fleet, endpoints };
}

/** Endpoints crash under a target until they have done so `count` times in all. */
function crashUnder({ endpoints }: World, target: string, count: number): void {
  endpoints.isPoison = call =>
    call.target === target && endpoints.crashes.filter(crash => crash.target === target).length < count;
}

async function submit(
  { fleet }: World,
  hostIndex: number,
  id: string,
  items: readonly BatchItem[],
): Promise<void> {
  const host = fleet.hosts[hostIndex];
  const accepted = host?.gateway.batches.submit(batch(id, items), Deadline.after(fleet.clock, 1000));
  await fleet.clock.advance(100);
  if ((await accepted)?.kind !== 'accepted') throw new Error(`batch ${id} was not accepted`);
}

async function listedIds({ fleet }: World, hostIndex: number, batchId: string): Promise<readonly string[]> {
  const reading = fleet.hosts[hostIndex]?.gateway.batches.read(batchId, 0, 0);
  await fleet.clock.advance(300);
  const read = await reading;
  const results = read?.kind === 'page' ? read.page.results : [];
  return results.filter(({ state }) => state === 'completed').map(({ id }) => id);
}

/** The longest time between two sends of a target. */
function longestGapMs({ endpoints }: World, target: string): number {
  const times = endpoints.receivedFor(target).map(({ atMs }) => atMs);
  return Math.max(...times.slice(1).map((atMs, i) => atMs - (times[i] ?? atMs)));
}

await tap.test('should place an item again at once, however many endpoints crashed under it', async t => {
  // Guards against an item that is held as if it crashed endpoints by itself, until its step has run out of time.
  const world = await startWorld();
  crashUnder(world, '/run/unlucky', CRASHES);
  const items = ['a', 'b', 'unlucky', 'c', 'd'].map((id, i) => item(id, { group: `g${i % 2}` }));
  await submit(world, 0, 'b1', items);
  await world.fleet.clock.advance(CRASHES * MAX_GAP_MS);
  t.equal(world.endpoints.crashes.length, CRASHES);
  t.equal(world.endpoints.receivedFor('/run/unlucky').length, CRASHES + 1);
  t.ok(longestGapMs(world, '/run/unlucky') <= MAX_GAP_MS);
  t.same([...(await listedIds(world, 0, 'b1'))].sort(), ['a', 'b', 'c', 'd', 'unlucky']);
  world.fleet.stop();
});

await tap.test('should place an item again at a new owner and in a later batch', async t => {
  // Guards against marks in the store that outlive the owner or the batch under which endpoints crashed.
  const world = await startWorld();
  crashUnder(world, '/run/unlucky', Infinity);
  await submit(world, 0, 'b1', [item('a'), item('unlucky', { group: 'g2' })]);
  await world.fleet.clock.advance(1000);
  t.ok(world.endpoints.crashes.length >= 3);
  world.fleet.hosts[0]?.kill();
  crashUnder(world, '/run/unlucky', 0);
  for (let i = 0; i < 10; i++) await listedIds(world, 1, 'b1');
  t.same([...(await listedIds(world, 1, 'b1'))].sort(), ['a', 'unlucky'], 'the new owner runs it');
  crashUnder(world, '/run/again', Infinity);
  await submit(world, 2, 'b2', [item('again')]);
  await world.fleet.clock.advance(1000);
  void world.fleet.hosts[2]?.gateway.batches.end('b2');
  await world.fleet.clock.advance(300);
  crashUnder(world, '/run/again', 0);
  // The endpoints that crashed restart within two seconds.
  await submit(world, 3, 'b3', [item('again')]);
  await world.fleet.clock.advance(2500);
  t.same(await listedIds(world, 3, 'b3'), ['again'], 'the next batch runs it');
  world.fleet.stop();
});

await tap.test('should keep items apart from equal plain requests', async t => {
  // Guards against an item that is held for what crashed under a caller's request with the same path and body, and the reverse.
  const world = await startWorld();
  const { fleet, endpoints } = world;
  const sendPlain = async (id: string): Promise<string | undefined> => {
    const equal = { host: 'quests', body: Buffer.from(id) };
    const request = lookupRequest(`r-${id}-${fleet.clock.nowMs()}`, `/run/${id}`, equal);
    const outcome = fleet.hosts[1]?.gateway.forwarder.forward(request, ITEM_ROUTE, NEVER_ABORTED);
    await fleet.clock.advance(300);
    return (await outcome)?.kind;
  };
  crashUnder(world, '/run/x', Infinity);
  for (let i = 0; i < 4; i++) await sendPlain('x');
  await fleet.clock.advance(2500);
  await sendPlain('x');
  t.equal(await sendPlain('x'), 'rejected', 'the plain request is withheld');
  crashUnder(world, '/run/x', 0);
  await submit(world, 0, 'b1', [item('x')]);
  await fleet.clock.advance(300);
  t.same(await listedIds(world, 0, 'b1'), ['x'], 'the equal item is not');
  t.equal(await sendPlain('x'), 'rejected', 'nor does the item release the plain request');
  const before = endpoints.crashes.length;
  crashUnder(world, '/run/y', CRASHES);
  await submit(world, 2, 'b2', [item('y')]);
  await fleet.clock.advance(CRASHES * MAX_GAP_MS);
  t.equal(endpoints.crashes.length - before, CRASHES);
  t.equal(await sendPlain('y'), 'answered', 'what crashed under an item does not hold the plain request');
  fleet.stop();
});

await tap.test(
  'should request the score of an item again, however many endpoints crashed under it',
  async t => {
    // Guards against an item that is complete and never listed, since its score counts as a request that crashes endpoints.
    const world = await startWorld();
    crashUnder(world, '/score/x', CRASHES);
    await submit(world, 0, 'b1', [scoredItem('x')]);
    await world.fleet.clock.advance(20_000);
    t.equal(world.endpoints.crashes.length, CRASHES);
    t.same(await listedIds(world, 0, 'b1'), ['x']);
    world.fleet.stop();
  },
);
