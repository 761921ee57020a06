/**
 * How old an answer may be that says that something does not exist: a result at a position, or a batch.
 *
 * Such an answer is true at the moment at which its source was asked. On its way to the caller, others may read the result
 * elsewhere, and must then find it at every host within a second. Each part of the way has its share of that second.
 */

/** At the source: since the store was asked for what the owner or the reader of the store knows. */
export const MAX_SOURCE_AGE_MS = 600;
/** Between the owner and the host that answers the caller, both ways. */
export const MAX_PASSAGE_MS = 300;
/** At a host that has asked the store itself. */
export const MAX_ABSENCE_AGE_MS = MAX_SOURCE_AGE_MS + MAX_PASSAGE_MS;

interface Page {
  readonly total: number;
  readonly results: readonly unknown[];
}

/** True if a page says that there is no result from position `after` on, although there will be one. */
export function isAbsence({ total, results }: Page, after: number): boolean {
  return results.length === 0 && after < total;
}
