/**
 * Moves of items that must save time, and start at the target that they have reserved.
 */
import tap from 'tap';
import { Deadline, SeededRandom } from '@fuchsiahitch/base';
import {
  continueMoved,
  eventsLeft,
  eventsPerToken,
  KnownFastPlacement,
  MostFreePlacement,
  PaceEstimator,
  PaceRatioMoves,
  TimeSavingMoves,
  type EstimatedItem,
  type MoveTarget,
  type PlacementEndpoint,
  type RunningItem,
} from '@fuchsiahitch/batches';
import { batch, item } from './gatewayFixtures.js';
import type { GatewayHost } from './gatewayHosts.js';
import { endpointOf, linesOf, SpeedWorld } from './speedWorld.js';

/** Less than half the time of `SLOW` would make new items wait for a fast endpoint. */
const FAST = { eventMs: 35, percent: 65 };
const SLOW = { eventMs: 65, percent: 120 };
const SLOWEST = { eventMs: 100, percent: 200 };

function running(overrides: Partial<RunningItem> = {}): RunningItem {
  return {
    itemId: 'x',
    endpointId: 'slow',
    paceMs: 60,
    elapsedMs: 2000,
    events: 20,
    expectedEvents: 60,
    moves: 0,
    failedMoves: 0,
    sinceFailedMoveMs: Infinity,
    avoid: new Set(),
    ...overrides,
  };
}

function target(id: string, paceMs: number | undefined, freeSlots = 1): MoveTarget {
  return { id, paceMs, freeSlots, isLoadRecent: true };
}

await tap.test('should move an item only if that saves half a second', t => {
  // Fails if attempts are aborted for gains that their new connections consume.
  const policy = new TimeSavingMoves();
  const isMoved = (overrides: Partial<RunningItem>, to: MoveTarget = target('fast', 30)): boolean =>
    policy.plan([running(overrides)], [to]).length > 0;
  t.ok(isMoved({ expectedEvents: 47 }), '27 events of 30 ms less, minus 300 ms');
  t.notOk(isMoved({ expectedEvents: 46 }));
  t.ok(isMoved({ expectedEvents: 10, events: 54 }), 'has exceeded its estimate: half of its events are left');
  t.notOk(isMoved({ expectedEvents: 10, events: 53 }));
  t.notOk(isMoved({}, target('fast', undefined)), 'a target of unknown pace');
  t.notOk(isMoved({ avoid: new Set(['fast']) }));
  t.notOk(isMoved({ endpointId: 'fast' }));
  t.ok(isMoved({ moves: 1 }));
  t.notOk(isMoved({ moves: 2 }), 'the third time');
  t.ok(isMoved({ failedMoves: 1, sinceFailedMoveMs: 1000 }));
  t.notOk(isMoved({ failedMoves: 1, sinceFailedMoveMs: 999 }), 'too early after a failed move');
  t.ok(isMoved({ failedMoves: 3, sinceFailedMoveMs: 4000 }));
  t.notOk(isMoved({ failedMoves: 3, sinceFailedMoveMs: 3999 }), 'the pause doubles');
  t.ok(isMoved({ expectedEvents: 500 }, target('fast', 58)));
  t.notOk(isMoved({ expectedEvents: 500 }, target('slower', 61)));
  const nearlyEqual = [target('free', 46, 8), target('fastest', 42)];
  t.match(policy.plan([running({ expectedEvents: 65 })], nearlyEqual), [{ targetId: 'fastest' }]);
  t.equal(eventsLeft({ events: 10, expectedEvents: 40 }), 30);
  t.equal(eventsLeft({ events: 40, expectedEvents: 0 }), 20, 'without an estimate');
  t.end();
});

