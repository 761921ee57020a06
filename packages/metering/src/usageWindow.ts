/**
 * Windows of true time: number k begins k times their length after the start of 1970.
 */

/** Requests by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

export function windowAt(trueMs: number, windowMs: number): number {
  return Math.floor(trueMs / windowMs);
}

/** True time at which a window is over. */
export function windowEndMs(window: number, windowMs: number): number {
  return (window + 1) * windowMs;
}

export function totalOf(counts: UsageCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
