/**
 * Weight orders to the endpoints of one failure domain, given by one host.
 *
 * Each domain has a holder of its own, so that a domain that is cut off, or a host that dies, stops the orders of one domain and
 * not of all. `DutyLease` says when the holder may order.
 */
import type { RevisionedStore } from '@fuchsiahitch/clients';
import {
  LoadWindow,
  orderLoads,
  SwapPlanner,
  type DueLoad,
  type ModelLoads,
  type WeightOrder,
} from '@fuchsiahitch/orders';
import type { EndpointVersion } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { ConfigurationService } from './configurationService.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import { DutyLease, type Duty } from './dutyLease.js';
import { lastOrdersKey, ordersKey, type CallRegistry, type Hosts } from './hostDirectory.js';
import { modelShares } from './modelShares.js';
import type { EndpointClient, WeightReport } from './ports.js';

/** An order is on its way for at most `marginMs`. */
const LEASE = { ttlMs: 1500, renewMs: 300, rightMs: 1000, marginMs: 350 };
const ASK_AGAIN_MS = 250;
const ORDER_TIMEOUT_MS = 300;
const REPORT_TIMEOUT_MS = 300;
/** News for a peer that takes longer is old by then: its next heartbeat tells it too. */
const PEER_TIMEOUT_MS = 500;
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

export class WeightOrders implements Duty {
  private readonly _context: GatewayContext;
  private readonly _ports: OrderPorts;
  private readonly _domain: string;
  private readonly _duty: DutyLease;
  private readonly _planners = new Map<string, SwapPlanner>();
  private readonly _windows = new Map<string, LoadWindow>();
  private readonly _busy = new Set<string>();

  /** Orders to the endpoints of `domain`. */
  constructor(context: GatewayContext, ports: OrderPorts, domain: string, options: WeightOrdersOptions) {
    this._context = context;
    this._ports = ports;
    this._domain = domain;
    const name = {
      label: 'orders lease',
      key: ordersKey(domain),
      lastKey: lastOrdersKey(domain),
      domain,
    };
    const dutyPorts = {
      store: ports.store,
      hosts: ports.hosts,
      lastHandover: () => ports.hosts.lastOrders(domain),
    };
    this._duty = new DutyLease(context, dutyPorts, name, { ...LEASE, handoverMs: options.handoverMs }, this);
  }

  get domain(): string {
    return this._domain;
  }

  start(): void {
    this._duty.start();
  }

  /** True if this host gives the orders. */
  isHolder(): boolean {
    return this._duty.isHolder();
  }

  /** Gives the right to order up. The orders that are on their way end first: the successor counts from them. */
  async stop(): Promise<void> {
    await this._duty.stop();
  }

  taken(): void {
    this._planners.clear();
  }

  tick(): void {
    for (const pool of this._ports.configuration.models().keys()) this._orderPool(pool);
  }

  private _orderPool(pool: string): void {
    const token = this._duty.token();
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
      this._duty.track(this._give(order, load.model, planner));
  }

  /** False for an endpoint that loads, and for one that nobody orders now: others are loaded in its place. */
  private _takesOrders(endpoint: Endpoint): boolean {
    if (endpoint.isLoading()) return false;
    const { domain } = endpoint;
    return domain === this._domain
      ? this._duty.mayActOn(endpoint.id)
      : this._ports.hosts.isHeld(ordersKey(domain));
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
    const token = this._duty.token();
    if (token !== order.token) return 'no-lease';
    // From when it could arrive at the latest: an order that takes its time counts until then.
    this._duty.acts(endpoint.id, this._context.clock.nowMs() + ORDER_TIMEOUT_MS);
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
    this._ports.endpoints.recordRestart(endpoint.id, startWallMs, versions);
    return false;
  }

  /** Owners of batches must know a new version at once: until then the endpoint stays empty. */
  private _saw(endpoint: Endpoint, model: string, version: number): void {
    if (version <= endpoint.versionOf(model)) return;
    endpoint.recordVersion(model, version);
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
    startOf(endpoints, news)?.recordVersion(news.model, news.version);
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
