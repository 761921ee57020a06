/**
 * How long work that failed without any fault of its own waits before it is tried again.
 *
 * What goes wrong without it: an item that every endpoint turns down is sent again at once, hundreds of times, and
 * keeps places and processor time from the others; one notices it as `attempt` numbers in the hundreds. The first tries
 * follow at once, since another endpoint usually takes it; then the pause doubles.
 */

/** Tries that follow without a pause: as many endpoints are asked. */
const IMMEDIATE_RETRIES = 2;
const FIRST_DELAY_MS = 50;
/** An endpoint's state is heard of within a second: longer pauses would miss it. */
const MAX_DELAY_MS = 800;
/** A row of failures of this length is told in the log, and each that is twice as long as the one before. */
const FIRST_LOGGED_COUNT = 5;

/** The pause after so many tries in a row that brought nothing. */
export function retryDelayMs(failures: number): number {
  if (failures <= IMMEDIATE_RETRIES) return 0;
  return Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (failures - IMMEDIATE_RETRIES - 1));
}

/** True if a row of that many tries without progress is worth a line in the log. */
export function shouldLogFailures(failures: number): boolean {
  const multiple = failures / FIRST_LOGGED_COUNT;
  return multiple >= 1 && Number.isInteger(Math.log2(multiple));
}
