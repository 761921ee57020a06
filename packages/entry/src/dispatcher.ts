/**
 * Hands endpoints to requests: queues per pool, customers before rollouts, rollouts that yield.
 */
import { every, type Deadline } from '@fuchsiahitch/base';
import {
  EndpointPicker,
  hasRoom,
  RequestQueue,
  type PickRequest,
  type QueuePriority,
} from '@fuchsiahitch/requests';
import { CUSTOMER_RESERVE_FLOOR } from '@fuchsiahitch/rules';
import type { CallableEndpoint, EndpointService } from './endpointService.js';
import type { HostContext } from './hostContext.js';

/** Requests of one pool that may wait on this host. */
const QUEUE_LIMIT = 2000;
const SERVE_PERIOD_MS = 200;

/** What a request waits for. */
export interface DispatchRequest extends PickRequest {
  readonly queuePriority: QueuePriority;
  readonly deadline: Deadline;
}

/** A turn at an endpoint, or why there is none. */
export type DispatchResult =
  | { readonly kind: 'turn'; readonly endpoint: CallableEndpoint }
  | { readonly kind: 'queue-full' | 'too-late' | 'no-endpoint' | 'left' };

/** A rollout that can be told to give up its place. */
export type PreemptCallback = () => void;

export class Dispatcher {
  private readonly _context: HostContext;
  private readonly _endpoints: EndpointService;
  private readonly _picker: EndpointPicker;
  private readonly _queues = new Map<string, RequestQueue>();
  private readonly _yielders = new Map<string, Set<PreemptCallback>>();

  constructor(context: HostContext, endpoints: EndpointService) {
    this._context = context;
    this._endpoints = endpoints;
    this._picker = new EndpointPicker(context.random);
    endpoints.onCapacityChange(() => this.dispatchAll());
  }

  /** A breaker that closes by time alone gives no sign, so that the queues are looked at regularly. */
  start(): void {
    every(this._context.clock, SERVE_PERIOD_MS, this._context.stopped, () => this.dispatchAll());
  }

  queueSize(pool: string): number {
    return this._queues.get(pool)?.size() ?? 0;
  }

  /** How long a customer who comes now should stay away before asking again. */
  retryAfterMs(pool: string): number {
    const expectedMs = this._queues.get(pool)?.expectedWaitMs('customer') ?? 0;
    return Math.max(1000, Math.ceil(expectedMs));
  }

  /** Free places for rollouts in a pool under the customers' reserve. */
  freeRolloutSlots(pool: string, reserve: number): number {
    let room = 0;
    for (const endpoint of this._endpoints.pool(pool)) {
      if (endpoint.isLeaving || !endpoint.stats.isUsable()) continue;
      const left = endpoint.limit.rolloutLimit(reserve) - endpoint.stats.rolloutInFlight();
      if (left > 0 && hasRoom(endpoint, true, reserve)) room += left;
    }
    return room;
  }

  /**
   * Waits for a turn. The endpoint's place is taken when the turn is given: `begin` counts it, and says false
   * when the request ended meanwhile. `onLeave` receives a function that leaves the queue.
   */
  async acquire(
    request: DispatchRequest,
    begin: () => boolean,
    signal: AbortSignal,
  ): Promise<DispatchResult> {
    if (this._endpoints.pool(request.pool).length === 0) return { kind: 'no-endpoint' };
    return new Promise(resolve => {
      const offer = (): boolean => {
        const endpoint = this._find(request);
        if (!endpoint) return false;
        if (!begin()) {
          resolve({ kind: 'left' });
          return true;
        }
        endpoint.stats.began(request.isRollout);
        endpoint.limit.recordUsage(endpoint.stats.inFlight());
        resolve({ kind: 'turn', endpoint });
        return true;
      };
      const queue = this._queue(request.pool);
      if (queue.size() === 0 && offer()) return;
      if (!request.isRollout) this._makeRoom(request);
      const leave = queue.enqueue(request.queuePriority, request.deadline, offer, reason =>
        resolve({ kind: reason }),
      );
      signal.addEventListener('abort', () => {
        leave();
        resolve({ kind: 'left' });
      });
      this._serveQueue(queue);
    });
  }

  /** An attempt ended: its place is free. */
  ended(endpoint: CallableEndpoint, isRollout: boolean, isFailure: boolean): void {
    endpoint.stats.ended(isRollout, isFailure);
    this._serveQueue(this._queue(endpoint.pool));
  }

  cancelled(endpoint: CallableEndpoint, isRollout: boolean): void {
    endpoint.stats.cancelled(isRollout);
    this._serveQueue(this._queue(endpoint.pool));
  }

  dispatchAll(): void {
    for (const queue of this._queues.values()) this._serveQueue(queue);
  }

  /** Registers a rollout that runs at an endpoint; returns its removal. */
  addPreemptible(endpointId: string, yielder: PreemptCallback): () => void {
    const yielders = this._yielders.get(endpointId) ?? new Set<PreemptCallback>();
    this._yielders.set(endpointId, yielders);
    yielders.add(yielder);
    return () => yielders.delete(yielder);
  }

  private _find(request: PickRequest): CallableEndpoint | undefined {
    const pool = this._endpoints.pool(request.pool);
    const picked = this._picker.pick(pool, request);
    return picked && pool.find(endpoint => endpoint.id === picked.id);
  }

  /** Rollouts yield when a customer finds no room: the endpoint with most of them gives one up. */
  private _makeRoom(request: PickRequest): void {
    const pool = this._endpoints.pool(request.pool);
    const endpoint = this._picker.pickToPreempt(pool, request);
    const [yielder] = this._yielders.get(endpoint?.id ?? '') ?? [];
    if (!endpoint || !yielder) return;
    this._yielders.get(endpoint.id)?.delete(yielder);
    this._context.metrics.preempted.inc();
    yielder();
  }

  private _queue(pool: string): RequestQueue {
    const known = this._queues.get(pool);
    if (known) return known;
    const queue = new RequestQueue(this._context.clock, QUEUE_LIMIT);
    this._queues.set(pool, queue);
    return queue;
  }

  private _serveQueue(queue: RequestQueue): void {
    if (queue.size() > 0) queue.dispatch();
  }
}

/** The reserve in force: what a rule sets, never below the floor. */
export function effectiveReserve(wanted: number | undefined): number {
  return Math.max(CUSTOMER_RESERVE_FLOOR, wanted ?? CUSTOMER_RESERVE_FLOOR);
}
