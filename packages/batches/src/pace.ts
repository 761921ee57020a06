/**
 * Estimates the time between two events of the streams of one endpoint, as a moving average.
 *
 * Events arrive in bursts, so that single intervals vary widely. The average is smooth enough not to move items between
 * endpoints of equal speed.
 */

const MIN_INTERVALS = 16;
const NEWEST_INTERVAL_WEIGHT = 0.03;

export class PaceEstimator {
  private _intervals = 0;
  private _meanMs = 0;

  addInterval(intervalMs: number): void {
    this._intervals += 1;
    const weight = Math.max(NEWEST_INTERVAL_WEIGHT, 1 / this._intervals);
    this._meanMs += weight * (intervalMs - this._meanMs);
  }

  /** Undefined until there are enough intervals. */
  estimateMs(): number | undefined {
    return this._intervals >= MIN_INTERVALS ? this._meanMs : undefined;
  }

  /** Available from the first interval on; precise enough to detect an unresponsive endpoint. */
  roughEstimateMs(): number | undefined {
    return this._intervals > 0 ? this._meanMs : undefined;
  }
}
