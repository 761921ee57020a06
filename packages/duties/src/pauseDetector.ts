/**
 * Detects pauses of the process, such as suspensions: the wall clock advances in them, the monotonic clock does not.
 */
import type { Clock } from '@fuchsiahitch/base';

/** Minimum difference between the advances of the clocks that counts as a pause. */
const PAUSE_MS = 250;

export class PauseDetector {
  private readonly _clock: Clock;
  private _lastMs: number;
  private _lastWallMs: number;

  constructor(clock: Clock) {
    this._clock = clock;
    this._lastMs = clock.nowMs();
    this._lastWallMs = clock.wallMs();
  }

  /** Ignores earlier pauses. */
  reset(): void {
    this._lastMs = this._clock.nowMs();
    this._lastWallMs = this._clock.wallMs();
  }

  /** Returns true if the process was paused since the previous call. Setting the wall clock also counts as a pause. */
  wasPaused(): boolean {
    const passedMs = this._clock.nowMs() - this._lastMs;
    const wallPassedMs = this._clock.wallMs() - this._lastWallMs;
    this._lastMs += passedMs;
    this._lastWallMs += wallPassedMs;
    return Math.abs(wallPassedMs - passedMs) > PAUSE_MS;
  }
}
