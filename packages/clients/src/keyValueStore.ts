/**
 * Key-value store interface: compare-and-swap, leases, watches.
 */
import type { Deadline, Result } from '@fuchsiahitch/base';

/** A value with its version for compare-and-swap. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Condition of a transaction: the key's current version, 0 if absent. */
export interface Compare {
  readonly key: string;
  readonly version: number;
}

export type Write =
  | { readonly kind: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string }
  | { readonly kind: 'delete'; readonly key: string }
  | { readonly kind: 'delete-prefix'; readonly prefix: string };

/** `not-done`: not executed. `unknown`: a write may have taken effect. `over-budget`: not sent, due to a rate limit. */
export type StoreError = 'not-done' | 'unknown' | 'over-budget';

/** `version` is the new version of every written key. */
export interface TransactionResult {
  readonly succeeded: boolean;
  readonly version: number;
}

/** A change under a watched prefix; an undefined value is a deletion. */
export interface WatchEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly version: number;
}

/** The values under a prefix. Changes after `revision` are reported by `changes`. */
export interface Snapshot {
  readonly items: readonly StoredValue[];
  readonly revision: number;
}

/** Changes under a prefix, up to `revision`. */
export interface Changes {
  readonly events: readonly WatchEvent[];
  readonly revision: number;
}

/** `closed`: by the signal. `compacted`: changes were removed; read the prefix again. */
export type WatchEnd = 'closed' | 'failed' | 'compacted';

export interface KeyValueStore {
  get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StoreError>>;
  list(prefix: string, deadline: Deadline): Promise<Result<readonly StoredValue[], StoreError>>;
  transact(
    compares: readonly Compare[],
    writes: readonly Write[],
    deadline: Deadline,
  ): Promise<Result<TransactionResult, StoreError>>;
  grantLease(ttlMs: number, deadline: Deadline): Promise<Result<string, StoreError>>;
  /** Renews a lease; false if it no longer exists. */
  keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>>;
  /** Reports changes under a prefix until the signal is aborted or the watch ends. */
  watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
    signal: AbortSignal,
  ): Promise<WatchEnd>;
}

/** Watches start from a revision, so that no change between a read and a watch is missed. */
export interface RevisionedStore extends KeyValueStore {
  snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>>;
  /** Waits up to `waitMs` for changes after a revision. `compacted`: they were removed; read a snapshot instead. */
  changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<Changes, StoreError | 'compacted'>>;
  /** Revokes a lease and deletes its keys. */
  endLease(leaseId: string, deadline: Deadline): Promise<Result<void, StoreError>>;
}
