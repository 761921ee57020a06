/** Limits retries to a share of requests, so that they do not overload the remaining endpoints in a partial failure. */
const TOKENS_PER_RETRY = 1;

export class RetryBudget {
  private readonly _share: number;
  private readonly _burst: number;
  private _tokens: number;

  /** `share`: maximum ratio of retries to requests. `burst`: maximum number of retries at once. */
  constructor(share: number, burst: number) {
    this._share = share;
    this._burst = burst;
    this._tokens = burst;
  }

  requestStarted(): void {
    this._tokens = Math.min(this._burst, this._tokens + this._share);
  }

  /** Returns false if the budget is exhausted. */
  take(): boolean {
    if (this._tokens < TOKENS_PER_RETRY) return false;
    this._tokens -= TOKENS_PER_RETRY;
    return true;
  }
}

const JITTER_STEPS = 1000;

/** Exponential backoff with full jitter. `retry` counts from 1. */
export function backoffMs(
  baseMs: number,
  maxMs: number,
  retry: number,
  randomBelow: (limit: number) => number,
): number {
  const ceilingMs = Math.min(maxMs, baseMs * 2 ** (retry - 1));
  return (ceilingMs * (randomBelow(JITTER_STEPS) + 1)) / JITTER_STEPS;
}
