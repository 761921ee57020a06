/**
 * Decides when finished results are written to the store, which makes them visible. Larger writes save store calls.
 */
import type { BatchLedger } from './batchLedger.js';

export interface ListingPolicy {
  /** The time that a write may wait for more results. */
  intervalMs(ledger: BatchLedger): number;
}

/** Below the trainers' polling interval. */
const SHORT_INTERVAL_MS = 150;
/** Each write also renews the claim lease; a longer interval would require separate renewals. */
const LONG_INTERVAL_MS = 500;

export class FixedIntervalListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    return ledger.isFinished() ? 0 : SHORT_INTERVAL_MS;
  }
}

/**
 * Waits longer while no group is complete, since a trainer can use results only with their complete group. The last
 * wanted group is listed at once: any delay of it delays the trainer's next version.
 */
export class CompleteGroupListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    if (ledger.isFinished()) return 0;
    if (!ledger.hasUnlistedCompleteGroup()) return LONG_INTERVAL_MS;
    return ledger.hasWantedGroups() ? 0 : SHORT_INTERVAL_MS;
  }
}
