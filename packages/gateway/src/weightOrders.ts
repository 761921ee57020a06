/**
 * Weight orders to the endpoints of one failure domain, given by one host.
 *
 * What goes wrong without the care taken here: two hosts order one endpoint in turns, because one was paused
 * past its lease or cut off from the store; endpoints that don't check tokens go back to an older version. So
 * a host orders only well inside its lease, counted from when the renewal was sent; a new holder waits until
 * any order of the former one is certainly over; and a pause of the process ends the right to order until the
 * store has renewed it. Each domain has a holder of its own, so that a domain that is cut off, or a host that
 * dies, stops the orders of one domain and not of all.
 */
import { sleep, type Clock } from '@fuchsiahitch/base';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import {
  encodeHandover,
  LeaseGuard,
  LoadWindow,
  orderLoads,
  OrderTimes,
  SwapPlanner,
  waitForEndpointMs,
  type DueLoad,
  type ModelLoads,
  type OrdersHandover,
  type WeightOrder,
} from '@fuchsiahitch/orders';
import type { EndpointVersion } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { ConfigurationService } from './configurationService.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import { lastOrdersKey, ordersKey, type CallRegistry, type Hosts } from './hostDirectory.js';
import { modelShares } from './modelShares.js';
import type { EndpointClient, WeightReport } from './ports.js';
import { StoreLease } from './storeLease.js';

const LEASE_TTL_MS = 1500;
const LEASE_RENEW_MS = 300;
/** The holder counts on its lease for this long from a renewal: what a successor must wait out. */
const RIGHT_MS = 1000;
const ASK_AGAIN_MS = 250;
/** An order is on its way for at most this long before the lease can end. */
const ORDER_MARGIN_MS = 350;
const ORDER_TIMEOUT_MS = 300;
const REPORT_TIMEOUT_MS = 300;
/** News for a peer that takes longer is old by then: its next heartbeat tells it too. */
const PEER_TIMEOUT_MS = 500;
const TICK_MS = 100;
/** A tick that comes this much late by the wall clock, and not by the monotonic one: the process was paused. */
const PAUSE_MS = 250;
/** The last holder's host may be back within a second after a restart, and then needs no wait. */
const LAST_HOLDER_MS = 700;
/**
 * Of the hosts that want the orders lease each leaves it so long to the one before it: longer than until it knows that the key
 * is held, as hosts hear of that within 0.25 s and the time of two calls. Where all of them asked the store at once, one key
 * that became free would cost it three calls of each host of the domain.
 */
const TAKE_STEP_MS = 400;
/** Hosts further behind than this all wait alike: so many before them are hardly lost at once. */
const MAX_TAKE_STEPS = 8;
/** Hosts that know of different hosts, as while all of them start, may each take themselves for the first. */
const TAKE_SPREAD_MS = 150;
/** Of all endpoints of a pool, loading more at once slows each of them down. */
const LOADING_SHARE = 0.29;
const SWAP = {
  maxSwappingShare: 1,
  loadsPerSecond: 1000,
  swapTimeoutMs: 4000,
  maxTries: 8,
  readBackAfterMs: 250,
};
/** A load takes about a second, and two when many load. */
const WINDOW_PATIENCE_MS = 2500;
/** Trainers accept tokens of the version before the one that they named last. */
const ALLOWED_LAG = 1;
/** A domain without a living host of its own: hosts of other domains wait this much longer for its lease. */
const FOREIGN_WAIT_MS = 3000;

export interface WeightOrdersOptions {
  /** Orders of two holders must be further apart than this: the platform's bound. */
  readonly handoverMs: number;
}

/** What the orders of a domain work with. */
export interface OrderPorts {
  readonly store: RevisionedStore;
  readonly configuration: ConfigurationService;
  readonly endpoints: EndpointDirectory;
  readonly hosts: Hosts;
  readonly client: EndpointClient;
}

