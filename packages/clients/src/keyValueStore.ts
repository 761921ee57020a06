/**
 * The platform's key-value service as the system uses it: compare-and-swap, leases, watches.
 */
import type { Deadline, Result } from '@fuchsiahitch/base';

/** A value with the version that a compare-and-swap names. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** What a write compares with: the key's present version, 0 for absent. */
export interface Compare {
  readonly key: string;
  readonly version: number;
}

/** One write of a transaction. */
export type Write =
  | { readonly kind: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string }
  | { readonly kind: 'delete'; readonly key: string }
  | { readonly kind: 'delete-prefix'; readonly prefix: string };

/**
 * Why the service gave no answer. `not-done`: it certainly did nothing. `unknown`: a write may have taken
 * effect. `over-budget`: this host's share of calls is used up, nothing was sent.
 */
export type StoreError = 'not-done' | 'unknown' | 'over-budget';

/** How a transaction ended: `version` is that of every key it wrote. */
export interface TransactionResult {
  readonly succeeded: boolean;
  readonly version: number;
}

/** A change that a watch reports; an absent value is a removal. */
export interface WatchEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly version: number;
}

/** The values under a prefix. Changes after `revision` are what `changes` reports. */
export interface Snapshot {
  readonly items: readonly StoredValue[];
  readonly revision: number;
}

/** What changed under a prefix, up to `revision`. */
export interface Changes {
  readonly events: readonly WatchEvent[];
  readonly revision: number;
}

/** Why a watch ended. */
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
  /** Renews a lease; false when the service no longer knows it. */
  keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>>;
  /** Reports changes under a prefix until the signal is aborted or the watch ends. */
  watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
    signal: AbortSignal,
  ): Promise<WatchEnd>;
}

/** A store whose watches go on from a revision, so that nothing is missed between a read and a watch. */
export interface RevisionedStore extends KeyValueStore {
  snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>>;
  /** Waits up to `waitMs` for changes after a revision. `compacted`: that history is gone, read a snapshot. */
  changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<Changes, StoreError | 'compacted'>>;
  /** Ends a lease; its keys go with it. */
  endLease(leaseId: string, deadline: Deadline): Promise<Result<void, StoreError>>;
}
