/**
 * Decides whether this host may still act under its lease, so that a paused or isolated holder does not act once it may
 * have a successor.
 *
 * The validity is measured on the monotonic clock from when the renewal was sent. Actions stop a margin earlier, which
 * covers their transit time.
 */
import type { Clock } from '@fuchsiahitch/base';

export interface LeaseTimes {
  readonly leaseMs: number;
  /** Actions stop this long before the lease ends. */
  readonly marginMs: number;
}

export class LeaseGuard {
  private readonly _clock: Clock;
  private readonly _times: LeaseTimes;
  private _token = 0;
  private _validUntilMs = -Infinity;

  constructor(clock: Clock, times: LeaseTimes) {
    this._clock = clock;
    this._times = times;
  }

  /** Called when the store granted or renewed the lease; `sentMs`: when the request was sent. */
  renewed(token: number, sentMs: number): void {
    if (token < this._token) return;
    this._token = token;
    this._validUntilMs = Math.max(this._validUntilMs, sentMs + this._times.leaseMs);
  }

  /** Forbids calls until the next renewal. */
  invalidate(): void {
    this._validUntilMs = -Infinity;
  }

  /** Fencing token for a call now; undefined if no call may be made. */
  token(): number | undefined {
    const isSafe = this._clock.nowMs() < this._validUntilMs - this._times.marginMs;
    return isSafe ? this._token : undefined;
  }
}
