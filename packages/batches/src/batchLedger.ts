/**
 * The owner's account of one batch: which items wait, run or are done, and in which order results are listed.
 *
 * A result is listed in two steps. It is finished when its text is whole, and readers see it only once the
 * store has confirmed its position: a position shown earlier could be given to another result by the next owner.
 */
import { invariant } from '@fuchsiahitch/base';
import { ItemProgress, type EventEffect, type GeneratedEvent } from './itemProgress.js';
import type { ItemEvents } from './batchMessages.js';
import type { CarryOver } from './carryOver.js';
import type { Batch, BatchItem, ItemResult } from './model.js';

/** The rules of the route for the items of a batch. */
export interface ItemRules {
  /** Failed runs after which an item is given up. */
  readonly maxAttempts: number;
  readonly isSingleVersion: boolean;
}

type ItemState = 'waiting' | 'running' | 'finished';

interface Entry {
  readonly item: BatchItem;
  readonly progress: ItemProgress;
  state: ItemState;
  failures: number;
  attempts: number;
}

export class BatchLedger {
  readonly batch: Batch;
  private readonly _rules: ItemRules;
  private readonly _entries = new Map<string, Entry>();
  private readonly _confirmed: ItemResult[] = [];
  private _unconfirmed: ItemResult[] = [];
  private _firstGroups: ReadonlySet<string> = new Set();

  constructor(batch: Batch, listed: readonly ItemResult[], rules: ItemRules) {
    this.batch = batch;
    this._rules = rules;
    const { minVersion } = batch;
    for (const item of batch.items) {
      const progress = new ItemProgress({ minVersion, isSingleVersion: rules.isSingleVersion });
      this._entries.set(item.id, { item, progress, state: 'waiting', failures: 0, attempts: 0 });
    }
    for (const result of listed) {
      this._confirmed.push(result);
      const entry = this._entries.get(result.id);
      if (entry) entry.state = 'finished';
    }
  }

  total(): number {
    return this.batch.items.length;
  }

  /** True if each text must be of one weight version. */
  isSingleVersion(): boolean {
    return this._rules.isSingleVersion;
  }

  /** The results that readers may see. */
  listed(): readonly ItemResult[] {
    return this._confirmed;
  }

  /** Results that are finished and have no confirmed position yet, in the order of their positions. */
  unconfirmed(): readonly ItemResult[] {
    return this._unconfirmed;
  }

  /** The store confirmed the first `count` unconfirmed results. */
  confirm(count: number): void {
    this._confirmed.push(...this._unconfirmed.slice(0, count));
    this._unconfirmed = this._unconfirmed.slice(count);
  }

  isDone(): boolean {
    return this._confirmed.length === this.total();
  }

  item(itemId: string): BatchItem | undefined {
    return this._entries.get(itemId)?.item;
  }

  progress(itemId: string): ItemProgress {
    return this._entry(itemId).progress;
  }

  /** What was generated of the items that have no confirmed position: a next owner may go on with it. */
  unfinished(): readonly ItemEvents[] {
    const whole = new Set(this._unconfirmed.filter(({ state }) => state === 'completed').map(({ id }) => id));
    return [...this._entries.values()]
      .filter(({ state, item }) => state !== 'finished' || whole.has(item.id))
      .filter(({ progress }) => progress.lastEvent() > 0)
      .map(({ item, progress }) => ({ itemId: item.id, events: progress.events() }));
  }

  /** Takes over what the step before has generated. Its groups go first. */
  carry(before: CarryOver): void {
    for (const result of before.results) {
      const entry = this._entries.get(result.id);
      if (entry?.state !== 'waiting') continue;
      entry.state = 'finished';
      this._unconfirmed.push(result);
    }
    this._firstGroups = before.groups;
    this.resume(before.unfinished);
  }

  /**
   * Takes in what a former owner had of items that wait. Events that don't fit are left out; a list that begins with
   * an item's first event is a new text of it.
   */
  resume(unfinished: readonly ItemEvents[]): void {
    for (const { itemId, events } of unfinished) {
      const entry = this._entries.get(itemId);
      if (entry?.state !== 'waiting') continue;
      if (events[0]?.number === 1) entry.progress.clear();
      for (const event of events) {
        const effect = entry.progress.add(event);
        if (effect === 'gap' || effect === 'restart') break;
      }
    }
  }

  /**
   * The items that wait, the longest first by the trainer's estimate and what is already made. A long item takes
   * as long as a whole step however many places are free, so that it holds its group up by every moment that it
   * begins later; short ones fit in behind it.
   */
  waiting(): readonly BatchItem[] {
    const entries = [...this._entries.values()].filter(entry => entry.state === 'waiting');
    entries.sort((a, b) => this._rank(b) - this._rank(a) || compare(urgency(b), urgency(a)));
    return entries.map(entry => entry.item);
  }

  /** An attempt begins: its number, from 1. */
  begin(itemId: string): number {
    const entry = this._entry(itemId);
    invariant(entry.state === 'waiting', 'only a waiting item begins');
    entry.state = 'running';
    entry.attempts += 1;
    return entry.attempts;
  }

  event(itemId: string, event: GeneratedEvent): EventEffect {
    return this._entry(itemId).progress.add(event);
  }

  /** The item's stream ended whole. */
  completed(itemId: string): void {
    this._finish(itemId, 'completed');
  }

  /** The attempt ended without a whole text, and says nothing against the item: it waits again. */
  interrupted(itemId: string): void {
    const entry = this._entry(itemId);
    if (entry.state === 'running') entry.state = 'waiting';
  }

  /** The endpoint failed to run the item. An item that fails at each run must end, or its step never would. */
  failed(itemId: string): void {
    const entry = this._entry(itemId);
    if (entry.state !== 'running') return;
    entry.failures += 1;
    if (entry.failures >= this._rules.maxAttempts) this._finish(itemId, 'terminated');
    else entry.state = 'waiting';
  }

  /** The endpoint said that the item can never be done. */
  impossible(itemId: string): void {
    this._finish(itemId, 'terminated');
  }

  /** Gives up every item that is not finished: its time is up, or its route is gone. */
  terminateRest(): void {
    for (const entry of this._entries.values())
      if (entry.state !== 'finished') this._finish(entry.item.id, 'terminated');
  }

  /** The trainer waits for groups that come again, whatever others are whole. */
  private _rank(entry: Entry): number {
    return this._firstGroups.has(entry.item.group) ? 1 : 0;
  }

  private _finish(itemId: string, state: ItemResult['state']): void {
    const entry = this._entry(itemId);
    if (entry.state === 'finished') return;
    entry.state = 'finished';
    const { progress } = entry;
    this._unconfirmed.push({ id: itemId, state, text: progress.text(), versions: progress.versions() });
  }

  private _entry(itemId: string): Entry {
    const entry = this._entries.get(itemId);
    invariant(entry !== undefined, 'the item belongs to the batch');
    return entry;
  }
}

/** An item that was begun goes before all that were not: its group has waited for it already. */
function urgency(entry: Entry): number {
  const isBegun = entry.attempts > 0 || entry.progress.lastEvent() > 0;
  return isBegun ? Infinity : entry.item.expectedTokens;
}

/** Orders numbers, infinite ones too. */
function compare(a: number, b: number): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
