// Checks of `npm run upgrade`, printed one per line.
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

const POLL_MS = 50;

export class Checks {
  passed = 0;
  failed = 0;

  check(description, isTrue, actual) {
    if (isTrue) this.passed += 1;
    else this.failed += 1;
    console.log(
      `${isTrue ? 'passed' : 'FAILED'}  ${description}${isTrue ? '' : `: actual ${JSON.stringify(actual)}`}`,
    );
  }

  equal(description, actual, expected) {
    this.check(description, JSON.stringify(actual) === JSON.stringify(expected), actual);
  }
}

/** Polls until the condition holds or the timeout expires. Returns whether it held. */
export async function until(condition, timeoutMs) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await condition()) return true;
    await delay(POLL_MS);
  }
  return false;
}
