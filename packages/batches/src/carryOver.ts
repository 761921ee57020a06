/**
 * What a batch takes over from the batches of earlier steps.
 *
 * Groups that were not whole when their trainer went on come again in its next step, or in the one after where steps
 * overlap, with the same items, and the trainer waits for them whatever else is whole. Generated anew, an item that was
 * too long for one step is too long for the next as well. So what was generated is used where its weight versions fit,
 * and these groups go first. A score is used where it was asked for by the same request.
 */
import type { ItemEvents } from './batchMessages.js';
import type { Batch, BatchItem, ItemResult } from './model.js';

/** The batch of an earlier step, as the store has it. */
export interface EarlierBatch {
  readonly batch: Batch;
  readonly results: readonly ItemResult[];
  /** What its owners kept of items that they did not list, in the order in which it was generated. */
  readonly progress: readonly ItemEvents[];
}

export interface CarryOver {
  /** Groups that come again. */
  readonly groups: ReadonlySet<string>;
  /** Whole texts that the batch may use as they are. One without a score is scored where the item asks for it. */
  readonly results: readonly ItemResult[];
  /** Beginnings of texts. The ledger leaves out what does not fit. */
  readonly unfinished: readonly ItemEvents[];
}

export const EMPTY_CARRY_OVER: CarryOver = { groups: new Set(), results: [], unfinished: [] };

/** True if an item of the batch stood in the earlier one. */
export function hasSharedItems(batch: Batch, earlier: Batch): boolean {
  const before = new Set(earlier.items.map(item => item.id));
  return batch.items.some(item => before.has(item.id));
}

export function carryOver(batch: Batch, earlier: EarlierBatch, isSingleVersion: boolean): CarryOver {
  const before = new Map(earlier.batch.items.map(item => [item.id, item]));
  const repeated = batch.items.filter(item => isSameItem(item, before.get(item.id)));
  const items = new Map(repeated.map(item => [item.id, item]));
  const ids = new Set(items.keys());
  const fits = (result: ItemResult): boolean => {
    if (!ids.has(result.id) || result.state !== 'completed' || result.versions.length === 0) return false;
    if (isSingleVersion && result.versions.length > 1) return false;
    return result.versions.every(version => version >= batch.minVersion);
  };
  return {
    groups: new Set(repeated.map(item => item.group)),
    results: earlier.results
      .filter(fits)
      .map(result => withMatchingScore(result, items.get(result.id), before.get(result.id))),
    unfinished: earlier.progress.filter(({ itemId }) => ids.has(itemId)),
  };
}

/** The result without its score if that was asked for by another request than the item's. */
function withMatchingScore(
  result: ItemResult,
  item: BatchItem | undefined,
  before: BatchItem | undefined,
): ItemResult {
  if (isSameJson(item?.scoring, before?.scoring)) return result;
  const { id, state, text, versions } = result;
  return { id, state, text, versions };
}

/** What two earlier steps leave. Where both have a text of an item, the newer one counts. */
export function mergeCarryOver(older: CarryOver, newer: CarryOver): CarryOver {
  return {
    groups: new Set([...older.groups, ...newer.groups]),
    results: [...newer.results, ...older.results],
    unfinished: [...older.unfinished, ...newer.unfinished],
  };
}

/** The same identifier alone is no proof: a text belongs to the request that it was generated for. */
function isSameItem(item: BatchItem, before: BatchItem | undefined): boolean {
  if (!before) return false;
  return (
    item.group === before.group &&
    item.path === before.path &&
    item.bodyBase64 === before.bodyBase64 &&
    isSameJson(item.headers, before.headers)
  );
}

function isSameJson(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
