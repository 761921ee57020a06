/**
 * Keeps retries to a share of requests.
 *
 * What goes wrong without it: when a third of the endpoints fail, each failed request comes again, and the
 * others sink under the doubled load. One sees attempts grow faster than requests.
 */
const TOKENS_PER_RETRY = 1;

export class RetryBudget {
  private readonly _share: number;
  private readonly _burst: number;
  private _tokens: number;

  /** `share`: retries for each request, at most. `burst`: retries that may come at once. */
  constructor(share: number, burst: number) {
    this._share = share;
    this._burst = burst;
    this._tokens = burst;
  }

  requestStarted(): void {
    this._tokens = Math.min(this._burst, this._tokens + this._share);
  }

  /** Takes one retry, if the budget has one. */
  take(): boolean {
    if (this._tokens < TOKENS_PER_RETRY) return false;
    this._tokens -= TOKENS_PER_RETRY;
    return true;
  }
}

const JITTER_STEPS = 1000;

/** The pause before retry number `retry` (from 1): doubled each time, drawn over its whole length. */
export function backoffMs(
  baseMs: number,
  maxMs: number,
  retry: number,
  randomBelow: (limit: number) => number,
): number {
  const ceilingMs = Math.min(maxMs, baseMs * 2 ** (retry - 1));
  return (ceilingMs * (randomBelow(JITTER_STEPS) + 1)) / JITTER_STEPS;
}