await tap.test('should give the free slots to the items that gain most', t => {
  // Fails if several items move to one slot, or a short item takes the slot that the longest one needs.
  const items = [
    running({ itemId: 'short', expectedEvents: 50 }),
    running({ itemId: 'longest', expectedEvents: 150 }),
    running({ itemId: 'long', expectedEvents: 100 }),
  ];
  const targets = [target('slower', 58, 9), target('faster', 28), target('fast', 30)];
  t.same(
    new TimeSavingMoves().plan(items, targets).map(({ itemId, targetId }) => [itemId, targetId]),
    [
      ['longest', 'faster'],
      ['long', 'fast'],
    ],
  );
  t.end();
});

await tap.test('should move one item at a time to an endpoint of unknown load', t => {
  // Fails if several attempts are aborted for slots that other hosts have taken.
  const items = ['a', 'b', 'c'].map(itemId => running({ itemId }));
  const unknown = { ...target('unknown', 28, 8), isLoadRecent: false };
  const planned = (...targets: readonly MoveTarget[]): readonly string[] =>
    new TimeSavingMoves().plan(items, targets).map(({ targetId }) => targetId);
  t.same(planned(unknown), ['unknown']);
  t.same(planned(unknown, target('known', 30, 1)), ['known', 'unknown'], 'about as fast, but certain');
  t.same(planned(unknown, target('slower', 40, 1)), ['unknown', 'slower']);
  t.end();
});

await tap.test('should keep the previous rules as the other policy', t => {
  const policy = new PaceRatioMoves();
  const items = [
    running({ itemId: 'new', elapsedMs: 500 }),
    running({ itemId: 'a', moves: 5, expectedEvents: 0, events: 1 }),
    running({ itemId: 'b' }),
  ];
  const moves = policy.plan(items, [target('unknown', undefined, 9), target('slow', 10), target('fast', 30)]);
  t.match(moves, [{ itemId: 'a', targetId: 'fast' }]);
  t.equal(moves.length, 1, 'one slot');
  t.notOk(policy.isTargetBinding);
  t.end();
});

await tap.test('should move no item between endpoints of equal speed', t => {
  // Fails if the variation of measured paces passes for a gain, which is greatest for the longest items: 130 events.
  let moves = 0;
  for (let run = 1; run <= 200; run++) {
    const targets = Array.from({ length: 30 }, (_, i) =>
      target(`e${i}`, measuredPaceMs(5000 + 100 * run + i)),
    );
    const long = running({ paceMs: measuredPaceMs(run), events: 20, expectedEvents: 150 });
    moves += new TimeSavingMoves().plan([long], targets).length;
  }
  t.equal(moves, 0);
  t.end();
});

/** The pace measured from 100 intervals of a stream with an event every 45 ms, read in bursts of one to four. */
function measuredPaceMs(seed: number): number {
  const random = new SeededRandom(seed);
  const pace = new PaceEstimator();
  let leftOfBurst = 0;
  for (let i = 0; i < 100; i++) {
    const burst = leftOfBurst > 0 ? 0 : 1 + random.below(4);
    pace.addInterval(45 * burst);
    leftOfBurst = Math.max(leftOfBurst, burst) - 1;
  }
  return pace.estimateMs() ?? 0;
}

await tap.test('should convert estimates to events although most items still run', t => {
  // Fails if estimates in tokens are compared with numbers of events, or the first items to finish pass for the median.
  const of = (expectedTokens: number, events: number, isComplete: boolean): EstimatedItem => ({
    expectedTokens,
    events,
    isComplete,
  });
  t.equal(eventsPerToken([of(0, 12, true), of(100, 0, true)]), undefined, 'no estimates or no events');
  const estimates = [100, 200, 300, 400, 500];
  const atEvent = (now: number): number | undefined =>
    eventsPerToken(estimates.map(tokens => of(tokens, Math.min(now, tokens / 10), now >= tokens / 10)));
  t.equal(atEvent(50), 0.1, 'all are complete');
  t.equal(atEvent(31), 0.1, 'three are complete');
  t.ok((atEvent(15) ?? 1) <= 0.1 && (atEvent(15) ?? 0) >= 0.05, 'a lower bound before');
  const halfComplete = [of(100, 2, true), of(100, 10, true), of(100, 11, false), of(100, 12, true)];
  t.equal(eventsPerToken(halfComplete), 0.1);
  t.end();
});

