/**
 * This host's share of the calls that the platform's key-value service allows the whole fleet.
 *
 * What goes wrong without it: after an outage every host returns in the same second, the service sinks
 * again, and one sees its refusals rise exactly when it recovers. A share for each live host and a random
 * pause after failures keep the sum below the fleet's rate at any time.
 */
import type { Clock, Random } from '@fuchsiahitch/base';

export interface CallBudgetOptions {
  /** Calls a second that the fleet may make. */
  readonly fleetPerSecond: number;
  /** How many calls may be made at once after a quiet time. */
  readonly burst: number;
  readonly basePauseMs: number;
  readonly maxPauseMs: number;
}

const MS_A_SECOND = 1000;

/** A token bucket whose rate is a share of the fleet's. */
export class CallBudget {
  private readonly _clock: Clock;
  private readonly _random: Random;
  private readonly _options: CallBudgetOptions;
  private _hosts = 1;
  private _tokens: number;
  private _filledMs: number;
  private _failures = 0;
  private _pausedUntilMs = 0;

  constructor(clock: Clock, random: Random, options: CallBudgetOptions) {
    this._clock = clock;
    this._random = random;
    this._options = options;
    this._tokens = options.burst;
    this._filledMs = clock.nowMs();
  }

  /** Sets how many hosts share the rate. */
  setHosts(count: number): void {
    this._fill();
    this._hosts = Math.max(1, count);
  }

  /** Takes one call, or says in how many milliseconds to ask again. */
  take(): { readonly granted: boolean; readonly waitMs: number } {
    this._fill();
    const pauseMs = this._pausedUntilMs - this._clock.nowMs();
    if (pauseMs > 0) return { granted: false, waitMs: pauseMs };
    if (this._tokens < 1)
      return { granted: false, waitMs: ((1 - this._tokens) / this._rate()) * MS_A_SECOND };
    this._tokens -= 1;
    return { granted: true, waitMs: 0 };
  }

  succeeded(): void {
    this._failures = 0;
  }

  /** Lengthens the pause: doubled each time, and drawn at random over its whole length. */
  failed(): void {
    this._failures += 1;
    const ceilingMs = Math.min(this._options.maxPauseMs, this._options.basePauseMs * 2 ** this._failures);
    this._pausedUntilMs = this._clock.nowMs() + this._random.below(Math.ceil(ceilingMs) + 1);
  }

  private _rate(): number {
    return this._options.fleetPerSecond / this._hosts;
  }

  private _fill(): void {
    const nowMs = this._clock.nowMs();
    const gained = ((nowMs - this._filledMs) / MS_A_SECOND) * this._rate();
    this._tokens = Math.min(this._options.burst, this._tokens + gained);
    this._filledMs = nowMs;
  }
}
