/**
 * An in-memory store with the faults of the platform's store: refused calls, missing and lost responses, delayed writes
 * and compaction.
 */
import { err, ok, sleep, type Clock, type Deadline, type Result } from '@fuchsiahitch/base';
import type {
  Changes,
  Compare,
  RevisionedStore,
  Snapshot,
  StoredValue,
  StoreError,
  TransactionResult,
  WatchEnd,
  WatchEvent,
  Write,
} from '@fuchsiahitch/clients';

interface Entry {
  readonly value: string;
  readonly version: number;
  readonly leaseId: string | undefined;
}

/** `refusing`: fails each call without executing it. `silent`: never responds. */
export type StoreMode = 'available' | 'refusing' | 'silent';

/** Delay between a change and the response to a watch. */
const WATCH_DELAY_MS = 10;

export class FakeStore {
  readonly calls: string[] = [];
  private readonly _clock: Clock;
  private readonly _entries = new Map<string, Entry>();
  private readonly _leases = new Map<string, { ttlMs: number; untilMs: number }>();
  private _events: WatchEvent[] = [];
  private _revision = 1;
  private _nextLease = 1;
  /** Number of transactions that take effect but get no response. */
  loseAnswers = 0;
  /** Like `loseAnswers`, but the caller waits for the response until its deadline. */
  withholdAnswers = 0;
  /** If set, the next transaction gets no response and is executed after this delay. */
  delayNextWriteMs: number | undefined;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  value(key: string): string | undefined {
    this._expire();
    return this._entries.get(key)?.value;
  }

  /** The lease with which the key was written. */
  leaseOf(key: string): string | undefined {
    return this._entries.get(key)?.leaseId;
  }

  keys(prefix: string): readonly string[] {
    this._expire();
    return [...this._entries.keys()].filter(key => key.startsWith(prefix)).sort();
  }

  put(key: string, value: string, leaseId?: string): void {
    this._revision += 1;
    this._entries.set(key, { value, version: this._revision, leaseId });
    this._events.push({ key, value, version: this._revision });
    this.wakeWatches();
  }

  remove(key: string): void {
    if (!this._entries.delete(key)) return;
    this._revision += 1;
    this._events.push({ key, value: undefined, version: this._revision });
    this.wakeWatches();
  }

  /** Drops the history: watches from earlier revisions fail with `compacted`. */
  compact(): void {
    this._events = [];
    this._compactedAt = this._revision;
    this.wakeWatches();
  }
  private _compactedAt = 0;

  /** Returns a client with its own fault settings. */
  client(): FakeStoreClient {
    return new FakeStoreClient(this, this._clock);
  }

  read(key: string): StoredValue | undefined {
    this._expire();
    const entry = this._entries.get(key);
    return entry && { key, value: entry.value, version: entry.version };
  }

  snapshot(prefix: string): Snapshot {
    const items = this.keys(prefix)
      .map(key => this.read(key))
      .filter(item => item !== undefined);
    return { items, revision: this._revision };
  }

  eventsAfter(prefix: string, revision: number): Changes | 'compacted' {
    this._expire();
    if (revision < this._compactedAt) return 'compacted';
    const events = this._events.filter(event => event.version > revision && event.key.startsWith(prefix));
    return { events, revision: this._revision };
  }

  transact(compares: readonly Compare[], writes: readonly Write[]): TransactionResult {
    this._expire();
    const areComparesMet = compares.every(
      ({ key, version }) => (this._entries.get(key)?.version ?? 0) === version,
    );
    if (!areComparesMet) return { succeeded: false, version: 0 };
    this._revision += 1;
    const version = this._revision;
    for (const write of writes) this._write(write, version);
    this.wakeWatches();
    return { succeeded: true, version };
  }

  grant(ttlMs: number): string {
    const id = String(this._nextLease++);
    this._leases.set(id, { ttlMs, untilMs: this._clock.nowMs() + ttlMs });
    return id;
  }

  keep(leaseId: string): boolean {
    this._expire();
    const lease = this._leases.get(leaseId);
    if (!lease) return false;
    lease.untilMs = this._clock.nowMs() + lease.ttlMs;
    return true;
  }

  end(leaseId: string): void {
    this._leases.delete(leaseId);
    for (const [key, entry] of this._entries) if (entry.leaseId === leaseId) this.remove(key);
  }

  private _write(write: Write, version: number): void {
    if (write.kind === 'put') {
      const { key, value, leaseId } = write;
      this._entries.set(key, { value, version, leaseId });
      this._events.push({ key, value, version });
    } else if (write.kind === 'delete' && this._entries.delete(write.key)) {
      this._events.push({ key: write.key, value: undefined, version });
    }
  }