function candidate(id: string, freeSlots: number, paceMs?: number): PlacementEndpoint {
  return { id, freeSlots, paceMs, domain: 'tekapo' };
}

await tap.test('should continue a moved item at no endpoint slower than the one it left', t => {
  // Fails if an item whose target is gone ends up slower than before.
  const left = { id: 'left', paceMs: 60 };
  const continued = (...endpoints: readonly PlacementEndpoint[]): unknown =>
    continueMoved(endpoints, left, new Set(['avoided']));
  const source = candidate('left', 1, 60);
  t.match(continued(source, candidate('slow', 8, 65), candidate('fast', 1, 30)), {
    endpoint: { id: 'fast' },
  });
  t.match(continued(source, candidate('slow', 8, 65), candidate('fast', 0, 30)), {
    endpoint: { id: 'left' },
  });
  t.match(continued(source, candidate('unknown', 8), candidate('avoided', 8, 30)), {
    endpoint: { id: 'left' },
  });
  t.match(continued(source, candidate('equal', 8, 58)), { endpoint: { id: 'left' } });
  t.match(continued(candidate('left', 0, 60), candidate('equal', 8, 58)), { endpoint: { id: 'equal' } });
  t.same(continued(candidate('left', 0, 60), candidate('slow', 8, 65)), { kind: 'wait' });
  t.same(continued(candidate('slow', 8, 65), candidate('avoided', 8, 30)), { kind: 'anywhere' });
  t.end();
});

await tap.test('should not take endpoints of unknown pace for the fastest', t => {
  const endpoints = [
    candidate('new', 8),
    candidate('fast', 2, 28),
    candidate('slow', 4, 60),
    candidate('slower', 4, 65),
  ];
  const request = { groupEndpointId: undefined, isLong: true, ownDomain: 'tekapo', avoid: new Set<string>() };
  const policy = new KnownFastPlacement();
  t.equal(policy.choose(endpoints, undefined, request)?.id, 'fast');
  t.equal(policy.choose(endpoints, undefined, { ...request, isLong: false })?.id, 'new', 'most free slots');
  t.equal(policy.choose([candidate('a', 1), candidate('b', 3)], undefined, request)?.id, 'b');
  t.equal(new MostFreePlacement().choose(endpoints, undefined, request)?.id, 'new', 'unchanged elsewhere');
  t.end();
});

/** Lets x run at the slow endpoint e1, with one slot each at e1 and the endpoints that are added later. */
async function runAtSlow(world: SpeedWorld): Promise<GatewayHost> {
  world.addEndpoint('e1', { ...SLOW, slots: 1 });
  const host = world.start('a');
  await world.clock.advance(3000);
  await submit(world, host, 'b1', ['x']);
  await world.clock.advance(60 * SLOW.eventMs);
  return host;
}

async function submit(
  world: SpeedWorld,
  host: GatewayHost,
  batchId: string,
  ids: readonly string[],
): Promise<void> {
  const items = ids.map(id => item(id));
  await world.until(host.batches.submit(batch(batchId, items), Deadline.after(world.clock, 1000)));
}

/** Adds the fast endpoint e2 and the slowest e3, and advances the clock until the move of x is decided. */
async function untilMoveDecided(world: SpeedWorld, host: GatewayHost, hasSlowest = true): Promise<void> {
  world.closeMs = 400;
  if (hasSlowest) world.addEndpoint('e3', { ...SLOWEST, slots: 4 });
  world.addEndpoint('e2', { ...FAST, slots: 1 });
  for (let ms = 0; ms < 2000 && linesOf(host, 'item moves').length === 0; ms += 10) {
    for (const [id, workPercent] of [
      ['e2', FAST.percent],
      ['e3', SLOWEST.percent],
    ] as const)
      host.endpoints.get(id)?.recordLoad({ running: 0, waiting: 0, workPercent });
    await world.clock.advance(10);
  }
}

