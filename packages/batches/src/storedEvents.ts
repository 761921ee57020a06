/**
 * Tracks which generated events of a batch are in the store, from which the next owner resumes the items.
 *
 * Each event is written once. Short texts are skipped, since generating them again is cheaper. The completeness of a
 * text is stored as well, so that a complete text is not resumed.
 */
import type { BatchLedger } from './batchLedger.js';
import type { ItemEvents } from './batchMessages.js';
import type { GeneratedEvent } from './itemProgress.js';
import { MAX_RECORD_UNITS } from './records.js';

/** Shorter incomplete texts are not stored: an endpoint generates this many events in about a second. */
const MIN_STORED_EVENTS = 20;
/** JSON escapes quotes and line feeds, which at most doubles a typical text. */
const UNITS_PER_CHARACTER = 2;
const UNITS_PER_EVENT = 60;

interface StoredState {
  /** `ItemProgress.textNumber()` of the stored text. */
  readonly textNumber: number;
  readonly events: number;
  readonly isComplete: boolean;
}

const NOTHING_STORED: StoredState = { textNumber: 0, events: 0, isComplete: false };

export class StoredEvents {
  private readonly _ledger: BatchLedger;
  private readonly _stored = new Map<string, StoredState>();

  constructor(ledger: BatchLedger) {
    this._ledger = ledger;
  }

  /**
   * Returns events that are not stored yet, as many as fit one record. `minEvents`: items with fewer events are skipped
   * unless their text is complete.
   */
  missing(minEvents = MIN_STORED_EVENTS): readonly ItemEvents[] {
    const missing: ItemEvents[] = [];
    let unitsLeft = MAX_RECORD_UNITS;
    for (const unfinished of this._ledger.unfinished()) {
      const { itemId, events } = unfinished;
      const isComplete = unfinished.wholeEvents !== undefined;
      if (!isComplete && events.length < minEvents) continue;
      const stored = this._storedOf(itemId);
      const fitting = fittingEvents(events.slice(stored.events), unitsLeft);
      const isEndStored = isComplete && stored.events + fitting.length === events.length;
      const hasChanges = fitting.length > 0 || (isEndStored && !stored.isComplete);
      if (!hasChanges) continue;
      unitsLeft -= unitsOf(fitting);
      missing.push(
        isEndStored ? { itemId, events: fitting, wholeEvents: events.length } : { itemId, events: fitting },
      );
    }
    return missing;
  }

  /** Marks events as stored. `textNumbers`: the text number of each item when the write started. */
  keep(items: readonly ItemEvents[], textNumbers: ReadonlyMap<string, number>): void {
    for (const { itemId, events, wholeEvents } of items) {
      const textNumber = textNumbers.get(itemId) ?? 0;
      const last = events.at(-1)?.number ?? wholeEvents ?? 0;
      this._stored.set(itemId, { textNumber, events: last, isComplete: wholeEvents !== undefined });
    }
  }

  currentTextNumbers(items: readonly ItemEvents[]): ReadonlyMap<string, number> {
    return new Map(items.map(({ itemId }) => [itemId, this._ledger.progress(itemId).textNumber()]));
  }

  private _storedOf(itemId: string): StoredState {
    const stored = this._stored.get(itemId);
    const isSameText = stored?.textNumber === this._ledger.progress(itemId).textNumber();
    return stored && isSameText ? stored : NOTHING_STORED;
  }
}

/** The longest prefix of the events that fits. */
function fittingEvents(events: readonly GeneratedEvent[], units: number): readonly GeneratedEvent[] {
  let unitsLeft = units;
  const firstBeyond = events.findIndex(event => {
    unitsLeft -= unitsOf([event]);
    return unitsLeft < 0;
  });
  return firstBeyond < 0 ? events : events.slice(0, firstBeyond);
}

function unitsOf(events: readonly GeneratedEvent[]): number {
  return events.reduce((sum, { text }) => sum + UNITS_PER_CHARACTER * text.length + UNITS_PER_EVENT, 0);
}
