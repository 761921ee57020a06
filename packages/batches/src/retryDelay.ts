/**
 * Retry delays for items that failed through no fault of their own.
 *
 * Without delays, an item that every endpoint refuses would be sent hundreds of times, and take slots and processor
 * time from other items. The first retries are immediate, since another endpoint usually accepts the item; then the
 * delay doubles.
 */

const IMMEDIATE_RETRIES = 2;
const FIRST_DELAY_MS = 50;
/** Below the interval at which endpoints report their state. */
const MAX_DELAY_MS = 800;
/** The number of consecutive failures that is logged first; later, each doubling is logged. */
const FIRST_LOGGED_COUNT = 5;

export function retryDelayMs(failures: number): number {
  if (failures <= IMMEDIATE_RETRIES) return 0;
  return Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (failures - IMMEDIATE_RETRIES - 1));
}

export function shouldLogFailures(failures: number): boolean {
  const multiple = failures / FIRST_LOGGED_COUNT;
  return multiple >= 1 && Number.isInteger(Math.log2(multiple));
}