export class WeightOrders {
  private readonly _context: GatewayContext;
  private readonly _ports: OrderPorts;
  private readonly _domain: string;
  private readonly _handoverMs: number;
  private readonly _lease: StoreLease;
  private readonly _guard: LeaseGuard;
  private readonly _pauses: PauseDetector;
  private readonly _planners = new Map<string, SwapPlanner>();
  private readonly _windows = new Map<string, LoadWindow>();
  private readonly _busy = new Set<string>();
  private readonly _orderTimes: OrderTimes;
  private readonly _running = new Set<Promise<void>>();
  /** What the holder before this one left. */
  private _before: OrdersHandover | undefined;
  private _heldMs = -Infinity;
  private _isReleased = false;
  private _isTicking = false;
  private _token: number | undefined;
  private _mayBeginMs = Infinity;
  private _wantsAfterMs: number | undefined;

  /** Orders to the endpoints of `domain`. */
  constructor(context: GatewayContext, ports: OrderPorts, domain: string, options: WeightOrdersOptions) {
    this._context = context;
    this._ports = ports;
    this._domain = domain;
    this._handoverMs = options.handoverMs;
    this._orderTimes = new OrderTimes(options.handoverMs);
    this._guard = new LeaseGuard(context.clock, { leaseMs: RIGHT_MS, marginMs: ORDER_MARGIN_MS });
    this._pauses = new PauseDetector(context.clock);
    const times = { ttlMs: LEASE_TTL_MS, renewMs: LEASE_RENEW_MS };
    this._lease = new StoreLease(context, ports.store, ordersKey(domain), times, true, {
      value: () => context.hostId,
      wantsInMs: () => this._wantsInMs(),
      held: (token, sentMs) => this._held(token, sentMs),
      lost: reason => this._lost(reason),
      alsoWrites: () => [{ kind: 'put', key: lastOrdersKey(domain), value: this._handover() }],
    });
  }

  get domain(): string {
    return this._domain;
  }

  start(): void {
    this._ports.hosts.onKey(ordersKey(this._domain), () => this._lease.look());
    this._lease.start();
  }

  /** True if this host gives the orders. */
  isHolder(): boolean {
    return this._token !== undefined;
  }

  /** Gives the right to order up. The orders that are on their way end first: the successor counts from them. */
  async stop(): Promise<void> {
    this._guard.lost();
    this._token = undefined;
    this._isReleased = true;
    await Promise.all(this._running);
    await this._lease.release();
  }

  /** What a successor must know of this holder's orders, and of those before it. */
  private _handover(): string {
    const { clock, hostId } = this._context;
    // A holder that gives the right up soon after taking it passes on what it was told: ages only grow meanwhile.
    const before = this._before?.quietMs ?? {};
    const quietMs = { ...before, ...this._orderTimes.quietMs(clock.nowMs()) };
    return encodeHandover({ hostId, isReleased: this._isReleased, quietMs });
  }

  /** Hosts that see the key gone at the same time don't all ask the store at once. */
  private _wantsInMs(): number {
    const { hosts } = this._ports;
    if (!hosts.isSynced() || hosts.isHeld(ordersKey(this._domain))) {
      this._wantsAfterMs = undefined;
      return Infinity;
    }
    const nowMs = this._context.clock.nowMs();
    this._wantsAfterMs ??= nowMs + this._takeAfterMs();
    if (nowMs < this._wantsAfterMs) return this._wantsAfterMs - nowMs;
    this._before = hosts.lastOrders(this._domain);
    // A pause while the store is asked counts as well.
    this._pauses.begin();
    return 0;
  }

  /** How long this host leaves a free key to others: the last holder need not wait for its own orders. */
  private _takeAfterMs(): number {
    const last = this._ports.hosts.lastOrders(this._domain);
    if (last?.hostId === this._context.hostId) return 0;
    const waitMs = this._domain === this._context.domain ? 0 : FOREIGN_WAIT_MS;
    const forLastMs = last === undefined || last.isReleased ? 0 : LAST_HOLDER_MS;
    const turnMs = Math.min(this._rank(), MAX_TAKE_STEPS) * TAKE_STEP_MS;
    return waitMs + forLastMs + turnMs + this._context.random.below(TAKE_SPREAD_MS);
  }

