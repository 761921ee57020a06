/**
 * Keeps what the items of one batch have generated so far in the store, for the next owner.
 *
 * Measured on played days that end with a loss of power of all hosts: without it the items that ran began anew, and
 * steps that were under way at that moment were late or lost.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import { KeptEvents, type BatchLedger, type ItemEvents } from '@fuchsiahitch/batches';
import type { BatchStore, HeldClaim } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';

/** What is lost with an owner: at most this much of each item's work, for one write of the store a second. */
const KEEP_INTERVAL_MS = 1000;
const STORE_TIMEOUT_MS = 1000;

interface Writing {
  readonly events: readonly ItemEvents[];
  readonly texts: ReadonlyMap<string, number>;
}

export class ProgressKeeper {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _batchId: string;
  private readonly _held: HeldClaim;
  private readonly _kept: KeptEvents;
  private _records = 0;
  /** A write that was not confirmed is repeated as it was: it may have taken effect. */
  private _unsettled: Writing | undefined;
  private _isStopped = false;

  constructor(context: GatewayContext, store: BatchStore, ledger: BatchLedger, held: HeldClaim) {
    this._context = context;
    this._store = store;
    this._batchId = ledger.batch.id;
    this._held = held;
    this._kept = new KeptEvents(ledger);
  }

  start(): void {
    void this._run();
  }

  stop(): void {
    this._isStopped = true;
  }

  private async _run(): Promise<void> {
    const { clock, stopped } = this._context;
    while (!this._isStopped && !stopped.aborted) {
      await sleep(clock, KEEP_INTERVAL_MS, stopped);
      if (!this._isStopped) await this._keep();
    }
  }

  private async _keep(): Promise<void> {
    const writing = this._unsettled ?? this._next();
    if (!writing) return;
    this._unsettled = writing;
    const deadline = Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
    const { events, texts } = writing;
    const done = await this._store.keepProgress(this._batchId, this._held, this._records, events, deadline);
    if (done.kind === 'out-of-reach') return;
    this._unsettled = undefined;
    if (done.kind === 'lost') {
      // Another host owns the batch: its reads and lists find that out by themselves.
      this.stop();
      return;
    }
    this._records += 1;
    this._kept.keep(events, texts);
    this._context.log.debug('progress kept', { batchId: this._batchId, items: events.length });
  }

  private _next(): Writing | undefined {
    const events = this._kept.missing();
    return events.length > 0 ? { events, texts: this._kept.texts(events) } : undefined;
  }
}
