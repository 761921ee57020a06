/**
 * Duration of a trainer's steps under each placement strategy, in a simulation of the endpoints.
 *
 * The placement and move decisions are the product's code. Endpoints differ only in pace. Item lengths have a long
 * tail, and their estimates have errors. All strategies run on the same steps.
 */
import {
  placeItem,
  FastestPlacement,
  MostFreePlacement,
  shouldMove,
  type PlacementEndpoint,
  type PlacementPolicy,
} from '@fuchsiahitch/batches';
import { SeededRandom } from '@fuchsiahitch/base';
import type { Measurement } from './figure.js';

const SEEDS = 40;
const STEPS = 12;
const TICK_MS = 25;
const MOVE_CHECK_INTERVAL_MS = 250;
/** A step's due time plus tolerance, minus the time to accept the step and to list its results. */
const COMPLETION_LIMIT_MS = 7900;
/** Number of events after which an owner has an estimate of an endpoint's pace. */
const MIN_OBSERVED_EVENTS = 16;
const LONG_SHARE = 0.25;
const RANDOM_RESOLUTION = 1_000_000;

/** A trainer's steps and the endpoints of its model. */
interface Workload {
  readonly name: string;
  readonly groups: number;
  readonly groupSize: number;
  readonly requiredGroups: number;
  readonly intervalMs: number;
  readonly meanEvents: number;
  readonly maxEvents: number;
  /** Milliseconds per event, by endpoint. */
  readonly pacesMs: readonly number[];
  readonly slotsPerEndpoint: number;
}

const FAST_PACE_MS = 50;
const SLOW_PACE_MS = 65;

function paces(fastCount: number, slowCount: number): readonly number[] {
  return [...Array<number>(fastCount).fill(FAST_PACE_MS), ...Array<number>(slowCount).fill(SLOW_PACE_MS)];
}

const WORKLOADS: readonly Workload[] = [
  workload('few large groups', { groups: 8, groupSize: 16, requiredGroups: 8 }),
  workload('many groups', { groups: 15, groupSize: 8, requiredGroups: 14 }),
  workload('short texts', { groups: 15, groupSize: 8, requiredGroups: 14, meanEvents: 11, maxEvents: 77 }),
  workload('equal endpoints', { groups: 8, groupSize: 16, requiredGroups: 8, pacesMs: paces(9, 0) }),
  workload('few endpoints', { groups: 8, groupSize: 16, requiredGroups: 8, pacesMs: paces(3, 2) }),
  workload('more endpoints', { groups: 8, groupSize: 16, requiredGroups: 8, pacesMs: paces(9, 5) }),
];

function workload(name: string, overrides: Partial<Workload>): Workload {
  return {
    name,
    groups: 8,
    groupSize: 16,
    requiredGroups: 8,
    intervalMs: 4000,
    meanEvents: 19.6,
    maxEvents: 141,
    pacesMs: paces(6, 3),
    slotsPerEndpoint: 8,
    ...overrides,
  };
}

interface Strategy {
  readonly name: string;
  readonly policy: PlacementPolicy;
  /** Whether an owner knows all paces from the start, instead of only those that it has observed. */
  readonly hasSharedPaces: boolean;
}

const STRATEGIES: readonly Strategy[] = [
  { name: 'most free slots, own paces', policy: new MostFreePlacement(), hasSharedPaces: false },
  { name: 'fastest, own paces', policy: new FastestPlacement(), hasSharedPaces: false },
  { name: 'most free slots, shared paces', policy: new MostFreePlacement(), hasSharedPaces: true },
  { name: 'fastest, shared paces', policy: new FastestPlacement(), hasSharedPaces: true },
];

interface ModelItem {
  readonly group: string;
  readonly events: number;
  readonly estimatedEvents: number;
  readonly createdMs: number;
  done: number;
  endpoint: number | undefined;
  runningSinceMs: number;
}