  /** The hosts that take the key before this one: those of the own domain for its orders, and any for another domain's. */
  private _rank(): number {
    const { hosts } = this._ports;
    const isCandidate = (hostId: string): boolean =>
      this._domain !== this._context.domain || hosts.isOwnDomain(hostId);
    const { hostId } = this._context;
    return hosts.peers().filter(peer => peer.hostId < hostId && isCandidate(peer.hostId)).length;
  }

  private _held(token: number, sentMs: number): void {
    // A renewal that was on its way when this host gave the right up: its successor may order by now.
    if (this._isReleased) return;
    this._guard.renewed(token, sentMs);
    if (this._token === token) return;
    this._token = token;
    // The former holder's lease may have been revoked rather than run out: it may order until its own end. Where it
    // gave the right up, or was this host, there is nobody to wait for but the endpoints that it ordered last.
    const isKnown = this._before?.isReleased === true || this._before?.hostId === this._context.hostId;
    const waitMs = isKnown ? 0 : this._handoverMs + RIGHT_MS;
    this._heldMs = this._context.clock.nowMs();
    this._mayBeginMs = this._heldMs + waitMs;
    this._planners.clear();
    if (!this._isTicking) void this._tickWhileHeld();
    this._context.log.info('orders lease', {
      change: 'held',
      of: this._domain,
      fencingToken: token,
      waitMs,
    });
  }

  private _lost(reason: string): void {
    this._guard.lost();
    this._token = undefined;
    this._context.log.warn('orders lease', { change: 'lost', of: this._domain, reason });
  }

  /** Hosts that hold nothing have no turns: of each domain's orders one host has them, and the fleet may be large. */
  private async _tickWhileHeld(): Promise<void> {
    const { clock, stopped } = this._context;
    this._isTicking = true;
    while (this._token !== undefined && !stopped.aborted) {
      this._tick();
      await sleep(clock, TICK_MS, stopped);
    }
    this._isTicking = false;
  }

  private _tick(): void {
    if (this._pauses.wasPaused()) {
      this._guard.lost();
      this._context.log.warn('this process was paused: no orders until the lease is renewed');
    }
    if (this._context.clock.nowMs() < this._mayBeginMs) return;
    for (const pool of this._ports.configuration.models().keys()) this._orderPool(pool);
  }

  private _orderPool(pool: string): void {
    const token = this._guard.token();
    if (token === undefined) return;
    const { configuration, endpoints: directory } = this._ports;
    const { endpoints, targets, shares } = modelShares(pool, configuration, directory);
    const loads: ModelLoads[] = [];
    for (const [model, version] of targets) {
      const share = endpoints.filter(endpoint => shares.get(model)?.includes(endpoint.id));
      loads.push(this._loadsOf(pool, model, version, share));
    }
    const due = orderLoads(loads, ALLOWED_LAG);
    const limit = Math.max(1, Math.floor(LOADING_SHARE * endpoints.length));
    const loading = endpoints.filter(endpoint => endpoint.isLoading()).length;
    const window = new Set(this._windowOf(pool).next(due, limit - loading));
    for (const load of due) if (window.has(load)) this._orderLoad(pool, load, token);
  }

  /** Brings the model's planner up to date; how far the endpoints of its share are. */
  private _loadsOf(pool: string, model: string, named: number, share: readonly Endpoint[]): ModelLoads {
    const planner = this._planner(pool, model);
    planner.setTarget({ pool, version: named, sequence: named, share: 1 });
    for (const endpoint of share) if (endpoint.domain === this._domain) this._tell(planner, endpoint, model);
    for (const id of planner.toReadBack()) void this._readBack(id, model);
    const candidates = share.map(endpoint => ({
      id: endpoint.id,
      version: endpoint.expectedVersionOf(model),
      load: endpoint.stats.estimatedLoad(),
      takesOrders: this._takesOrders(endpoint),
    }));
    return { model, named, candidates };
  }

