/**
 * Records the generated events of unfinished items in the store, so that the next owner can resume them after a crash.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import { StoredEvents, type BatchLedger, type ItemEvents } from '@fuchsiahitch/batches';
import type { BatchStore } from './batchStore.js';
import type { ClaimLease } from './claimLease.js';
import type { GatewayContext } from './gatewayContext.js';

/** A crash of the owner loses at most this much of each item's output, at the cost of one store write per second. */
const RECORD_INTERVAL_MS = 1000;
const STORE_TIMEOUT_MS = 1000;

interface PendingWrite {
  readonly events: readonly ItemEvents[];
  readonly textNumbers: ReadonlyMap<string, number>;
}

export class ProgressRecorder {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _batchId: string;
  private readonly _lease: ClaimLease;
  private readonly _storedEvents: StoredEvents;
  private _recordCount = 0;
  /** An unanswered write may have taken effect, so it is retried unchanged. */
  private _pendingWrite: PendingWrite | undefined;
  private _isStopped = false;

  constructor(context: GatewayContext, store: BatchStore, ledger: BatchLedger, lease: ClaimLease) {
    this._context = context;
    this._store = store;
    this._batchId = ledger.batch.id;
    this._lease = lease;
    this._storedEvents = new StoredEvents(ledger);
  }

  start(): void {
    void this._run();
  }

  stop(): void {
    this._isStopped = true;
  }

  /**
   * Records remaining events for later steps, as many as fit one record. Call after the end of the batch, which changes
   * the claim's revision.
   */
  async finish(): Promise<void> {
    this.stop();
    this._pendingWrite = undefined;
    this._recordCount = 0;
    await this._record(1);
  }

  private async _run(): Promise<void> {
    const { clock, stopped } = this._context;
    await sleep(clock, RECORD_INTERVAL_MS, stopped);
    while (!this._isStopped && !stopped.aborted) {
      await this._record();
      await sleep(clock, RECORD_INTERVAL_MS, stopped);
    }
  }

  private async _record(minEvents?: number): Promise<void> {
    const write = this._pendingWrite ?? this._nextWrite(minEvents);
    if (!write) return;
    this._pendingWrite = write;
    const requestedAtMs = this._context.clock.nowMs();
    const deadline = Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
    const { events, textNumbers } = write;
    const done = await this._store.appendProgress(
      this._batchId,
      this._lease.held,
      this._recordCount,
      events,
      deadline,
    );
    if (done.kind === 'out-of-reach') return;
    this._pendingWrite = undefined;
    if (done.kind === 'lost') {
      this._lease.reportLost();
      return;
    }
    this._lease.markConfirmed(requestedAtMs);
    this._recordCount += 1;
    this._storedEvents.keep(events, textNumbers);
    this._context.log.debug('progress recorded', { batchId: this._batchId, items: events.length });
  }

  private _nextWrite(minEvents?: number): PendingWrite | undefined {
    const events = this._storedEvents.missing(minEvents);
    return events.length > 0
      ? { events, textNumbers: this._storedEvents.currentTextNumbers(events) }
      : undefined;
  }
}