interface ModelStep {
  readonly startMs: number;
  readonly items: readonly ModelItem[];
  readonly longThreshold: number;
  readonly groupEndpoints: Map<string, string>;
  /** Number of events that the step's owner has observed, by endpoint. */
  readonly observedEvents: Map<number, number>;
  completedMs: number | undefined;
}

export const placement: Measurement = {
  name: 'placement',
  description: 'steps completed in time under each placement strategy, in a simulation',
  async run(print) {
    for (const work of WORKLOADS) {
      for (const strategy of STRATEGIES) {
        const { name } = strategy;
        const stepTimesMs = Array.from({ length: SEEDS }, (_, seed) =>
          runSteps(work, strategy, seed + 1),
        ).flat();
        const inTime = stepTimesMs.filter(ms => ms <= COMPLETION_LIMIT_MS).length / stepTimesMs.length;
        const mean = stepTimesMs.reduce((a, b) => a + b, 0) / stepTimesMs.length;
        print({ figure: `${work.name}, ${name}: steps completed in time`, value: inTime, unit: 'share' });
        print({ figure: `${work.name}, ${name}: mean step time`, value: mean, unit: 'ms' });
      }
      await Promise.resolve();
    }
  },
};

/** Returns the time that each step takes until the groups that its trainer waits for are complete. */
function runSteps(work: Workload, strategy: Strategy, seed: number): readonly number[] {
  const random = new SeededRandom(seed);
  const steps = Array.from({ length: STEPS }, (_, i) => newStep(work, random, i * work.intervalMs));
  const usedSlots = work.pacesMs.map(() => 0);
  for (let nowMs = 0; steps.some(step => step.completedMs === undefined); nowMs += TICK_MS) {
    const open = steps.filter(step => step.startMs <= nowMs && step.completedMs === undefined);
    for (const step of open) {
      advanceItems(step, work, usedSlots, nowMs);
      placeWaitingItems(step, work, strategy, usedSlots, nowMs);
      if (nowMs % MOVE_CHECK_INTERVAL_MS === 0) moveSlowItems(step, work, strategy, usedSlots, nowMs);
      if (countCompleteGroups(step, work) >= work.requiredGroups) finishStep(step, usedSlots, nowMs);
    }
  }
  return steps.map(step => (step.completedMs ?? 0) - step.startMs);
}

function newStep(work: Workload, random: SeededRandom, startMs: number): ModelStep {
  const items = Array.from({ length: work.groups * work.groupSize }, (_, i): ModelItem => {
    const events = drawEventCount(work, random);
    return {
      group: `g${Math.floor(i / work.groupSize)}`,
      events,
      estimatedEvents: events * Math.exp(0.5 * drawNormal(random)),
      createdMs: startMs,
      done: 0,
      endpoint: undefined,
      runningSinceMs: startMs,
    };
  });
  const estimates = items.map(item => item.estimatedEvents).sort((a, b) => b - a);
  const longThreshold = estimates[Math.floor(estimates.length * LONG_SHARE)] ?? Infinity;
  return {
    startMs,
    items,
    longThreshold,
    groupEndpoints: new Map(),
    observedEvents: new Map(),
    completedMs: undefined,
  };
}

/** Draws from a log-normal distribution; about one length in ten is multiplied by five. */
function drawEventCount({ meanEvents, maxEvents }: Workload, random: SeededRandom): number {
  const spread = 0.84;
  const isTail = random.below(RANDOM_RESOLUTION) < 0.104 * RANDOM_RESOLUTION;
  const median = meanEvents / (1 + 0.104 * 4) / Math.exp((spread * spread) / 2);
  const length = median * Math.exp(spread * drawNormal(random)) * (isTail ? 5 : 1);
  return Math.max(1, Math.min(maxEvents, Math.round(length)));
}

function drawNormal(random: SeededRandom): number {
  const u = (random.below(RANDOM_RESOLUTION) + 1) / (RANDOM_RESOLUTION + 1);
  const v = random.below(RANDOM_RESOLUTION) / RANDOM_RESOLUTION;
  return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
}

