/**
 * The owner's account of one batch: which items wait, run or are done, and in which order results are listed.
 *
 * An item is generated, then scored if its trainer asks for a score, then listed. A score belongs to one text: it is
 * asked for when that text is whole, and a text that begins anew is scored anew.
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

/** `unscored`: the text is whole, and its score is asked for. */
type ItemState = 'waiting' | 'running' | 'unscored' | 'scoring' | 'finished';

/** A whole text that an earlier step has listed: its events are not known one by one. */
interface CompleteText {
  readonly text: string;
  readonly versions: readonly number[];
}

interface Entry {
  readonly item: BatchItem;
  readonly progress: ItemProgress;
  state: ItemState;
  failures: number;
  scoreFailures: number;
  attempts: number;
  /** Attempts in a row that added no event although the endpoint answered. */
  fruitless: number;
  eventsAtStart: number;
  carriedText: CompleteText | undefined;
}

/** How an attempt at an item that did not end its text left it. */
export interface Interruption {
  /** Attempts in a row that added nothing. */
  readonly fruitless: number;
  /** True if the text so far was given up: the item begins anew. */
  readonly isTextDropped: boolean;
}

/**
 * An item whose text was refused by this many answers in a row begins anew. What goes wrong without it: a text that no
 * endpoint goes on with is offered round for ever, which one notices as an item with hundreds of attempts. Each answer
 * came from another endpoint, so that three can't be the fault of one.
 */
const MAX_FRUITLESS_ATTEMPTS = 3;

export class BatchLedger {
  readonly batch: Batch;
  private readonly _rules: ItemRules;
  private readonly _entries = new Map<string, Entry>();
  private readonly _confirmed: ItemResult[] = [];
  private _unconfirmed: ItemResult[] = [];
  private _priorityGroups: ReadonlySet<string> = new Set();

