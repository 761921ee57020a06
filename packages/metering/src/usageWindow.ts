/**
 * Time windows: window k begins k window lengths after the Unix epoch.
 */

/** Requests by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

export function windowAt(trueMs: number, windowMs: number): number {
  return Math.floor(trueMs / windowMs);
}

/** True time of the end of a window. */
export function windowEndMs(window: number, windowMs: number): number {
  return (window + 1) * windowMs;
}

export function totalOf(counts: UsageCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
