/**
 * Texts that a batch reuses from earlier steps.
 *
 * Groups that were incomplete when a step ended are submitted again in one of the next steps. Their texts are resumed
 * if the weight versions allow it: an item that was too long for one step would otherwise be too long for the next.
 */
import type { ItemEvents } from './batchMessages.js';
import type { Batch, BatchItem, ItemResult } from './model.js';

export interface EarlierBatch {
  readonly batch: Batch;
  readonly results: readonly ItemResult[];
  /** Stored events of items without a listed result, in the order of generation. */
  readonly progress: readonly ItemEvents[];
}

export interface CarryOver {
  /** Groups of the earlier step that were submitted again. */
  readonly groups: ReadonlySet<string>;
  /** Complete texts that the batch can use unchanged. */
  readonly results: readonly ItemResult[];
  /** Events of partial texts. The ledger skips those that are out of sequence or of an unsuitable version. */
  readonly unfinished: readonly ItemEvents[];
}

export const EMPTY_CARRY_OVER: CarryOver = { groups: new Set(), results: [], unfinished: [] };

export function hasSharedItems(batch: Batch, earlier: Batch): boolean {
  const earlierIds = new Set(earlier.items.map(item => item.id));
  return batch.items.some(item => earlierIds.has(item.id));
}

export function carryOver(batch: Batch, earlier: EarlierBatch, isSingleVersion: boolean): CarryOver {
  const earlierItems = new Map(earlier.batch.items.map(item => [item.id, item]));
  const repeated = batch.items.filter(item => isSameItem(item, earlierItems.get(item.id)));
  const items = new Map(repeated.map(item => [item.id, item]));
  const ids = new Set(items.keys());
  const isReusable = (result: ItemResult): boolean => {
    if (!ids.has(result.id) || result.state !== 'completed' || result.versions.length === 0) return false;
    if (isSingleVersion && result.versions.length > 1) return false;
    return result.versions.every(version => version >= batch.minVersion);
  };
  return {
    groups: new Set(repeated.map(item => item.group)),
    results: earlier.results
      .filter(isReusable)
      .map(result => withMatchingScore(result, items.get(result.id), earlierItems.get(result.id))),
    unfinished: earlier.progress.filter(({ itemId }) => ids.has(itemId)),
  };
}

/** Removes the score if the item's score request has changed. */
function withMatchingScore(
  result: ItemResult,
  item: BatchItem | undefined,
  earlierItem: BatchItem | undefined,
): ItemResult {
  if (isSameJson(item?.scoring, earlierItem?.scoring)) return result;
  const { id, state, text, versions } = result;
  return { id, state, text, versions };
}

/** The newer text of an item takes precedence. */
export function mergeCarryOver(older: CarryOver, newer: CarryOver): CarryOver {
  return {
    groups: new Set([...older.groups, ...newer.groups]),
    results: [...newer.results, ...older.results],
    unfinished: [...older.unfinished, ...newer.unfinished],
  };
}

/** Compares the requests, since an identifier may be reused for another request. */
function isSameItem(item: BatchItem, earlierItem: BatchItem | undefined): boolean {
  if (!earlierItem) return false;
  return (
    item.group === earlierItem.group &&
    item.path === earlierItem.path &&
    item.bodyBase64 === earlierItem.bodyBase64 &&
    isSameJson(item.headers, earlierItem.headers)
  );
}

function isSameJson(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
