/**
 * The gateway of one host: creates and starts its services, and shuts them down gracefully.
 */
import { sleep } from '@fuchsiahitch/base';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import type { DutyHandover } from '@fuchsiahitch/duties';
import type { AnswerBudget } from '@fuchsiahitch/limits';
import { BatchService } from './batchService.js';
import { BatchStore } from './batchStore.js';
import { BatchSweeper } from './batchSweeper.js';
import { CountedStore, type StoreComponent } from './countedStore.js';
import { claimLeaseMs } from './claimLease.js';
import { CapacityOrders, LAST_CAPACITY_KEY, type CapacityOptions } from './capacityOrders.js';
import { ConfigurationService } from './configurationService.js';
import { DemandUpdates } from './demandUpdates.js';
import { EndpointDirectory } from './endpointDirectory.js';
import { Forwarder } from './forwarder.js';
import type { GatewayContext } from './gatewayContext.js';
import { HostDirectory, type CallRegistry, type HostDirectoryOptions } from './hostDirectory.js';
import { ReachabilityMonitor } from './reachabilityMonitor.js';
import { OrphanRecovery } from './orphanRecovery.js';
import { PoisonGuard } from './poisonGuard.js';
import { newsBudget } from './newsBudget.js';
import { RelayedStore } from './relayedStore.js';
import { ShareMonitor } from './shareMonitor.js';
import { BALANCER_DRAIN_MS } from './requestIntake.js';
import { SharedWatch } from './sharedWatch.js';
import { storeRelayCall } from './storeRelayMessages.js';
import type { EndpointClient, RecordDecoder, RecordKeys } from './ports.js';
import { UsageService, type UsageServiceOptions } from './usageService.js';
import { watchedPrefixes } from './watchedPrefixes.js';
import { serveVersions, WeightOrders, type WeightOrdersOptions } from './weightOrders.js';

export interface GatewayOptions {
  readonly store: RevisionedStore;
  readonly client: EndpointClient;
  readonly keys: RecordKeys;
  readonly decoder: RecordDecoder;
  readonly hosts: HostDirectoryOptions;
  readonly orders: WeightOrdersOptions;
  /** Undefined if usage is not billed. */
  readonly usage?: UsageServiceOptions | undefined;
  /** Undefined if endpoints can't be ordered. */
  readonly capacity?: CapacityOptions | undefined;
  /** All failure domains of the deployment. */
  readonly domains: readonly string[];
  /** How long after its submission a batch must remain readable. */
  readonly batchReadableMs: number;
  /** How long after a batch's end was confirmed its items may still reach endpoints. */
  readonly batchEndMs: number;
  /** From the store's acknowledgement of a leaving endpoint or a configuration until it must be in effect. */
  readonly newsBoundMs: number;
  /** Memory of answers that callers have not read yet. */
  readonly answers: AnswerBudget;
  /** Memory for the batches that this host runs. */
  readonly maxBatchBytes: number;
}

const IN_FLIGHT_POLL_MS = 100;

export class Gateway {
  readonly configuration: ConfigurationService;
  readonly endpoints: EndpointDirectory;
  readonly demand: DemandUpdates;
  readonly hosts: HostDirectory;
  readonly batches: BatchService;
  readonly forwarder: Forwarder;
  readonly orders: readonly WeightOrders[];
  private readonly _context: GatewayContext;
  private readonly _store: RelayedStore;
  private readonly _watch: SharedWatch;
  private readonly _poison: PoisonGuard;
  private readonly _reachability: ReachabilityMonitor;
  private readonly _shareMonitor: ShareMonitor;
  private readonly _sweeper: BatchSweeper;
  private readonly _orphanRecovery: OrphanRecovery;
  private readonly _usage: UsageService | undefined;
  private readonly _capacity: CapacityOrders | undefined;
  private _inFlight = 0;
  private _isLeaving = false;