await tap.test('should start a moved item at its reserved target from the next event', async t => {
  // Fails if the slot that justified the move goes to another batch of the host, or if two attempts of an item overlap.
  const world = new SpeedWorld();
  const host = await runAtSlow(world);
  await untilMoveDecided(world, host, false);
  t.match(linesOf(host, 'item moves'), [
    { batchId: 'b1', itemId: 'x', endpointId: 'e1', targetId: 'e2', paceMs: 65, targetPaceMs: 35, move: 1 },
  ]);
  t.equal(endpointOf(host, 'e2').freeSlots(), 0, 'reserved');
  await submit(world, host, 'b2', ['z']);
  await world.clock.advance(200);
  t.same(world.starts.length, 1, 'x is not stopped completely, and z waits');
  const events = Number(linesOf(host, 'item moves')[0]?.events);
  await world.clock.advance(300);
  t.same(world.pathOf('x'), ['e1', 'e2']);
  const afterEvent = world.starts.find(({ endpointId }) => endpointId === 'e2')?.afterEvent ?? 0;
  t.ok(afterEvent === events || afterEvent === events + 1, `${afterEvent} after ${events}`);
  t.same(world.pathOf('z'), ['e1']);
  t.match(linesOf(host, 'moved item starts'), [{ itemId: 'x', endpointId: 'e2', outcome: 'target' }]);
  world.stop();
});

await tap.test('should continue at the endpoint it left if the target is lost', async t => {
  // Fails if the item waits for an endpoint that is gone, or starts at a slower one instead.
  const losses: Readonly<Record<string, (world: SpeedWorld) => void>> = {
    leaves: world => world.writeRecord('e2', { isLeaving: true }),
    gone: world => world.removeEndpoint('e2'),
    restarts: world => world.writeRecord('e2', { startWallMs: 5 }),
  };
  for (const [loss, lose] of Object.entries(losses)) {
    const world = new SpeedWorld();
    const host = await runAtSlow(world);
    await untilMoveDecided(world, host);
    lose(world);
    await world.clock.advance(500);
    t.same(world.pathOf('x'), ['e1', 'e1'], loss);
    t.ok((world.starts[1]?.afterEvent ?? 0) >= 50, 'resumed');
    t.match(linesOf(host, 'moved item starts'), [{ outcome: 'source' }], loss);
    world.stop();
  }
});

await tap.test('should continue at the endpoint it left if the target is full', async t => {
  // Fails if a refusal at the target lifts the restriction to endpoints that are not slower.
  const world = new SpeedWorld();
  const host = await runAtSlow(world);
  await untilMoveDecided(world, host);
  world.addEndpoint('e2', { ...FAST, slots: 0 });
  world.writeRecord('e2', { slots: 1 });
  await world.clock.advance(500);
  t.same(world.pathOf('x'), ['e1', 'e2', 'e1']);
  t.equal(world.refusals, 1);
  t.same(
    linesOf(host, 'moved item starts').map(({ outcome }) => outcome),
    ['target', 'source'],
  );
  t.ok(endpointOf(host, 'e2').stats.hasReportedWorkPercent());
  await world.clock.advance(400);
  t.equal(linesOf(host, 'item moves').length, 1, 'no further move soon after a failed one');
  world.stop();
});

await tap.test('should wait for an endpoint that is not slower if that one is taken too', async t => {
  const world = new SpeedWorld();
  const host = await runAtSlow(world);
  await untilMoveDecided(world, host);
  world.removeEndpoint('e2');
  // Another host has taken the slot of the endpoint that x leaves.
  endpointOf(host, 'e1').recordLoad({ running: 2, waiting: 0 });
  await world.clock.advance(900);
  t.same(world.pathOf('x'), ['e1'], 'not at the slowest endpoint, although it has free slots');
  await world.clock.advance(200);
  t.same(world.pathOf('x'), ['e1', 'e1'], 'once the load report is too old to count');
  world.stop();
});

