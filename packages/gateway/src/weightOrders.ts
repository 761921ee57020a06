/**
 * Weight orders, given by one host of the fleet.
 *
 * What goes wrong without the care taken here: two hosts order one endpoint in turns, because one was paused
 * past its lease or cut off from the store; endpoints that don't check tokens go back to an older version. So
 * a host orders only well inside its lease, counted from when the renewal was sent; a new holder waits until
 * any order of the former one is certainly over; and a pause of the process ends the right to order until the
 * store has renewed it.
 */
import { every, type Clock } from '@fuchsiahitch/base';
import { shareEndpoints } from '@fuchsiahitch/batches';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import { LeaseGuard, SwapPlanner, type WeightOrder } from '@fuchsiahitch/orders';
import type { ConfigurationService } from './configurationService.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import { ORDERS_KEY, type HostDirectory } from './hostDirectory.js';
import type { EndpointClient } from './ports.js';
import { StoreLease } from './storeLease.js';

const LEASE_TTL_MS = 1500;
const LEASE_RENEW_MS = 400;
/** An order is on its way for at most this long before the lease can end. */
const ORDER_MARGIN_MS = 400;
const ORDER_TIMEOUT_MS = 350;
const REPORT_TIMEOUT_MS = 300;
const TICK_MS = 100;
/** A tick that comes this much late by the wall clock, and not by the monotonic one: the process was paused. */
const PAUSE_MS = 250;
/** Spreads the hosts that want the orders lease. */
const TAKE_SPREAD_MS = 300;
/** Of all endpoints of a pool, loading more at once slows each of them down. */
const LOADING_SHARE = 0.29;
const SWAP = { maxSwappingShare: 0.5, loadsPerSecond: 1000, swapTimeoutMs: 4000, maxTries: 8 };

export interface WeightOrdersOptions {
  /** Orders of two holders must be further apart than this: the platform's bound. */
  readonly handoverMs: number;
}

export class WeightOrders {
  private readonly _context: GatewayContext;
  private readonly _configuration: ConfigurationService;
  private readonly _endpoints: EndpointDirectory;
  private readonly _client: EndpointClient;
  private readonly _handoverMs: number;
  private readonly _lease: StoreLease;
  private readonly _guard: LeaseGuard;
  private readonly _pauses: PauseDetector;
  private readonly _planners = new Map<string, SwapPlanner>();
  private readonly _busy = new Set<string>();
  private _token: number | undefined;
  private _mayBeginMs = Infinity;
  private _wantsAfterMs: number | undefined;

  constructor(
    context: GatewayContext,
    store: RevisionedStore,
    configuration: ConfigurationService,
    endpoints: EndpointDirectory,
    hosts: HostDirectory,
    client: EndpointClient,
    options: WeightOrdersOptions,
  ) {
    this._context = context;
    this._configuration = configuration;
    this._endpoints = endpoints;
    this._client = client;
    this._handoverMs = options.handoverMs;
    this._guard = new LeaseGuard(context.clock, { leaseMs: LEASE_TTL_MS, marginMs: ORDER_MARGIN_MS });
    this._pauses = new PauseDetector(context.clock);
    const times = { ttlMs: LEASE_TTL_MS, renewMs: LEASE_RENEW_MS };
    this._lease = new StoreLease(context, store, ORDERS_KEY, times, true, {
      value: () => context.hostId,
      wants: () => this._wants(hosts),
      held: (token, sentMs) => this._held(token, sentMs),
      lost: reason => this._lost(reason),
    });
  }

  start(): void {
    this._lease.start();
    every(this._context.clock, TICK_MS, this._context.stopped, () => this._tick());
  }

  /** True if this host gives the orders. */
  isHolder(): boolean {
    return this._token !== undefined;
  }

  async stop(): Promise<void> {
    this._guard.lost();
    this._token = undefined;
    await this._lease.release();
  }

  /** Hosts that see the key gone at the same time don't all ask the store at once. */
  private _wants(hosts: HostDirectory): boolean {
    if (!hosts.isSynced() || hosts.isHeld(ORDERS_KEY)) {
      this._wantsAfterMs = undefined;
      return false;
    }
    const nowMs = this._context.clock.nowMs();
    this._wantsAfterMs ??= nowMs + this._context.random.below(TAKE_SPREAD_MS);
    return nowMs >= this._wantsAfterMs;
  }

  private _held(token: number, sentMs: number): void {
    this._guard.renewed(token, sentMs);
    if (this._token === token) return;
    this._token = token;
    // The former holder's lease may have been revoked rather than run out: it may order until its own end.
    this._mayBeginMs = this._context.clock.nowMs() + this._handoverMs + LEASE_TTL_MS;
    this._planners.clear();
    this._context.log.info('orders lease', { change: 'held', fencingToken: token });
  }

  private _lost(reason: string): void {
    this._guard.lost();
    this._token = undefined;
    this._context.log.warn('orders lease', { change: 'lost', reason });
  }

  private _tick(): void {
    if (this._pauses.wasPaused()) {
      this._guard.lost();
      this._context.log.warn('this process was paused: no orders until the lease is renewed');
    }
    if (this._context.clock.nowMs() < this._mayBeginMs) return;
    for (const [pool, models] of this._configuration.models()) this._orderPool(pool, models);
  }

