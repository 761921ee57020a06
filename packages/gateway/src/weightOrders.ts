/**
 * Weight orders to the endpoints of one failure domain, sent by the host that holds the domain's lease.
 *
 * Each failure domain has its own lease, so that an isolated domain or a failed host stops the orders of one domain
 * only.
 */
import type { RevisionedStore } from '@fuchsiahitch/clients';
import {
  LoadWindow,
  prioritizeLoads,
  SwapPlanner,
  type DueLoad,
  type ModelLoads,
  type WeightOrder,
} from '@fuchsiahitch/orders';
import type { EndpointVersion } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { ConfigurationService } from './configurationService.js';
import type { DemandView } from './demandUpdates.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import { DutyLease, type Duty } from './dutyLease.js';
import { lastOrdersKey, ordersKey, type CallRegistry, type Hosts } from './hostDirectory.js';
import { modelShares } from './modelShares.js';
import type { EndpointClient, WeightReport } from './ports.js';

/** An order is in transit for at most `marginMs`. */
const LEASE = { ttlMs: 1500, renewMs: 300, validityMs: 1000, marginMs: 350 };
const ORDER_PAUSE_MS = 250;
const ORDER_TIMEOUT_MS = 300;
const REPORT_TIMEOUT_MS = 300;
/** An update that takes longer is superseded by the next heartbeat. */
const PEER_TIMEOUT_MS = 500;
/** Maximum share of a pool's endpoints that load at once; more would slow each load down. */
const LOADING_SHARE = 0.29;
const SWAP_OPTIONS = {
  maxSwappingShare: 1,
  loadsPerSecond: 1000,
  swapTimeoutMs: 4000,
  maxTries: 8,
  readBackIntervalMs: 250,
};
/** Time after which a due endpoint no longer counts in the load window. Exceeds the duration of a load. */
const LOAD_WINDOW_SKIP_MS = 2500;
/** Trainers accept tokens of the version that precedes the one they requested last. */
const ALLOWED_LAG = 1;

export interface WeightOrdersOptions {
  /** Minimum time between orders of two holders, required by the platform. */
  readonly handoverMs: number;
}

export interface OrderPorts {
  readonly store: RevisionedStore;
  readonly configuration: ConfigurationService;
  readonly endpoints: EndpointDirectory;
  readonly hosts: Hosts;
  readonly client: EndpointClient;
  readonly demand: DemandView;
}

export class WeightOrders implements Duty {
  private readonly _context: GatewayContext;
  private readonly _ports: OrderPorts;
  private readonly _domain: string;
  private readonly _duty: DutyLease;
  private readonly _planners = new Map<string, SwapPlanner>();
  private readonly _windows = new Map<string, LoadWindow>();
  private readonly _busyEndpoints = new Set<string>();

  /** `domain`: failure domain whose endpoints are ordered. */
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

  isHolder(): boolean {
    return this._duty.isHolder();
  }

