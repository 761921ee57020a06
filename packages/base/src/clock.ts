/**
 * Time as an interface, so that decisions can be driven by a virtual clock.
 */

/** Cancels a timer; calling it twice is harmless. */
export type CancelTimer = () => void;

/** A source of time. All durations and instants are in milliseconds. */
export interface Clock {
  /** Monotonic time. Leases, deadlines and staleness in seconds count on it: wall clocks jump. */
  nowMs(): number;
  /** Wall time since the Unix epoch, for people, for logs and for rules that name a time of day. */
  wallMs(): number;
  /** Calls `run` once after `delayMs`. The timer never keeps a process alive by itself. */
  after(delayMs: number, run: () => void): CancelTimer;
}

/** The clock of the machine. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  after(delayMs: number, run: () => void): CancelTimer {
    const timer = setTimeout(run, delayMs);
    timer.unref();
    return () => clearTimeout(timer);
  }
}

interface PendingTimer {
  readonly dueMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** A clock that moves only when told to. Timers that are due run in order of time, then of creation. */
export class VirtualClock implements Clock {
  private _nowMs = 0;
  private _nextOrder = 0;
  private readonly _pending = new Set<PendingTimer>();

  nowMs(): number {
    return this._nowMs;
  }

  wallMs(): number {
    return this._nowMs;
  }

  after(delayMs: number, run: () => void): CancelTimer {
    const timer = { dueMs: this._nowMs + Math.max(0, delayMs), order: this._nextOrder++, run };
    this._pending.add(timer);
    return () => this._pending.delete(timer);
  }

  /** Moves time forward by `durationMs` and runs the timers that fall due on the way. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this._nowMs + durationMs;
    await settle();
    for (let next = this._nextDue(endMs); next; next = this._nextDue(endMs)) {
      this._pending.delete(next);
      this._nowMs = Math.max(this._nowMs, next.dueMs);
      next.run();
      await settle();
    }
    this._nowMs = endMs;
  }

  private _nextDue(endMs: number): PendingTimer | undefined {
    let best: PendingTimer | undefined;
    for (const timer of this._pending) {
      if (timer.dueMs > endMs) continue;
      if (!best || timer.dueMs < best.dueMs || (timer.dueMs === best.dueMs && timer.order < best.order))
        best = timer;
    }
    return best;
  }
}

/** Lets every promise that is already resolved run its continuations. */
export async function settle(): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve));
}

/** Resolves after `delayMs`, or at once when the signal is aborted. */
export async function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  await new Promise<void>(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const end = (): void => {
      // A signal lives as long as the process: a listener left on it would be a leak at every sleep.
      signal?.removeEventListener('abort', end);
      cancel();
      resolve();
    };
    const cancel = clock.after(delayMs, end);
    signal?.addEventListener('abort', end);
  });
}

/** Runs `step` every `periodMs`, one run at a time, until the signal is aborted. */
export function every(
  clock: Clock,
  periodMs: number,
  signal: AbortSignal,
  step: () => Promise<void> | void,
): void {
  const loop = async (): Promise<void> => {
    while (!signal.aborted) {
      await step();
      await sleep(clock, periodMs, signal);
    }
  };
  void loop();
}
