/**
 * Which items of one batch may be sent, as far as endpoints have ended under them.
 *
 * A held item stays in its batch until the batch ends or its route lets it go: it has not failed by its trainer's rules, and
 * the rest of its step goes on without it.
 */
import type { Batch, BatchItem, BatchLedger } from '@fuchsiahitch/batches';
import type { PoisonVerdict, RequestIdentity } from '@fuchsiahitch/requests';
import type { Endpoint } from './endpoint.js';
import type { GatewayContext } from './gatewayContext.js';
import type { AttemptEnd } from './itemAttempt.js';
import type { PoisonGuard } from './poisonGuard.js';

/** While a host asks the store for a trial of an item, and after it was not given. */
const CLAIM_PAUSE_MS = 1000;

export class ItemSuspects {
  private readonly _context: GatewayContext;
  private readonly _poison: PoisonGuard;
  private readonly _ledger: BatchLedger;
  private readonly _claimed: () => void;
  private readonly _identities = new Map<string, RequestIdentity>();
  /** Items whose trial this host has claimed. */
  private readonly _trials = new Map<string, number>();
  private readonly _asksAgainMs = new Map<string, number>();
  private readonly _told = new Map<string, PoisonVerdict['kind']>();

  /** `claimed`: called when an item may be sent that could not before. */
  constructor(context: GatewayContext, poison: PoisonGuard, ledger: BatchLedger, claimed: () => void) {
    this._context = context;
    this._poison = poison;
    this._ledger = ledger;
    this._claimed = claimed;
  }

  /** Those of the items that may be sent. Asks for a trial of each that may be sent by its trial only. */
  ready(items: readonly BatchItem[]): readonly BatchItem[] {
    if (this._poison.hasNoCases()) return items;
    return items.filter(item => this._isReady(item));
  }

  /** True if some endpoint has ended under the item. */
  has(item: BatchItem): boolean {
    return !this._poison.hasNoCases() && this._poison.isSuspect(this._identity(item));
  }

  /** Takes in how an attempt ended; resolves once it is known what that says of the item. */
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
        if (trial !== undefined) this._poison.abandonTrial(this._identity(item), trial);
        return;
      case 'cancelled':
      case 'stalled':
      case 'old-version':
        return;
    }
  }

  private _isReady(item: BatchItem): boolean {
    if (this._trials.has(item.id)) return true;
    const { kind } = this._poison.verdict(this._identity(item));
    this._note(item, kind);
    if (kind === 'trial') void this._claim(item);
    return kind === 'free';
  }

  private async _claim(item: BatchItem): Promise<void> {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < (this._asksAgainMs.get(item.id) ?? 0)) return;
    this._asksAgainMs.set(item.id, nowMs + CLAIM_PAUSE_MS);
    const verdict = await this._poison.admit(this._identity(item));
    if (verdict.kind !== 'trial') return;
    this._trials.set(item.id, verdict.number);
    this._claimed();
  }

  private _note(item: BatchItem, kind: PoisonVerdict['kind']): void {
    const before = this._told.get(item.id) ?? 'free';
    if (kind === before) return;
    this._told.set(item.id, kind);
    const { id: batchId } = this._ledger.batch;
    this._context.log.warn('item under which endpoints ended', { batchId, itemId: item.id, verdict: kind });
  }

  private _identity(item: BatchItem): RequestIdentity {
    const known = this._identities.get(item.id);
    if (known) return known;
    const identity = new ItemIdentity(this._ledger.batch, item);
    this._identities.set(item.id, identity);
    return identity;
  }
}

/** An item as a request. Its body is decoded only where a fingerprint is needed: most items are told apart by their paths. */
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
