/**
 * The store as one part of the gateway calls it, counted under that part's name.
 *
 * Without it an operator sees that a fleet asks its store too much and not who asks: watches, leases and batches make the same calls.
 */
import type { Deadline, Result } from '@fuchsiahitch/base';
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
import type { GatewayMetrics } from './gatewayMetrics.js';

/** The parts of the gateway that call the store. */
export type StoreComponent =
  | 'watch'
  | 'host-lease'
  | 'orders-lease'
  | 'batches'
  | 'sweep'
  | 'poison'
  | 'usage-lease'
  | 'usage'
  | 'capacity-lease';

export class CountedStore implements RevisionedStore {
  private readonly _store: RevisionedStore;
  private readonly _caller: StoreComponent;
  private readonly _calls: GatewayMetrics['componentStoreCalls'];

  constructor(store: RevisionedStore, caller: StoreComponent, metrics: GatewayMetrics) {
    this._store = store;
    this._caller = caller;
    this._calls = metrics.componentStoreCalls;
  }

  async get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StoreError>> {
    this._count('get');
    return this._store.get(key, deadline);
  }

  async list(prefix: string, deadline: Deadline): Promise<Result<readonly StoredValue[], StoreError>> {
    this._count('list');
    return this._store.list(prefix, deadline);
  }

  async snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>> {
    this._count('list');
    return this._store.snapshot(prefix, deadline);
  }

  async changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<Changes, StoreError | 'compacted'>> {
    this._count('watch');
    return this._store.changes(prefix, afterRevision, waitMs, deadline);
  }

  async transact(
    compares: readonly Compare[],
    writes: readonly Write[],
    deadline: Deadline,
  ): Promise<Result<TransactionResult, StoreError>> {
    this._count('transact');
    return this._store.transact(compares, writes, deadline);
  }

  async grantLease(ttlMs: number, deadline: Deadline): Promise<Result<string, StoreError>> {
    this._count('lease');
    return this._store.grantLease(ttlMs, deadline);
  }

  async keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>> {
    this._count('keep');
    return this._store.keepLease(leaseId, deadline);
  }

  async endLease(leaseId: string, deadline: Deadline): Promise<Result<void, StoreError>> {
    this._count('end-lease');
    return this._store.endLease(leaseId, deadline);
  }

  async watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
    signal: AbortSignal,
  ): Promise<WatchEnd> {
    this._count('watch');
    return this._store.watch(prefix, onEvents, signal);
  }

  private _count(call: string): void {
    this._calls.inc({ caller: this._caller, call });
  }
}
