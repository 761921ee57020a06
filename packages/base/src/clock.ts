/** Time as an interface, so that a virtual clock can drive tests and simulations. */

/** Cancels a timer. Idempotent. */
export type CancelTimer = () => void;

/** A source of time. All durations and instants are in milliseconds. */
export interface Clock {
  /** Monotonic time, for leases, deadlines and staleness. */
  nowMs(): number;
  /** Wall time since the Unix epoch. */
  wallMs(): number;
  /** Calls `run` once after `delayMs`. The timer does not keep the process alive. */
  after(delayMs: number, run: () => void): CancelTimer;
}

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

/** A clock that is advanced explicitly. Timers run in the order of their due times, then of their creation. */
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
   * Simulates an event loop that is blocked for `durationMs`. Timers that became due run late, and before `readIo`,
   * which handles the I/O that arrived meanwhile.
   */
  async blockEventLoop(durationMs: number, readIo: () => void): Promise<void> {
    await settle();
    this._nowMs += durationMs;
    setImmediate(readIo);
    for (let next = this._pending.popDue(this._nowMs); next; next = this._pending.popDue(this._nowMs))
      if (!next.isCancelled) next.run();
    await settle();
  }
}

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

  /** Removes and returns the earliest timer if it is due by `endMs`. */
  popDue(endMs: number): PendingTimer | undefined {
    const [first] = this._items;
    if (!first || first.dueMs > endMs) return undefined;
    const last = this._items.pop();
    if (last && this._items.length > 0) {
      this._items[0] = last;
      this._siftDown();
    }
    return first;
  }

  private _siftDown(): void {
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

/** Runs the continuations of all promises that are already resolved. */
export async function settle(): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve));
}

/** Resolves after `delayMs`, or immediately when the signal is aborted. */
export async function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  await new Promise<void>(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      // The signal may be as long-lived as the process, so a remaining listener would leak.
      signal?.removeEventListener('abort', finish);
      cancel();
      resolve();
    };
    const cancel = clock.after(delayMs, finish);
    signal?.addEventListener('abort', finish);
  });
}

/** Runs `task` until the signal is aborted, with a pause of `periodMs` between runs. Runs never overlap. */
export function every(
  clock: Clock,
  periodMs: number,
  signal: AbortSignal,
  task: () => Promise<void> | void,
): void {
  const loop = async (): Promise<void> => {
    while (!signal.aborted) {
      await task();
      await sleep(clock, periodMs, signal);
    }
  };
  void loop();
}
