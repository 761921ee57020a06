/**
 * Requests of one pool that wait for room at an endpoint: bounded, customers first, each with its deadline.
 */
import type { CancelTimer, Clock, Deadline } from '@fuchsiahitch/base';

/** Classes of waiting requests; a lower one is served only when the higher ones are empty. */
export const queuePriorities = ['customer-high', 'customer', 'customer-low', 'rollout'] as const;
export type QueuePriority = (typeof queuePriorities)[number];

/** Why a request left the queue without a turn. */
export type QueueRefusal = 'queue-full' | 'too-late';

interface Waiting {
  readonly offer: () => boolean;
  readonly refuse: (reason: QueueRefusal) => void;
  readonly cancelTimer: CancelTimer;
}

/** A window over which turns are counted to tell how long a newcomer would wait. */
const RATE_WINDOW_MS = 2000;

export class RequestQueue {
  private readonly _clock: Clock;
  private readonly _limit: number;
  private readonly _classes = new Map<QueuePriority, Set<Waiting>>(
    queuePriorities.map(name => [name, new Set()]),
  );
  private _turns = 0;
  private _lastTurns = 0;
  private _windowStartMs: number;

  constructor(clock: Clock, limit: number) {
    this._clock = clock;
    this._limit = limit;
    this._windowStartMs = clock.nowMs();
  }

  size(): number {
    let total = 0;
    for (const waiting of this._classes.values()) total += waiting.size;
    return total;
  }

  /** How long a newcomer of the class would wait, from the rate of the last turns; 0 when nothing waits. */
  expectedWaitMs(waitClass: QueuePriority): number {
    let ahead = 0;
    for (const name of queuePriorities) {
      ahead += this._classes.get(name)?.size ?? 0;
      if (name === waitClass) break;
    }
    this._roll();
    const turns = Math.max(this._turns, this._lastTurns);
    if (ahead === 0 || turns === 0) return 0;
    return (ahead / turns) * RATE_WINDOW_MS;
  }

  /**
   * Waits for a turn. `offer` is called when there may be room, and says whether it used it; `refuse` is
   * called at once when the queue is full or the wait would outlast the deadline, and else at the deadline.
   * Returns a function that leaves the queue.
   */
  enqueue(
    waitClass: QueuePriority,
    deadline: Deadline,
    offer: () => boolean,
    refuse: (r: QueueRefusal) => void,
  ): () => void {
    if (this.size() >= this._limit) {
      refuse('queue-full');
      return () => undefined;
    }
    if (this.expectedWaitMs(waitClass) > deadline.leftMs()) {
      refuse('too-late');
      return () => undefined;
    }
    const members = this._classes.get(waitClass);
    const cancelTimer = this._clock.after(deadline.leftMs(), () => {
      if (members?.delete(waiting)) refuse('too-late');
    });
    const waiting: Waiting = { offer, refuse, cancelTimer };
    members?.add(waiting);
    return () => {
      members?.delete(waiting);
      cancelTimer();
    };
  }

  /** Offers room to the waiting, the highest class and the longest wait first, until nobody takes it. */
  dispatch(): void {
    for (const name of queuePriorities) {
      for (const waiting of this._classes.get(name) ?? []) {
        if (!waiting.offer()) return;
        waiting.cancelTimer();
        this._classes.get(name)?.delete(waiting);
        this._roll();
        this._turns += 1;
      }
    }
  }

  private _roll(): void {
    const nowMs = this._clock.nowMs();
    const passedMs = nowMs - this._windowStartMs;
    if (passedMs < RATE_WINDOW_MS) return;
    this._lastTurns = passedMs < 2 * RATE_WINDOW_MS ? this._turns : 0;
    this._turns = 0;
    this._windowStartMs = nowMs;
  }
}
