/**
 * Which generated events are kept outside the owner's memory, and which are not yet.
 *
 * What goes wrong without it: the owner of a batch dies, and items that ran for seconds begin anew; the longest, which
 * take as long as a step may, then come late. Only events that were not kept before are written, so that each crosses
 * the network once. Short items are left out: they are done again sooner than kept. That a text is whole is kept with it,
 * so that the next owner scores or lists it and asks no endpoint for more.
 */
import type { BatchLedger } from './batchLedger.js';
import type { ItemEvents } from './batchMessages.js';
import type { GeneratedEvent } from './itemProgress.js';
import { MAX_RECORD_UNITS } from './records.js';

/** An item with fewer events runs for under a second: half of all items of a batch have fewer. */
const MIN_EVENTS = 20;
/** Quotes and line feeds are written with a backslash: twice the text is a safe bound, with the event's own fields. */
const UNITS_PER_CHARACTER = 2;
const UNITS_PER_EVENT = 60;

interface StoredState {
  /** Which text of the item: it begins anew when its versions may not be joined. */
  readonly textNumber: number;
  readonly events: number;
  readonly isWhole: boolean;
}

const NOTHING_STORED: StoredState = { textNumber: 0, events: 0, isWhole: false };

export class StoredEvents {
  private readonly _ledger: BatchLedger;
  private readonly _stored = new Map<string, StoredState>();

  constructor(ledger: BatchLedger) {
    this._ledger = ledger;
  }

  /**
   * Events of items without a confirmed result that are not kept yet, as many as fit one record; empty when there are
   * none. `minEvents`: items with fewer are left out, unless their text is whole.
   */
  missing(minEvents = MIN_EVENTS): readonly ItemEvents[] {
    const missing: ItemEvents[] = [];
    let unitsLeft = MAX_RECORD_UNITS;
    for (const unfinished of this._ledger.unfinished()) {
      const { itemId, events } = unfinished;
      const isWhole = unfinished.wholeEvents !== undefined;
      if (!isWhole && events.length < minEvents) continue;
      const kept = this._storedOf(itemId);
      const fitting = fittingEvents(events.slice(kept.events), unitsLeft);
      const isEndStored = isWhole && kept.events + fitting.length === events.length;
      const hasChanges = fitting.length > 0 || (isEndStored && !kept.isWhole);
      if (!hasChanges) continue;
      unitsLeft -= unitsOf(fitting);
      missing.push(
        isEndStored ? { itemId, events: fitting, wholeEvents: events.length } : { itemId, events: fitting },
      );
    }
    return missing;
  }

  /** The events are kept now. `texts`: which text of each item they belong to, from before they were written. */
  keep(kept: readonly ItemEvents[], textNumbers: ReadonlyMap<string, number>): void {
    for (const { itemId, events, wholeEvents } of kept) {
      const textNumber = textNumbers.get(itemId) ?? 0;
      const last = events.at(-1)?.number ?? wholeEvents ?? 0;
      this._stored.set(itemId, { textNumber, events: last, isWhole: wholeEvents !== undefined });
    }
  }

  /** The number of each item's present text. */
  texts(items: readonly ItemEvents[]): ReadonlyMap<string, number> {
    return new Map(items.map(({ itemId }) => [itemId, this._ledger.progress(itemId).textNumber()]));
  }

  private _storedOf(itemId: string): StoredState {
    const kept = this._stored.get(itemId);
    const isSameText = kept?.textNumber === this._ledger.progress(itemId).textNumber();
    return kept && isSameText ? kept : NOTHING_STORED;
  }
}

/** The first of the events, as many as take no more than the units. */
function fittingEvents(events: readonly GeneratedEvent[], units: number): readonly GeneratedEvent[] {
  let unitsLeft = units;
  const beyond = events.findIndex(event => {
    unitsLeft -= unitsOf([event]);
    return unitsLeft < 0;
  });
  return beyond < 0 ? events : events.slice(0, beyond);
}

function unitsOf(events: readonly GeneratedEvent[]): number {
  return events.reduce((sum, { text }) => sum + UNITS_PER_CHARACTER * text.length + UNITS_PER_EVENT, 0);
}
