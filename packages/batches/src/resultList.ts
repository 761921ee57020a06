/**
 * The results of a batch by position. A position, once read by anybody, never changes.
 */
import type { ItemResult } from './model.js';

/** What a reader gets: results from its position on, and where to go on. */
export interface ResultPage {
  readonly total: number;
  readonly results: readonly ItemResult[];
  readonly next: number;
}

/** Text units in one page: the callers' interface allows a megabyte, and JSON may double a text. */
const MAX_PAGE_UNITS = 400_000;

/** The page that begins at a position. At least one result if there is one. */
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
