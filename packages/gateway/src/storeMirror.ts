/**
 * Local copy of one prefix of the store, updated by a watch.
 *
 * Every watch has a timeout, since a watch may become unresponsive without an error. The prefix is read completely if
 * the store has compacted the changes since the last revision. The last view is retained while the store is
 * unreachable, so that an outage is not mistaken for an empty fleet.
 */
import { Deadline, Instant, sleep, type Result } from '@fuchsiahitch/base';
import type { Changes, RevisionedStore, StoredValue, StoreError } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';
import { watchedAsOf, type ChangeOrigin, type ViewState } from './storeView.js';

export interface MirrorOptions {
  readonly prefix: string;
  /** Maximum time that one watch waits for a change. */
  readonly waitMs: number;
  /** Minimum pause between two watches, so that close changes are read in one call. */
  readonly spacingMs: number;
  /** Timeout of a watch in addition to its wait. */
  readonly responseGraceMs?: number;
}

export type MirrorStore = Pick<RevisionedStore, 'snapshot' | 'changes'>;

export interface MirrorChanges extends Changes {
  /** The state of the store that these changes lead to; absent if it is known from the call alone. */
  readonly view?: ViewState | undefined;
}

/** A store, or another host's watch of it. */
export interface MirrorSource extends Pick<MirrorStore, 'snapshot'> {
  changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<MirrorChanges, StoreError | 'compacted'>>;
}

export interface MirrorListener {
  /** Called when a key was added or its value was written again. */
  changed(value: StoredValue, origin: ChangeOrigin): void;
  removed(key: string, origin: ChangeOrigin): void;
  /** Called after a complete read of the prefix. */
  synced?(): void;
}

/** Allows for a round trip to a slow store. */
const RESPONSE_GRACE_MS = 1500;
const SNAPSHOT_TIMEOUT_MS = 1500;
/** Short compared with the seconds within which changes must be known. */
const RETRY_MS = 250;

export class StoreMirror {
  private readonly _context: GatewayContext;
  private readonly _store: MirrorSource;
  private readonly _options: MirrorOptions;
  private readonly _listener: MirrorListener;
  private readonly _items = new Map<string, StoredValue>();
  private _revision: number | undefined;
  private _lastReplyMs = -Infinity;
  private _asOf: Instant | undefined;
  private _lastFailureMs = -Infinity;
  private _isDisconnected = false;

  constructor(
    context: GatewayContext,
    store: MirrorSource,
    options: MirrorOptions,
    listener: MirrorListener,
  ) {
    this._context = context;
    this._store = store;
    this._options = options;
    this._listener = listener;
  }

  start(): void {
    void this._run();
  }

  /** Returns true if a complete read of the prefix is current. */
  isSynced(): boolean {
    return this._revision !== undefined;
  }

  /** Milliseconds since the store last answered. */
  ageMs(): number {
    return this._context.clock.nowMs() - this._lastReplyMs;
  }

  /** Milliseconds since the state of the store that the view shows; Infinity before the first read. */
  viewAgeMs(): number {
    return this._asOf?.ageMs() ?? Infinity;
  }

  /** Milliseconds since the store last failed to answer. */
  sinceFailureMs(): number {
    return this._context.clock.nowMs() - this._lastFailureMs;
  }

  private async _run(): Promise<void> {
    const { stopped, clock } = this._context;
    while (!stopped.aborted) {
      const isSuccess = this._revision === undefined ? await this._read() : await this._watch(this._revision);
      await sleep(clock, isSuccess ? this._options.spacingMs : RETRY_MS, stopped);
    }
  }

  private async _read(): Promise<boolean> {
    const deadline = Deadline.after(this._context.clock, SNAPSHOT_TIMEOUT_MS);
    const began = Instant.now(this._context.clock);
    const snapshot = await this._store.snapshot(this._options.prefix, deadline);
    if (!snapshot.ok) return this._onFailure(snapshot.error);
    this._onReply();
    const { items, revision } = snapshot.value;
    const maxDelayMs = this.viewAgeMs();
    const present = new Set(items.map(item => item.key));
    for (const item of items) this._apply(item, { source: 'read', revision: item.version, maxDelayMs });
    for (const key of [...this._items.keys()])
      if (!present.has(key)) this._remove(key, { source: 'read', revision, maxDelayMs });
    this._revision = revision;
    this._advance(began);
    this._listener.synced?.();
    return true;
  }

  private async _watch(after: number): Promise<boolean> {
    const { prefix, waitMs } = this._options;
    const responseGraceMs = this._options.responseGraceMs ?? RESPONSE_GRACE_MS;
    const { clock } = this._context;
    const deadline = Deadline.after(clock, waitMs + responseGraceMs);
    const began = Instant.now(clock);
    const changes = await this._store.changes(prefix, after, waitMs, deadline);
    if (!changes.ok) {
      if (changes.error !== 'compacted') return this._onFailure(changes.error);
      this._context.log.info('store history was compacted, reading the prefix again', {
        prefix,
        afterRevision: after,
      });
      this._revision = undefined;
      return true;
    }
    this._onReply();
    const { events, revision, view } = changes.value;
    const { asOf, source } = view ?? {
      asOf: watchedAsOf(clock, began, waitMs, events.length > 0),
      source: 'watch',
    };
    const maxDelayMs = this.viewAgeMs();
    for (const { key, value, version } of events) {
      const origin: ChangeOrigin = { source, revision: version, maxDelayMs };
      if (value === undefined) this._remove(key, origin);
      else this._apply({ key, value, version }, origin);
    }
    this._revision = Math.max(after, revision);
    this._advance(asOf);
    return true;
  }

  private _advance(asOf: Instant): void {
    if (!this._asOf || asOf.isAfter(this._asOf)) this._asOf = asOf;
  }

  private _apply(value: StoredValue, origin: ChangeOrigin): void {
    const known = this._items.get(value.key);
    if (known && known.version >= value.version) return;
    this._items.set(value.key, value);
    this._listener.changed(value, origin);
  }

  private _remove(key: string, origin: ChangeOrigin): void {
    if (this._items.delete(key)) this._listener.removed(key, origin);
  }

  private _onReply(): void {
    this._lastReplyMs = this._context.clock.nowMs();
    if (!this._isDisconnected) return;
    this._isDisconnected = false;
    this._context.log.info('dependency regained', { dependency: 'store', prefix: this._options.prefix });
  }

  private _onFailure(error: string): false {
    this._lastFailureMs = this._context.clock.nowMs();
    if (!this._isDisconnected) {
      this._isDisconnected = true;
      const { prefix } = this._options;
      this._context.log.warn('dependency lost', { dependency: 'store', prefix, error });
    }
    return false;
  }
}
