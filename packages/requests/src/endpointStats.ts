/** A host's view of the load of one endpoint, with a circuit breaker. */
import type { Clock } from '@fuchsiahitch/base';

/** A load report of an endpoint, possibly outdated. `startId` changes when the endpoint restarts. */
export interface LoadReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly version: string;
  readonly startId: string;
  readonly isLeaving: boolean;
  /** Duration of work at this moment in percent of the normal duration; absent if not reported. */
  readonly workPercent?: number | undefined;
}

const FAILURE_WEIGHT = 0.2;
const OPEN_FAILURE_SHARE = 0.5;
const MIN_COMPLETED_ATTEMPTS = 5;
const INITIAL_OPEN_MS = 1000;
const MAX_OPEN_MS = 30_000;
const REPORT_VALID_MS = 15_000;
/** Age up to which a reported percentage is used. Other processes on the endpoint's machine change it within this time. */
const WORK_PERCENT_VALID_MS = 300;
const NORMAL_WORK_PERCENT = 100;

type BreakerState =
  | { readonly kind: 'closed' }
  | { readonly kind: 'open'; readonly untilMs: number; readonly lengthMs: number }
  | { readonly kind: 'probing'; readonly lengthMs: number };

export class EndpointStats {
  private readonly _clock: Clock;
  private readonly _reportValidMs: number;
  private readonly _maxOpenMs: number;
  private _inFlight = 0;
  private _rolloutInFlight = 0;
  private _report: LoadReport | undefined;
  private _reportedMs = -Infinity;
  private _inFlightAtReport = 0;
  private _workPercent: number | undefined;
  private _workPercentMs = -Infinity;
  private _failureShare = 0;
  private _completedAttempts = 0;
  private _breaker: BreakerState = { kind: 'closed' };

  /** `reportValidMs`: the age up to which a load report is used. `maxOpenMs`: the longest time between probes. */
  constructor(clock: Clock, reportValidMs: number = REPORT_VALID_MS, maxOpenMs: number = MAX_OPEN_MS) {
    this._clock = clock;
    this._reportValidMs = reportValidMs;
    this._maxOpenMs = maxOpenMs;
  }

  inFlight(): number {
    return this._inFlight;
  }

  rolloutInFlight(): number {
    return this._rolloutInFlight;
  }

  report(): LoadReport | undefined {
    return this._report;
  }

  began(isRollout: boolean): void {
    this._inFlight += 1;
    if (isRollout) this._rolloutInFlight += 1;
    if (this._breaker.kind === 'open') this._breaker = { kind: 'probing', lengthMs: this._breaker.lengthMs };
  }

  /** Failures open the breaker: an endpoint that fails fast looks idle and would attract all traffic. */
  ended(isRollout: boolean, isFailure: boolean): void {
    this._inFlight -= 1;
    if (isRollout) this._rolloutInFlight -= 1;
    this._completedAttempts += 1;
    this._failureShare += FAILURE_WEIGHT * ((isFailure ? 1 : 0) - this._failureShare);
    if (this._breaker.kind === 'probing') this._probeEnded(isFailure, this._breaker.lengthMs);
    else if (this._completedAttempts >= MIN_COMPLETED_ATTEMPTS && this._failureShare > OPEN_FAILURE_SHARE)
      this._openBreaker(INITIAL_OPEN_MS);
  }

  /**
   * Counts as neither success nor failure. After a cancelled probe, the next request becomes the probe; otherwise the
   * endpoint would never be used again.
   */
  cancelled(isRollout: boolean): void {
    this._inFlight -= 1;
    if (isRollout) this._rolloutInFlight -= 1;
    if (this._breaker.kind !== 'probing') return;
    const { lengthMs } = this._breaker;
    this._breaker = { kind: 'open', untilMs: this._clock.nowMs(), lengthMs };
  }

  onLoadReport(report: LoadReport): void {
    if (this._report && this._report.startId !== report.startId) {
      this._resetBreaker();
      this._workPercent = undefined;
    }
    this._report = report;
    this._reportedMs = this._clock.nowMs();
    if (report.workPercent !== undefined) {
      this._workPercent = report.workPercent;
      this._workPercentMs = this._reportedMs;
    }
    this._inFlightAtReport = this._inFlight;
  }

  /** True while the other hosts' load is known. */
  hasRecentReport(): boolean {
    return this._clock.nowMs() - this._reportedMs < this._reportValidMs;
  }

  /**
   * The other hosts' load at the last report plus this host's current load, so that hosts with the same outdated
   * report do not all pick one endpoint.
   */
  estimatedLoad(): number {
    if (!this._report || !this.hasRecentReport()) return this._inFlight;
    const others = Math.max(0, this._report.inFlight + this._report.queued - this._inFlightAtReport);
    return others + this._inFlight;
  }

  /** True once a report of the current start has named a percentage. */
  hasReportedWorkPercent(): boolean {
    return this._workPercent !== undefined;
  }

  /**
   * The expected time of one more request, in multiples of the duration of a request at an idle endpoint of normal speed.
   * Addresses endpoints of different speed, which the number of requests alone does not show. Without a recent
   * percentage, the normal speed is assumed.
   */
  expectedTime(): number {
    const isFresh = this._clock.nowMs() - this._workPercentMs < WORK_PERCENT_VALID_MS;
    const percent = (isFresh ? this._workPercent : undefined) ?? NORMAL_WORK_PERCENT;
    return ((this.estimatedLoad() + 1) * percent) / NORMAL_WORK_PERCENT;
  }

  /** False while the breaker is open or its probe is in flight. */
  isUsable(): boolean {
    if (this._breaker.kind === 'closed') return true;
    return this._breaker.kind === 'open' && this._clock.nowMs() >= this._breaker.untilMs;
  }

  private _probeEnded(isFailure: boolean, lengthMs: number): void {
    if (isFailure) this._openBreaker(Math.min(this._maxOpenMs, lengthMs * 2));
    else this._resetBreaker();
  }

  private _openBreaker(lengthMs: number): void {
    this._breaker = { kind: 'open', untilMs: this._clock.nowMs() + lengthMs, lengthMs };
  }

  private _resetBreaker(): void {
    this._breaker = { kind: 'closed' };
    this._failureShare = 0;
    this._completedAttempts = 0;
  }
}