function isOpen(item: ModelItem): boolean {
  return item.done < item.events;
}

function advanceItems(step: ModelStep, work: Workload, usedSlots: number[], nowMs: number): void {
  for (const item of step.items) {
    if (item.endpoint === undefined || !isOpen(item) || nowMs <= item.runningSinceMs) continue;
    const events = TICK_MS / (work.pacesMs[item.endpoint] ?? FAST_PACE_MS);
    item.done += events;
    step.observedEvents.set(item.endpoint, (step.observedEvents.get(item.endpoint) ?? 0) + events);
    if (!isOpen(item)) releaseItem(item, usedSlots);
  }
}

function placeWaitingItems(
  step: ModelStep,
  work: Workload,
  strategy: Strategy,
  usedSlots: number[],
  nowMs: number,
): void {
  const waiting = step.items
    .filter(item => isOpen(item) && item.endpoint === undefined)
    .sort((a, b) => b.estimatedEvents - a.estimatedEvents);
  for (const item of waiting) {
    const request = {
      groupEndpointId: step.groupEndpoints.get(item.group),
      isLong: item.estimatedEvents >= step.longThreshold || item.done > 0,
      ownDomain: '',
      avoid: new Set<string>(),
    };
    const found = placeItem(placementEndpoints(step, work, strategy, usedSlots), request, strategy.policy);
    if (!found) return;
    step.groupEndpoints.set(item.group, found.id);
    startItem(item, Number(found.id), usedSlots, nowMs);
  }
}

function placementEndpoints(
  step: ModelStep,
  work: Workload,
  strategy: Strategy,
  usedSlots: readonly number[],
): readonly PlacementEndpoint[] {
  return work.pacesMs.map((paceMs, i) => ({
    id: String(i),
    domain: '',
    freeSlots: work.slotsPerEndpoint - (usedSlots[i] ?? 0),
    paceMs: isPaceKnown(step, strategy, i) ? paceMs : undefined,
  }));
}

function isPaceKnown(step: ModelStep, { hasSharedPaces: isShared }: Strategy, endpoint: number): boolean {
  return isShared || (step.observedEvents.get(endpoint) ?? 0) >= MIN_OBSERVED_EVENTS;
}

function moveSlowItems(
  step: ModelStep,
  work: Workload,
  strategy: Strategy,
  usedSlots: number[],
  nowMs: number,
): void {
  for (const item of step.items) {
    if (item.endpoint === undefined || !isOpen(item)) continue;
    if (!isPaceKnown(step, strategy, item.endpoint)) continue;
    const paceMs = work.pacesMs[item.endpoint] ?? FAST_PACE_MS;
    const runMs = nowMs - item.runningSinceMs;
    const other = work.pacesMs.findIndex(
      (otherMs, i) =>
        (usedSlots[i] ?? 0) < work.slotsPerEndpoint &&
        isPaceKnown(step, strategy, i) &&
        shouldMove(runMs, paceMs, otherMs),
    );
    if (other < 0) continue;
    releaseItem(item, usedSlots);
    startItem(item, other, usedSlots, nowMs);
  }
}

function startItem(item: ModelItem, endpoint: number, usedSlots: number[], nowMs: number): void {
  usedSlots[endpoint] = (usedSlots[endpoint] ?? 0) + 1;
  item.endpoint = endpoint;
  item.runningSinceMs = nowMs;
}

function releaseItem(item: ModelItem, usedSlots: number[]): void {
  if (item.endpoint !== undefined) usedSlots[item.endpoint] = (usedSlots[item.endpoint] ?? 1) - 1;
  item.endpoint = undefined;
}

function countCompleteGroups(step: ModelStep, work: Workload): number {
  const open = new Set(step.items.filter(isOpen).map(item => item.group));
  return work.groups - open.size;
}

/** Ends a step and releases its running items. */
function finishStep(step: ModelStep, usedSlots: number[], nowMs: number): void {
  step.completedMs = nowMs;
  for (const item of step.items) releaseItem(item, usedSlots);
}
