/**
 * Whether this host may still act under its lease.
 *
 * What goes wrong without it: the holder is paused past its lease, wakes, still believes that it holds it, and
 * orders an endpoint that does not check tokens back to an old version. One sees the endpoint change version
 * against the newest order. The lease counts on the monotonic clock from when its renewal was sent, not from
 * when the answer came, and orders stop a margin earlier, which covers an order's time on the way.
 */
import type { Clock } from '@fuchsiahitch/base';

export interface LeaseTimes {
  readonly leaseMs: number;
  /** Acts stop this long before the lease ends. */
  readonly marginMs: number;
}

/** The lease of one duty. */
export class LeaseGuard {
  private readonly _clock: Clock;
  private readonly _times: LeaseTimes;
  private _token = 0;
  private _untilMs = -Infinity;

  constructor(clock: Clock, times: LeaseTimes) {
    this._clock = clock;
    this._times = times;
  }

  /** The store granted or renewed the lease; `sentMs` is when it was asked. */
  renewed(token: number, sentMs: number): void {
    if (token < this._token) return;
    this._token = token;
    this._untilMs = Math.max(this._untilMs, sentMs + this._times.leaseMs);
  }

  lost(): void {
    this._untilMs = -Infinity;
  }

  /** The token to put on a call now, or undefined when none may be made. */
  token(): number | undefined {
    const isSafe = this._clock.nowMs() < this._untilMs - this._times.marginMs;
    return isSafe ? this._token : undefined;
  }
}
