/**
 * Plans which endpoints of a pool are ordered to load a new version, and when.
 *
 * To keep the pool serving, at most a share of the endpoints swaps at a time, within the rate limit of the weight
 * store. The version of each endpoint is read back; an endpoint that keeps the old version is ordered again and
 * finally excluded.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { OrderResult, ReadBack, WeightOrder, WeightTarget } from './model.js';

export interface SwapEndpoint {
  readonly id: string;
  readonly isUsable: boolean;
}

export interface SwapOptions {
  /** The maximum share of the pool that swaps at the same time. */
  readonly maxSwappingShare: number;
  /** Loads per second that the weight store allows this domain. */
  readonly loadsPerSecond: number;
  /** An endpoint that does not report the version within this time is ordered again. */
  readonly swapTimeoutMs: number;
  /** The number of failed swaps after which an endpoint is excluded until it restarts or the target changes. */
  readonly maxTries: number;
  /** The time from an order or a read-back to the next read-back. */
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
/** The default, about the duration of a swap. More frequent reads would cost traffic and rarely show a change. */
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

  /** Sets a new target. Returns false if it is outdated by its sequence and ignored. */
  setTarget(target: WeightTarget): boolean {
    if (this._target && target.sequence <= this._target.sequence) return false;
    this._target = target;
    for (const [id, state] of this._states)
      this._states.set(id, { ...INITIAL_STATE, readBack: state.readBack });
    return true;
  }

  /** The reported version is the only proof that a swap took place. */
  readBack(endpointId: string, readBack: ReadBack): void {
    const state = this._states.get(endpointId) ?? INITIAL_STATE;
    const isRestarted = state.readBack !== undefined && state.readBack.startId !== readBack.startId;
    const previous = isRestarted ? INITIAL_STATE : state;
    const isDone = readBack.version === this._target?.version;
    const readMs = this._clock.nowMs();
    this._states.set(endpointId, {
      ...previous,
      readBack,
      readMs,
      isSwapping: previous.isSwapping && !isDone,
    });
  }

  lastReadBack(endpointId: string): ReadBack | undefined {
    return this._states.get(endpointId)?.readBack;
  }

  /** Returns the orders to give now. The caller must hold the lease of `token`. */
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

  /** Records the result of an order. `unknown` is not a failure: the read-back decides. */
  ended(endpointId: string, result: OrderResult): void {
    const state = this._states.get(endpointId);
    if (!state || result === 'accepted' || result === 'unknown') return;
    this._states.set(endpointId, this._failed(state));
  }

  /** The swapping endpoints whose read-back is due. */
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

  /** Records that an order was not given, so that it does not count as a try. */
  postponed(endpointId: string): void {
    const state = this._states.get(endpointId);
    if (!state?.isSwapping) return;
    this._states.set(endpointId, { ...state, isSwapping: false, tries: Math.max(0, state.tries - 1) });
  }

  /** Endpoints that failed to load the version, reported to the operator. */
  excludedEndpoints(): readonly string[] {
    return [...this._states].filter(([, state]) => state.isExcluded).map(([id]) => id);
  }

  /** True if every endpoint of the share reports the target's version or is excluded. */
  isDone(endpoints: readonly SwapEndpoint[]): boolean {
    const target = this._target;
    if (!target) return true;
    const wanted = endpoints.slice(0, Math.ceil(target.share * endpoints.length));
    return wanted.every(endpoint => {
      const state = this._states.get(endpoint.id) ?? INITIAL_STATE;
      return state.isExcluded || state.readBack?.version === target.version;
    });
  }

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

  /** Counts swaps that were not confirmed in time as failed. */
  private _expireSwaps(): void {
    const nowMs = this._clock.nowMs();
    for (const [id, state] of this._states) {
      const isTimedOut = state.isSwapping && nowMs - state.orderedMs >= this._options.swapTimeoutMs;
      if (isTimedOut) this._states.set(id, this._failed(state));
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
