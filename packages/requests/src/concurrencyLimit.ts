/**
 * How many requests one host may have in flight at one endpoint.
 *
 * Hosts don't ask each other for each request. Each starts with an even share of the endpoint's slots, adds
 * one a round when the endpoint reports no queue, and takes a fifth off when it reports one or refuses:
 * additive increase and multiplicative decrease, under which the shares of hosts converge.
 */
const DECREASE_FACTOR = 0.8;
const MAX_TOLERATED_QUEUE = 1;

export class ConcurrencyLimit {
  private readonly _slots: number;
  private _limit: number;
  private _peakUsageSinceReport = 0;

  /** `slots` of the endpoint, shared at the start by `hosts`. */
  constructor(slots: number, hosts: number) {
    this._slots = slots;
    this._limit = Math.max(1, Math.ceil(slots / Math.max(1, hosts)));
  }

  /** Whole requests allowed now. */
  value(): number {
    return Math.max(1, Math.floor(this._limit));
  }

  /** How many the customers' reserve leaves to rollouts: rounded down, so that the reserve is never eaten. */
  rolloutLimit(reserve: number): number {
    return Math.floor(this.value() * (1 - reserve));
  }

  /** Notes the highest own use: a limit that is not reached need not grow. */
  recordUsage(inFlight: number): void {
    this._peakUsageSinceReport = Math.max(this._peakUsageSinceReport, inFlight);
  }

  /** Takes in a load report. */
  onLoadReport(queued: number, inFlight: number): void {
    if (queued > MAX_TOLERATED_QUEUE) this._decrease();
    else if (inFlight < this._slots && this._peakUsageSinceReport >= this.value()) this._increase();
    this._peakUsageSinceReport = 0;
  }

  /** The endpoint refused for lack of room. */
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
