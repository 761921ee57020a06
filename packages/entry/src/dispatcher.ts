/**
 * Assigns endpoints to requests: one queue per pool, customers before rollouts, preemption of rollouts.
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

  /** Dispatches periodically as well, because a circuit breaker that closes by time emits no event. */
  start(): void {
    every(this._context.clock, DISPATCH_PERIOD_MS, this._context.stopped, () => this.dispatchAll());
  }

  queueSize(pool: string): number {
    return this._queues.get(pool)?.size() ?? 0;
  }

  /** The retry delay for a customer request that is refused now. */
  retryAfterMs(pool: string): number {
    const expectedMs = this._queues.get(pool)?.expectedWaitMs('customer') ?? 0;
    return Math.max(1000, Math.ceil(expectedMs));
  }

  /** Free rollout slots in a pool, outside the customers' reserve. */
  freeRolloutSlots(pool: string, reserve: number): number {
    let room = 0;
    for (const endpoint of this._endpoints.pool(pool)) {
      if (endpoint.isLeaving || !endpoint.stats.isUsable()) continue;
      const left = endpoint.limit.rolloutLimit(reserve) - endpoint.stats.rolloutInFlight();
      if (left > 0 && hasCapacity(endpoint, true, reserve)) room += left;
    }
    return room;
  }

  /**
   * Waits for an endpoint and occupies one of its slots. `begin` is called first and returns false if the request
   * has ended meanwhile. Aborting `signal` leaves the queue.
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

  /** Frees the slot of a finished attempt. */
  ended(endpoint: CallableEndpoint, isRollout: boolean, isFailure: boolean): void {
    endpoint.stats.ended(isRollout, isFailure);
    this._dispatchQueue(this._queue(endpoint.pool));
  }

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

  /** Preempts a rollout for a customer that finds no free slot, at the endpoint that the picker selects. */
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
    const known = this._queues.get(pool);
    if (known) return known;
    const queue = new RequestQueue(this._context.clock, QUEUE_LIMIT);
    this._queues.set(pool, queue);
    return queue;
  }

  private _dispatchQueue(queue: RequestQueue): void {
    if (queue.size() > 0) queue.dispatch();
  }
}

/** The reserve set by a rule, but at least the floor. */
export function effectiveReserve(configured: number | undefined): number {
  return Math.max(CUSTOMER_RESERVE_FLOOR, configured ?? CUSTOMER_RESERVE_FLOOR);
}
