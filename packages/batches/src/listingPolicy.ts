/**
 * When finished results are written to the store, where readers see them.
 *
 * Each write is a call to the store, and a batch of long and short items ends over many seconds.
 */
import type { BatchLedger } from './batchLedger.js';

export interface ListingPolicy {
  /** How long after the first of them the results are written that are finished now. */
  intervalMs(ledger: BatchLedger): number;
}

/** Trainers read twice a second. */
const SHORT_INTERVAL_MS = 150;
/** Often enough for those who look on, and for the claim, which each write confirms. */
const LONG_INTERVAL_MS = 500;

/** Every result soon. */
export class PromptListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    return ledger.isFinished() ? 0 : SHORT_INTERVAL_MS;
  }
}

/**
 * Soon where a group has become whole, at once where it is the last that the trainer waits for, and seldom else: a trainer can use
 * a result only together with its group, and names its next version so much later.
 */
export class CompleteGroupListing implements ListingPolicy {
  intervalMs(ledger: BatchLedger): number {
    if (ledger.isFinished()) return 0;
    if (!ledger.hasUnlistedCompleteGroup()) return LONG_INTERVAL_MS;
    return ledger.hasWantedGroups() ? 0 : SHORT_INTERVAL_MS;
  }
}
