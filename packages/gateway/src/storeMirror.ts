/**
 * Local copy of one prefix of the store, updated by a watch.
 *
 * A watch may become unresponsive without an error, and so may the host that is followed instead. The mirror therefore asks
 * the store itself once its view reaches the age that the news budget allows. The prefix is read completely if the store
 * has compacted the changes since the last revision. The last view is retained while the store is unreachable, so that an
 * outage is not mistaken for an empty fleet.
 */
import { afterPendingIo, Deadline, Instant, sleep, type Result } from '@fuchsiahitch/base';
import type { Changes, RevisionedStore, Snapshot, StoredValue, StoreError } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';
import type { NewsBudget } from './newsBudget.js';
import { watchedAsOf, type ChangeOrigin, type ViewState } from './storeView.js';

export interface MirrorOptions {
  readonly prefix: string;
  readonly budget: NewsBudget;
  /** Minimum pause between two watches, so that close changes are read in one call. */
  readonly spacingMs: number;
}

export type MirrorStore = Pick<RevisionedStore, 'snapshot' | 'changes'>;

export interface MirrorChanges extends Changes {
  /** The state of the store that these changes lead to; absent if it is known from the call alone. */
  readonly view?: ViewState | undefined;
}

/** A store, or another host's watch of it. */
export interface MirrorSource extends Pick<MirrorStore, 'snapshot'> {
  /**
   * With a `waitMs` of 0 the store itself is asked, at once. Otherwise a shared watch may take longer than the deadline, as
   * it follows another host first and then gives its own call the whole time.
   */
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

/** Timeout of a watch in addition to its wait. */
export const RESPONSE_GRACE_MS = 600;
const SNAPSHOT_TIMEOUT_MS = 1500;
/** Short compared with the seconds within which changes must be known. */
const RETRY_MS = 250;
/** Timeout of a question, in multiples of the time after which it is asked again. Enough for one through a peer. */
const QUESTION_TIMEOUT_FACTOR = 3;
/** Failed questions in a row from which on the store counts as unreachable. */
const MAX_FAILED_QUESTIONS = 2;
/** Interval of questions while the store is unreachable. */
const UNREACHABLE_ASK_INTERVAL_MS = 1000;
/** A record expires after three heartbeats of about 1.2 s without a write; a shorter outage prevents two at most. */
const MIN_OUTAGE_MS = 2000;

export class StoreMirror {
  private readonly _context: GatewayContext;
  private readonly _store: MirrorSource;
  private readonly _options: MirrorOptions;
  private readonly _listener: MirrorListener;
  private readonly _items = new Map<string, StoredValue>();
  private _revision: number | undefined;
  private _isHistoryLost = false;
  private _asOf: Instant | undefined;
  private _outageEnd: Instant | undefined;
  private _lastFailureMs = -Infinity;
  /** When the first of the calls that failed since the last answer should have been answered. */
  private _unansweredSince: Instant | undefined;
  private _lastQuestion: Instant | undefined;
  /** Questions that failed since the view was last current. */
  private _failedQuestions = 0;
  private _waiters: (() => void)[] = [];

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
    void this._keepCurrent();
  }

  /** Returns true once the prefix was read completely. */
  isSynced(): boolean {
    return this._revision !== undefined;
  }

  /** Returns false while changes are missing that only another complete read can show. */
  isComplete(): boolean {
    return this.isSynced() && !this._isHistoryLost;
  }

  /** Milliseconds since the state of the store that the view shows; Infinity before the first read. */
  viewAgeMs(): number {
    return this._asOf?.ageMs() ?? Infinity;
  }

  /**
   * Returns false while the view may miss a change that must be in effect, and the store may still answer. A host that
   * does not reach the store goes on with the view that it has.
   */
  isCurrent(): boolean {
    return this._isUnreachable() || !this.isSynced() || this._isRecent();
  }

  /** Resolves when the view is current, or at the time when a question would be asked again. */
  async whenCurrent(): Promise<void> {
    if (this.isCurrent()) return;
    const { questionMs } = this._options.budget;
    await new Promise<void>(resolve => {
      const cancel = afterPendingIo(this._context.clock, questionMs, resolve);
      this._waiters.push(() => {
        cancel();
        resolve();
      });
      this._askIfDue();
    });
  }

  /** Milliseconds since a call to the store last failed. */
  sinceFailureMs(): number {
    return this._context.clock.nowMs() - this._lastFailureMs;
  }

  /** Milliseconds since the store answered again after an outage in which records may have expired. */
  sinceOutageMs(): number {
    return this._outageEnd?.ageMs() ?? Infinity;
  }

  private async _run(): Promise<void> {
    const { stopped, clock } = this._context;
    const { budget, spacingMs } = this._options;
    while (!stopped.aborted) {
      const isSuccess =
        this._revision === undefined
          ? await this._read()
          : await this._watch(this._revision, budget.intervalMs, budget.intervalMs + RESPONSE_GRACE_MS);
      await sleep(clock, isSuccess ? spacingMs : RETRY_MS, stopped);
    }
  }

