/**
 * Customer latency under rollout load, and routing under endpoint failures compared with two baselines in the same run.
 */
import { SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import { SimFleet, SimTrainer } from '@fuchsiahitch/testkit';
import type { Figure, Measurement } from './figure.js';
import {
  LeastReportedLoad,
  ProductPolicy,
  RoundRobin,
  runRouting,
  type RoutingPolicy,
} from './routingSimulation.js';

const CUSTOMERS = 400;
const MEAN_GAP_MS = 40;
const ROLLOUTS = 1200;
const SEED = 31;
const TIMEOUT_MS = 600_000;

export const requests: Measurement = {
  name: 'requests',
  description:
    'customer p99 under rollout load; load imbalance, retries and p99 with a third of the endpoints failing',
  async run(print) {
    const unloaded = await measureCustomers(false);
    const loaded = await measureCustomers(true);
    print({ figure: 'customer p99, without rollouts', value: unloaded.p99Ms, unit: 'ms' });
    print({ figure: 'customer p99, pool saturated by rollouts', value: loaded.p99Ms, unit: 'ms' });
    print({
      figure: 'customer p99, with rollouts relative to without',
      value: loaded.p99Ms / unloaded.p99Ms,
      unit: 'ratio',
      bound: '<= 1.5',
    });
    print({
      figure: 'customer requests not completed',
      value: unloaded.lost + loaded.lost,
      unit: 'requests',
      bound: '<= 0',
    });
    const policies: readonly ((clock: VirtualClock, random: SeededRandom) => RoutingPolicy)[] = [
      (clock, random) => new ProductPolicy(clock, random),
      () => new RoundRobin(),
      () => new LeastReportedLoad(),
    ];
    for (const createPolicy of policies) await measureRouting(createPolicy, print);
  },
};

async function measureCustomers(
  hasRollouts: boolean,
): Promise<{ readonly p99Ms: number; readonly lost: number }> {
  const fleet = await SimFleet.start({
    seed: SEED,
    domains: ['d0', 'd1'],
    hostsPerDomain: 2,
    enginesPerDomain: 2,
    engineSlots: 8,
  });
  if (hasRollouts) {
    const spec = {
      trainer: 'd0:tuner',
      step: 1,
      house: 'h',
      pool: 'gen-pool',
      groups: Array.from({ length: ROLLOUTS }, (_, i) => ({
        prompt: `${i} long tail`,
        samples: 1,
        expectedTokens: 0,
      })),
      maxTokens: 100,
      stalenessVersions: 9,
      stalenessMs: TIMEOUT_MS,
      deadlineMs: TIMEOUT_MS,
    };
    void new SimTrainer(fleet, spec, true).run();
    await fleet.clock.advance(3000);
  }
  const hosts = [...fleet.hosts.values()];
  const random = new SeededRandom(SEED);
  const timesMs: number[] = [];
  let lost = 0;
  for (let i = 0; i < CUSTOMERS; i++) {
    const host = hosts[i % hosts.length];
    const startMs = fleet.clock.nowMs();
    void host?.ready.requests
      .run({
        kind: 'completion',
        pool: 'gen-pool',
        caller: 'web',
        house: 'h',
        priority: 'normal',
        timeoutMs: 10_000,
        key: undefined,
        trace: undefined,
        left: new AbortController().signal,
        work: { kind: 'completion', prompt: `question ${i}`, maxTokens: 20, onChunks: () => undefined },
      })
      .then(answer => {
        timesMs.push(fleet.clock.nowMs() - startMs);
        if (answer.outcome.kind !== 'completed') lost += 1;
      });
    await fleet.clock.advance(random.below(2 * MEAN_GAP_MS));
  }
  await fleet.until('customers answered', () => timesMs.length === CUSTOMERS, TIMEOUT_MS);
  await fleet.stop();
  timesMs.sort((a, b) => a - b);
  return { p99Ms: timesMs[Math.floor(0.99 * timesMs.length)] ?? 0, lost };
}

async function measureRouting(
  createPolicy: (clock: VirtualClock, random: SeededRandom) => RoutingPolicy,
  print: (figure: Figure) => void,
): Promise<void> {
  const clock = new VirtualClock();
  const random = new SeededRandom(SEED);
  const policy = createPolicy(clock, random);
  const result = await runRouting(policy, clock, random);
  const isProduct = policy instanceof ProductPolicy;
  const reportFigure = (name: string, value: number, unit: string, bound?: string): void =>
    print({
      figure: `${name}, ${policy.name}`,
      value,
      unit,
      ...(bound !== undefined && isProduct ? { bound } : {}),
    });
  reportFigure('p99, all endpoints healthy', result.healthyP99Ms, 'ms');
  reportFigure('peak to mean endpoint load, all endpoints healthy', result.peakToMeanLoad, 'ratio');
  reportFigure('p99, a third of the endpoints failing', result.faultP99Ms, 'ms');
  reportFigure('requests not completed, a third of the endpoints failing', result.lostShare, 'share');
  reportFigure(
    'retries per request, a third of the endpoints failing',
    result.extraAttempts,
    'share',
    '<= 0.1',
  );
}
