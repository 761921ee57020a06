/**
 * Time windows, numbered from the Unix epoch.
 */

/** Requests by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Returns the window that contains a point in true time. */
export function windowAt(trueMs: number, windowMs: number): number {
  return Math.floor(trueMs / windowMs);
}

/** Returns the true time at which a window ends. */
export function windowEndMs(window: number, windowMs: number): number {
  return (window + 1) * windowMs;
}

export function totalOf(counts: UsageCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
