/**
 * A token bucket that limits the calls of one host to its share of the fleet's call rate to the key-value service.
 * Randomized backoff after failures prevents a load spike when the service recovers.
 */
import type { Clock, Random } from '@fuchsiahitch/base';

export interface CallBudgetOptions {
  /** Calls per second of all hosts together. */
  readonly fleetPerSecond: number;
  /** Calls that may be made at once after an idle period. */
  readonly burst: number;
  readonly basePauseMs: number;
  readonly maxPauseMs: number;
}

const MS_PER_SECOND = 1000;

export class CallBudget {
  private readonly _clock: Clock;
  private readonly _random: Random;
  private readonly _options: CallBudgetOptions;
  private _hostCount = 1;
  private _tokens: number;
  private _refilledMs: number;
  private _failures = 0;
  private _pausedUntilMs = 0;

  constructor(clock: Clock, random: Random, options: CallBudgetOptions) {
    this._clock = clock;
    this._random = random;
    this._options = options;
    this._tokens = options.burst;
    this._refilledMs = clock.nowMs();
  }

  /** Sets the number of hosts that share the fleet's rate. */
  setHostCount(count: number): void {
    this._refill();
    this._hostCount = Math.max(1, count);
  }

  /** Takes a token for one call. If none is granted, `waitMs` is the time until the next attempt. */
  take(): { readonly granted: boolean; readonly waitMs: number } {
    this._refill();
    const pauseMs = this._pausedUntilMs - this._clock.nowMs();
    if (pauseMs > 0) return { granted: false, waitMs: pauseMs };
    if (this._tokens < 1)
      return { granted: false, waitMs: ((1 - this._tokens) / this._rate()) * MS_PER_SECOND };
    this._tokens -= 1;
    return { granted: true, waitMs: 0 };
  }

  succeeded(): void {
    this._failures = 0;
  }

  /** Pauses calls: exponential backoff with full jitter. */
  failed(): void {
    this._failures += 1;
    const ceilingMs = Math.min(this._options.maxPauseMs, this._options.basePauseMs * 2 ** this._failures);
    this._pausedUntilMs = this._clock.nowMs() + this._random.below(Math.ceil(ceilingMs) + 1);
  }

  private _rate(): number {
    return this._options.fleetPerSecond / this._hostCount;
  }

  private _refill(): void {
    const nowMs = this._clock.nowMs();
    const gained = ((nowMs - this._refilledMs) / MS_PER_SECOND) * this._rate();
    this._tokens = Math.min(this._options.burst, this._tokens + gained);
    this._refilledMs = nowMs;
  }
}
