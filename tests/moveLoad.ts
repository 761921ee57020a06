/**
 * Load of four trainers on endpoints of different speed, under either move policy.
 */
import type { Test } from 'tap';
import { Deadline, SeededRandom } from '@fuchsiahitch/base';
import { batch, item } from './gatewayFixtures.js';
import type { GatewayHost } from './gatewayHosts.js';
import { linesOf, SpeedWorld } from './speedWorld.js';

const FAST = { eventMs: 28, percent: 55, slots: 8, count: 8 };
const SLOW = { eventMs: 60, percent: 120, slots: 8, count: 24 };
const TRAINERS = 4;
const STEPS = 5;
const GROUPS = 7;
const GROUP_SIZE = 16;
const MEAN_EVENTS = 19;
const LONGEST_FACTOR = 7;
const TOKENS_PER_EVENT = 12;
/** A step counts once this share of its groups is complete. */
const WANTED_SHARE = 0.9;
/** Enough for the longest items of the last step. */
const DRAIN_MS = 20_000;
const RESOLUTION = 1_000_000;

export interface MoveLoad {
  readonly items: number;
  readonly completed: number;
  readonly moves: number;
  /** Moved items whose next attempt ran at a slower endpoint. */
  readonly slowerMoves: number;
  readonly attemptsPerItem: number;
  /** Times from submission until 90% of the groups were complete, ascending. */
  readonly stepTimesMs: readonly number[];
}

interface Step {
  readonly submittedMs: number;
  readonly groups: readonly (readonly string[])[];
}

/**
 * `stepMs`: time between the steps of a trainer. `isSpeedReported`: whether endpoints report their speed, and with it
 * whether moves must save time.
 */
async function runMoveLoad(seed: number, stepMs: number, isSpeedReported: boolean): Promise<MoveLoad> {
  const world = new SpeedWorld();
  world.startMs = 50;
  world.closeMs = 5;
  const paces = new Map<string, number>();
  for (const { count, ...endpoint } of [FAST, SLOW]) {
    for (let i = 0; i < count; i++) {
      const id = `${endpoint.eventMs}-${i}`;
      paces.set(id, endpoint.eventMs);
      world.addEndpoint(id, { ...endpoint, percent: isSpeedReported ? endpoint.percent : undefined });
    }
  }
  const hosts = Array.from({ length: TRAINERS }, (_, i) => world.start(`h${i}`));
  await world.clock.advance(300);
  const random = new SeededRandom(seed);
  const lengths = new Map<string, number>();
  world.lengthOf = itemId => lengths.get(itemId) ?? 1;
  const steps: Step[] = [];
  for (let step = 0; step < STEPS; step++) {
    for (const [trainer, host] of hosts.entries()) {
      steps.push(await submitStep(world, host, `b${trainer}-${step}`, random, lengths));
      await world.clock.advance(stepMs / TRAINERS - 10);
    }
  }
  await world.clock.advance(DRAIN_MS);
  const load = summarize(world, hosts, steps, paces);
  world.stop();
  return load;
}

async function submitStep(
  world: SpeedWorld,
  host: GatewayHost,
  batchId: string,
  random: SeededRandom,
  lengths: Map<string, number>,
): Promise<Step> {
  const groups = Array.from({ length: GROUPS }, (_, group) =>
    Array.from({ length: GROUP_SIZE }, (_unused, i) => `${batchId}-${group}-${i}`),
  );
  const items = groups.flatMap((ids, group) =>
    ids.map(id => {
      const events = drawLength(random);
      lengths.set(id, events);
      const expectedTokens = Math.round(TOKENS_PER_EVENT * events * Math.exp(0.5 * drawNormal(random)));
      return item(id, { group: `${batchId}-g${group}`, expectedTokens });
    }),
  );
  const submittedMs = world.clock.nowMs();
  const step = batch(batchId, items, { groupsWanted: GROUPS });
  await world.until(host.batches.submit(step, Deadline.after(world.clock, 1000)));
  return { submittedMs, groups };
}

/** Log-normal; one length in ten is multiplied by five. */
function drawLength(random: SeededRandom): number {
  const spread = 0.84;
  const isTail = random.below(10) === 0;
  const median = MEAN_EVENTS / 1.4 / Math.exp((spread * spread) / 2);
  const length = median * Math.exp(spread * drawNormal(random)) * (isTail ? 5 : 1);
  return Math.max(1, Math.min(LONGEST_FACTOR * MEAN_EVENTS, Math.round(length)));
}

function drawNormal(random: SeededRandom): number {
  const u = (random.below(RESOLUTION) + 1) / (RESOLUTION + 1);
  const v = random.below(RESOLUTION) / RESOLUTION;
  return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
}

function summarize(
  world: SpeedWorld,
  hosts: readonly GatewayHost[],
  steps: readonly Step[],
  paces: ReadonlyMap<string, number>,
): MoveLoad {
  const items = steps.flatMap(({ groups }) => groups.flat());
  const attempts = hosts.flatMap(host => linesOf(host, 'item attempt'));
  const moved = attempts.filter(({ end }) => end === 'cancelled');
  const slowerMoves = moved.filter(({ itemId, endpointId, attempt }) => {
    const next = attempts.find(
      other => other.itemId === itemId && other.attempt === Number(attempt) + 1 && other.end !== 'not-run',
    );
    return next && (paces.get(String(next.endpointId)) ?? 0) > (paces.get(String(endpointId)) ?? 0);
  });
  return {
    items: items.length,
    completed: items.filter(id => world.completedMs.has(id)).length,
    moves: moved.length,
    slowerMoves: slowerMoves.length,
    attemptsPerItem: world.starts.length / items.length,
    stepTimesMs: steps.map(step => stepTimeMs(world, step)).sort((a, b) => a - b),
  };
}

function stepTimeMs(world: SpeedWorld, { submittedMs, groups }: Step): number {
  const groupTimes = groups
    .map(ids => Math.max(...ids.map(id => world.completedMs.get(id) ?? Infinity)))
    .sort((a, b) => a - b);
  return (groupTimes[Math.ceil(WANTED_SHARE * groups.length) - 1] ?? Infinity) - submittedMs;
}

/** Checks that moves save time, with fewer of them, lead to no slower endpoint, and leave no step late. */
export async function checkMoveLoad(t: Test, seed: number, stepMs: number): Promise<void> {
  const before = await runMoveLoad(seed, stepMs, false);
  const now = await runMoveLoad(seed, stepMs, true);
  for (const [policy, load] of Object.entries({ before, now }))
    t.comment(`${policy}: ${JSON.stringify({ ...load, stepTimesMs: load.stepTimesMs.map(Math.round) })}`);
  t.equal(now.completed, now.items);
  t.equal(now.slowerMoves, 0);
  t.ok(now.moves < 0.6 * before.moves, `${now.moves} moves instead of ${before.moves}`);
  t.ok(now.attemptsPerItem < before.attemptsPerItem);
  t.ok(meanOf(now.stepTimesMs) < meanOf(before.stepTimesMs));
  t.ok((now.stepTimesMs.at(-1) ?? Infinity) < 7500, 'all steps are complete before they are due');
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
