/** Deadlines, passed down every call so that no layer waits longer than its caller. */
import type { Clock } from './clock.js';

/** A point on the monotonic clock by which an operation must have completed. */
export class Deadline {
  private readonly _clock: Clock;
  private readonly _atMs: number;

  private constructor(clock: Clock, atMs: number) {
    this._clock = clock;
    this._atMs = atMs;
  }

  static after(clock: Clock, durationMs: number): Deadline {
    return new Deadline(clock, clock.nowMs() + durationMs);
  }

  /** Milliseconds until the deadline, never negative. */
  remainingMs(): number {
    return Math.max(0, this._atMs - this._clock.nowMs());
  }

  isOver(): boolean {
    return this.remainingMs() === 0;
  }

  /** The earlier of this deadline and one `durationMs` from now. */
  atMost(durationMs: number): Deadline {
    return new Deadline(this._clock, Math.min(this._atMs, this._clock.nowMs() + durationMs));
  }
}
