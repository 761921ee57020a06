/**
 * Admission control per client account while endpoints are full: capacity is divided by max-min fairness, so that an
 * account that floods does not starve the others.
 */

/** The length of a time slice. The counts of one slice determine the limit of the next. */
const SLICE_MS = 500;
/** With fewer requests per slice, refusals are not significant. */
const MIN_REQUESTS = 20;
/** Endpoints count as full if at least this share of requests was refused. */
const FULL_REFUSED_SHARE = 0.1;
/** Admits more requests than were served in the last slice, to detect free capacity. */
const PROBE_FACTOR = 1.2;

class TimeSlice {
  readonly requested = new Map<string, number>();
  readonly admitted = new Map<string, number>();
  total = 0;
  served = 0;
  refused = 0;

  isFull(): boolean {
    return this.total >= MIN_REQUESTS && this.refused >= FULL_REFUSED_SHARE * this.total;
  }
}

export class FairAdmission {
  private _slice = new TimeSlice();
  private _sliceStartMs = -Infinity;
  /** Requests per account in this slice; Infinity while endpoints have capacity. */
  private _limit = Infinity;

  /** Returns true if the request may be sent, otherwise counts it as refused. */
  admit(accountName: string, nowMs: number): boolean {
    this._rotateSlice(nowMs);
    const slice = this._slice;
    slice.total += 1;
    increment(slice.requested, accountName);
    // Spreads admission over the slice: a burst at its start would overload endpoints and leave them idle later.
    const elapsedShare = (nowMs - this._sliceStartMs) / SLICE_MS;
    if ((slice.admitted.get(accountName) ?? 0) >= 1 + this._limit * elapsedShare) {
      slice.refused += 1;
      return false;
    }
    increment(slice.admitted, accountName);
    return true;
  }

  /** Counts the result of an admitted request. `isRefused`: all endpoints that received it were full. */
  ended(isRefused: boolean): void {
    if (isRefused) this._slice.refused += 1;
    else this._slice.served += 1;
  }

  private _rotateSlice(nowMs: number): void {
    if (nowMs < this._sliceStartMs + SLICE_MS) return;
    const previous = this._slice;
    const isRecent = nowMs < this._sliceStartMs + 2 * SLICE_MS;
    this._limit =
      isRecent && previous.isFull()
        ? maxMinFairShare(previous.requested, previous.served * PROBE_FACTOR)
        : Infinity;
    this._slice = new TimeSlice();
    this._sliceStartMs = nowMs;
  }
}

/** Returns the limit per account, at least 1; Infinity if all demands fit the capacity. */
export function maxMinFairShare(requested: ReadonlyMap<string, number>, capacity: number): number {
  const demands = [...requested.values()].sort((a, b) => a - b);
  let remaining = capacity;
  for (const [i, demand] of demands.entries()) {
    const share = remaining / (demands.length - i);
    if (demand >= share) return Math.max(1, share);
    remaining -= demand;
  }
  return Infinity;
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
