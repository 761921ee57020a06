/**
 * Cost of the step ledger, and idle time of trainers compared with first come, first served in the same run.
 */
import { SeededRandom, VirtualClock, type Random } from '@fuchsiahitch/base';
import {
  FairSchedule,
  StepLedger,
  StepOwner,
  type Assignment,
  type Sample,
  type StepSpec,
  type StepStore,
} from '@fuchsiahitch/steps';
import { ok } from '@fuchsiahitch/base';
import type { Figure, Measurement } from './figure.js';

const LEDGER_SAMPLES = 8192;
const GROUP_SIZE = 16;
const CHUNK_SIZE = 256;
const SAMPLE_TEXT = 'x'.repeat(2000);
const WORKERS = 32;
const ASSIGNMENT_SIZE = 8;

const ENGINES = 8;
const SLOTS = 8;
const TOKEN_MS = 10;
const SLOW_ENGINE_FACTOR = 6;
const STEPS = 6;
const TRAINING_MS = 8000;
const TIME_LIMIT_MS = 3_600_000;
const SEED = 17;

export const steps: Measurement = {
  name: 'steps',
  description: "the ledger's cost at 8,192 samples; idle share and fairness against first come, first served",
  async run(print) {
    await measureLedger(print);
    await measureIdle(print);
  },
};

function specOf(house: string, step: number, groups: number, samples: number): StepSpec {
  return {
    trainer: house,
    step,
    house,
    pool: 'p',
    groups: Array.from({ length: groups }, (_, i) => ({
      prompt: `${house} ${step} ${i}`,
      samples,
      expectedTokens: 0,
    })),
    maxTokens: 4096,
    stalenessVersions: 4,
    stalenessMs: TIME_LIMIT_MS,
    deadlineMs: TIME_LIMIT_MS,
  };
}

/** A store that accepts every write and counts calls and bytes. */
class CountingStore implements StepStore {
  calls = 0;
  bytes = 0;

  async load(): ReturnType<StepStore['load']> {
    return this._count(undefined, undefined);
  }

  async create(_key: string, head: unknown, spec: unknown): ReturnType<StepStore['create']> {
    return this._count(1, [head, spec]);
  }

  async replaceHead(_key: string, _version: number, head: unknown): ReturnType<StepStore['replaceHead']> {
    return this._count(1, head);
  }

  async writeChunk(_key: string, _version: number, chunk: unknown): ReturnType<StepStore['writeChunk']> {
    return this._count(undefined, chunk);
  }

  async close(_key: string, _version: number, head: unknown): ReturnType<StepStore['close']> {
    return this._count(undefined, head);
  }

  private async _count<T>(value: T, written: unknown): Promise<{ ok: true; value: T }> {
    this.calls += 1;
    this.bytes += written === undefined ? 0 : JSON.stringify(written).length;
    return Promise.resolve(ok(value));
  }
}

