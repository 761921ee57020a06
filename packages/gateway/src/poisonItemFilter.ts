/**
 * Holds back items of a batch that are suspected to be poison requests, which terminate the endpoints that run them.
 *
 * A held item does not count as failed. It waits until the batch ends or the route's retention period expires, while
 * the other items continue.
 */
import type { Batch, BatchItem, BatchLedger } from '@fuchsiahitch/batches';
import type { PoisonVerdict, RequestIdentity } from '@fuchsiahitch/requests';
import type { Endpoint } from './endpoint.js';
import type { GatewayContext } from './gatewayContext.js';
import type { AttemptEnd } from './itemAttempt.js';
import type { PoisonGuard } from './poisonGuard.js';

/** A trial that was granted to this host. */
interface ItemTrial {
  readonly number: number;
  /** Number of the item's last event before the trial. */
  readonly eventsBefore: number;
}

/** Minimum time between two requests for a trial of the same item. */
const TRIAL_REQUEST_INTERVAL_MS = 1000;

export class PoisonItemFilter {
  private readonly _context: GatewayContext;
  private readonly _poison: PoisonGuard;
  private readonly _ledger: BatchLedger;
  private readonly _onTrialGranted: () => void;
  private readonly _identities = new Map<string, RequestIdentity>();
  /** Trials granted to this host, by item. */
  private readonly _trials = new Map<string, ItemTrial>();
  private readonly _nextTrialRequestMs = new Map<string, number>();
  private readonly _loggedVerdicts = new Map<string, PoisonVerdict['kind']>();

  /** `onTrialGranted`: called when a held item may be sent. */
  constructor(context: GatewayContext, poison: PoisonGuard, ledger: BatchLedger, onTrialGranted: () => void) {
    this._context = context;
    this._poison = poison;
    this._ledger = ledger;
    this._onTrialGranted = onTrialGranted;
  }

  /** Returns the items that may be sent. Requests trials for held items that are due for one. */
  ready(items: readonly BatchItem[]): readonly BatchItem[] {
    if (this._poison.hasNoCases()) return items;
    return items.filter(item => this._isReady(item));
  }

  /** True if an endpoint has terminated while it ran the item. */
  isSuspectItem(item: BatchItem): boolean {
    return !this._poison.hasNoCases() && this._poison.isSuspect(this._identity(item));
  }

  /** Records the end of an attempt. Resolves once its effect on the item's verdict is known. */
  async ended(item: BatchItem, endpoint: Endpoint, end: AttemptEnd): Promise<void> {
    const trial = this._trials.get(item.id);
    this._trials.delete(item.id);
    switch (end.kind) {
      case 'broken':
        return this._poison.recordBroken(this._identity(item), endpoint);
      case 'done':
      case 'failed':
      case 'impossible':
        this._poison.answered(this._identity(item));
        return;
      case 'not-run':
        if (trial) this._poison.abandonTrial(this._identity(item), trial.number);
        return;
      case 'stalled':
        return;
      case 'cancelled':
      case 'old-version':
        if (trial && this._hasProgressed(item, trial))
          this._poison.abandonTrial(this._identity(item), trial.number);
        return;
    }
  }

  /**
   * True if the endpoint generated text during the trial and so survived it. The trial may then be repeated at once: an
   * item that is stopped with its batch would otherwise be held for a minute in the next one.
   */
  private _hasProgressed(item: BatchItem, { eventsBefore }: ItemTrial): boolean {
    return this._ledger.progress(item.id).lastEventNumber() > eventsBefore;
  }

  private _isReady(item: BatchItem): boolean {
    if (this._trials.has(item.id)) return true;
    const { kind } = this._poison.verdict(this._identity(item));
    this._logVerdict(item, kind);
    if (kind === 'trial') void this._requestTrial(item);
    return kind === 'free';
  }

  private async _requestTrial(item: BatchItem): Promise<void> {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < (this._nextTrialRequestMs.get(item.id) ?? 0)) return;
    this._nextTrialRequestMs.set(item.id, nowMs + TRIAL_REQUEST_INTERVAL_MS);
    const verdict = await this._poison.admit(this._identity(item));
    if (verdict.kind !== 'trial') return;
    const eventsBefore = this._ledger.progress(item.id).lastEventNumber();
    this._trials.set(item.id, { number: verdict.number, eventsBefore });
    this._onTrialGranted();
  }

  private _logVerdict(item: BatchItem, kind: PoisonVerdict['kind']): void {
    const before = this._loggedVerdicts.get(item.id) ?? 'free';
    if (kind === before) return;
    this._loggedVerdicts.set(item.id, kind);
    const { id: batchId } = this._ledger.batch;
    this._context.log.warn('poison verdict of item changed', { batchId, itemId: item.id, verdict: kind });
  }

  private _identity(item: BatchItem): RequestIdentity {
    const cached = this._identities.get(item.id);
    if (cached) return cached;
    const identity = new ItemIdentity(this._ledger.batch, item);
    this._identities.set(item.id, identity);
    return identity;
  }
}

/** Adapts an item to a request. The body is decoded lazily, since most items are distinguished by their paths. */
class ItemIdentity implements RequestIdentity {
  readonly caller: string;
  readonly method = 'POST';
  readonly host: string;
  private readonly _item: BatchItem;

  constructor(batch: Batch, item: BatchItem) {
    this.caller = batch.accountName ?? '';
    this.host = batch.host;
    this._item = item;
  }

  get target(): string {
    return this._item.path;
  }

  get bodyBytes(): number {
    return Buffer.byteLength(this._item.bodyBase64, 'base64');
  }

  get body(): Uint8Array {
    return Buffer.from(this._item.bodyBase64, 'base64');
  }
}
