/**
 * Notices that the process stood still: the monotonic clock does not count such a time, the wall clock does.
 */
import type { Clock } from '@fuchsiahitch/base';

/** A difference between the clocks' advances from which on the process counts as paused. */
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

  /** Only pauses from now on count. */
  reset(): void {
    this._lastMs = this._clock.nowMs();
    this._lastWallMs = this._clock.wallMs();
  }

  /** True if a pause lies between this call and the one before. A wall clock that is set does no harm. */
  wasPaused(): boolean {
    const passedMs = this._clock.nowMs() - this._lastMs;
    const wallPassedMs = this._clock.wallMs() - this._lastWallMs;
    this._lastMs += passedMs;
    this._lastWallMs += wallPassedMs;
    return Math.abs(wallPassedMs - passedMs) > PAUSE_MS;
  }
}