  /** Asks the store itself whenever the view gets too old, whatever the watch is doing. */
  private async _keepCurrent(): Promise<void> {
    const { stopped, clock } = this._context;
    while (!stopped.aborted) {
      const leftMs = this._options.budget.askAgeMs - this.viewAgeMs();
      if (leftMs <= 0) this._askIfDue();
      await sleep(clock, leftMs <= 0 ? this._askIntervalMs() : Math.max(1, leftMs), stopped);
    }
  }

  private _askIntervalMs(): number {
    return this._isUnreachable() ? UNREACHABLE_ASK_INTERVAL_MS : this._options.budget.questionMs;
  }

  private _isUnreachable(): boolean {
    return this._failedQuestions >= MAX_FAILED_QUESTIONS;
  }

  private _isRecent(): boolean {
    return this.viewAgeMs() <= this._options.budget.maxAgeMs;
  }

  /** Asks again while an earlier question is unanswered: its connection may be unresponsive. */
  private _askIfDue(): void {
    if (this._revision === undefined) return;
    if (this._lastQuestion && this._lastQuestion.ageMs() < this._askIntervalMs()) return;
    this._lastQuestion = Instant.now(this._context.clock);
    const timeoutMs = this._options.budget.questionMs * QUESTION_TIMEOUT_FACTOR;
    void this._watch(this._revision, 0, timeoutMs).then(isSuccess => {
      if (!isSuccess) this._failedQuestions += 1;
      this._wakeWaitersIfCurrent();
    });
  }

  private async _read(): Promise<boolean> {
    const deadline = Deadline.after(this._context.clock, SNAPSHOT_TIMEOUT_MS);
    const began = Instant.now(this._context.clock);
    const snapshot = await this._store.snapshot(this._options.prefix, deadline);
    if (!snapshot.ok) return this._onFailure(snapshot.error, began);
    // An answer that was overtaken by a later one.
    if (snapshot.value.revision < (this._revision ?? 0)) return true;
    this._endOutage();
    this._replaceAll(snapshot.value);
    this._advance(began);
    this._listener.synced?.();
    return true;
  }

  private _replaceAll({ items, revision }: Snapshot): void {
    const maxDelayMs = this.viewAgeMs();
    const present = new Set(items.map(item => item.key));
    for (const item of items) this._apply(item, { source: 'read', revision: item.version, maxDelayMs });
    for (const { key, version } of [...this._items.values()])
      if (!present.has(key) && version <= revision)
        this._remove(key, { source: 'read', revision, maxDelayMs });
    this._revision = revision;
    this._isHistoryLost = false;
  }

  private async _watch(after: number, waitMs: number, timeoutMs: number): Promise<boolean> {
    const { prefix } = this._options;
    const { clock, log } = this._context;
    const began = Instant.now(clock);
    const changes = await this._store.changes(prefix, after, waitMs, Deadline.after(clock, timeoutMs));
    if (!changes.ok) {
      if (changes.error !== 'compacted') return this._onFailure(changes.error, began);
      log.info('store history was compacted, reading the prefix again', { prefix, afterRevision: after });
      this._isHistoryLost = true;
      return this._read();
    }
    const { events, revision, view } = changes.value;
    const { asOf, source } = view ?? {
      asOf: watchedAsOf(clock, began, waitMs, events.length > 0),
      source: 'watch',
    };
    this._endOutage();
    this._applyAll({ events, revision }, source);
    this._advance(asOf);
    return true;
  }

  /** Answers may overtake each other: changes up to the known revision were applied before. */
  private _applyAll({ events, revision }: Changes, source: ChangeOrigin['source']): void {
    const known = this._revision ?? 0;
    const maxDelayMs = this.viewAgeMs();
    for (const { key, value, version } of events) {
      if (version <= known) continue;
      const origin: ChangeOrigin = { source, revision: version, maxDelayMs };
      if (value === undefined) this._remove(key, origin);
      else this._apply({ key, value, version }, origin);
    }
    this._revision = Math.max(known, revision);
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

  /** Called before changes are applied, since they may include records that expired in the outage. */
  private _endOutage(): void {
    const outageMs = this._unansweredSince?.ageMs() ?? 0;
    if (outageMs >= MIN_OUTAGE_MS) this._outageEnd = Instant.now(this._context.clock);
  }

  private _advance(asOf: Instant): void {
    if (!this._asOf || asOf.isAfter(this._asOf)) this._asOf = asOf;
    if (this._isRecent()) this._failedQuestions = 0;
    this._wakeWaitersIfCurrent();
    if (!this._unansweredSince) return;
    this._unansweredSince = undefined;
    this._context.log.info('dependency regained', { dependency: 'store', prefix: this._options.prefix });
  }

  private _wakeWaitersIfCurrent(): void {
    if (!this.isCurrent()) return;
    const waiters = this._waiters;
    this._waiters = [];
    for (const wake of waiters) wake();
  }

  private _onFailure(error: StoreError, began: Instant): false {
    const { clock, log } = this._context;
    this._lastFailureMs = clock.nowMs();
    if (this._unansweredSince) return false;
    // A refusal comes at once; a call without an answer should have had one before its timeout.
    const overdueMs = error === 'unknown' ? Math.min(began.ageMs(), RESPONSE_GRACE_MS) : 0;
    this._unansweredSince = Instant.now(clock).plus(-overdueMs);
    log.warn('dependency lost', { dependency: 'store', prefix: this._options.prefix, error });
    return false;
  }
}
