/**
 * Estimates the pace of an endpoint, which is the time between two events of a stream, as a moving average.
 *
 * Events arrive in bursts, so single intervals vary widely, and averages of a few intervals differ by up to a factor of
 * two between equal endpoints. Without strong smoothing, items would move between endpoints of equal speed; each move
 * costs a connection and the prefill of the prompt.
 */

/** With fewer intervals the estimate is too inaccurate. Two streams provide this many within half a second. */
const MIN_INTERVALS = 16;
/**
 * With a weight of 0.1, many items at equal endpoints would move, with 0.05 or less none. The estimate still follows a
 * change of an endpoint with a few streams within a second.
 */
const NEWEST_INTERVAL_WEIGHT = 0.03;

export class PaceEstimator {
  private _intervals = 0;
  private _meanMs = 0;

  addInterval(intervalMs: number): void {
    this._intervals += 1;
    const weight = Math.max(NEWEST_INTERVAL_WEIGHT, 1 / this._intervals);
    this._meanMs += weight * (intervalMs - this._meanMs);
  }

  /** Undefined until `MIN_INTERVALS` intervals were added. */
  estimateMs(): number | undefined {
    return this._intervals >= MIN_INTERVALS ? this._meanMs : undefined;
  }

  /** Available from the first interval on; precise enough to detect an unresponsive endpoint. */
  provisionalEstimateMs(): number | undefined {
    return this._intervals > 0 ? this._meanMs : undefined;
  }
}
