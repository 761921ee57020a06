/** A bounded priority queue of requests that wait for capacity in one pool, each with its deadline. */
import type { CancelTimer, Clock, Deadline } from '@fuchsiahitch/base';

/** In descending order: a lower priority is served only when the higher ones are empty. */
export const queuePriorities = ['customer-high', 'customer', 'customer-low', 'rollout'] as const;
export type QueuePriority = (typeof queuePriorities)[number];

export type QueueRefusal = 'queue-full' | 'too-late';

interface WaitingRequest {
  readonly trySend: () => boolean;
  readonly refuse: (reason: QueueRefusal) => void;
  readonly cancelTimer: CancelTimer;
}

/** The window over which the service rate is measured. */
const RATE_WINDOW_MS = 2000;

export class RequestQueue {
  private readonly _clock: Clock;
  private readonly _limit: number;
  private readonly _queues = new Map<QueuePriority, Set<WaitingRequest>>(
    queuePriorities.map(name => [name, new Set()]),
  );
  private _served = 0;
  private _servedInLastWindow = 0;
  private _windowStartMs: number;

  constructor(clock: Clock, limit: number) {
    this._clock = clock;
    this._limit = limit;
    this._windowStartMs = clock.nowMs();
  }

  size(): number {
    let total = 0;
    for (const waiting of this._queues.values()) total += waiting.size;
    return total;
  }

  /** Estimates the wait of a new request from the recent service rate; 0 if no request is ahead or none was served. */
  expectedWaitMs(priority: QueuePriority): number {
    let ahead = 0;
    for (const name of queuePriorities) {
      ahead += this._queues.get(name)?.size ?? 0;
      if (name === priority) break;
    }
    this._rotateWindow();
    const served = Math.max(this._served, this._servedInLastWindow);
    if (ahead === 0 || served === 0) return 0;
    return (ahead / served) * RATE_WINDOW_MS;
  }

  /**
   * `trySend` is called when there may be capacity and returns true if the request was sent. `refuse` is called
   * immediately if the queue is full or the expected wait exceeds the deadline, otherwise at the deadline. Returns a
   * function that removes the request.
   */
  enqueue(
    priority: QueuePriority,
    deadline: Deadline,
    trySend: () => boolean,
    refuse: (reason: QueueRefusal) => void,
  ): () => void {
    if (this.size() >= this._limit) {
      refuse('queue-full');
      return () => undefined;
    }
    if (this.expectedWaitMs(priority) > deadline.remainingMs()) {
      refuse('too-late');
      return () => undefined;
    }
    const queue = this._queues.get(priority);
    const cancelTimer = this._clock.after(deadline.remainingMs(), () => {
      if (queue?.delete(waiting)) refuse('too-late');
    });
    const waiting: WaitingRequest = { trySend, refuse, cancelTimer };
    queue?.add(waiting);
    return () => {
      queue?.delete(waiting);
      cancelTimer();
    };
  }

  /** Sends waiting requests by priority and then in order of arrival, until one cannot be sent. */
  dispatch(): void {
    for (const name of queuePriorities) {
      for (const waiting of this._queues.get(name) ?? []) {
        if (!waiting.trySend()) return;
        waiting.cancelTimer();
        this._queues.get(name)?.delete(waiting);
        this._rotateWindow();
        this._served += 1;
      }
    }
  }

  private _rotateWindow(): void {
    const nowMs = this._clock.nowMs();
    const elapsedMs = nowMs - this._windowStartMs;
    if (elapsedMs < RATE_WINDOW_MS) return;
    this._servedInLastWindow = elapsedMs < 2 * RATE_WINDOW_MS ? this._served : 0;
    this._served = 0;
    this._windowStartMs = nowMs;
  }
}
