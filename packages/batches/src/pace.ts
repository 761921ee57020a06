/**
 * Estimates the pace of an endpoint, which is the time between two events of a stream, as a moving average.
 *
 * Events arrive in bursts, so single intervals vary widely. Without strong smoothing, items would move between
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

  /** Undefined until `MIN_INTERVALS` intervals were added. */
  estimateMs(): number | undefined {
    return this._intervals >= MIN_INTERVALS ? this._meanMs : undefined;
  }

  /** Available from the first interval on; precise enough to detect an unresponsive endpoint. */
  provisionalEstimateMs(): number | undefined {
    return this._intervals > 0 ? this._meanMs : undefined;
  }
}