  constructor(batch: Batch, listed: readonly ItemResult[], rules: ItemRules) {
    this.batch = batch;
    this._rules = rules;
    const { minVersion } = batch;
    for (const item of batch.items) {
      const progress = new ItemProgress({ minVersion, isSingleVersion: rules.isSingleVersion });
      this._entries.set(item.id, newEntry(item, progress));
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

  /** True if every item has its result, listed or not. */
  isFinished(): boolean {
    return this._confirmed.length + this._unconfirmed.length === this.total();
  }

  /** True if as many groups have all their results as the trainer waits for. */
  hasWantedGroups(): boolean {
    const groups = new Set(this.batch.items.map(({ group }) => group));
    for (const { item, state } of this._entries.values()) if (state !== 'finished') groups.delete(item.group);
    return groups.size >= this.batch.groupsWanted;
  }

  /** True if a group has all its results, and some of them have no confirmed position yet. */
  hasUnlistedCompleteGroup(): boolean {
    const groups = new Set(this._unconfirmed.map(({ id }) => this._entries.get(id)?.item.group));
    for (const { item, state } of this._entries.values()) if (state !== 'finished') groups.delete(item.group);
    return groups.size > 0;
  }

  item(itemId: string): BatchItem | undefined {
    return this._entries.get(itemId)?.item;
  }

  progress(itemId: string): ItemProgress {
    return this._entry(itemId).progress;
  }

  /** What was generated of the items that have no confirmed position: a next owner may go on with it. */
  unfinished(): readonly ItemEvents[] {
    const completed = new Set(this._unconfirmed.filter(isCompleted).map(({ id }) => id));
    return [...this._entries.values()]
      .filter(({ state, item }) => state !== 'finished' || completed.has(item.id))
      .filter(({ progress }) => progress.lastEventNumber() > 0)
      .map(toItemEvents);
  }

  /** Takes over what the step before has generated. Its groups go first. */
  applyCarryOver(before: CarryOver): void {
    for (const result of before.results) {
      const entry = this._entries.get(result.id);
      if (entry?.state !== 'waiting') continue;
      entry.carriedText = { text: result.text, versions: result.versions };
      if (result.score === undefined) this._onTextComplete(entry);
      else this._finish(entry, 'completed', result.score);
    }
    this._priorityGroups = before.groups;
    this.resume(before.unfinished);
  }

  /**
   * Takes in what a former owner had of items that wait. Events that don't fit are left out; a list that begins with
   * an item's first event is a new text of it. A text that was whole is not generated again, nor resumed: an endpoint
   * has nothing to add to it.
   */
  resume(unfinished: readonly ItemEvents[]): void {
    const wholeEvents = new Map<string, number>();
    for (const kept of unfinished) {
      const entry = this._entries.get(kept.itemId);
      if (entry?.state !== 'waiting') continue;
      addEvents(entry.progress, kept);
      if (kept.events[0]?.number === 1) wholeEvents.delete(kept.itemId);
      if (kept.wholeEvents !== undefined) wholeEvents.set(kept.itemId, kept.wholeEvents);
    }
    for (const [itemId, events] of wholeEvents) {
      const entry = this._entry(itemId);
      if (entry.progress.lastEventNumber() === events) this._onTextComplete(entry);
    }
  }

  /**
   * The items that wait, the longest first by the trainer's estimate and what is already made. A long item takes
   * as long as a whole step however many places are free, so that it holds its group up by every moment that it
   * begins later; short ones fit in behind it.
   */
  waiting(): readonly BatchItem[] {
    const entries = [...this._entries.values()].filter(entry => entry.state === 'waiting');
    entries.sort(
      (a, b) => this._groupPriority(b) - this._groupPriority(a) || compareNumbers(urgency(b), urgency(a)),
    );
    return entries.map(entry => entry.item);
  }

  /** An attempt begins: its number, from 1. */
  beginAttempt(itemId: string): number {
    const entry = this._entry(itemId);
    invariant(entry.state === 'waiting', 'only a waiting item begins');
    entry.state = 'running';
    entry.attempts += 1;
    entry.eventsAtStart = entry.progress.lastEventNumber();
    return entry.attempts;
  }

  event(itemId: string, event: GeneratedEvent): EventEffect {
    return this._entry(itemId).progress.add(event);
  }

  /** The item's stream ended whole. */
  completed(itemId: string): void {
    const entry = this._entry(itemId);
    if (entry.state === 'running') this._onTextComplete(entry);
  }

  /** The attempt ended without a whole text, and says nothing against the item: it waits again. */
  interrupted(itemId: string): void {
    const entry = this._entry(itemId);
    if (entry.state === 'running') entry.state = 'waiting';
  }

  /** As `interrupted`, where the endpoint answered: its answer may speak against the text so far. */
  interruptedByEndpoint(itemId: string): Interruption {
    const entry = this._entry(itemId);
    this.interrupted(itemId);
    const isFruitless = entry.progress.lastEventNumber() <= entry.eventsAtStart;
    entry.fruitless = isFruitless ? entry.fruitless + 1 : 0;
    const isTextDropped = entry.fruitless >= MAX_FRUITLESS_ATTEMPTS && entry.progress.lastEventNumber() > 0;
    if (isTextDropped) entry.progress.clear();
    return { fruitless: entry.fruitless, isTextDropped };
  }

  /** The items whose texts are whole and whose scores are not asked for at this moment. */
  unscored(): readonly BatchItem[] {
    const entries = [...this._entries.values()].filter(entry => entry.state === 'unscored');
    entries.sort((a, b) => this._groupPriority(b) - this._groupPriority(a));
    return entries.map(entry => entry.item);
  }

  /** The score of an item is asked for. */
  beginScoring(itemId: string): void {
    const entry = this._entry(itemId);
    invariant(entry.state === 'unscored', 'only a whole text is scored');
    entry.state = 'scoring';
  }

  scored(itemId: string, score: string): void {
    const entry = this._entry(itemId);
    if (entry.state === 'scoring') this._finish(entry, 'completed', score);
  }

  /** No score came, and nothing speaks against the item: it is asked for again. */
  scoringInterrupted(itemId: string): void {
    const entry = this._entry(itemId);
    if (entry.state === 'scoring') entry.state = 'unscored';
  }

  /** The scoring service failed so many times more. An item that it never scores must end, or its group never would. */
  scoringFailed(itemId: string, failures: number, maxFailures: number): void {
    const entry = this._entry(itemId);
    if (entry.state !== 'scoring') return;
    entry.scoreFailures += failures;
    if (entry.scoreFailures >= maxFailures) this._finish(entry, 'terminated');
    else entry.state = 'unscored';
  }

  /** The endpoint failed to run the item. An item that fails at each run must end, or its step never would. */
  failed(itemId: string): void {
    const entry = this._entry(itemId);
    if (entry.state !== 'running') return;
    entry.failures += 1;
    if (entry.failures >= this._rules.maxAttempts) this._finish(entry, 'terminated');
    else entry.state = 'waiting';
  }

  /** The endpoint said that the item can never be done. */
  impossible(itemId: string): void {
    this._finish(this._entry(itemId), 'terminated');
  }

  /** Gives up every item that is not finished: its time is up, or its route is gone. */
  terminateUnfinished(): void {
    for (const entry of this._entries.values())
      if (entry.state !== 'finished') this._finish(entry, 'terminated');
  }

  /** The trainer waits for groups that come again, whatever others are whole. */
  private _groupPriority(entry: Entry): number {
    return this._priorityGroups.has(entry.item.group) ? 1 : 0;
  }

  /** The text will not change any more: it is scored, or listed as it is. */
  private _onTextComplete(entry: Entry): void {
    if (entry.item.scoring) entry.state = 'unscored';
    else this._finish(entry, 'completed');
  }

  private _finish(entry: Entry, state: ItemResult['state'], score?: string): void {
    if (entry.state === 'finished') return;
    entry.state = 'finished';
    const { text, versions } = textOf(entry);
    const result = { id: entry.item.id, state, text, versions };
    this._unconfirmed.push(score === undefined ? result : { ...result, score });
  }

  private _entry(itemId: string): Entry {
    const entry = this._entries.get(itemId);
    invariant(entry !== undefined, 'the item belongs to the batch');
    return entry;
  }
}

function newEntry(item: BatchItem, progress: ItemProgress): Entry {
  return {
    item,
    progress,
    state: 'waiting',
    failures: 0,
    scoreFailures: 0,
    attempts: 0,
    fruitless: 0,
    eventsAtStart: 0,
    carriedText: undefined,
  };
}

function isCompleted(result: ItemResult): boolean {
  return result.state === 'completed';
}

function textOf({ carriedText: listedBefore, progress }: Entry): CompleteText {
  return listedBefore ?? { text: progress.text(), versions: progress.versions() };
}

function isTextComplete(state: ItemState): boolean {
  return state === 'unscored' || state === 'scoring' || state === 'finished';
}

function toItemEvents({ item, progress, state }: Entry): ItemEvents {
  const events = progress.events();
  return isTextComplete(state)
    ? { itemId: item.id, events, wholeEvents: events.length }
    : { itemId: item.id, events };
}

/** Adds the events that fit the text so far. A list that begins with the first event is a new text. */
function addEvents(progress: ItemProgress, { events }: ItemEvents): void {
  if (events[0]?.number === 1) progress.clear();
  for (const event of events) {
    const effect = progress.add(event);
    if (effect === 'gap' || effect === 'restart') return;
  }
}

/** An item that was begun goes before all that were not: its group has waited for it already. */
function urgency(entry: Entry): number {
  const isBegun = entry.attempts > 0 || entry.progress.lastEventNumber() > 0;
  return isBegun ? Infinity : entry.item.expectedTokens;
}

/** Orders numbers, infinite ones too. */
function compareNumbers(a: number, b: number): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
