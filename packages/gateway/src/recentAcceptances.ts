/**
 * Batches that a host may have accepted although its store did not confirm it.
 *
 * Addresses stores that execute a write after its caller stopped waiting. A host that then declines the batch, or whose
 * next write is refused, would lead the trainer to submit the same items in another batch, and both batches would run.
 */
import type { Clock } from '@fuchsiahitch/base';

/** `accepted`: the store's claim has been read since. `unknown`: the write may still be executed. */
export type AcceptanceState = 'accepted' | 'unknown';

/** Assumed limit of the time after which a store executes a write whose caller has stopped waiting. */
const RETENTION_MS = 60_000;
/** Bounds memory. More than dozens of trainers submit within the retention time. */
const MAX_BATCHES = 1000;

interface Entry {
  readonly state: AcceptanceState;
  readonly untilMs: number;
}

export class RecentAcceptances {
  private readonly _clock: Clock;
  /** In the order of their expiry. */
  private readonly _entries = new Map<string, Entry>();
  /** Until then, a batch without an entry may have been evicted. */
  private _evictedUntilMs = -Infinity;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Records that a write which accepts the batch may be executed from now on, unless the batch has a claim already. */
  markUnknown(batchId: string): void {
    this._evictExpired();
    const state = this._entries.get(batchId)?.state ?? 'unknown';
    this._entries.delete(batchId);
    this._entries.set(batchId, { state, untilMs: this._clock.nowMs() + RETENTION_MS });
    const [oldest] = this._entries;
    if (this._entries.size <= MAX_BATCHES || oldest === undefined) return;
    const [evicted, { untilMs }] = oldest;
    this._entries.delete(evicted);
    this._evictedUntilMs = Math.max(this._evictedUntilMs, untilMs);
  }

  /** Records that the batch has a claim. Does nothing for a batch whose acceptance was never unknown. */
  markAccepted(batchId: string): void {
    const entry = this._entries.get(batchId);
    if (entry) this._entries.set(batchId, { ...entry, state: 'accepted' });
  }

  /**
   * Returns undefined if no write of an earlier acceptance can be executed. After an eviction, returns `unknown` for all
   * batches without an entry until the evicted ones would have expired: `unknown` is never an untrue answer.
   */
  stateOf(batchId: string): AcceptanceState | undefined {
    this._evictExpired();
    const entry = this._entries.get(batchId);
    if (entry) return entry.state;
    return this._clock.nowMs() < this._evictedUntilMs ? 'unknown' : undefined;
  }

  private _evictExpired(): void {
    const nowMs = this._clock.nowMs();
    for (const [batchId, { untilMs }] of this._entries) {
      if (untilMs > nowMs) return;
      this._entries.delete(batchId);
    }
  }
}
