/**
 * Which generated events are kept outside the owner's memory, and which are not yet.
 *
 * What goes wrong without it: the owner of a batch dies, and items that ran for seconds begin anew; the longest, which
 * take as long as a step may, then come late. Only events that were not kept before are written, so that each crosses
 * the network once. Short items are left out: they are done again sooner than kept.
 */
import type { BatchLedger } from './batchLedger.js';
import type { ItemEvents } from './batchMessages.js';
import type { GeneratedEvent } from './itemProgress.js';
import { MAX_RECORD_UNITS } from './records.js';

/** An item with fewer events runs for under a second: half of all items of a batch have fewer. */
const MIN_EVENTS = 20;
/** Quotes and line feeds are written with a backslash: twice the text is a safe bound, with the event's own fields. */
const UNITS_A_CHARACTER = 2;
const UNITS_AN_EVENT = 60;

interface Kept {
  /** Which text of the item: it begins anew when its versions may not be joined. */
  readonly textNumber: number;
  readonly events: number;
}

export class KeptEvents {
  private readonly _ledger: BatchLedger;
  private readonly _kept = new Map<string, Kept>();

  constructor(ledger: BatchLedger) {
    this._ledger = ledger;
  }

  /**
   * Events of items without a confirmed result that are not kept yet, as many as fit one record; empty when there are
   * none. `minEvents`: items with fewer are left out.
   */
  missing(minEvents = MIN_EVENTS): readonly ItemEvents[] {
    const missing: ItemEvents[] = [];
    let unitsLeft = MAX_RECORD_UNITS;
    for (const { itemId } of this._ledger.unfinished()) {
      const progress = this._ledger.progress(itemId);
      if (progress.lastEvent() < minEvents) continue;
      const events = eventsThatFit(progress.events().slice(this._keptOf(itemId)), unitsLeft);
      if (events.length === 0) continue;
      unitsLeft -= unitsOf(events);
      missing.push({ itemId, events });
    }
    return missing;
  }

  /** The events are kept now. `texts`: which text of each item they belong to, from before they were written. */
  keep(kept: readonly ItemEvents[], texts: ReadonlyMap<string, number>): void {
    for (const { itemId, events } of kept) {
      const last = events.at(-1)?.number ?? 0;
      this._kept.set(itemId, { textNumber: texts.get(itemId) ?? 0, events: last });
    }
  }

  /** The number of each item's present text. */
  texts(items: readonly ItemEvents[]): ReadonlyMap<string, number> {
    return new Map(items.map(({ itemId }) => [itemId, this._ledger.progress(itemId).textNumber()]));
  }

  private _keptOf(itemId: string): number {
    const kept = this._kept.get(itemId);
    if (!kept) return 0;
    const isSameText = kept.textNumber === this._ledger.progress(itemId).textNumber();
    return isSameText ? kept.events : 0;
  }
}

/** The first of the events, as many as take no more than the units. */
function eventsThatFit(events: readonly GeneratedEvent[], units: number): readonly GeneratedEvent[] {
  let unitsLeft = units;
  const beyond = events.findIndex(event => {
    unitsLeft -= unitsOf([event]);
    return unitsLeft < 0;
  });
  return beyond < 0 ? events : events.slice(0, beyond);
}

function unitsOf(events: readonly GeneratedEvent[]): number {
  return events.reduce((sum, { text }) => sum + UNITS_A_CHARACTER * text.length + UNITS_AN_EVENT, 0);
}
