/**
 * Appends the results of one batch to its list in the store, in the order in which the items finished.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import {
  countFitting,
  CompleteGroupListing,
  type BatchLedger,
  type ItemResult,
  type ListingPolicy,
} from '@fuchsiahitch/batches';
import type { BatchStore } from './batchStore.js';
import type { ClaimLease } from './claimLease.js';
import type { GatewayContext } from './gatewayContext.js';

const LIST_RETRY_MS = 250;
const STORE_TIMEOUT_MS = 1000;

export class ResultLister {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _ledger: BatchLedger;
  private readonly _startedMs: number;
  private readonly _lease: ClaimLease;
  private readonly _onListed: () => void;
  private readonly _policy: ListingPolicy;
  private _isListing = false;
  private _wake: () => void = () => undefined;
  private _isStopped = false;
  /** An unanswered write may have taken effect, so it is retried unchanged. */
  private _pendingWrite: readonly ItemResult[] | undefined;
  private _pendingSinceMs = 0;

  /** `startedMs`: when this host started to run the batch. `onListed`: called after results were listed. */
  constructor(
    context: GatewayContext,
    store: BatchStore,
    ledger: BatchLedger,
    startedMs: number,
    lease: ClaimLease,
    onListed: () => void,
    policy: ListingPolicy = new CompleteGroupListing(),
  ) {
    this._policy = policy;
    this._context = context;
    this._store = store;
    this._ledger = ledger;
    this._startedMs = startedMs;
    this._lease = lease;
    this._onListed = onListed;
  }

  /** Lists results that have become available. */
  list(): void {
    this._wake();
    if (!this._isListing) void this._run();
  }

  stop(): void {
    this._isStopped = true;
    this._wake();
  }

  /** How long the pending write has been unanswered, retries included; 0 if there is none. */
  pendingWriteMs(): number {
    return this._pendingWrite ? this._context.clock.nowMs() - this._pendingSinceMs : 0;
  }

  /** False while a write is unanswered: the store may then have results that are not listed here. */
  isSettled(): boolean {
    return this._pendingWrite === undefined;
  }

  private async _run(): Promise<void> {
    this._isListing = true;
    const { clock, stopped } = this._context;
    while (this._ledger.unconfirmed().length > 0 && !this._isStopped && !stopped.aborted) {
      await this._waitForMore(clock.nowMs());
      const isDone = await this._listOnce();
      if (!isDone) await sleep(clock, LIST_RETRY_MS, stopped);
    }
    this._isListing = false;
  }

  /** Waits for more results to write together. The policy's interval is evaluated again after each new result. */
  private async _waitForMore(sinceMs: number): Promise<void> {
    const { clock } = this._context;
    for (;;) {
      const leftMs = sinceMs + this._policy.intervalMs(this._ledger) - clock.nowMs();
      if (leftMs <= 0 || this._isStopped) return;
      await this._waitForResult(leftMs);
    }
  }

  private async _waitForResult(maxWaitMs: number): Promise<void> {
    const woken = new AbortController();
    this._wake = () => woken.abort();
    await sleep(this._context.clock, maxWaitMs, woken.signal);
    this._wake = () => undefined;
  }

  private async _listOnce(): Promise<boolean> {
    if (this._isStopped) return true;
    if (!this._pendingWrite) this._pendingSinceMs = this._context.clock.nowMs();
    const results = this._pendingWrite ?? this._nextResults();
    this._pendingWrite = results;
    const position = this._ledger.listed().length;
    const requestedAtMs = this._context.clock.nowMs();
    const deadline = Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
    const { id } = this._ledger.batch;
    const done = await this._store.append(id, this._lease.held, position, results, deadline);
    if (done.kind === 'out-of-reach') return false;
    this._pendingWrite = undefined;
    if (done.kind === 'lost') {
      this._lease.reportLost();
      return true;
    }
    this._lease.markConfirmed(requestedAtMs);
    this._ledger.confirm(results.length);
    this._log(position, results);
    this._onListed();
    return true;
  }

  private _nextResults(): readonly ItemResult[] {
    const pending = this._ledger.unconfirmed();
    return pending.slice(0, countFitting(pending));
  }

  private _log(position: number, results: readonly ItemResult[]): void {
    const { metrics, log, clock } = this._context;
    const sinceStartMs = Math.round(clock.nowMs() - this._startedMs);
    for (const { state } of results) {
      metrics.items.inc({ state });
      metrics.listing.observe(sinceStartMs / 1000);
    }
    log.info('results listed', {
      batchId: this._ledger.batch.id,
      position,
      results: results.length,
      total: this._ledger.total(),
      claimRevision: this._lease.held.revision,
      sinceStartMs,
    });
  }
}
