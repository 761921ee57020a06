/**
 * Decides when finished results are written to the store, which makes them visible to readers. Results are collected
 * for an interval to save store calls.
 */
import type { BatchLedger } from './batchLedger.js';

export interface ListingPolicy {
  /** The time from the first unlisted result to the write. */
  intervalMs(ledger: BatchLedger): number;
}

/** Less than the trainers' polling interval. */
const SHORT_INTERVAL_MS = 150;
/** Still frequent enough to confirm the claim, which each write does. */
const LONG_INTERVAL_MS = 500;

/** Lists every result after the short interval. */
export class PromptListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    return ledger.isFinished() ? 0 : SHORT_INTERVAL_MS;
  }
}

/**
 * Lists after the short interval when a group is complete, immediately when the trainer waits for no further group, and
 * after the long interval otherwise: a trainer can use results only with their complete group.
 */
export class CompleteGroupListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    if (ledger.isFinished()) return 0;
    if (!ledger.hasUnlistedCompleteGroup()) return LONG_INTERVAL_MS;
    return ledger.hasWantedGroups() ? 0 : SHORT_INTERVAL_MS;
  }
}
