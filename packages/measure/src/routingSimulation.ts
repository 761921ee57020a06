/**
 * A pool of endpoints on a virtual clock, some of which fail fast, and routing policies to compare.
 */
import type { SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import {
  ConcurrencyLimit,
  EndpointPicker,
  EndpointStats,
  RetryBudget,
  type EndpointView,
  type PickRequest,
} from '@fuchsiahitch/requests';

const ENDPOINTS = 9;
const FAILING = 3;
const HOSTS = 6;
const SLOTS = 8;
const MIN_SERVICE_MS = 40;
const SERVICE_SPREAD_MS = 80;
const FAILURE_LATENCY_MS = 2;
const REPORT_MS = 2000;
const ARRIVAL_GAP_MS = 2;
const HEALTHY_MS = 15_000;
const FAULT_MS = 15_000;
const DEADLINE_MS = 3000;
const CHOICE_RETRY_MS = 10;
const MAX_ATTEMPTS = 4;

/** A routing policy. Endpoints and hosts are identified by index. */
export interface RoutingPolicy {
  readonly name: string;
  /** Returns the endpoint for a host's request, or undefined to wait. */
  choose(host: number, tried: ReadonlySet<number>): number | undefined;
  began(host: number, endpoint: number): void;
  ended(host: number, endpoint: number, isFailure: boolean): void;
  onReport(endpoint: number, inFlight: number, queued: number): void;
  onRequestStart(host: number): void;
  mayRetry(host: number): boolean;
}

const BASE_VIEW = { domain: 'd', pool: 'p', isLeaving: false, version: '' };

/** The product's routing code. */
export class ProductPolicy implements RoutingPolicy {
  readonly name = 'product';
  private readonly _pickers: readonly EndpointPicker[];
  private readonly _views: readonly (readonly EndpointView[])[];
  private readonly _budgets: readonly RetryBudget[];

  constructor(clock: VirtualClock, random: SeededRandom) {
    const hosts = Array.from({ length: HOSTS });
    this._pickers = hosts.map(() => new EndpointPicker(random));
    this._budgets = hosts.map(() => new RetryBudget(0.1, 20));
    this._views = hosts.map(() =>
      Array.from({ length: ENDPOINTS }, (_, i) => ({
        ...BASE_VIEW,
        id: String(i),
        stats: new EndpointStats(clock),
        limit: new ConcurrencyLimit(SLOTS, HOSTS),
      })),
    );
  }

  choose(host: number, tried: ReadonlySet<number>): number | undefined {
    const request: PickRequest = {
      pool: 'p',
      ownDomain: 'd',
      domains: [],
      isRollout: false,
      reserve: 0.2,
      prefix: '',
      version: '',
      tried: new Set([...tried].map(String)),
    };
    const picked = this._pickers[host]?.pick(this._views[host] ?? [], request);
    return picked && Number(picked.id);
  }

  began(host: number, endpoint: number): void {
    const view = this._views[host]?.[endpoint];
    view?.stats.began(false);
    view?.limit.recordUsage(view.stats.inFlight());
  }

  ended(host: number, endpoint: number, isFailure: boolean): void {
    this._views[host]?.[endpoint]?.stats.ended(false, isFailure);
  }

  onReport(endpoint: number, inFlight: number, queued: number): void {
    for (const views of this._views) {
      views[endpoint]?.limit.onLoadReport(queued, inFlight);
      views[endpoint]?.stats.onLoadReport({ inFlight, queued, version: '', startId: 's', isLeaving: false });
    }
  }

  onRequestStart(host: number): void {
    this._budgets[host]?.requestStarted();
  }

  mayRetry(host: number): boolean {
    return this._budgets[host]?.take() ?? false;
  }
}

/** Baseline: round robin with unlimited retries. */
export class RoundRobin implements RoutingPolicy {
  readonly name: string = 'round robin';
  private readonly _next = Array.from({ length: HOSTS }, (_, i) => i);

  choose(host: number): number | undefined {
    const next = this._next[host] ?? 0;
    this._next[host] = next + 1;
    return next % ENDPOINTS;
  }

  began(): void {
    // No state.
  }

  ended(): void {
    // No state.
  }

  onReport(): void {
    // No state.
  }

  onRequestStart(): void {
    // No retry budget.
  }

  mayRetry(): boolean {
    return true;
  }
}

/** Baseline: the endpoint with the lowest load in the last report, with unlimited retries. */
export class LeastReportedLoad extends RoundRobin {
  override readonly name = 'least reported load';
  private readonly _loads = new Array<number>(ENDPOINTS).fill(0);

  override choose(): number | undefined {
    return this._loads.indexOf(Math.min(...this._loads));
  }

  override onReport(...[endpoint, inFlight, queued]: readonly number[]): void {
    this._loads[endpoint ?? 0] = (inFlight ?? 0) + (queued ?? 0);
  }
}

export interface RoutingResult {
  readonly healthyP99Ms: number;
  readonly faultP99Ms: number;
  readonly peakToMeanLoad: number;
  readonly lostShare: number;
  readonly extraAttempts: number;
}

/** Counts and latencies of one phase of a run. */
interface Phase {
  requests: number;
  attempts: number;
  lost: number;
  readonly timesMs: number[];
}

const newPhase = (): Phase => ({ requests: 0, attempts: 0, lost: 0, timesMs: [] });

class SimEndpoint {
  running = 0;
  isFailing = false;
  served = 0;
  readonly waiting: (() => void)[] = [];
}

/** Runs a policy, first with all endpoints healthy, then with a third failing fast. */
export async function runRouting(
  policy: RoutingPolicy,
  clock: VirtualClock,
  random: SeededRandom,
): Promise<RoutingResult> {
  const endpoints = Array.from({ length: ENDPOINTS }, () => new SimEndpoint());
  const simulation = new RoutingSimulation(policy, clock, random, endpoints);
  const healthy = newPhase();
  await simulation.run(healthy, HEALTHY_MS);
  const served = endpoints.map(endpoint => endpoint.served);
  const spread = Math.max(...served) / (served.reduce((a, b) => a + b, 0) / ENDPOINTS);
  for (const endpoint of endpoints.slice(0, FAILING)) endpoint.isFailing = true;
  const fault = newPhase();
  await simulation.run(fault, FAULT_MS);
  return {
    healthyP99Ms: p99(healthy.timesMs),
    faultP99Ms: p99(fault.timesMs),
    peakToMeanLoad: spread,
    lostShare: fault.lost / fault.requests,
    extraAttempts: fault.attempts / fault.requests - 1,
  };
}

function p99(times: readonly number[]): number {
  return times.toSorted((a, b) => a - b)[Math.floor(0.99 * times.length)] ?? 0;
}

class RoutingSimulation {
  private readonly _policy: RoutingPolicy;
  private readonly _clock: VirtualClock;
  private readonly _random: SeededRandom;
  private readonly _endpoints: readonly SimEndpoint[];

  constructor(
    policy: RoutingPolicy,
    clock: VirtualClock,
    random: SeededRandom,
    endpoints: readonly SimEndpoint[],
  ) {
    this._policy = policy;
    this._clock = clock;
    this._random = random;
    this._endpoints = endpoints;
    this._report();
  }

  async run(phase: Phase, durationMs: number): Promise<void> {
    for (let atMs = 0; atMs < durationMs; atMs += 1 + this._random.below(2 * ARRIVAL_GAP_MS - 1)) {
      this._clock.after(atMs, () => this._arrive(phase));
    }
    await this._clock.advance(durationMs + DEADLINE_MS);
  }

  private _report(): void {
    for (const [i, endpoint] of this._endpoints.entries())
      this._policy.onReport(i, endpoint.running, endpoint.waiting.length);
    this._clock.after(REPORT_MS, () => this._report());
  }

  private _arrive(phase: Phase): void {
    phase.requests += 1;
    const host = this._random.below(HOSTS);
    this._policy.onRequestStart(host);
    this._attempt(phase, host, this._clock.nowMs(), new Set(), 1);
  }

  private _attempt(
    phase: Phase,
    host: number,
    startMs: number,
    tried: ReadonlySet<number>,
    attemptNumber: number,
  ): void {
    if (this._clock.nowMs() - startMs > DEADLINE_MS) {
      phase.lost += 1;
      return;
    }
    const chosen = this._policy.choose(host, tried);
    if (chosen === undefined) {
      this._clock.after(CHOICE_RETRY_MS, () => this._attempt(phase, host, startMs, tried, attemptNumber));
      return;
    }
    phase.attempts += 1;
    this._policy.began(host, chosen);
    this._serve(chosen, isFailure => {
      this._policy.ended(host, chosen, isFailure);
      if (!isFailure) phase.timesMs.push(this._clock.nowMs() - startMs);
      else if (attemptNumber < MAX_ATTEMPTS && this._policy.mayRetry(host)) {
        this._attempt(phase, host, startMs, new Set([...tried, chosen]), attemptNumber + 1);
      } else phase.lost += 1;
    });
  }

  private _serve(index: number, done: (isFailure: boolean) => void): void {
    const endpoint = this._endpoints[index];
    if (!endpoint) return;
    endpoint.served += 1;
    if (endpoint.isFailing) {
      this._clock.after(FAILURE_LATENCY_MS, () => done(true));
      return;
    }
    const begin = (): void => {
      endpoint.running += 1;
      this._clock.after(MIN_SERVICE_MS + this._random.below(SERVICE_SPREAD_MS), () => {
        endpoint.running -= 1;
        done(false);
        if (endpoint.running < SLOTS) endpoint.waiting.shift()?.();
      });
    };
    if (endpoint.running < SLOTS) begin();
    else endpoint.waiting.push(begin);
  }
}