await tap.test('should start at a slower endpoint if the others remain taken', async t => {
  // Fails if a moved item waits without limit for its target or the endpoint it left while another has free slots.
  const world = new SpeedWorld();
  const host = await runAtSlow(world);
  await untilMoveDecided(world, host);
  world.removeEndpoint('e2');
  for (let ms = 0; ms < 2500; ms += 100) {
    endpointOf(host, 'e1').recordLoad({ running: 2, waiting: 0 });
    await world.clock.advance(100);
  }
  t.same(world.pathOf('x'), ['e1', 'e3']);
  world.stop();
});

await tap.test('should start at the target if the endpoint it leaves is lost', async t => {
  const world = new SpeedWorld();
  const host = await runAtSlow(world);
  await untilMoveDecided(world, host);
  world.writeRecord('e1', { startWallMs: 5 });
  await world.clock.advance(500);
  t.same(world.pathOf('x'), ['e1', 'e2']);
  world.stop();
});

await tap.test('should drop a move whose attempt has ended before it was stopped', async t => {
  // Fails if the item of a stalled attempt keeps a reservation, or returns to the unresponsive endpoint.
  const world = new SpeedWorld();
  const { script } = world.client;
  world.client.script = call => ({
    ...script(call),
    ...(call.endpoint.id === 'e1' ? { events: 58, end: { kind: 'cancelled' } } : {}),
  });
  world.closeMs = 600;
  const host = await runAtSlow(world);
  // The attempt is abandoned 1.2 s after its last event, the 58th.
  await world.clock.advance(1200);
  world.addEndpoint('e2', { ...FAST, slots: 1 });
  await world.clock.advance(50);
  endpointOf(host, 'e2').recordReportedPace(FAST.eventMs);
  endpointOf(host, 'e1').recordLoad({ running: 0, waiting: 0, workPercent: SLOW.percent });
  await world.clock.advance(1000);
  t.match(linesOf(host, 'item moves'), [{ itemId: 'x', targetId: 'e2' }]);
  t.match(linesOf(host, 'move dropped'), [{ itemId: 'x', end: 'stalled' }]);
  t.same(world.pathOf('x'), ['e1', 'e2']);
  t.same(linesOf(host, 'moved item starts'), []);
  world.stop();
});

await tap.test('should release the reservations of a batch that ends', async t => {
  const world = new SpeedWorld();
  const host = await runAtSlow(world);
  await untilMoveDecided(world, host);
  t.equal(endpointOf(host, 'e2').freeSlots(), 0);
  await world.until(host.batches.end('b1'));
  t.equal(endpointOf(host, 'e2').freeSlots(), 1);
  await world.clock.advance(3000);
  t.same(world.pathOf('x'), ['e1']);
  world.stop();
});

await tap.test(
  'should apply time-saving moves only where speed is reported or connections are scarce',
  async t => {
    // Fails if other deployments are served differently, or pools with scarce connections keep the previous rules.
    const decisions = async (percent: number | undefined, connectionLimit?: number): Promise<number> => {
      const world = new SpeedWorld();
      world.addEndpoint('e1', { ...SLOW, percent, slots: 4 });
      const host = world.start('a');
      host.configuration.connectionLimit = () => connectionLimit;
      await world.clock.advance(3000);
      await submit(world, host, 'b1', ['x']);
      await world.clock.advance(60 * SLOW.eventMs);
      world.addEndpoint('e2', { ...FAST, percent, slots: 4 });
      await world.clock.advance(50);
      endpointOf(host, 'e2').recordReportedPace(FAST.eventMs);
      await world.clock.advance(500);
      t.same(world.pathOf('x'), ['e1', 'e2'], 'moved by either policy');
      world.stop();
      return linesOf(host, 'item moves').length;
    };
    t.equal(await decisions(undefined), 0);
    t.equal(await decisions(undefined, 4), 0, 'as many connections as slots');
    t.equal(await decisions(undefined, 3), 1, 'fewer connections than slots');
    t.equal(await decisions(120), 1);
  },
);
