/**
 * The results of a batch by position. The result at a position never changes once it has been read.
 */
import type { ItemResult } from './model.js';

/** `next`: the position at which the following page starts. */
export interface ResultPage {
  readonly total: number;
  readonly results: readonly ItemResult[];
  readonly next: number;
}

/** In UTF-16 units: the callers' interface allows a megabyte, and JSON may double a text. */
const MAX_PAGE_UNITS = 400_000;

/** Returns the results from position `after` on, at least one if there is any. */
export function pageFrom(results: readonly ItemResult[], total: number, after: number): ResultPage {
  const page: ItemResult[] = [];
  let units = 0;
  for (const result of results.slice(after)) {
    units += result.text.length;
    if (page.length > 0 && units > MAX_PAGE_UNITS) break;
    page.push(result);
  }
  return { total, results: page, next: after + page.length };
}
