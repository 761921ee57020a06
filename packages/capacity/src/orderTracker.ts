/**
 * Decides when a capacity order is due, and prevents order loops.
 *
 * An order states the total number of endpoints of a subject, such as a pool in one failure domain. It is repeated,
 * with a backoff, only if it may not have been executed, or if endpoints are missing well after their boot time.
 */
import type { Clock } from '@fuchsiahitch/base';

export interface OrderTrackerOptions {
  /** Limit for all subjects together. */
  readonly maxPerMinute: number;
  /** Pause of a subject after the first failed order; doubles with each further failure. */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
  /** Whether an order is also repeated if more endpoints than wanted remain, since an earlier one was executed late. */
  readonly repeatsReductions?: boolean;
}

/** Outcome of an order. `none-left`: the platform has no more endpoints. `unsure`: it may have been received. */
export type CapacityOrderOutcome = 'accepted' | 'none-left' | 'busy' | 'unsure';

interface SubjectOrders {
  readonly count: number;
  readonly end: CapacityOrderOutcome;
  readonly atMs: number;
  /** Consecutive orders that were not accepted. */
  readonly failures: number;
}

const MINUTE_MS = 60_000;
/** Endpoints that are missing after this multiple of their boot time are ordered again. */
const OVERDUE_FACTOR = 3;

export class OrderTracker {
  private readonly _clock: Clock;
  private readonly _options: OrderTrackerOptions;
  private readonly _subjects = new Map<string, SubjectOrders>();
  private _recentOrdersMs: number[] = [];

  constructor(clock: Clock, options: OrderTrackerOptions) {
    this._clock = clock;
    this._options = options;
  }

  /** Returns true if `wanted` endpoints should be ordered now, while `present` endpoints serve. */
  isDue(subject: string, wanted: number, present: number, bootMs: number): boolean {
    const nowMs = this._clock.nowMs();
    this._recentOrdersMs = this._recentOrdersMs.filter(atMs => nowMs - atMs < MINUTE_MS);
    if (this._recentOrdersMs.length >= this._options.maxPerMinute) return false;
    const last = this._subjects.get(subject);
    if (!last) return wanted !== present;
    const sinceMs = nowMs - last.atMs;
    if (last.end !== 'accepted') return sinceMs >= this._backoffMs(last.failures);
    if (last.count !== wanted) return true;
    const isUnfulfilled = this._options.repeatsReductions === true ? present !== wanted : present < wanted;
    return isUnfulfilled && sinceMs >= Math.max(OVERDUE_FACTOR * bootMs, this._options.maxBackoffMs);
  }

  /** Returns true during the pause that follows a failed order. */
  isBackingOff(subject: string): boolean {
    const last = this._subjects.get(subject);
    if (!last || last.end === 'accepted') return false;
    return this._clock.nowMs() - last.atMs < this._backoffMs(last.failures);
  }

  recordOrder(subject: string, count: number, end: CapacityOrderOutcome): void {
    const atMs = this._clock.nowMs();
    const before = this._subjects.get(subject)?.failures ?? 0;
    this._recentOrdersMs.push(atMs);
    this._subjects.set(subject, { count, end, atMs, failures: end === 'accepted' ? 0 : before + 1 });
  }

  private _backoffMs(failures: number): number {
    const { initialBackoffMs, maxBackoffMs } = this._options;
    return Math.min(maxBackoffMs, initialBackoffMs * 2 ** Math.max(0, failures - 1));
  }
}