  private _orderLoad(pool: string, load: DueLoad, token: number): void {
    const endpoint = this._ports.endpoints.get(load.id);
    if (endpoint?.domain !== this._domain) return;
    const planner = this._planner(pool, load.model);
    const isUsable = !this._busy.has(endpoint.id);
    for (const order of planner.next([{ id: endpoint.id, isUsable }], token))
      this._track(this._give(order, load.model, planner));
  }

  /** False for an endpoint that loads, and for one that nobody orders now: others are loaded in its place. */
  private _takesOrders(endpoint: Endpoint): boolean {
    if (endpoint.isLoading()) return false;
    const { domain } = endpoint;
    return domain === this._domain
      ? this._mayOrder(endpoint.id)
      : this._ports.hosts.isHeld(ordersKey(domain));
  }

  private _mayOrder(endpointId: string): boolean {
    const waitMs = waitForEndpointMs(this._before, endpointId, this._handoverMs);
    return this._context.clock.nowMs() >= this._heldMs + waitMs;
  }

  private _track(order: Promise<void>): void {
    this._running.add(order);
    void order.then(() => this._running.delete(order));
  }

  private _windowOf(pool: string): LoadWindow {
    const known = this._windows.get(pool);
    if (known) return known;
    const window = new LoadWindow(this._context.clock, WINDOW_PATIENCE_MS);
    this._windows.set(pool, window);
    return window;
  }

  /** Tells the planner a version that is news: each word counts as a reading, and puts the next one off. */
  private _tell(planner: SwapPlanner, endpoint: Endpoint, model: string): void {
    const version = endpoint.versionOf(model);
    const startId = endpoint.startId();
    const known = planner.lastReadBack(endpoint.id);
    if (known?.version === version && known.startId === startId) return;
    planner.readBack(endpoint.id, { version, startId });
  }

  private _planner(pool: string, model: string): SwapPlanner {
    const key = `${pool}\n${model}`;
    const known = this._planners.get(key);
    if (known) return known;
    const planner = new SwapPlanner(this._context.clock, SWAP);
    this._planners.set(key, planner);
    return planner;
  }

  /** Gives one order. The endpoint's own word is asked first: it may have the version already. */
  private async _give(order: WeightOrder, model: string, planner: SwapPlanner): Promise<void> {
    const endpoint = this._ports.endpoints.get(order.endpointId);
    if (!endpoint || this._busy.has(endpoint.id)) return;
    this._busy.add(endpoint.id);
    const answer = await this._ask(endpoint, order, model);
    this._busy.delete(endpoint.id);
    const isGiven = answer === 'accepted' || answer === 'unknown' || answer === 'refused';
    if (!isGiven) this._pauseOrders(endpoint.id);
    this._context.metrics.orders.inc({ answer });
    const { endpointId, version, token } = order;
    this._context.log.info('weight order', { endpointId, model, version, fencingToken: token, answer });
    // An order without an answer may be carried out: until that is known the endpoint counts as loading.
    if (answer === 'accepted' || answer === 'unknown') this._loadBegan(endpoint, model, version);
    if (!isGiven) planner.postponed(endpointId);
    else planner.ended(endpointId, answer === 'refused' ? 'failed' : answer);
  }

  /** An endpoint that loads, or does not answer, is asked again after a moment and not at every turn. */
  private _pauseOrders(endpointId: string): void {
    this._busy.add(endpointId);
    this._context.clock.after(ASK_AGAIN_MS, () => this._busy.delete(endpointId));
  }

