/**
 * Buffer of recent changes under one store prefix, for the local mirror and for the followers of this host.
 */
import type { Instant } from '@fuchsiahitch/base';
import type { Changes, Snapshot, WatchEvent } from '@fuchsiahitch/clients';
import type { NewsBudget } from './newsBudget.js';
import type { ViewState } from './storeView.js';

/** Holds several seconds of changes of a pool with hundreds of endpoints. */
const MAX_EVENTS = 2000;
/** Time for an answer of the watching host. */
const FOLLOW_MARGIN_MS = 50;
const MIN_WATCH_WAIT_MS = 20;
/** A shorter wait would only check that the watching host responds. */
const MIN_FOLLOW_WAIT_MS = 100;

export interface WatchedPrefix {
  readonly prefix: string;
  readonly budget: NewsBudget;
  /** Minimum time after a call that returned changes until the next one, so that close changes are read together. */
  readonly spacingMs: number;
  /** Extracts the significant part of a value; writes that don't change it are dropped. Default: the complete value. */
  readonly significantPart?: (value: string) => string;
}

export class WatchFeed {
  readonly watched: WatchedPrefix;
  /** Significant part of each key's value. */
  private readonly _significantParts = new Map<string, string>();
  private _events: WatchEvent[] = [];
  /** `_events` holds all significant changes after `_fromRevision` up to `_revision`. */
  private _fromRevision = Infinity;
  private _revision = 0;
  private _hadChanges = false;
  private _view: ViewState | undefined;

  constructor(watched: WatchedPrefix) {
    this.watched = watched;
  }

  /** Last known revision; 0 before the first read. */
  get revision(): number {
    return this._revision;
  }

  /** The most recent state that the buffer is known to show; undefined before the first read. */
  view(): ViewState | undefined {
    return this._view;
  }

  /** How long the buffer remains fresh; 0 or less if it is stale. */
  freshForMs(): number {
    const { askAgeMs, questionMs } = this.watched.budget;
    return askAgeMs + questionMs - this._ageMs();
  }

  /**
   * How long the next watch may wait for a change. The age of the buffer is deducted, so that it does not become stale
   * meanwhile.
   */
  waitMs(): number {
    return Math.max(MIN_WATCH_WAIT_MS, this.watched.budget.intervalMs - this._ageMs());
  }

  /** How long a request to the watching host may wait before this buffer needs a newer state. */
  followWaitMs(): number {
    return Math.max(MIN_FOLLOW_WAIT_MS, this.watched.budget.askAgeMs - FOLLOW_MARGIN_MS - this._ageMs());
  }

  /** Remaining delay before the next call to the store. */
  spacingLeftMs(): number {
    return this._hadChanges ? this.watched.spacingMs - this._ageMs() : 0;
  }

  /** Resets the buffer after a complete read of the prefix. */
  restart({ items, revision }: Snapshot, asOf: Instant): void {
    this._significantParts.clear();
    // Later pages may show newer values, whose changes must still be passed on.
    for (const { key, value, version } of items) if (version <= revision) this._isSignificant(key, value);
    this._resetTo(revision);
    this._advance({ asOf, source: 'read' });
  }

  /** Applies changes that follow a revision; returns true if any of them is significant. */
  apply(afterRevision: number, changes: Changes, view: ViewState): boolean {
    // Intermediate changes are missing: restart the buffer.
    if (afterRevision > this._revision) this._resetTo(afterRevision);
    const previous = this._revision;
    const significant = changes.events.filter(
      event => event.version > previous && this._isSignificant(event.key, event.value),
    );
    this._events.push(...significant);
    const surplus = this._events.splice(0, Math.max(0, this._events.length - MAX_EVENTS));
    this._fromRevision = surplus.at(-1)?.version ?? this._fromRevision;
    this._revision = Math.max(previous, changes.revision);
    this._hadChanges = changes.events.length > 0;
    this._advance(view);
    return significant.length > 0;
  }

  /** Returns the significant changes after a revision, or undefined if they are no longer retained. */
  after(revision: number): Changes | undefined {
    if (!this.retains(revision)) return undefined;
    const events = this._events.filter(event => event.version > revision);
    return { events, revision: Math.max(this._revision, revision) };
  }

  /** True if all significant changes after the revision are retained. */
  retains(revision: number): boolean {
    return revision >= this._fromRevision;
  }

  hasChangesAfter(revision: number): boolean {
    return (this._events.at(-1)?.version ?? 0) > revision;
  }

  private _ageMs(): number {
    return this._view?.asOf.ageMs() ?? Infinity;
  }

  /** Answers may arrive out of order: the most recent state counts. */
  private _advance(view: ViewState): void {
    if (!this._view || view.asOf.isAfter(this._view.asOf)) this._view = view;
  }

  private _resetTo(revision: number): void {
    this._events = [];
    this._fromRevision = revision;
    this._revision = revision;
  }

  private _isSignificant(key: string, value: string | undefined): boolean {
    const { significantPart } = this.watched;
    if (!significantPart) return true;
    if (value === undefined) {
      this._significantParts.delete(key);
      return true;
    }
    const part = significantPart(value);
    if (this._significantParts.get(key) === part) return false;
    this._significantParts.set(key, part);
    return true;
  }
}
