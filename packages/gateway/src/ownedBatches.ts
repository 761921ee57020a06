/**
 * The batches that this process owns, and the most recent of those that have ended here.
 */
import type { EarlierBatch } from '@fuchsiahitch/batches';
import type { BatchOwner } from './batchOwner.js';

/** Older ended batches are read from the store. */
const MAX_ENDED_IN_MEMORY = 4;

export class OwnedBatches {
  /** In the order in which this process became their owner. */
  private readonly _owners = new Map<string, BatchOwner>();

  has(batchId: string): boolean {
    return this._owners.has(batchId);
  }

  get(batchId: string): BatchOwner | undefined {
    return this._owners.get(batchId);
  }

  all(): readonly BatchOwner[] {
    return [...this._owners.values()];
  }

  count(): number {
    return this._owners.size;
  }

  /** Memory of all batches as submitted, including those that have ended. */
  sizeBytes(): number {
    return this.all().reduce((sum, owner) => sum + owner.sizeBytes, 0);
  }

  /** Memory of the batches that have not ended, as submitted. */
  openBytes(): number {
    return this.all().reduce((sum, owner) => sum + (owner.isEnded() ? 0 : owner.sizeBytes), 0);
  }

  /** Number of items that are running or waiting. */
  openItems(): number {
    let count = 0;
    for (const owner of this._owners.values())
      if (!owner.isEnded()) count += owner.ledger.total() - owner.ledger.listed().length;
    return count;
  }

  add(owner: BatchOwner): void {
    this._owners.set(owner.batchId, owner);
  }

  delete(batchId: string): boolean {
    return this._owners.delete(batchId);
  }

  removeAll(): readonly BatchOwner[] {
    const owners = this.all();
    this._owners.clear();
    return owners;
  }

  /** Evicts the oldest ended batches from memory, all of them while `isFull` returns true. */
  evictEnded(isFull: () => boolean): void {
    const ended = [...this._owners].filter(([, owner]) => owner.isEnded());
    let count = ended.length;
    for (const [id] of ended) {
      if (count <= MAX_ENDED_IN_MEMORY && !isFull()) return;
      this._owners.delete(id);
      count -= 1;
    }
  }

  /**
   * Returns a batch with its output. Undefined unless this process has ended the batch or owns it under a valid claim:
   * another host may otherwise have continued it. Also undefined if output of previous owners has not been loaded, since
   * the store has more than this process.
   */
  withOutput(batchId: string): EarlierBatch | undefined {
    const owner = this._owners.get(batchId);
    if (!owner?.hasStoredOutput() || !(owner.isEnded() || owner.maySend())) return undefined;
    const { ledger } = owner;
    return {
      batch: ledger.batch,
      results: [...ledger.listed()],
      // The items of an open batch continue: their events are copied.
      progress: ledger.unfinished().map(item => ({ ...item, events: [...item.events] })),
    };
  }
}
