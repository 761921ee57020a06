/**
 * Conditions over state, damped so that rules that read load do not make the fleet oscillate.
 *
 * What goes wrong without it: every host reads the same lagged load, moves its traffic at once, and moves
 * it back when the report catches up. One sees it as decisions that flip at the lag's period. The gap
 * between `above` and `clearBelow` and the least time between changes stop that.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { Signal } from './model.js';

/** Reads the present value of a signal for a pool. */
export type SignalReader = (signal: Signal, pool: string) => number;

interface GateSettings {
  readonly signal: Signal;
  readonly above: number;
  readonly clearBelow: number;
  readonly dwellMs: number;
}

interface GateState {
  readonly holds: boolean;
  readonly sinceMs: number;
}

/** One state condition with hysteresis, kept for each pool. */
export class StateCondition {
  private readonly _settings: GateSettings;
  private readonly _clock: Clock;
  private readonly _read: SignalReader;
  private readonly _states = new Map<string, GateState>();

  constructor(settings: GateSettings, clock: Clock, read: SignalReader) {
    this._settings = settings;
    this._clock = clock;
    this._read = read;
  }

  holds(pool: string): boolean {
    const state = this._states.get(pool) ?? { holds: false, sinceMs: -Infinity };
    const nowMs = this._clock.nowMs();
    if (nowMs - state.sinceMs < this._settings.dwellMs) return state.holds;
    const value = this._read(this._settings.signal, pool);
    const next = state.holds ? value >= this._settings.clearBelow : value > this._settings.above;
    if (next !== state.holds) this._states.set(pool, { holds: next, sinceMs: nowMs });
    return next;
  }
}
