/**
 * State conditions with hysteresis.
 *
 * Load reports are delayed. Without hysteresis, all hosts would move their traffic back and forth simultaneously.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { Signal } from './model.js';

export type SignalReader = (signal: Signal, pool: string) => number;

interface StateConditionSettings {
  readonly signal: Signal;
  readonly above: number;
  readonly clearBelow: number;
  readonly dwellMs: number;
}

interface ConditionState {
  readonly holds: boolean;
  readonly sinceMs: number;
}

/** A condition with hysteresis, evaluated separately for each pool. */
export class StateCondition {
  private readonly _settings: StateConditionSettings;
  private readonly _clock: Clock;
  private readonly _readSignal: SignalReader;
  private readonly _states = new Map<string, ConditionState>();

  constructor(settings: StateConditionSettings, clock: Clock, readSignal: SignalReader) {
    this._settings = settings;
    this._clock = clock;
    this._readSignal = readSignal;
  }

  holds(pool: string): boolean {
    const state = this._states.get(pool) ?? { holds: false, sinceMs: -Infinity };
    const nowMs = this._clock.nowMs();
    if (nowMs - state.sinceMs < this._settings.dwellMs) return state.holds;
    const value = this._readSignal(this._settings.signal, pool);
    const next = state.holds ? value >= this._settings.clearBelow : value > this._settings.above;
    if (next !== state.holds) this._states.set(pool, { holds: next, sinceMs: nowMs });
    return next;
  }
}
