/**
 * What a host has heard of the changes under one prefix of the store, kept for a while for its own mirror and its neighbours.
 */
import type { Changes, Snapshot, WatchEvent } from '@fuchsiahitch/clients';

/** Changes that are kept: several seconds of a pool of hundreds of endpoints. */
const MAX_EVENTS = 2000;
/** A shorter watch only asks whether the store is there. */
const MIN_WAIT_MS = 100;

/** One prefix that is watched. */
export interface WatchedPrefix {
  readonly prefix: string;
  /** Changes that come in this time after others are read in one call to the store. */
  readonly spacingMs: number;
  /** From one answer of the store to the next, at the most, where nothing changes. */
  readonly waitMs: number;
  /** A host that has heard nothing of the store for longer tells its neighbours nothing. */
  readonly validMs: number;
  /** What of a value is news; the whole value where it is left out. A write that brings no news is not told. */
  readonly significantPart?: (value: string) => string;
}

export class WatchFeed {
  readonly watched: WatchedPrefix;
  /** The news of each key, to tell a write without any. */
  private readonly _significantParts = new Map<string, string>();
  private _events: WatchEvent[] = [];
  /** The events are all news after `_fromRevision`, up to `_revision`. */
  private _fromRevision = Infinity;
  private _revision = 0;
  private _updatedMs = -Infinity;
  private _changedMs = -Infinity;

  constructor(watched: WatchedPrefix) {
    this.watched = watched;
  }

  /** The revision up to which changes are known; 0 before any. */
  get revision(): number {
    return this._revision;
  }

  /** How long what is known here may still be told; 0 or less if it is too old. */
  freshForMs(nowMs: number): number {
    return this._updatedMs + this.watched.validMs - nowMs;
  }

  /**
   * How long the next watch may wait for a change. A time in which the store was left alone is part of it: else a host whose
   * endpoints change now and then is silent for both, and its neighbours take its view for too old.
   */
  waitMs(nowMs: number): number {
    return Math.max(MIN_WAIT_MS, this.watched.waitMs - Math.max(0, nowMs - this._updatedMs));
  }

  /** How long to wait before the store is asked again, so that changes which come together are read together. */
  spacingLeftMs(nowMs: number): number {
    return this._changedMs + this.watched.spacingMs - nowMs;
  }

  /** The prefix was read whole. */
  restart({ items, revision }: Snapshot, nowMs: number): void {
    this._significantParts.clear();
    for (const { key, value } of items) this._isSignificant(key, value);
    this._resetTo(revision);
    this._updatedMs = nowMs;
  }

  /** Takes changes in that came after a revision; true if there was news among them. */
  apply(afterRevision: number, changes: Changes, nowMs: number): boolean {
    // What came between is not known here: the feed begins anew.
    if (afterRevision > this._revision) this._resetTo(afterRevision);
    const known = this._revision;
    const news = changes.events.filter(
      event => event.version > known && this._isSignificant(event.key, event.value),
    );
    this._events.push(...news);
    const surplus = this._events.splice(0, Math.max(0, this._events.length - MAX_EVENTS));
    this._fromRevision = surplus.at(-1)?.version ?? this._fromRevision;
    this._revision = Math.max(known, changes.revision);
    this._updatedMs = nowMs;
    if (changes.events.length > 0) this._changedMs = nowMs;
    return news.length > 0;
  }

  /** The news after a revision; undefined if changes from so long ago are not known. */
  after(revision: number): Changes | undefined {
    if (revision < this._fromRevision) return undefined;
    const events = this._events.filter(event => event.version > revision);
    return { events, revision: Math.max(this._revision, revision) };
  }

  hasChangesAfter(revision: number): boolean {
    return (this._events.at(-1)?.version ?? 0) > revision;
  }

  private _resetTo(revision: number): void {
    this._events = [];
    this._fromRevision = revision;
    this._revision = revision;
  }

  private _isSignificant(key: string, value: string | undefined): boolean {
    const { significantPart: newsOf } = this.watched;
    if (!newsOf) return true;
    if (value === undefined) {
      this._significantParts.delete(key);
      return true;
    }
    const news = newsOf(value);
    if (this._significantParts.get(key) === news) return false;
    this._significantParts.set(key, news);
    return true;
  }
}