  /** Resolves after the next change, the next lease expiry or `waitMs`, with the delay of a watch. */
  async nextChange(waitMs: number): Promise<void> {
    const nowMs = this._clock.nowMs();
    let untilMs = nowMs + waitMs;
    for (const lease of this._leases.values()) untilMs = Math.min(untilMs, lease.untilMs);
    await new Promise<void>(resolve => {
      const end = (): void => {
        this._watchWakers.delete(end);
        cancel();
        resolve();
      };
      const cancel = this._clock.after(Math.max(1, untilMs - nowMs), end);
      this._watchWakers.add(end);
    });
    await sleep(this._clock, Math.min(WATCH_DELAY_MS, Math.max(0, nowMs + waitMs - this._clock.nowMs())));
  }
  private readonly _watchWakers = new Set<() => void>();

  /** Makes pending watches check for changes. */
  wakeWatches(): void {
    for (const end of [...this._watchWakers]) end();
  }

  private _expire(): void {
    const nowMs = this._clock.nowMs();
    for (const [id, lease] of this._leases) if (lease.untilMs <= nowMs) this.end(id);
  }
}

export class FakeStoreClient implements RevisionedStore {
  private _mode: StoreMode = 'available';
  /** Delay of each call before it is executed. */
  callDelayMs = 0;
  /** Delay of each response after the call is executed. */
  answerDelayMs = 0;
  calls = 0;
  private readonly _store: FakeStore;
  private readonly _clock: Clock;

  constructor(store: FakeStore, clock: Clock) {
    this._store = store;
    this._clock = clock;
  }

  get mode(): StoreMode {
    return this._mode;
  }

  /** Sets the mode, also for pending watches. */
  set mode(mode: StoreMode) {
    this._mode = mode;
    this._store.wakeWatches();
  }

  async get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StoreError>> {
    return this._run('get', deadline, () => ok(this._store.read(key)));
  }

  async list(prefix: string, deadline: Deadline): Promise<Result<readonly StoredValue[], StoreError>> {
    return this._run('list', deadline, () => ok(this._store.snapshot(prefix).items));
  }

  async snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>> {
    return this._run('snapshot', deadline, () => ok(this._store.snapshot(prefix)));
  }

  async changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<Changes, StoreError | 'compacted'>> {
    const endMs = this._clock.nowMs() + waitMs;
    this._count('changes');
    for (;;) {
      const failure = await this._applyMode(deadline);
      if (failure) return err(failure);
      const changes = this._store.eventsAfter(prefix, afterRevision);
      if (changes === 'compacted') return err('compacted');
      if (changes.events.length > 0 || this._clock.nowMs() >= endMs) return ok(changes);
      await this._store.nextChange(endMs - this._clock.nowMs());
    }
  }

  async transact(
    compares: readonly Compare[],
    writes: readonly Write[],
    deadline: Deadline,
  ): Promise<Result<TransactionResult, StoreError>> {
    this._count('transact');
    const failure = await this._applyMode(deadline);
    if (failure) return err(failure);
    const { delayNextWriteMs } = this._store;
    if (delayNextWriteMs !== undefined) {
      this._store.delayNextWriteMs = undefined;
      this._clock.after(delayNextWriteMs, () => void this._store.transact(compares, writes));
      return err('unknown');
    }
    const result = this._store.transact(compares, writes);
    if (this.answerDelayMs > 0) await sleep(this._clock, this.answerDelayMs);
    if (this._store.withholdAnswers > 0) {
      this._store.withholdAnswers -= 1;
      await sleep(this._clock, deadline.remainingMs());
      return err('unknown');
    }
    if (this._store.loseAnswers === 0) return ok(result);
    this._store.loseAnswers -= 1;
    return err('unknown');
  }

  async grantLease(ttlMs: number, deadline: Deadline): Promise<Result<string, StoreError>> {
    return this._run('grantLease', deadline, () => ok(this._store.grant(ttlMs)));
  }

  async keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>> {
    return this._run('keepLease', deadline, () => ok(this._store.keep(leaseId)));
  }

  async endLease(leaseId: string, deadline: Deadline): Promise<Result<void, StoreError>> {
    return this._run('endLease', deadline, () => {
      this._store.end(leaseId);
      return ok(undefined);
    });
  }

  async watch(): Promise<WatchEnd> {
    return Promise.resolve('failed');
  }

  private async _run<T>(
    call: string,
    deadline: Deadline,
    execute: () => Result<T, StoreError>,
  ): Promise<Result<T, StoreError>> {
    this._count(call);
    const failure = await this._applyMode(deadline);
    if (!failure && this.answerDelayMs > 0) {
      const answer = execute();
      await sleep(this._clock, this.answerDelayMs);
      return answer;
    }
    return failure ? err(failure) : execute();
  }

  private _count(call: string): void {
    this.calls += 1;
    this._store.calls.push(call);
  }

  /** Delays a call as the current mode requires. Returns the error of the call, or undefined to execute it. */
  private async _applyMode(deadline: Deadline): Promise<StoreError | undefined> {
    if (this.callDelayMs > 0) await sleep(this._clock, this.callDelayMs);
    if (this.mode === 'refusing') return 'not-done';
    if (this.mode !== 'silent') return undefined;
    await sleep(this._clock, deadline.remainingMs());
    return 'unknown';
  }
}
