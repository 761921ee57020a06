/**
 * Limits the requests that one host has in flight at one endpoint.
 *
 * Hosts do not coordinate per request. Each starts with an even share of the endpoint's slots and adjusts it by
 * additive increase and multiplicative decrease (AIMD), so that the shares of the hosts converge.
 */
const DECREASE_FACTOR = 0.8;
const MAX_TOLERATED_QUEUE = 1;

export class ConcurrencyLimit {
  private readonly _slots: number;
  private _limit: number;
  private _peakUsageSinceReport = 0;

  /** `slots`: concurrent requests that the endpoint accepts, initially shared by `hosts`. */
  constructor(slots: number, hosts: number) {
    this._slots = slots;
    this._limit = Math.max(1, Math.ceil(slots / Math.max(1, hosts)));
  }

  value(): number {
    return Math.max(1, Math.floor(this._limit));
  }

  /** The limit without the customers' reserve, rounded down so that rollouts never use the reserve. */
  rolloutLimit(reserve: number): number {
    return Math.floor(this.value() * (1 - reserve));
  }

  /** Records the requests in flight. A limit that was not reached since the last report is not raised. */
  recordUsage(inFlight: number): void {
    this._peakUsageSinceReport = Math.max(this._peakUsageSinceReport, inFlight);
  }

  onLoadReport(queued: number, inFlight: number): void {
    if (queued > MAX_TOLERATED_QUEUE) this._decrease();
    else if (inFlight < this._slots && this._peakUsageSinceReport >= this.value()) this._increase();
    this._peakUsageSinceReport = 0;
  }

  refused(): void {
    this._decrease();
  }

  private _increase(): void {
    this._limit = Math.min(this._slots, this._limit + 1);
  }

  private _decrease(): void {
    this._limit = Math.max(1, this._limit * DECREASE_FACTOR);
  }
}