  constructor(context: GatewayContext, options: GatewayOptions) {
    const { client, keys, decoder } = options;
    const store = new RelayedStore(context, options.store);
    const storeOf = (component: StoreComponent): CountedStore =>
      new CountedStore(store, component, context.metrics);
    this._context = context;
    this._store = store;
    const budget = newsBudget(options.newsBoundMs);
    this._watch = new SharedWatch(context, storeOf('watch'), watchedPrefixes(keys, decoder, budget));
    this.configuration = new ConfigurationService(context, this._watch, keys, decoder, budget);
    this.hosts = new HostDirectory(context, storeOf('host-lease'), this._watch, options.hosts, () =>
      this._orphanRecovery.hostRemoved(),
    );
    this._watch.setHosts(this.hosts);
    const onRestarted = (address: string): void => client.dropConnections(address);
    this.endpoints = new EndpointDirectory(context, this._watch, keys, decoder, onRestarted, budget);
    const { hosts: peers } = this;
    store.setPeers({
      addresses: () => peers.peers().map(peer => peer.address),
      relay: (address, request, timeoutMs) => peers.call(address, storeRelayCall, request, timeoutMs),
    });
    this._reachability = new ReachabilityMonitor(context, store, this.hosts);
    this._poison = new PoisonGuard(context, storeOf('poison'), this.hosts, client);
    const { usage } = options;
    this._usage = usage && new UsageService(context, storeOf, this.hosts, usage);
    this.forwarder = new Forwarder(
      context,
      this.endpoints,
      client,
      this._poison,
      options.answers,
      this._usage,
    );
    const { configuration, endpoints, hosts } = this;
    const demand = new DemandUpdates(context, { configuration, endpoints, hosts });
    this.demand = demand;
    this._shareMonitor = new ShareMonitor(context, { configuration, endpoints, demand });
    const ports = {
      store: new BatchStore(context, storeOf('batches')),
      endpoints: this.endpoints,
      configuration: this.configuration,
      hosts: this.hosts,
      client,
      forwarder: this.forwarder,
      demand,
      claimLeaseMs: claimLeaseMs(options.batchEndMs),
      isRelaying: () => store.isRelaying(),
      maxBatchBytes: options.maxBatchBytes,
    };
    this._sweeper = new BatchSweeper(context, storeOf('sweep'), ports.store, options.batchReadableMs);
    this.batches = new BatchService(context, ports, this.hosts);
    this._orphanRecovery = new OrphanRecovery(context, ports.store, this.hosts, (batchId, from) =>
      this.batches.adoptFrom(batchId, from),
    );
    const orderPorts = { store: storeOf('orders-lease'), configuration, endpoints, hosts, client, demand };
    this.orders = options.domains.map(
      domain => new WeightOrders(context, orderPorts, domain, options.orders),
    );
    this._capacity =
      options.capacity && this._createCapacityOrders(options.capacity, storeOf('capacity-lease'));
    this._registerGauges();
  }

  start(server: CallRegistry): void {
    this._store.serve(server);
    this._watch.serve(server);
    this.batches.serve(server);
    this._poison.serve(server);
    serveVersions(server, this.endpoints);
    this._usage?.serve(server);
    this.configuration.start();
    this.endpoints.start();
    this.hosts.start();
    this._reachability.start();
    this._sweeper.start();
    for (const orders of this.orders) orders.start();
    this._shareMonitor.start();
    this._usage?.start();
    this._capacity?.start();
  }

  /** True if this host can reach neither the store nor another failure domain. */
  isIsolated(): boolean {
    return this._reachability.isIsolated();
  }

  /** True if this host can serve callers. */
  isReady(): boolean {
    if (this.isIsolated()) return false;
    return !this._isLeaving && this.configuration.hasConfiguration() && this.endpoints.isSynced();
  }

  /** Runs a caller's request on a current configuration, and counts it as in flight meanwhile. */
  async serve<T>(run: () => Promise<T>): Promise<T> {
    this._inFlight += 1;
    try {
      await this.configuration.whenCurrent();
      return await run();
    } finally {
      this._inFlight -= 1;
    }
  }

  /**
   * Shuts down within `graceMs`. Reports not ready, hands over duties, batches and leases so that other hosts continue
   * at once, then serves callers until the load balancer has stopped sending and no request is in flight.
   */
  async shutDown(graceMs: number): Promise<void> {
    this._isLeaving = true;
    const { clock, log } = this._context;
    const endMs = clock.nowMs() + graceMs;
    log.info('shutting down', { graceMs, inFlight: this._inFlight, batches: this.batches.ownedCount() });
    await Promise.all([
      ...this.orders.map(orders => orders.stop()),
      this._usage?.stop(),
      this._capacity?.stop(),
    ]);
    await this.batches.handOver();
    await this.hosts.leave();
    const drainMs = Math.min(BALANCER_DRAIN_MS, graceMs / 2, Math.max(0, endMs - clock.nowMs()));
    await sleep(clock, drainMs);
    while (this._inFlight > 0 && clock.nowMs() < endMs) await sleep(clock, IN_FLIGHT_POLL_MS);
    this.hosts.close();
    log.info('stopped', { inFlight: this._inFlight });
  }

  private _createCapacityOrders(options: CapacityOptions, store: RevisionedStore): CapacityOrders {
    const { configuration, endpoints, hosts } = this;
    const lastHandover = (): DutyHandover | undefined => hosts.handover(LAST_CAPACITY_KEY);
    return new CapacityOrders(
      this._context,
      { store, hosts, lastHandover, configuration, endpoints },
      options,
    );
  }

  private _registerGauges(): void {
    const { metrics } = this._context;
    metrics.gauge('fuchsiahitch_in_flight', 'Calls of callers that run', () => this._inFlight);
    metrics.gauge('fuchsiahitch_owned_batches', 'Batches that this host owns', () =>
      this.batches.ownedCount(),
    );
    metrics.gauge('fuchsiahitch_open_items', 'Items that are not listed yet', () => this.batches.openItems());
    metrics.gauge('fuchsiahitch_endpoints', 'Endpoints that are known', () => this.endpoints.all().length);
    metrics.gauge(
      'fuchsiahitch_configuration_age_seconds',
      'Time since the store last answered',
      () => this.configuration.ageMs() / 1000,
    );
    metrics.gauge(
      'fuchsiahitch_endpoint_view_age_seconds',
      'Time since the state of the store that the view of the endpoints shows',
      () => this.endpoints.viewAgeMs() / 1000,
    );
    metrics.gauge(
      'fuchsiahitch_event_loop_delay_seconds',
      'Greatest delay of the event loop in the last seconds',
      () => this._context.eventLoop.recentLagMs() / 1000,
    );
  }
}