  /** Releases the lease after the pending orders have ended. */
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
    const { endpoints, targets, shares } = modelShares(pool, this._ports);
    const loads: ModelLoads[] = [];
    for (const [model, version] of targets) {
      const share = endpoints.filter(endpoint => shares.get(model)?.includes(endpoint.id));
      loads.push(this._loadsOf(pool, model, version, share));
    }
    const due = prioritizeLoads(loads, ALLOWED_LAG);
    const limit = Math.max(1, Math.floor(LOADING_SHARE * endpoints.length));
    const loading = endpoints.filter(endpoint => endpoint.isLoading()).length;
    const window = new Set(this._windowOf(pool).next(due, limit - loading));
    for (const load of due) if (window.has(load)) this._orderLoad(pool, load, token);
  }

  /** Updates the planner of the model; returns the load states of the endpoints of its share. */
  private _loadsOf(
    pool: string,
    model: string,
    targetVersion: number,
    share: readonly Endpoint[],
  ): ModelLoads {
    const planner = this._planner(pool, model);
    planner.setTarget({ pool, version: targetVersion, sequence: targetVersion, share: 1 });
    for (const endpoint of share)
      if (endpoint.domain === this._domain) this._updatePlanner(planner, endpoint, model);
    for (const id of planner.dueForReadBack()) void this._readBack(id, model);
    const candidates = share.map(endpoint => ({
      id: endpoint.id,
      version: endpoint.expectedVersionOf(model),
      load: endpoint.stats.estimatedLoad(),
      acceptsOrders: this._acceptsOrders(endpoint),
    }));
    return { model, namedVersion: targetVersion, candidates };
  }

  private _orderLoad(pool: string, load: DueLoad, token: number): void {
    const endpoint = this._ports.endpoints.get(load.id);
    if (endpoint?.domain !== this._domain) return;
    const planner = this._planner(pool, load.model);
    const isUsable = !this._busyEndpoints.has(endpoint.id);
    for (const order of planner.next([{ id: endpoint.id, isUsable }], token))
      this._duty.track(this._sendOrder(order, load.model, planner));
  }

  /** Returns false for an endpoint that is loading, or whose domain has no holder that may order it now. */
  private _acceptsOrders(endpoint: Endpoint): boolean {
    if (endpoint.isLoading()) return false;
    const { domain } = endpoint;
    return domain === this._domain
      ? this._duty.canActOn(endpoint.id)
      : this._ports.hosts.isHeld(ordersKey(domain));
  }

  private _windowOf(pool: string): LoadWindow {
    const known = this._windows.get(pool);
    if (known) return known;
    const window = new LoadWindow(this._context.clock, LOAD_WINDOW_SKIP_MS);
    this._windows.set(pool, window);
    return window;
  }

  /** Reports a changed version to the planner; each report counts as a read-back and postpones the next one. */
  private _updatePlanner(planner: SwapPlanner, endpoint: Endpoint, model: string): void {
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
    const planner = new SwapPlanner(this._context.clock, SWAP_OPTIONS);
    this._planners.set(key, planner);
    return planner;
  }

  private async _sendOrder(order: WeightOrder, model: string, planner: SwapPlanner): Promise<void> {
    const endpoint = this._ports.endpoints.get(order.endpointId);
    if (!endpoint || this._busyEndpoints.has(endpoint.id)) return;
    this._busyEndpoints.add(endpoint.id);
    const answer = await this._tryOrder(endpoint, order, model);
    this._busyEndpoints.delete(endpoint.id);
    const isSent = answer === 'accepted' || answer === 'unknown' || answer === 'refused';
    if (!isSent) this._pauseOrders(endpoint.id);
    this._context.metrics.orders.inc({ answer });
    const { endpointId, version, token } = order;
    this._context.log.info('weight order', { endpointId, model, version, fencingToken: token, answer });
    // An order without an answer may have been executed: the endpoint counts as loading until its version is known.
    if (answer === 'accepted' || answer === 'unknown') this._onLoadBegan(endpoint, model, version);
    if (!isSent) planner.postponed(endpointId);
    else planner.ended(endpointId, answer === 'refused' ? 'failed' : answer);
  }

  /** Suspends orders to an endpoint that is busy or did not respond. */
  private _pauseOrders(endpointId: string): void {
    this._busyEndpoints.add(endpointId);
    this._context.clock.after(ORDER_PAUSE_MS, () => this._busyEndpoints.delete(endpointId));
  }

  /** Reads the endpoint's report first, since it may have the version already. */
  private async _tryOrder(
    endpoint: Endpoint,
    order: WeightOrder,
    model: string,
  ): Promise<'accepted' | 'busy' | 'refused' | 'unknown' | 'no-report' | 'other-start' | 'no-lease'> {
    const report = await this._ports.client.report(endpoint.info(), REPORT_TIMEOUT_MS);
    if (!report) return 'no-report';
    if (!this._isSameStart(endpoint, report)) return 'other-start';
    for (const [name, version] of report.versions) this._onVersionSeen(endpoint, name, version);
    if ((report.versions.get(model) ?? 0) >= order.version) return 'accepted';
    if (report.isBusy) return 'busy';
    // The lease may have been lost during the report: checked again immediately before the order.
    const token = this._duty.token();
    if (token !== order.token) return 'no-lease';
    // Latest time at which the order can arrive.
    this._duty.recordActionOn(endpoint.id, this._context.clock.nowMs() + ORDER_TIMEOUT_MS);
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
    if (!endpoint || this._busyEndpoints.has(endpointId)) return;
    this._busyEndpoints.add(endpointId);
    const report = await this._ports.client.report(endpoint.info(), REPORT_TIMEOUT_MS);
    this._busyEndpoints.delete(endpointId);
    if (!report || !this._isSameStart(endpoint, report)) return;
    const version = report.versions.get(model);
    if (version !== undefined) this._onVersionSeen(endpoint, model, version);
  }

  /** Returns false for a report of another start of the endpoint, and applies a restart to the directory. */
  private _isSameStart(endpoint: Endpoint, report: WeightReport): boolean {
    const { startWallMs, versions } = report;
    if (startWallMs === undefined || !endpoint.isOtherStart(startWallMs)) return true;
    this._ports.endpoints.recordRestart(endpoint.id, startWallMs, versions);
    return false;
  }

  /** Notifies peers at once: batch owners send no items to the endpoint before they have its new version. */
  private _onVersionSeen(endpoint: Endpoint, model: string, version: number): void {
    if (version <= endpoint.versionOf(model)) return;
    endpoint.recordVersion(model, version);
    this._notifyPeers(calls.versionSeen, toEndpointVersion(endpoint, model, version));
  }

  /** Notifies peers, since holders of other domains count running loads against the limit. */
  private _onLoadBegan(endpoint: Endpoint, model: string, version: number): void {
    if (version <= endpoint.versionOf(model)) return;
    endpoint.loadBegan(model, version);
    this._notifyPeers(calls.loadBegan, toEndpointVersion(endpoint, model, version));
  }

  private _notifyPeers(call: typeof calls.versionSeen, update: EndpointVersion): void {
    for (const peer of this._ports.hosts.peers())
      void this._ports.hosts.call(peer.address, call, update, PEER_TIMEOUT_MS);
  }
}

/** Handles version updates from the hosts that send orders. */
export function serveVersions(server: CallRegistry, endpoints: EndpointDirectory): void {
  server.handle(calls.versionSeen, update => {
    endpointOfStart(endpoints, update)?.recordVersion(update.model, update.version);
    return {};
  });
  server.handle(calls.loadBegan, update => {
    endpointOfStart(endpoints, update)?.loadBegan(update.model, update.version);
    return {};
  });
}

function toEndpointVersion(endpoint: Endpoint, model: string, version: number): EndpointVersion {
  const { startWallMs } = endpoint.info();
  return { endpointId: endpoint.id, startWallMs, model, version };
}

/** Returns the endpoint if the update refers to its current start. */
function endpointOfStart(
  endpoints: EndpointDirectory,
  { endpointId, startWallMs }: EndpointVersion,
): Endpoint | undefined {
  const endpoint = endpoints.get(endpointId);
  return endpoint?.info().startWallMs === startWallMs ? endpoint : undefined;
}