  private _orderPool(pool: string, models: readonly string[]): void {
    const token = this._guard.token();
    if (token === undefined) return;
    const endpoints = this._endpoints.ofPool(pool).filter(endpoint => !endpoint.isLeaving);
    const targets = new Map(models.map(model => [model, this._configuration.namedVersion(model)]));
    const views = endpoints.map(endpoint => ({
      id: endpoint.id,
      versions: new Map(models.map(model => [model, endpoint.versionOf(model)])),
    }));
    const shares = shareEndpoints(views, targets);
    const limit = Math.max(1, Math.floor(LOADING_SHARE * endpoints.length));
    for (const [model, ids] of shares) {
      const version = targets.get(model) ?? 1;
      const chosen = endpoints.filter(endpoint => ids.includes(endpoint.id));
      this._orderModel(pool, model, version, chosen, limit, token);
    }
  }

  private _orderModel(
    pool: string,
    model: string,
    version: number,
    endpoints: readonly Endpoint[],
    limit: number,
    token: number,
  ): void {
    const planner = this._planner(pool, model);
    planner.setTarget({ pool, version, sequence: version, share: 1 });
    for (const endpoint of endpoints)
      planner.readBack(endpoint.id, { version: endpoint.versionOf(model), startId: endpoint.id });
    for (const id of planner.toReadBack()) void this._readBack(id, model);
    if (this._swapping() >= limit) return;
    const usable = endpoints.map(endpoint => ({ id: endpoint.id, isUsable: !this._busy.has(endpoint.id) }));
    for (const order of planner.next(usable, token)) void this._give(order, model, planner);
  }

  private _planner(pool: string, model: string): SwapPlanner {
    const key = `${pool}\n${model}`;
    const known = this._planners.get(key);
    if (known) return known;
    const planner = new SwapPlanner(this._context.clock, SWAP);
    this._planners.set(key, planner);
    return planner;
  }

  private _swapping(): number {
    let count = 0;
    for (const planner of this._planners.values()) count += planner.swapping();
    return count;
  }

  /** Gives one order. The endpoint's own word is asked first: it may have the version already. */
  private async _give(order: WeightOrder, model: string, planner: SwapPlanner): Promise<void> {
    const endpoint = this._endpoints.get(order.endpointId);
    if (!endpoint || this._busy.has(endpoint.id)) return;
    this._busy.add(endpoint.id);
    const answer = await this._ask(endpoint, order, model);
    this._busy.delete(endpoint.id);
    this._context.metrics.orders.inc({ answer });
    const { endpointId, version, token } = order;
    this._context.log.info('weight order', { endpointId, model, version, fencingToken: token, answer });
    planner.ended(endpointId, answer === 'accepted' || answer === 'unknown' ? answer : 'failed');
  }

  private async _ask(
    endpoint: Endpoint,
    order: WeightOrder,
    model: string,
  ): Promise<'accepted' | 'busy' | 'refused' | 'unknown' | 'no-report' | 'no-lease'> {
    const report = await this._client.report(endpoint.info(), REPORT_TIMEOUT_MS);
    if (!report) return 'no-report';
    for (const [name, version] of report.versions) endpoint.heardVersion(name, version);
    if ((report.versions.get(model) ?? 0) >= order.version) return 'accepted';
    if (report.isBusy) return 'busy';
    // The report took its time: the right to order is checked again at the very moment of the order.
    const token = this._guard.token();
    if (token !== order.token) return 'no-lease';
    return this._client.order(
      {
        endpoint: endpoint.info(),
        model,
        version: order.version,
        holder: this._context.hostId,
        fencingToken: token,
        expectedSequence: report.sequence,
      },
      ORDER_TIMEOUT_MS,
    );
  }

  private async _readBack(endpointId: string, model: string): Promise<void> {
    const endpoint = this._endpoints.get(endpointId);
    if (!endpoint || this._busy.has(endpointId)) return;
    this._busy.add(endpointId);
    const report = await this._client.report(endpoint.info(), REPORT_TIMEOUT_MS);
    this._busy.delete(endpointId);
    const version = report?.versions.get(model);
    if (version !== undefined) endpoint.heardVersion(model, version);
  }
}

/** Notices that the process stood still: the monotonic clock does not count such a time, the wall clock does. */
class PauseDetector {
  private readonly _clock: Clock;
  private _lastMs: number;
  private _lastWallMs: number;

  constructor(clock: Clock) {
    this._clock = clock;
    this._lastMs = clock.nowMs();
    this._lastWallMs = clock.wallMs();
  }

  /** True if a pause lies between this call and the one before. A wall clock that is set does no harm. */
  wasPaused(): boolean {
    const passedMs = this._clock.nowMs() - this._lastMs;
    const wallPassedMs = this._clock.wallMs() - this._lastWallMs;
    this._lastMs += passedMs;
    this._lastWallMs += wallPassedMs;
    return Math.abs(wallPassedMs - passedMs) > PAUSE_MS;
  }
}