  private async _ask(
    endpoint: Endpoint,
    order: WeightOrder,
    model: string,
  ): Promise<'accepted' | 'busy' | 'refused' | 'unknown' | 'no-report' | 'other-start' | 'no-lease'> {
    const report = await this._ports.client.report(endpoint.info(), REPORT_TIMEOUT_MS);
    if (!report) return 'no-report';
    if (!this._isOfStart(endpoint, report)) return 'other-start';
    for (const [name, version] of report.versions) this._saw(endpoint, name, version);
    if ((report.versions.get(model) ?? 0) >= order.version) return 'accepted';
    if (report.isBusy) return 'busy';
    // The report took its time: the right to order is checked again at the very moment of the order.
    const token = this._guard.token();
    if (token !== order.token) return 'no-lease';
    // From when it could arrive at the latest: an order that takes its time counts until then.
    this._orderTimes.ordered(endpoint.id, this._context.clock.nowMs() + ORDER_TIMEOUT_MS);
    return this._ports.client.order(
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
    const endpoint = this._ports.endpoints.get(endpointId);
    if (!endpoint || this._busy.has(endpointId)) return;
    this._busy.add(endpointId);
    const report = await this._ports.client.report(endpoint.info(), REPORT_TIMEOUT_MS);
    this._busy.delete(endpointId);
    if (!report || !this._isOfStart(endpoint, report)) return;
    const version = report.versions.get(model);
    if (version !== undefined) this._saw(endpoint, model, version);
  }

  /**
   * False for a report of another start of the endpoint: its count of orders and its versions say nothing about this one.
   * A later start takes this one's place at once.
   */
  private _isOfStart(endpoint: Endpoint, report: WeightReport): boolean {
    const { startWallMs, versions } = report;
    if (startWallMs === undefined || startWallMs === endpoint.info().startWallMs) return true;
    this._ports.endpoints.restarted(endpoint.id, startWallMs, versions);
    return false;
  }

  /** Owners of batches must know a new version at once: until then the endpoint stays empty. */
  private _saw(endpoint: Endpoint, model: string, version: number): void {
    if (version <= endpoint.versionOf(model)) return;
    endpoint.heardVersion(model, version);
    this._tellPeers(calls.versionSeen, newsOf(endpoint, model, version));
  }

  /** Holders of other domains count the loads that run, or too many endpoints would load at once. */
  private _loadBegan(endpoint: Endpoint, model: string, version: number): void {
    if (version <= endpoint.versionOf(model)) return;
    endpoint.loadBegan(model, version);
    this._tellPeers(calls.loadBegan, newsOf(endpoint, model, version));
  }

  private _tellPeers(call: typeof calls.versionSeen, news: EndpointVersion): void {
    for (const peer of this._ports.hosts.peers())
      void this._ports.hosts.call(peer.address, call, news, PEER_TIMEOUT_MS);
  }
}

/** Takes in what the hosts that give orders tell. */
export function serveVersions(server: CallRegistry, endpoints: EndpointDirectory): void {
  server.handle(calls.versionSeen, news => {
    startOf(endpoints, news)?.heardVersion(news.model, news.version);
    return {};
  });
  server.handle(calls.loadBegan, news => {
    startOf(endpoints, news)?.loadBegan(news.model, news.version);
    return {};
  });
}

function newsOf(endpoint: Endpoint, model: string, version: number): EndpointVersion {
  const { startWallMs } = endpoint.info();
  return { endpointId: endpoint.id, startWallMs, model, version };
}

/** The endpoint, if the news are of the start that this host knows. */
function startOf(
  endpoints: EndpointDirectory,
  { endpointId, startWallMs }: EndpointVersion,
): Endpoint | undefined {
  const endpoint = endpoints.get(endpointId);
  return endpoint?.info().startWallMs === startWallMs ? endpoint : undefined;
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

  /** Only pauses from now on count. */
  begin(): void {
    this._lastMs = this._clock.nowMs();
    this._lastWallMs = this._clock.wallMs();
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