async function measureLedger(print: (figure: Figure) => void): Promise<void> {
  const spec = specOf('big', 1, LEDGER_SAMPLES / GROUP_SIZE, GROUP_SIZE);
  const clock = new VirtualClock();
  const random = new SeededRandom(SEED);
  const store = new CountingStore();
  await store.create('', {}, spec);
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const startMs = performance.now();
  const head = { owner: 'a#1', epoch: 1, state: 'open', failedGroups: [] } as const;
  const stored = { head, headVersion: 1, spec, chunks: [] };
  const owner = new StepOwner(stored, { key: 'big/1', clock, random, store, hedgeShare: 0.05 });
  for (let i = 0; owner.ledger.counts().open > 0; i++) {
    for (const assignment of owner.assign(`w${i % WORKERS}`, ASSIGNMENT_SIZE).assignments)
      owner.sampleDone(sampleOf(assignment));
  }
  const fillTimeMs = performance.now() - startMs;
  globalThis.gc?.();
  const bytes = (process.memoryUsage().heapUsed - heapBefore) / LEDGER_SAMPLES;
  const takeStartMs = performance.now();
  let cursor = 0;
  for (;;) {
    const request = {
      key: 'big/1',
      cursor,
      generation: cursor === 0 ? 0 : 1,
      trainerVersion: 1,
      maxSamples: CHUNK_SIZE,
    };
    const reply = await owner.take(request);
    if (reply.kind !== 'chunk') break;
    cursor += 1;
  }
  const takeTimeMs = performance.now() - takeStartMs;
  print({
    figure: 'ledger: assign and fill',
    value: (fillTimeMs / LEDGER_SAMPLES) * 1000,
    unit: 'us per sample',
  });
  print({
    figure: 'ledger: seal and deliver',
    value: (takeTimeMs / LEDGER_SAMPLES) * 1000,
    unit: 'us per sample',
  });
  print({ figure: 'ledger: heap per sample, without its text', value: bytes, unit: 'bytes per sample' });
  print({
    figure: 'store calls of a step of 8,192 samples',
    value: store.calls,
    unit: 'calls',
    bound: '<= 40',
  });
  print({ figure: 'store bytes of a step of 8,192 samples', value: store.bytes / 1000, unit: 'kB' });
}

function sampleOf(assignment: Assignment): Sample {
  return {
    sampleId: assignment.sampleId,
    slot: assignment.slot,
    text: SAMPLE_TEXT,
    spans: [{ version: 1, tokens: 500 }],
    score: 1,
    ageMs: 0,
  };
}

interface Policy {
  readonly name: string;
  readonly isFair: boolean;
  readonly hedgeShare: number;
}

const PRODUCT_POLICY: Policy = { name: 'fair, hedged', isFair: true, hedgeShare: 0.05 };
const BASELINE_POLICY: Policy = { name: 'first come, first served', isFair: false, hedgeShare: 0 };

/** One house opens large steps, the other small ones. */
const HOUSES = [
  { house: 'large', groups: 40, samples: 8 },
  { house: 'small', groups: 8, samples: 8 },
] as const;
type House = (typeof HOUSES)[number];

async function measureIdle(print: (figure: Figure) => void): Promise<void> {
  const product = await runPolicy(PRODUCT_POLICY, HOUSES);
  const baseline = await runPolicy(BASELINE_POLICY, HOUSES);
  const alone = await runPolicy(PRODUCT_POLICY, [HOUSES[1]], 0.5);
  for (const [name, run] of [
    [PRODUCT_POLICY.name, product],
    [BASELINE_POLICY.name, baseline],
  ] as const) {
    print({ figure: `idle share of both trainers, ${name}`, value: run.idleShare, unit: 'ratio' });
    print({ figure: `step time of the small house, ${name}`, value: run.stepMs.small ?? 0, unit: 'ms' });
    print({ figure: `step time of the large house, ${name}`, value: run.stepMs.large ?? 0, unit: 'ms' });
  }
  print({
    figure: 'idle share, product relative to baseline',
    value: product.idleShare / baseline.idleShare,
    unit: 'ratio',
    bound: '<= 0.5',
  });
  const slowdown = (product.stepMs.small ?? 0) / (alone.stepMs.small ?? 1);
  print({
    figure: "small house's step time, relative to running alone on its share",
    value: slowdown,
    unit: 'ratio',
    bound: '<= 1.2',
  });
}

interface RunningStep {
  readonly plan: House;
  readonly ledger: StepLedger;
  readonly startedMs: number;
}

interface PolicyResult {
  readonly idleShare: number;
  readonly stepMs: Readonly<Record<string, number>>;
}

