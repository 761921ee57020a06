/**
 * Reads batches that nobody runs from the store: they have ended, or their owners can't be reached.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import { pageFrom, type ItemResult } from '@fuchsiahitch/batches';
import type { ItemOutcome, ReadOutcome } from './batchOutcomes.js';
import type { BatchStore, HeldClaim, StoredBatch } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';

const STORE_TIMEOUT_MS = 1000;
/** How often a batch whose owner can't be reached is read from the store while a reader waits. */
const STORED_POLL_MS = 400;
/** Ended batches that are kept in memory for their readers, about half a megabyte each; the rest is read from the store. */
const KEPT_STORED = 8;

export class StoredBatches {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _isEnded: (batchId: string) => boolean;
  private readonly _stored = new Map<string, StoredBatch>();

  /** `isEnded`: whether a batch has ended by its claim as last read. */
  constructor(context: GatewayContext, store: BatchStore, isEnded: (batchId: string) => boolean) {
    this._context = context;
    this._store = store;
    this._isEnded = isEnded;
  }

  /** Results from a position on. While there is none and the batch is open, waits for one until the deadline. */
  async read(batchId: string, held: HeldClaim, after: number, deadline: Deadline): Promise<ReadOutcome> {
    for (;;) {
      const results = await this._results(batchId, held);
      if (!results) return { kind: 'unsure' };
      const { items } = held.claim;
      const isWaiting = results.length <= after && after < items && !held.claim.isEnded;
      if (!isWaiting || deadline.leftMs() <= STORED_POLL_MS)
        return { kind: 'page', page: pageFrom(results, items, after) };
      await sleep(this._context.clock, STORED_POLL_MS, this._context.stopped);
    }
  }

  /** What an item was submitted with. */
  async item(batchId: string, itemId: string): Promise<ItemOutcome> {
    const stored = await this._load(batchId);
    if (!stored) return { kind: 'unsure' };
    const item = stored.batch.items.find(candidate => candidate.id === itemId);
    return item ? { kind: 'body', body: Buffer.from(item.bodyBase64, 'base64') } : { kind: 'no-item' };
  }

  /** Undefined if the store can't be read. */
  private async _results(batchId: string, held: HeldClaim): Promise<readonly ItemResult[] | undefined> {
    if (held.claim.isEnded) {
      const stored = await this._load(batchId);
      return stored?.results;
    }
    const results = await this._store.results(batchId, this._storeDeadline());
    return results.ok ? results.value : undefined;
  }

  /** An ended batch never changes again, so that its last readers need one read of the store. */
  private async _load(batchId: string): Promise<StoredBatch | undefined> {
    const known = this._stored.get(batchId);
    if (known) return known;
    const stored = await this._store.load(batchId, this._storeDeadline());
    if (!stored.ok) return undefined;
    if (this._isEnded(batchId)) this._keep(batchId, stored.value);
    return stored.value;
  }

  private _keep(batchId: string, stored: StoredBatch): void {
    this._stored.set(batchId, stored);
    const [oldest] = this._stored.keys();
    if (this._stored.size > KEPT_STORED && oldest !== undefined) this._stored.delete(oldest);
  }

  private _storeDeadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }
}
