/**
 * Which endpoints of a pool are told to load a new version, and when.
 *
 * All at once would empty the pool and exceed the weight store's rate. So at most a share of the endpoints
 * swaps at a time, at the rate that the store allows; what an endpoint says it runs is read back, and one that
 * stays on the old version is told again, then set aside.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { OrderResult, ReadBack, WeightOrder, WeightTarget } from './model.js';

/** An endpoint as the planner is told of it. */
export interface SwapEndpoint {
  readonly id: string;
  readonly isUsable: boolean;
}

export interface SwapOptions {
  /** Endpoints that may swap at the same time, as a share of the pool. */
  readonly maxSwappingShare: number;
  /** Loads that the weight store allows this domain each second. */
  readonly loadsPerSecond: number;
  /** An endpoint that does not report the version within this time is told again. */
  readonly swapTimeoutMs: number;
  /** After so many failed swaps an endpoint is set aside until it restarts or a new version comes. */
  readonly maxTries: number;
  /** How long after an order, and after each reading, the endpoint is read again. */
  readonly readBackIntervalMs?: number;
}

interface SwapState {
  readonly tries: number;
  readonly orderedMs: number;
  readonly isSwapping: boolean;
  readonly isExcluded: boolean;
  readonly readBack: ReadBack | undefined;
  readonly readMs: number;
}

const INITIAL_STATE: SwapState = {
  tries: 0,
  orderedMs: -Infinity,
  isSwapping: false,
  isExcluded: false,
  readBack: undefined,
  readMs: -Infinity,
};
/** A swap takes about this long; asking sooner or more often would cost bytes and tell little. */
const READ_BACK_INTERVAL_MS = 500;
const MS_PER_SECOND = 1000;

/** Plans the swaps of one pool in one failure domain. */
export class SwapPlanner {
  private readonly _clock: Clock;
  private readonly _options: SwapOptions;
  private readonly _states = new Map<string, SwapState>();
  private _target: WeightTarget | undefined;
  private _loadTokens = 1;
  private _refilledMs: number;

  constructor(clock: Clock, options: SwapOptions) {
    this._clock = clock;
    this._options = options;
    this._refilledMs = clock.nowMs();
  }

  target(): WeightTarget | undefined {
    return this._target;
  }

  /** A new target. One with a lower sequence is late and ignored: version N's order after N+1's. */
  setTarget(target: WeightTarget): boolean {
    if (this._target && target.sequence <= this._target.sequence) return false;
    this._target = target;
    for (const [id, state] of this._states)
      this._states.set(id, { ...INITIAL_STATE, readBack: state.readBack });
    return true;
  }

  /** What an endpoint reports of itself, the only proof that a swap took place. */
  readBack(endpointId: string, readBack: ReadBack): void {
    const state = this._states.get(endpointId) ?? INITIAL_STATE;
    const isRestarted = state.readBack !== undefined && state.readBack.startId !== readBack.startId;
    const base = isRestarted ? INITIAL_STATE : state;
    const isDone = readBack.version === this._target?.version;
    const readMs = this._clock.nowMs();
    this._states.set(endpointId, { ...base, readBack, readMs, isSwapping: base.isSwapping && !isDone });
  }

  /** What an endpoint was last read back with. */
  lastReadBack(endpointId: string): ReadBack | undefined {
    return this._states.get(endpointId)?.readBack;
  }

  /** Orders to give now. The caller holds the lease whose token they carry. */
  next(endpoints: readonly SwapEndpoint[], token: number): readonly WeightOrder[] {
    const target = this._target;
    if (!target) return [];
    this._refillTokens();
    this._expireSwaps();
    const wanted = Math.ceil(target.share * endpoints.length);
    const orders: WeightOrder[] = [];
    for (const endpoint of endpoints.slice(0, wanted)) {
      if (!this._needsOrder(endpoint, target)) continue;
      if (this.swapping() >= this._maxSwapping(endpoints.length) || this._loadTokens < 1) break;
      this._loadTokens -= 1;
      this._swapStarted(endpoint.id);
      orders.push({ endpointId: endpoint.id, version: target.version, token });
    }
    return orders;
  }

  /** How an order ended. An unknown end is not a failure: reading back decides. */
  ended(endpointId: string, result: OrderResult): void {
    const state = this._states.get(endpointId);
    if (!state || result === 'accepted' || result === 'unknown') return;
    this._states.set(endpointId, this._failed(state));
  }

  /** Endpoints whose swap should show by now: ordered, and not read back for a while. */
  dueForReadBack(): readonly string[] {
    const nowMs = this._clock.nowMs();
    const due: string[] = [];
    for (const [id, state] of this._states) {
      const waitedMs = nowMs - Math.max(state.orderedMs, state.readMs);
      if (state.isSwapping && waitedMs >= (this._options.readBackIntervalMs ?? READ_BACK_INTERVAL_MS))
        due.push(id);
    }
    return due;
  }

  /** The order was not given after all: it does not count as a try. */
  postponed(endpointId: string): void {
    const state = this._states.get(endpointId);
    if (!state?.isSwapping) return;
    this._states.set(endpointId, { ...state, isSwapping: false, tries: Math.max(0, state.tries - 1) });
  }

  /** Endpoints that carry traffic although they could not be brought to the version are for the operator. */
  excludedEndpoints(): readonly string[] {
    return [...this._states].filter(([, state]) => state.isExcluded).map(([id]) => id);
  }

  /** True when every endpoint of the share reports the target's version, or was set aside. */
  isDone(endpoints: readonly SwapEndpoint[]): boolean {
    const target = this._target;
    if (!target) return true;
    const wanted = endpoints.slice(0, Math.ceil(target.share * endpoints.length));
    return wanted.every(endpoint => {
      const state = this._states.get(endpoint.id) ?? INITIAL_STATE;
      return state.isExcluded || state.readBack?.version === target.version;
    });
  }

  /** Endpoints that swap now. */
  swapping(): number {
    let count = 0;
    for (const state of this._states.values()) if (state.isSwapping) count += 1;
    return count;
  }

  private _needsOrder(endpoint: SwapEndpoint, target: WeightTarget): boolean {
    const state = this._states.get(endpoint.id) ?? INITIAL_STATE;
    if (!endpoint.isUsable || state.isSwapping || state.isExcluded) return false;
    return state.readBack?.version !== target.version;
  }

  private _maxSwapping(total: number): number {
    return Math.max(1, Math.floor(this._options.maxSwappingShare * total));
  }

  private _swapStarted(endpointId: string): void {
    const state = this._states.get(endpointId) ?? INITIAL_STATE;
    this._states.set(endpointId, {
      ...state,
      tries: state.tries + 1,
      orderedMs: this._clock.nowMs(),
      isSwapping: true,
    });
  }

  /** A swap that failed without a word shows as a version that never changes. */
  private _expireSwaps(): void {
    const nowMs = this._clock.nowMs();
    for (const [id, state] of this._states) {
      const isOver = state.isSwapping && nowMs - state.orderedMs >= this._options.swapTimeoutMs;
      if (isOver) this._states.set(id, this._failed(state));
    }
  }

  private _failed(state: SwapState): SwapState {
    return { ...state, isSwapping: false, isExcluded: state.tries >= this._options.maxTries };
  }

  private _refillTokens(): void {
    const nowMs = this._clock.nowMs();
    const gained = ((nowMs - this._refilledMs) / MS_PER_SECOND) * this._options.loadsPerSecond;
    this._loadTokens = Math.min(Math.max(1, this._options.loadsPerSecond), this._loadTokens + gained);
    this._refilledMs = nowMs;
  }
}
