/**
 * Decides when finished results are written to the store, which makes them visible. Collecting them saves store calls.
 */
import type { BatchLedger } from './batchLedger.js';

export interface ListingPolicy {
  /** The time from the first unlisted result to the write. */
  intervalMs(ledger: BatchLedger): number;
}

/** Less than the trainers' polling interval. */
const SHORT_INTERVAL_MS = 150;
/** Frequent enough to confirm the claim, which each write does. */
const LONG_INTERVAL_MS = 500;

export class FixedIntervalListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    return ledger.isFinished() ? 0 : SHORT_INTERVAL_MS;
  }
}

/** Waits longer while no group is complete, since a trainer can use results only with their complete group. */
export class CompleteGroupListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    if (ledger.isFinished()) return 0;
    if (!ledger.hasUnlistedCompleteGroup()) return LONG_INTERVAL_MS;
    return ledger.hasWantedGroups() ? 0 : SHORT_INTERVAL_MS;
  }
}
