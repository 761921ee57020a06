/**
 * How late the event loop of this process runs.
 *
 * What goes wrong without it: a process that is held up runs the timers that fell due before it reads the bytes that
 * arrived meanwhile, so that its own delay looks like the silence of all its endpoints. One notices it as attempts that
 * end as `stalled` at endpoints that sent an event every 45 ms, and as paces that jump; each repetition costs processor
 * time, and the loop is later still. Whoever is about to speak against an endpoint therefore lets the loop read first,
 * and no pace is taken from a time in which the loop was late.
 *
 * The pause detector of the weight orders is no substitute, nor this one for that: it tells a machine that was suspended,
 * by the monotonic clock that stood still meanwhile; where a process is merely late both clocks go on.
 */
import type { CancelTimer, Clock } from '@fuchsiahitch/base';

/** How often the delay is measured: chosen so that the measuring costs a process some 20 short wake-ups a second. */
const SAMPLE_INTERVAL_MS = 50;
/**
 * A delay that counts: half of the time from one event to the next. A process that is held to a third of a core stands
 * still for up to 68 ms of each 100. With 50 ms the paces taken from such a time cut 45 and 112 runs of a batch of 144 items
 * (first and second batch, means of three trials over sockets), with 25 ms 12 and 24.
 */
const LAG_THRESHOLD_MS = 25;
/** Ticks that a decision waits for a late loop: 100 ms where the loop is on time again, in which two events come. */
const GRACE_SAMPLES = 2;
/** The greatest delay is told of one to two such times. */
const WINDOW_MS = 2500;

export class EventLoopMonitor {
  private readonly _clock: Clock;
  private readonly _stopped: AbortSignal;
  private _dueMs: number;
  /** Infinity while the loop is late. */
  private _onTimeSinceMs: number;
  private _windowStartMs: number;
  private _maxLagMs = 0;
  private _previousMaxLagMs = 0;

  /** Measures until the signal is aborted. */
  constructor(clock: Clock, stopped: AbortSignal) {
    this._clock = clock;
    this._stopped = stopped;
    const nowMs = clock.nowMs();
    this._onTimeSinceMs = nowMs;
    this._windowStartMs = nowMs;
    this._dueMs = nowMs;
    this._scheduleTick(nowMs);
  }

  /** The greatest delay of the last seconds. */
  recentLagMs(): number {
    return Math.max(this._maxLagMs, this._previousMaxLagMs, this._overdueMs());
  }

  /** True if the loop has been on time from then until now, as far as was measured. */
  isOnTimeSince(sinceMs: number): boolean {
    return sinceMs >= this._onTimeSinceMs && this._overdueMs() <= LAG_THRESHOLD_MS;
  }

  /**
   * Calls `decide` once the loop has read what has arrived by now. If it was late since `sinceMs` it gets two ticks more,
   * and reads again after each: what it should have written late may not be answered yet.
   */
  afterPendingIo(sinceMs: number, decide: () => void): CancelTimer {
    return this._afterPendingIo(sinceMs, GRACE_SAMPLES, decide);
  }

  /** Calls `run` in the next turn of the loop, once it has read. */
  afterPollPhase(run: () => void): CancelTimer {
    const reading = setImmediate(run);
    return () => clearImmediate(reading);
  }

  private _afterPendingIo(sinceMs: number, ticksLeft: number, decide: () => void): CancelTimer {
    let cancel = this.afterPollPhase(() => {
      if (ticksLeft === 0 || this.isOnTimeSince(sinceMs)) {
        decide();
        return;
      }
      cancel = this._clock.after(SAMPLE_INTERVAL_MS, () => {
        cancel = this._afterPendingIo(sinceMs, ticksLeft - 1, decide);
      });
    });
    return () => cancel();
  }

  private _overdueMs(): number {
    return Math.max(0, this._clock.nowMs() - this._dueMs);
  }

  private _scheduleTick(nowMs: number): void {
    this._dueMs = nowMs + SAMPLE_INTERVAL_MS;
    this._clock.after(SAMPLE_INTERVAL_MS, () => {
      if (!this._stopped.aborted) this._tick();
    });
  }

  private _tick(): void {
    const nowMs = this._clock.nowMs();
    const delayMs = this._overdueMs();
    if (delayMs > LAG_THRESHOLD_MS) this._onTimeSinceMs = Infinity;
    else if (this._onTimeSinceMs === Infinity) this._onTimeSinceMs = nowMs;
    if (nowMs - this._windowStartMs > WINDOW_MS) {
      this._previousMaxLagMs = this._maxLagMs;
      this._maxLagMs = 0;
      this._windowStartMs = nowMs;
    }
    this._maxLagMs = Math.max(this._maxLagMs, delayMs);
    this._scheduleTick(nowMs);
  }
}
