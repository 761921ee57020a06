/**
 * Assigns endpoints to requests. Each pool has a queue; customer requests precede rollouts and can preempt them.
 */
import { every, type Deadline } from '@fuchsiahitch/base';
import {
  EndpointPicker,
  hasCapacity,
  RequestQueue,
  type PickRequest,
  type QueuePriority,
} from '@fuchsiahitch/requests';
import { CUSTOMER_RESERVE_FLOOR } from '@fuchsiahitch/rules';
import type { CallableEndpoint, EndpointService } from './endpointService.js';
import type { HostContext } from './hostContext.js';

/** Maximum queued requests per pool on this host. */
const QUEUE_LIMIT = 2000;
const DISPATCH_PERIOD_MS = 200;

export interface DispatchRequest extends PickRequest {
  readonly queuePriority: QueuePriority;
  readonly deadline: Deadline;
}

/** An acquired endpoint, or the reason why there is none. */
export type DispatchResult =
  | { readonly kind: 'acquired'; readonly endpoint: CallableEndpoint }
  | { readonly kind: 'queue-full' | 'too-late' | 'no-endpoint' | 'left' };

/** Stops a running rollout and frees its endpoint slot. */
export type PreemptCallback = () => void;

export class Dispatcher {
  private readonly _context: HostContext;
  private readonly _endpoints: EndpointService;
  private readonly _picker: EndpointPicker;
  private readonly _queues = new Map<string, RequestQueue>();
  private readonly _preemptible = new Map<string, Set<PreemptCallback>>();

  constructor(context: HostContext, endpoints: EndpointService) {
    this._context = context;
    this._endpoints = endpoints;
    this._picker = new EndpointPicker(context.random);
    endpoints.onCapacityChange(() => this.dispatchAll());
  }

  /** Dispatches periodically too, because a circuit breaker that closes after a timeout emits no event. */
  start(): void {
    every(this._context.clock, DISPATCH_PERIOD_MS, this._context.stopped, () => this.dispatchAll());
  }

  queueSize(pool: string): number {
    return this._queues.get(pool)?.size() ?? 0;
  }

  /** Returns the delay to suggest to a customer whose request is refused now. */
  retryAfterMs(pool: string): number {
    const expectedMs = this._queues.get(pool)?.expectedWaitMs('customer') ?? 0;
    return Math.max(1000, Math.ceil(expectedMs));
  }

  /** Returns the number of free slots of a pool that rollouts may use, excluding the customers' reserve. */
  freeRolloutSlots(pool: string, reserve: number): number {
    let freeSlots = 0;
    for (const endpoint of this._endpoints.pool(pool)) {
      if (endpoint.isLeaving || !endpoint.stats.isUsable()) continue;
      const available = endpoint.limit.rolloutLimit(reserve) - endpoint.stats.rolloutInFlight();
      if (available > 0 && hasCapacity(endpoint, true, reserve)) freeSlots += available;
    }
    return freeSlots;
  }

  /**
   * Waits for an endpoint with a free slot and occupies the slot, unless `begin` returns false because the request has
   * ended meanwhile. Aborting `signal` removes the request from the queue.
   */
  async acquire(
    request: DispatchRequest,
    begin: () => boolean,
    signal: AbortSignal,
  ): Promise<DispatchResult> {
    if (this._endpoints.pool(request.pool).length === 0) return { kind: 'no-endpoint' };
    return new Promise(resolve => {
      const tryAcquire = (): boolean => {
        const endpoint = this._pickEndpoint(request);
        if (!endpoint) return false;
        if (!begin()) {
          resolve({ kind: 'left' });
          return true;
        }
        endpoint.stats.began(request.isRollout);
        endpoint.limit.recordUsage(endpoint.stats.inFlight());
        resolve({ kind: 'acquired', endpoint });
        return true;
      };
      const queue = this._queue(request.pool);
      if (queue.size() === 0 && tryAcquire()) return;
      if (!request.isRollout) this._preemptRollout(request);
      const leaveQueue = queue.enqueue(request.queuePriority, request.deadline, tryAcquire, reason =>
        resolve({ kind: reason }),
      );
      signal.addEventListener('abort', () => {
        leaveQueue();
        resolve({ kind: 'left' });
      });
      this._dispatchQueue(queue);
    });
  }

  /** Frees the slot of an attempt that ended, and records its result. */
  ended(endpoint: CallableEndpoint, isRollout: boolean, isFailure: boolean): void {
    endpoint.stats.ended(isRollout, isFailure);
    this._dispatchQueue(this._queue(endpoint.pool));
  }

  /** Frees the slot of a cancelled attempt, without effect on the endpoint's health. */
  cancelled(endpoint: CallableEndpoint, isRollout: boolean): void {
    endpoint.stats.cancelled(isRollout);
    this._dispatchQueue(this._queue(endpoint.pool));
  }

  dispatchAll(): void {
    for (const queue of this._queues.values()) this._dispatchQueue(queue);
  }

  /** Registers a rollout that runs at an endpoint. Returns a function that unregisters it. */
  addPreemptible(endpointId: string, preempt: PreemptCallback): () => void {
    const callbacks = this._preemptible.get(endpointId) ?? new Set<PreemptCallback>();
    this._preemptible.set(endpointId, callbacks);
    callbacks.add(preempt);
    return () => callbacks.delete(preempt);
  }

  private _pickEndpoint(request: PickRequest): CallableEndpoint | undefined {
    const pool = this._endpoints.pool(request.pool);
    const picked = this._picker.pick(pool, request);
    return picked && pool.find(endpoint => endpoint.id === picked.id);
  }

  /** Preempts a rollout for a customer request that finds no free slot. */
  private _preemptRollout(request: PickRequest): void {
    const pool = this._endpoints.pool(request.pool);
    const endpoint = this._picker.pickToPreempt(pool, request);
    const [preemptRollout] = this._preemptible.get(endpoint?.id ?? '') ?? [];
    if (!endpoint || !preemptRollout) return;
    this._preemptible.get(endpoint.id)?.delete(preemptRollout);
    this._context.metrics.preempted.inc();
    preemptRollout();
  }

  private _queue(pool: string): RequestQueue {
    const existing = this._queues.get(pool);
    if (existing) return existing;
    const queue = new RequestQueue(this._context.clock, QUEUE_LIMIT);
    this._queues.set(pool, queue);
    return queue;
  }

  private _dispatchQueue(queue: RequestQueue): void {
    if (queue.size() > 0) queue.dispatch();
  }
}

/** Returns the customers' reserve set by a rule, but at least the minimum. */
export function effectiveReserve(configured: number | undefined): number {
  return Math.max(CUSTOMER_RESERVE_FLOOR, configured ?? CUSTOMER_RESERVE_FLOOR);
}
