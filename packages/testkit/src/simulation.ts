/**
 * Simulated processes and a simulated network on a virtual clock, for fault injection. Runs are deterministic per seed.
 */
import { SeededRandom, VirtualClock, type CancelTimer, type Clock } from '@fuchsiahitch/base';

/** A process. While paused, it defers timers and messages until it resumes; once killed, it drops them. */
export class SimProcess implements Clock {
  readonly name: string;
  private readonly _clock: VirtualClock;
  private readonly _deferred: (() => void)[] = [];
  private _isPaused = false;
  private _isKilled = false;

  constructor(name: string, clock: VirtualClock) {
    this.name = name;
    this._clock = clock;
  }

  get isPaused(): boolean {
    return this._isPaused;
  }

  get isKilled(): boolean {
    return this._isKilled;
  }

  nowMs(): number {
    return this._clock.nowMs();
  }

  wallMs(): number {
    return this._clock.wallMs();
  }

  after(delayMs: number, run: () => void): CancelTimer {
    let isCancelled = false;
    this._clock.after(delayMs, () => {
      if (!isCancelled) this.run(run);
    });
    return () => {
      isCancelled = true;
    };
  }

  /** Runs `step` now, or after `resume` if the process is paused. */
  run(step: () => void): void {
    if (this._isKilled) return;
    if (this._isPaused) this._deferred.push(step);
    else step();
  }

  pause(): void {
    this._isPaused = true;
  }

  resume(): void {
    this._isPaused = false;
    for (const step of this._deferred.splice(0)) this.run(step);
  }

  kill(): void {
    this._isKilled = true;
  }
}

export interface SimNetOptions {
  readonly maxDelayMs: number;
  /** Share of messages lost in each direction, from 0 to 1. */
  readonly lossRate: number;
}

const LOSS_RESOLUTION = 1000;

/** Delivers calls between processes with random delay and loss. Drops all messages of cut connections. */
export class SimNet {
  lossRate: number;
  private readonly _clock: VirtualClock;
  private readonly _random: SeededRandom;
  private readonly _maxDelayMs: number;
  private readonly _cuts = new Set<string>();

  constructor(clock: VirtualClock, random: SeededRandom, options: SimNetOptions) {
    this._clock = clock;
    this._random = random;
    this._maxDelayMs = options.maxDelayMs;
    this.lossRate = options.lossRate;
  }

  /** Cuts the connection between two processes in both directions. */
  cut(a: string, b: string): void {
    this._cuts.add(`${a}|${b}`);
    this._cuts.add(`${b}|${a}`);
  }

  isCut(a: SimProcess, b: SimProcess): boolean {
    return this._cuts.has(`${a.name}|${b.name}`);
  }

  /** Restores all cut connections. */
  heal(): void {
    this._cuts.clear();
  }

  /** Runs `handler` at `to`. Returns undefined if no reply arrived in time; `handler` may have run nonetheless. */
  async call<T>(
    from: SimProcess,
    to: SimProcess,
    timeoutMs: number,
    handler: () => T | Promise<T>,
  ): Promise<T | undefined> {
    return new Promise(resolve => {
      from.after(timeoutMs, () => resolve(undefined));
      this._send(from, to, () => {
        void Promise.resolve(handler()).then(reply => this._send(to, from, () => resolve(reply)));
      });
    });
  }

  private _send(from: SimProcess, to: SimProcess, deliver: () => void): void {
    if (from.isKilled || this._isLost(from, to)) return;
    const delayMs = 1 + this._random.below(this._maxDelayMs);
    this._clock.after(delayMs, () => {
      if (!this._cuts.has(`${from.name}|${to.name}`)) to.run(deliver);
    });
  }

  private _isLost(from: SimProcess, to: SimProcess): boolean {
    if (this._cuts.has(`${from.name}|${to.name}`)) return true;
    return this._random.below(LOSS_RESOLUTION) < this.lossRate * LOSS_RESOLUTION;
  }
}
