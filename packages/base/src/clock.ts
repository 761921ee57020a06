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
  isCancelled: boolean;
}

/** A clock that moves only when told to. Timers that are due run in order of time, then of creation. */
export class VirtualClock implements Clock {
  private _nowMs = 0;
  private _nextOrder = 0;
  private readonly _pending = new TimerHeap();

  nowMs(): number {
    return this._nowMs;
  }

  wallMs(): number {
    return this._nowMs;
  }

  after(delayMs: number, run: () => void): CancelTimer {
    const dueMs = this._nowMs + Math.max(0, delayMs);
    const timer = { dueMs, order: this._nextOrder++, run, isCancelled: false };
    this._pending.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  /** Moves time forward by `durationMs` and runs the timers that fall due on the way. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this._nowMs + durationMs;
    await settle();
    for (let next = this._pending.popDue(endMs); next; next = this._pending.popDue(endMs)) {
      if (next.isCancelled) continue;
      this._nowMs = Math.max(this._nowMs, next.dueMs);
      next.run();
      await settle();
    }
    this._nowMs = endMs;
  }

  /**
   * Lets time pass in which nothing runs, as where the process gets no processor time. The timers that fell due then run
   * late and all of them before `read`, which takes what has arrived meanwhile: the order of the event loop.
   */
  async blockEventLoop(durationMs: number, read: () => void): Promise<void> {
    await settle();
    this._nowMs += durationMs;
    setImmediate(read);
    for (let next = this._pending.popDue(this._nowMs); next; next = this._pending.popDue(this._nowMs))
      if (!next.isCancelled) next.run();
    await settle();
  }
}

/** Timers in a binary heap, the earliest first. */
class TimerHeap {
  private readonly _items: PendingTimer[] = [];

  push(timer: PendingTimer): void {
    this._items.push(timer);
    let i = this._items.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this._isBefore(i, parent)) return;
      this._swap(i, parent);
      i = parent;
    }
  }

  /** Removes and returns the earliest timer, if it is due by then. */
  popDue(endMs: number): PendingTimer | undefined {
    const [first] = this._items;
    if (!first || first.dueMs > endMs) return undefined;
    const last = this._items.pop();
    if (last && this._items.length > 0) {
      this._items[0] = last;
      this._sink();
    }
    return first;
  }

  private _sink(): void {
    for (let i = 0; ;) {
      const left = 2 * i + 1;
      const right = left + 1;
      let least = i;
      if (left < this._items.length && this._isBefore(left, least)) least = left;
      if (right < this._items.length && this._isBefore(right, least)) least = right;
      if (least === i) return;
      this._swap(i, least);
      i = least;
    }
  }

  private _isBefore(i: number, j: number): boolean {
    const a = this._items[i];
    const b = this._items[j];
    if (!a || !b) return false;
    return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
  }

  private _swap(i: number, j: number): void {
    const a = this._items[i];
    const b = this._items[j];
    if (!a || !b) return;
    this._items[i] = b;
    this._items[j] = a;
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
