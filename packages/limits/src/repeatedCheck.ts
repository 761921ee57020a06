/**
 * A check that is repeated while there is something to check, and costs no timer otherwise.
 */
import type { Clock } from '@fuchsiahitch/base';

export class RepeatedCheck {
  private readonly _clock: Clock;
  private readonly _intervalMs: number;
  private readonly _check: () => boolean;
  private _isScheduled = false;

  /** `check` returns true if it must run again. */
  constructor(clock: Clock, intervalMs: number, check: () => boolean) {
    this._clock = clock;
    this._intervalMs = intervalMs;
    this._check = check;
  }

  /** Runs the check after the interval, unless that is due already. */
  schedule(): void {
    if (this._isScheduled) return;
    this._isScheduled = true;
    this._clock.after(this._intervalMs, () => {
      this._isScheduled = false;
      if (this._check()) this.schedule();
    });
  }
}
