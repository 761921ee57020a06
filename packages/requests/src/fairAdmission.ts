/**
 * Which account has to wait when endpoints are full.
 *
 * Without it an account that floods is refused as often as all others, and of an account with few requests hardly one is served.
 * While endpoints refuse, each account may send as many requests as an even share allows: those that ask for less get all that
 * they ask for, and what they leave goes to the others.
 */

/** Requests are counted over slices of this length; the one before decides in the present one. */
const SLICE_MS = 500;
/** With fewer requests in a slice a host can't tell a flood from chance. */
const MIN_REQUESTS = 20;
/** Endpoints are full when this share of the requests is refused. */
const FULL_REFUSED_SHARE = 0.1;
/** More is let through than was served, so that places that come free are found. */
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
  /** The most that one account may send in this slice; Infinity while endpoints have room. */
  private _limit = Infinity;

  /** True if the account's request may be sent. One that may not counts as refused. */
  admit(accountName: string, nowMs: number): boolean {
    this._rotateSlice(nowMs);
    const slice = this._slice;
    slice.total += 1;
    increment(slice.requested, accountName);
    // Spread over the slice: sent all at its beginning, the share of all would meet full endpoints, and leave them idle after.
    const elapsedShare = (nowMs - this._sliceStartMs) / SLICE_MS;
    if ((slice.admitted.get(accountName) ?? 0) >= 1 + this._limit * elapsedShare) {
      slice.refused += 1;
      return false;
    }
    increment(slice.admitted, accountName);
    return true;
  }

  /** How a request ended that was let through. `isRefused`: every endpoint that it was sent to was full. */
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

/** The most that each account gets where they share `capacity` evenly, and some ask for less; at least one. */
export function maxMinFairShare(asked: ReadonlyMap<string, number>, capacity: number): number {
  const demands = [...asked.values()].sort((a, b) => a - b);
  let left = capacity;
  for (const [i, demand] of demands.entries()) {
    const share = left / (demands.length - i);
    if (demand >= share) return Math.max(1, share);
    left -= demand;
  }
  return Infinity;
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