/** Runs the steps of all houses on a share of the engines and returns the trainers' idle share and mean step times. */
async function runPolicy(policy: Policy, houses: readonly House[], engineShare = 1): Promise<PolicyResult> {
  const clock = new VirtualClock();
  const random = new SeededRandom(SEED);
  const schedule = new FairSchedule();
  const running: RunningStep[] = [];
  const durations = new Map<string, number[]>();
  const remainingSteps = new Map<string, number>(houses.map(house => [house.house, STEPS]));
  const open = (plan: House): void => {
    const step = remainingSteps.get(plan.house) ?? 0;
    if (step === 0) return;
    remainingSteps.set(plan.house, step - 1);
    const ledger = new StepLedger(
      specOf(plan.house, step, plan.groups, plan.samples),
      clock,
      random,
      policy.hedgeShare,
    );
    running.push({ plan, ledger, startedMs: clock.nowMs() });
  };
  const finish = (step: RunningStep): void => {
    running.splice(running.indexOf(step), 1);
    const stepTimes = durations.get(step.plan.house) ?? [];
    durations.set(step.plan.house, [...stepTimes, clock.nowMs() - step.startedMs]);
    clock.after(TRAINING_MS, () => open(step.plan));
  };
  const engines = Math.max(1, Math.round(ENGINES * engineShare));
  for (let slot = 0; slot < engines * SLOTS; slot++) {
    runSlot({ slot, clock, random, schedule, running, policy, finish });
  }
  for (const house of houses) open(house);
  const isDone = (): boolean =>
    running.length === 0 && [...remainingSteps.values()].every(count => count === 0);
  while (!isDone() && clock.nowMs() < TIME_LIMIT_MS) await clock.advance(1000);
  const stepTimesMs = [...durations.values()].flat();
  const idleMs = stepTimesMs.reduce((sum, ms) => sum + ms, 0);
  const stepMs = Object.fromEntries(
    [...durations].map(([house, list]) => [house, list.reduce((a, b) => a + b, 0) / list.length]),
  );
  return { idleShare: idleMs / (idleMs + stepTimesMs.length * TRAINING_MS), stepMs };
}

interface SlotContext {
  readonly slot: number;
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly schedule: FairSchedule;
  readonly running: readonly RunningStep[];
  readonly policy: Policy;
  readonly finish: (step: RunningStep) => void;
}

/** Simulates one engine slot, which generates one sample after the other. */
function runSlot(context: SlotContext): void {
  const { clock, running, policy, schedule, random, slot } = context;
  const servable = running
    .filter(step => step.ledger.hasWork())
    .map(step => ({ step, key: '', house: step.plan.house, share: 0.5, deadlineInMs: step.startedMs }));
  const chosen = policy.isFair
    ? schedule.next(servable)
    : servable.toSorted((a, b) => a.deadlineInMs - b.deadlineInMs)[0];
  const [assignment] = chosen?.step.ledger.assign(`slot-${slot}`, 1).assignments ?? [];
  if (!chosen || !assignment) {
    clock.after(100, () => runSlot(context));
    return;
  }
  const { step } = chosen;
  const tokens = drawTokenCount(random);
  schedule.charge(step.plan.house, 0.5, tokens);
  // The first engine is a straggler.
  const tokenMs = slot < SLOTS ? TOKEN_MS * SLOW_ENGINE_FACTOR : TOKEN_MS;
  clock.after(tokens * tokenMs, () => {
    if (step.ledger.sampleDone({ ...sampleOf(assignment), text: '' }) === 'taken')
      deliverReady(step, context.finish);
    runSlot(context);
  });
}

function deliverReady(step: RunningStep, finish: (step: RunningStep) => void): void {
  const ready = step.ledger.readyGroups(1, Number.MAX_SAFE_INTEGER);
  step.ledger.markDelivered(ready.map(({ sample }) => sample.slot));
  if (step.ledger.isOver()) finish(step);
}

/** Draws 50 to 199 tokens, or ten times as many for one sample in twenty. */
function drawTokenCount(random: Random): number {
  const base = 50 + random.below(150);
  return random.below(20) === 0 ? base * 10 : base;
}
