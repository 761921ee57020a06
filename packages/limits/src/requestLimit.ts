/**
 * Bounds the requests in process, over all connections and on each one. A client may send requests without waiting for
 * the answers: some of them are handled at a time, and the connection is read on when most of them are answered.
 */

/** Requests of one connection that are handled at a time. */
const MAX_RUNNING = 4;
/** Waiting requests at which a connection isn't read any further. */
const MAX_WAITING = 16;

/** What to do with a request that arrived. */
export type RequestDecision =
  | 'run'
  | 'wait'
  /** There are too many requests: refuse it, and close the connection after the answer. */
  | 'refuse'
  /** There are too many requests, and another of this connection is not answered yet or was refused: close it. */
  | 'close';

export class RequestLimit {
  readonly maxRequests: number;
  private _requests = 0;

  constructor(maxRequests: number) {
    this.maxRequests = maxRequests;
  }

  requests(): number {
    return this._requests;
  }

  isFull(): boolean {
    return this._requests >= this.maxRequests;
  }

  changed(by: number): void {
    this._requests += by;
  }
}

/** The requests of one connection. `T` is a request that waits. */
export class ConnectionRequests<T> {
  private readonly _limit: RequestLimit;
  private readonly _waiting: T[] = [];
  private _running = 0;
  private _isRefused = false;

  constructor(limit: RequestLimit) {
    this._limit = limit;
  }

  /** True while no more requests should be read from the connection. */
  isFull(): boolean {
    return this._waiting.length >= MAX_WAITING;
  }

  arrived(request: T): RequestDecision {
    if (this._isRefused) return 'close';
    const isAlone = this._running === 0 && this._waiting.length === 0;
    this._isRefused = this._limit.isFull();
    if (this._isRefused) return isAlone ? 'refuse' : 'close';
    this._limit.changed(1);
    if (this._running < MAX_RUNNING) {
      this._running += 1;
      return 'run';
    }
    this._waiting.push(request);
    return 'wait';
  }

  /** A running request has ended. Returns the one that runs next, if any. */
  ended(): T | undefined {
    this._limit.changed(-1);
    const next = this._waiting.shift();
    if (next === undefined) this._running -= 1;
    return next;
  }

  /** Removes and returns the waiting requests of a closed connection. Those that run end by themselves. */
  closed(): readonly T[] {
    this._limit.changed(-this._waiting.length);
    return this._waiting.splice(0);
  }
}
