/**
 * Whether an order is given now.
 *
 * Guards against a loop: an order that was refused, is carried out late, or whose endpoints go away by themselves, followed by
 * another one at every look. One order for a subject says how many endpoints are to be there, so that repeating it changes
 * nothing; it is repeated only where it may not have arrived, or where endpoints are missing well after they should have come.
 */
import type { Clock } from '@fuchsiahitch/base';

export interface OrderTrackerOptions {
  /** Orders of all subjects within a minute. */
  readonly maxPerMinute: number;
  /** After a refusal a subject rests so long, twice as long after the next one, and so on. */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
}

/** How an order ended. `none-left`: the platform has no more endpoints there now. `unsure`: it may have arrived, or may yet. */
export type CapacityOrderEnd = 'accepted' | 'none-left' | 'busy' | 'unsure';

interface SubjectOrders {
  readonly count: number;
  readonly end: CapacityOrderEnd;
  readonly atMs: number;
  /** Orders in a row that were not accepted. */
  readonly failures: number;
}

const MINUTE_MS = 60_000;
/** Endpoints that have not come after this many times their time to boot are ordered again. */
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

  /** True if the subject should be ordered to have `wanted` endpoints, of which `present` serve. */
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

  recordOrder(subject: string, count: number, end: CapacityOrderEnd): void {
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
