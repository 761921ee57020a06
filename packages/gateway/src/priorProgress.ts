/**
 * Loads output that previous owners or earlier steps have generated for a batch's items, so that they are resumed.
 * Records that can't be read are logged and skipped.
 */
import { Deadline } from '@fuchsiahitch/base';
import {
  carryOver,
  hasSharedItems,
  mergeCarryOver,
  EMPTY_CARRY_OVER,
  type Batch,
  type CarryOver,
  type EarlierBatch,
  type ItemEvents,
} from '@fuchsiahitch/batches';
import type { BatchStore, HeldClaim } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';

/** Bounds the delay of a new batch. */
const CARRY_OVER_TIMEOUT_MS = 300;
const STORE_TIMEOUT_MS = 1000;

/** Returns an earlier step of the batch's trainer if this process knows its output with certainty. */
export type EarlierStepInMemory = (batch: Batch, earlierId: string) => EarlierBatch | undefined;

export class PriorProgress {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _inMemory: EarlierStepInMemory;

  constructor(context: GatewayContext, store: BatchStore, inMemory: EarlierStepInMemory) {
    this._context = context;
    this._store = store;
    this._inMemory = inMemory;
  }

  /** Returns the recorded output of unfinished items of the batch, or undefined if it could not be read. */
  async fromPreviousOwners(
    batchId: string,
    { claim }: HeldClaim,
  ): Promise<readonly ItemEvents[] | undefined> {
    if (claim.takeovers === 0) return [];
    const deadline = Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
    const recorded = await this._store.progress(batchId, deadline);
    if (recorded.ok) return recorded.value;
    this._context.log.warn('reading progress of previous owners failed', {
      batchId,
      error: recorded.error.kind,
    });
    return undefined;
  }

  /**
   * Returns the carry-over of the two previous steps: where steps overlap, a group may reappear two steps later. Reads
   * from the store only the records of the steps, and the batches that are not in memory.
   */
  async fromPreviousSteps(batch: Batch, isSingleVersion: boolean): Promise<CarryOver> {
    const deadline = Deadline.after(this._context.clock, CARRY_OVER_TIMEOUT_MS);
    const [older, newer] = await Promise.all([
      this._fromStep(batch, isSingleVersion, 2, deadline),
      this._fromStep(batch, isSingleVersion, 1, deadline),
    ]);
    return mergeCarryOver(older, newer);
  }

  private async _fromStep(
    batch: Batch,
    isSingleVersion: boolean,
    stepsBack: number,
    deadline: Deadline,
  ): Promise<CarryOver> {
    const earlierId = await this._store.previousStepBatchId(batch, stepsBack, deadline);
    if (!earlierId.ok) return this._skipStep(batch.id, earlierId.error.kind);
    if (earlierId.value === undefined) return EMPTY_CARRY_OVER;
    // Only the batch that the step's record names: the step may have been submitted again at another host.
    const inMemory = this._inMemory(batch, earlierId.value);
    if (inMemory) {
      const isShared = hasSharedItems(batch, inMemory.batch);
      return isShared ? this._carryOver(batch, inMemory, isSingleVersion, stepsBack) : EMPTY_CARRY_OVER;
    }
    const earlier = await this._store.submittedBatch(earlierId.value, deadline);
    if (!earlier.ok) return this._skipStep(batch.id, earlier.error.kind);
    // Avoids loading texts, which are much larger than the batch itself: most steps share no items.
    if (!hasSharedItems(batch, earlier.value)) return EMPTY_CARRY_OVER;
    const [results, progress] = await Promise.all([
      this._store.results(earlierId.value, deadline),
      this._store.progress(earlierId.value, deadline),
    ]);
    if (!results.ok) return this._skipStep(batch.id, results.error.kind);
    if (!progress.ok) return this._skipStep(batch.id, progress.error.kind);
    const earlierBatch = { batch: earlier.value, results: results.value, progress: progress.value };
    return this._carryOver(batch, earlierBatch, isSingleVersion, stepsBack);
  }

  private _carryOver(
    batch: Batch,
    earlier: EarlierBatch,
    isSingleVersion: boolean,
    stepsBack: number,
  ): CarryOver {
    const carried = carryOver(batch, earlier, isSingleVersion);
    this._context.log.info('batch carried over', {
      batchId: batch.id,
      from: earlier.batch.id,
      stepsBack,
      groups: carried.groups.size,
      results: carried.results.length,
      unfinished: carried.unfinished.length,
    });
    return carried;
  }

  private _skipStep(batchId: string, error: string): CarryOver {
    this._context.log.warn('reading a previous step failed', { batchId, error });
    return EMPTY_CARRY_OVER;
  }
}
