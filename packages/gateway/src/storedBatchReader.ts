/**
 * Reads batches from the store that have ended or whose owner is unreachable.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import { batchSizeBytes, pageFrom, type Batch, type ItemResult } from '@fuchsiahitch/batches';
import { isAbsence, MAX_ABSENCE_AGE_MS } from './absenceAge.js';
import type { ItemOutcome, ReadOutcome } from './batchOutcomes.js';
import type { BatchStore, HeldClaim } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';

const STORE_TIMEOUT_MS = 1000;
/** Poll interval while a reader waits for results of an open batch. */
const STORED_POLL_MS = 400;
/** An entry takes about 250 KB. */
const MAX_CACHED_ENTRIES = 8;
/** Larger ones are read from the store each time. */
const MAX_ENTRY_BYTES = 1_000_000;

export class StoredBatchReader {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _isEnded: (batchId: string) => boolean;
  private readonly _batches = new ReadCache<Batch>(batchSizeBytes);
  private readonly _endedResults = new ReadCache<readonly ItemResult[]>(results =>
    results.reduce((sum, { text }) => sum + text.length, 0),
  );

  /** `isEnded`: whether a batch has ended according to its claim as last read. */
  constructor(context: GatewayContext, store: BatchStore, isEnded: (batchId: string) => boolean) {
    this._context = context;
    this._store = store;
    this._isEnded = isEnded;
  }

  /** Returns results from a position on. If the batch is open, waits for the first one until the deadline. */
  async read(batchId: string, held: HeldClaim, after: number, deadline: Deadline): Promise<ReadOutcome> {
    const { clock, stopped } = this._context;
    for (;;) {
      const askedMs = clock.nowMs();
      const results = await this._results(batchId, held);
      if (!results) return { kind: 'unsure' };
      const page = pageFrom(results, held.claim.items, after);
      const isWaiting = isAbsence(page, after) && !held.claim.isEnded;
      if (!isWaiting) return { kind: 'page', page };
      const isLast = deadline.remainingMs() <= STORED_POLL_MS;
      if (isLast && clock.nowMs() - askedMs > MAX_ABSENCE_AGE_MS) return { kind: 'unsure' };
      if (isLast) return { kind: 'page', page };
      await sleep(clock, STORED_POLL_MS, stopped);
    }
  }

  /** Returns the request body of an item. */
  async item(batchId: string, itemId: string): Promise<ItemOutcome> {
    const batch = await this._batches.read(batchId, () => this._readBatch(batchId));
    if (!batch) return { kind: 'unsure' };
    const item = batch.items.find(candidate => candidate.id === itemId);
    return item ? { kind: 'body', body: Buffer.from(item.bodyBase64, 'base64') } : { kind: 'no-item' };
  }

  /**
   * Returns undefined if the store can't be read. Results are cached only if the batch had ended before the read, since
   * a read that overlaps the end may miss results.
   */
  private async _results(batchId: string, held: HeldClaim): Promise<readonly ItemResult[] | undefined> {
    const read = (): Promise<readonly ItemResult[] | undefined> => this._readResults(batchId);
    const isFinal = held.claim.isEnded && this._isEnded(batchId);
    return isFinal ? this._endedResults.read(batchId, read) : read();
  }

  private async _readBatch(batchId: string): Promise<Batch | undefined> {
    const batch = await this._store.submittedBatch(batchId, this._storeDeadline());
    return batch.ok ? batch.value : undefined;
  }

  private async _readResults(batchId: string): Promise<readonly ItemResult[] | undefined> {
    const results = await this._store.results(batchId, this._storeDeadline());
    return results.ok ? results.value : undefined;
  }

  private _storeDeadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }
}

/** Caches reads of immutable data. Concurrent reads of a key share one load. */
class ReadCache<T> {
  private readonly _entries = new Map<string, Promise<T | undefined>>();
  private readonly _sizeOf: (value: T) => number;

  constructor(sizeOf: (value: T) => number) {
    this._sizeOf = sizeOf;
  }

  /** Returns undefined if the load fails; failures and large values are not cached. */
  async read(key: string, load: () => Promise<T | undefined>): Promise<T | undefined> {
    const cached = this._entries.get(key);
    if (cached) return cached;
    const reading = load();
    this._add(key, reading);
    const value = await reading;
    const isKept = value !== undefined && this._sizeOf(value) <= MAX_ENTRY_BYTES;
    if (!isKept && this._entries.get(key) === reading) this._entries.delete(key);
    return value;
  }

  private _add(key: string, reading: Promise<T | undefined>): void {
    this._entries.set(key, reading);
    const [oldest] = this._entries.keys();
    if (this._entries.size > MAX_CACHED_ENTRIES && oldest !== undefined) this._entries.delete(oldest);
  }
}
