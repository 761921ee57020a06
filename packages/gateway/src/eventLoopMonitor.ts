/**
 * Measures event loop lag.
 *
 * A blocked process runs expired timers before it reads the data that arrived meanwhile, so that its own lag looks like
 * unresponsive endpoints. Timeouts of endpoints are therefore decided after pending I/O was read, and pace samples
 * taken during lag are discarded.
 *
 * A suspension, during which the monotonic clock stands still, is not lag: see `PauseDetector`.
 */
import type { CancelTimer, Clock } from '@fuchsiahitch/base';

/** Costs 20 short wake-ups per second. */
const SAMPLE_INTERVAL_MS = 50;
/**
 * Smaller lag is ignored. About half of the time between two events of a stream. With 50 ms, paces measured on a host
 * with little processor time were too inaccurate and items moved needlessly: a process that is limited to a third of a
 * core stands still for up to two thirds of each 100 ms.
 */
const LAG_THRESHOLD_MS = 25;
/** Samples that a decision waits after lag, so that endpoints can answer what was sent late: the time of two events. */
const GRACE_SAMPLES = 2;
/** The maximum lag is reported for the current and the previous window. */
const WINDOW_MS = 2500;

export class EventLoopMonitor {
  private readonly _clock: Clock;
  private readonly _stopped: AbortSignal;
  private _dueMs: number;
  /** Infinity while the loop lags. */
  private _lagFreeSinceMs: number;
  private _windowStartMs: number;
  private _maxLagMs = 0;
  private _previousMaxLagMs = 0;

  /** Samples until the signal is aborted. */
  constructor(clock: Clock, stopped: AbortSignal) {
    this._clock = clock;
    this._stopped = stopped;
    const nowMs = clock.nowMs();
    this._lagFreeSinceMs = nowMs;
    this._windowStartMs = nowMs;
    this._dueMs = nowMs;
    this._scheduleSample(nowMs);
  }

  /** The maximum lag of the last seconds. */
  recentLagMs(): number {
    return Math.max(this._maxLagMs, this._previousMaxLagMs, this._overdueMs());
  }

  /** Returns true if no lag was measured from `sinceMs` until now. */
  hasNoLagSince(sinceMs: number): boolean {
    return sinceMs >= this._lagFreeSinceMs && this._overdueMs() <= LAG_THRESHOLD_MS;
  }

  /**
   * Calls `decide` after pending I/O was read. If the loop lagged since `sinceMs`, waits up to `GRACE_SAMPLES` more
   * samples, as answers to delayed writes may still be under way.
   */
  afterPendingIo(sinceMs: number, decide: () => void): CancelTimer {
    return this._afterPendingIo(sinceMs, GRACE_SAMPLES, decide);
  }

  /** Calls `run` after the event loop's next poll phase, in which pending I/O is read. */
  afterPollPhase(run: () => void): CancelTimer {
    const immediate = setImmediate(run);
    return () => clearImmediate(immediate);
  }

  private _afterPendingIo(sinceMs: number, samplesLeft: number, decide: () => void): CancelTimer {
    let cancel = this.afterPollPhase(() => {
      if (samplesLeft === 0 || this.hasNoLagSince(sinceMs)) {
        decide();
        return;
      }
      cancel = this._clock.after(SAMPLE_INTERVAL_MS, () => {
        cancel = this._afterPendingIo(sinceMs, samplesLeft - 1, decide);
      });
    });
    return () => cancel();
  }

  private _overdueMs(): number {
    return Math.max(0, this._clock.nowMs() - this._dueMs);
  }

  private _scheduleSample(nowMs: number): void {
    this._dueMs = nowMs + SAMPLE_INTERVAL_MS;
    this._clock.after(SAMPLE_INTERVAL_MS, () => {
      if (!this._stopped.aborted) this._sample();
    });
  }

  private _sample(): void {
    const nowMs = this._clock.nowMs();
    const lagMs = this._overdueMs();
    if (lagMs > LAG_THRESHOLD_MS) this._lagFreeSinceMs = Infinity;
    else if (this._lagFreeSinceMs === Infinity) this._lagFreeSinceMs = nowMs;
    if (nowMs - this._windowStartMs > WINDOW_MS) {
      this._previousMaxLagMs = this._maxLagMs;
      this._maxLagMs = 0;
      this._windowStartMs = nowMs;
    }
    this._maxLagMs = Math.max(this._maxLagMs, lagMs);
    this._scheduleSample(nowMs);
  }
}
