/**
 * Decides when a capacity order is due, and prevents order loops.
 *
 * An order states the total number of endpoints of a subject. It is repeated, with a backoff, only if it may not have been
 * executed, or if endpoints are missing well after their boot time.
 */
import type { Clock } from '@fuchsiahitch/base';

export interface OrderTrackerOptions {
  /** Limit for all subjects together. */
  readonly maxPerMinute: number;
  /** Pause of a subject after the first failed order; doubles with each further failure. */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
}

/** Outcome of an order. `none-left`: the platform has no more endpoints there. `unsure`: it may have arrived, or may still. */
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
  private _orderedMs: number[] = [];

  constructor(clock: Clock, options: OrderTrackerOptions) {
    this._clock = clock;
    this._options = options;
  }

  /** Returns true if an order for `wanted` endpoints should be sent, of which `present` serve. */
  isDue(subject: string, wanted: number, present: number, bootMs: number): boolean {
    const nowMs = this._clock.nowMs();
    this._orderedMs = this._orderedMs.filter(atMs => nowMs - atMs < MINUTE_MS);
    if (this._orderedMs.length >= this._options.maxPerMinute) return false;
    const last = this._subjects.get(subject);
    if (!last) return wanted !== present;
    const sinceMs = nowMs - last.atMs;
    if (last.end !== 'accepted') return sinceMs >= this._backoffMs(last.failures);
    if (last.count !== wanted) return true;
    return present < wanted && sinceMs >= Math.max(OVERDUE_FACTOR * bootMs, this._options.maxBackoffMs);
  }

  recordOrder(subject: string, count: number, end: CapacityOrderOutcome): void {
    const atMs = this._clock.nowMs();
    const before = this._subjects.get(subject)?.failures ?? 0;
    this._orderedMs.push(atMs);
    this._subjects.set(subject, { count, end, atMs, failures: end === 'accepted' ? 0 : before + 1 });
  }

  private _backoffMs(failures: number): number {
    const { initialBackoffMs, maxBackoffMs } = this._options;
    return Math.min(maxBackoffMs, initialBackoffMs * 2 ** Math.max(0, failures - 1));
  }
}
