// Checks of `npm run upgrade`, printed one a line.
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

const POLL_MS = 50;

export class Checks {
  passed = 0;
  failed = 0;

  check(what, isTrue, found) {
    if (isTrue) this.passed += 1;
    else this.failed += 1;
    console.log(
      `${isTrue ? 'held  ' : 'FAILED'}  ${what}${isTrue ? '' : `: found ${JSON.stringify(found)}`}`,
    );
  }

  equal(what, found, expected) {
    this.check(what, JSON.stringify(found) === JSON.stringify(expected), found);
  }
}

/** Polls until the condition holds or the time is over; returns whether it held. */
export async function until(isTrue, timeoutMs) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await isTrue()) return true;
    await delay(POLL_MS);
  }
  return false;
}
