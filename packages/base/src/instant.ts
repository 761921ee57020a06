/**
 * A point in time whose age includes pauses of the process.
 */
import type { Clock } from './clock.js';

/**
 * The monotonic clock stands still while a machine is suspended, and the wall clock may be set back. The age is the larger
 * one of the two.
 */
export class Instant {
  private readonly _clock: Clock;
  private readonly _monotonicMs: number;
  private readonly _wallMs: number;

  private constructor(clock: Clock, monotonicMs: number, wallMs: number) {
    this._clock = clock;
    this._monotonicMs = monotonicMs;
    this._wallMs = wallMs;
  }

  static now(clock: Clock): Instant {
    return new Instant(clock, clock.nowMs(), clock.wallMs());
  }

  /** The instant of a time on the monotonic clock, by the difference between the clocks as it is now. */
  static ofMonotonic(clock: Clock, monotonicMs: number): Instant {
    return Instant.now(clock).plus(monotonicMs - clock.nowMs());
  }

  /** Milliseconds since this instant. */
  ageMs(): number {
    return Math.max(this._clock.nowMs() - this._monotonicMs, this._clock.wallMs() - this._wallMs);
  }

  plus(durationMs: number): Instant {
    return new Instant(this._clock, this._monotonicMs + durationMs, this._wallMs + durationMs);
  }

  isAfter(other: Instant): boolean {
    return this.ageMs() < other.ageMs();
  }
}
