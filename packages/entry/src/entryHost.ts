/**
 * One entry host: builds the services, starts them in order, and ends them without cutting a request.
 */
import { setMaxListeners } from 'node:events';
import { Deadline, sleep, type Clock, type Random } from '@fuchsiahitch/base';
import { CallBudget } from '@fuchsiahitch/membership';
import {
  endpointAgent,
  EtcdStore,
  HttpEngineClient,
  HttpMemberList,
  HttpScorer,
  HttpServiceClient,
} from '@fuchsiahitch/platform';
import { PeerServer } from '@fuchsiahitch/protocol';
import { BudgetedStore } from './budgetedStore.js';
import { CallersController } from './callersController.js';
import { Dispatcher } from './dispatcher.js';
import { EndpointService } from './endpointService.js';
import type { EntrySettings } from './entrySettings.js';
import { FleetStatus } from './fleetStatus.js';
import type { HostContext } from './hostContext.js';
import { KeyService } from './keyService.js';
import { Listener } from './listeners.js';
import { RoarrLogger } from './logger.js';
import { MembershipService } from './membershipService.js';
import { Metrics } from './metrics.js';
import { OperatorsController } from './operatorsController.js';
import { OrdersService } from './ordersService.js';
import { PeerDirectory } from './peerDirectory.js';
import { RequestService } from './requestService.js';
import { RolloutService } from './rolloutService.js';
import { RulesService } from './rulesService.js';
import { StepService } from './stepService.js';
import { StoredRuleDocument } from './storedRules.js';
import { StoredSteps } from './storedSteps.js';
import { Tracing } from './tracing.js';
import { TrainersController } from './trainersController.js';

const STORE_BURST = 40;
const STORE_BASE_PAUSE_MS = 50;
const STORE_MAX_PAUSE_MS = 5000;
const SHARE_PERIOD_MS = 5000;
const HANDOVER_MS = 10_000;
const IDLE_POLL_MS = 50;

/** The addresses that a host listens on. */
export interface EntryAddresses {
  readonly callers: string;
  readonly trainers: string;
  readonly operators: string;
  readonly peers: string;
}

export class EntryHost {
  readonly addresses: EntryAddresses;
  private readonly _context: HostContext;
  private readonly _stop: AbortController;
  private readonly _server: PeerServer;
  private readonly _services: EntryServices;
  private readonly _listeners: readonly Listener[];

  private constructor(
    context: HostContext,
    stop: AbortController,
    server: PeerServer,
    services: EntryServices,
    listeners: readonly Listener[],
    addresses: EntryAddresses,
  ) {
    this._context = context;
    this._stop = stop;
    this._server = server;
    this._services = services;
    this._listeners = listeners;
    this.addresses = addresses;
  }

  /** Starts a host and resolves once it listens; it is ready when it knows the rules. */
  static async start(settings: EntrySettings, clock: Clock, random: Random): Promise<EntryHost> {
    const stop = new AbortController();
    // One listener for each loop of the services; there are more of them than the default warning allows.
    setMaxListeners(0, stop.signal);
    const first = makeContext(settings, clock, random, stop.signal, Math.floor(clock.wallMs()));
    const peers = new PeerDirectory(first);
    const server = new PeerServer({
      address: settings['peers-address'],
      fleetKey: settings['fleet-key'],
      identity: peers.identity(),
      clock,
      counters: first.metrics,
    });
    const agent = endpointAgent();
    const peersAddress = await server.listen();
    const list = new HttpMemberList(settings['members-url'], agent);
    const membership = new MembershipService(first, peers, list, peersAddress);
    membership.register(server);
    const topics = new LateTopics();
    await membership.start(topics);
    // Peers may know a later incarnation of this host than its wall clock gave: it is raised above that one.
    const context = { ...first, incarnation: membership.view.self().incarnation };
    const services = makeServices(context, peers, membership, agent);
    topics.set(services);
    registerAll(server, services);
    startAll(context, services);
    const listeners = await startListeners(settings, context, services);
    const [callers, trainers, operators] = listeners.map(listener => listener.address);
    const addresses = {
      callers: callers ?? '',
      trainers: trainers ?? '',
      operators: operators ?? '',
      peers: peersAddress,
    };
    context.log.info('listening', { ...addresses });
    return new EntryHost(context, stop, server, services, listeners, addresses);
  }

  /** True when the balancer may send here. */
  isReady(): boolean {
    return this._services.status.isReady();
  }

  /**
   * Ends the host. Not ready first, while late arrivals of the balancer are still served; then what is in
   * flight runs to its end, and what other hosts need is handed over.
   */
  async shutDown(): Promise<void> {
    const { settings, clock, log } = this._context;
    const limit = Deadline.after(clock, settings['max-shutdown-ms']);
    log.info('shutting down', { drainMs: settings['drain-ms'] });
    const { status, rollouts, requests, membership, keys, orders } = this._services;
    status.drain();
    rollouts.drain();
    membership.view.leave();
    orders.stop();
    await sleep(clock, Math.min(settings['drain-ms'], limit.leftMs()));
    await this._finishInFlight(limit);
    requests.refuseNew();
    const isHandedOver = await keys.handOver(limit.atMost(HANDOVER_MS));
    await Promise.all(this._listeners.map(listener => listener.close()));
    await this._finishInFlight(limit);
    this._stop.abort();
    this._services.peers.close();
    await this._server.close();
    log.info('ended', { isHandedOver, inFlight: requests.inFlight() + rollouts.running() });
  }

  private async _finishInFlight(limit: Deadline): Promise<void> {
    const { requests, rollouts } = this._services;
    while (!limit.isOver() && requests.inFlight() + rollouts.running() > 0) {
      await sleep(this._context.clock, IDLE_POLL_MS);
    }
  }
}

interface EntryServices {
  readonly peers: PeerDirectory;
  readonly membership: MembershipService;
  readonly store: BudgetedStore;
  readonly budget: CallBudget;
  readonly rules: RulesService;
  readonly endpoints: EndpointService;
  readonly dispatcher: Dispatcher;
  readonly keys: KeyService;
  readonly requests: RequestService;
  readonly rollouts: RolloutService;
  readonly steps: StepService;
  readonly orders: OrdersService;
  readonly status: FleetStatus;
}

function makeContext(
  settings: EntrySettings,
  clock: Clock,
  random: Random,
  stopped: AbortSignal,
  incarnation: number,
): HostContext {
  const hostId = settings['host-id'];
  const { domain } = settings;
  return {
    settings,
    hostId,
    domain,
    domains: settings.domains,
    incarnation,
    clock,
    random,
    log: new RoarrLogger(settings['log-level'], { hostId, domain }),
    metrics: new Metrics(),
    tracing: new Tracing(settings['trace-file'], hostId),
    stopped,
  };
}

function makeServices(
  context: HostContext,
  peers: PeerDirectory,
  membership: MembershipService,
  agent: ReturnType<typeof endpointAgent>,
): EntryServices {
  const { settings, clock, random } = context;
  const budget = new CallBudget(clock, random, {
    fleetPerSecond: settings['store-calls-per-second'],
    burst: STORE_BURST,
    basePauseMs: STORE_BASE_PAUSE_MS,
    maxPauseMs: STORE_MAX_PAUSE_MS,
  });
  const store = new BudgetedStore(new EtcdStore(settings['store-url']), budget, clock, context.metrics);
  const engines = new HttpEngineClient(agent);
  const endpoints = new EndpointService(context, membership, engines);
  const dispatcher = new Dispatcher(context, endpoints);
  const signals = (signal: 'queue' | 'load' | 'swapping', pool: string): number =>
    endpoints.signal(signal, pool, dispatcher.queueSize(pool));
  const rules = new RulesService(
    context,
    store,
    new StoredRuleDocument(store, clock),
    membership,
    peers,
    signals,
  );
  const keys = new KeyService(context, membership, peers, store);
  const services = new HttpServiceClient(agent);
  const requests = new RequestService(context, { rules, keys, endpoints, dispatcher, engines, services });
  const scorerUrl = settings['scorer-url'];
  const scorer = scorerUrl === '' ? undefined : new HttpScorer(scorerUrl, agent);
  const rollouts = new RolloutService(context, { peers, rules, endpoints, dispatcher, engines, scorer });
  const steps = new StepService(context, membership, peers, new StoredSteps(store, clock), rollouts);
  const orders = new OrdersService(context, { store, membership, endpoints, engines, rules });
  const status = new FleetStatus(context, {
    peers,
    membership,
    rules,
    keys,
    steps,
    requests,
    rollouts,
    endpoints,
    orders,
    store,
  });
  return {
    peers,
    membership,
    store,
    budget,
    rules,
    endpoints,
    dispatcher,
    keys,
    requests,
    rollouts,
    steps,
    orders,
    status,
  };
}

function registerAll(server: PeerServer, services: EntryServices): void {
  services.rules.register(server);
  services.keys.register(server);
  services.rollouts.register(server);
  services.steps.register(server);
  services.status.register(server);
}

function startAll(context: HostContext, services: EntryServices): void {
  services.rules.start();
  services.keys.start();
  services.endpoints.start();
  services.dispatcher.start();
  services.rollouts.start();
  services.steps.start();
  services.orders.start();
  void shareBudget(context, services);
  const { metrics } = context;
  metrics.gauge('fuchsiahitch_rules_revision', 'Revision of the rules in force', () =>
    services.rules.revision(),
  );
  metrics.gauge('fuchsiahitch_key_records', 'Idempotency keys remembered', () =>
    services.keys.holder.recordCount(),
  );
  metrics.gauge('fuchsiahitch_samples_kept', 'Samples kept until their step is over', () =>
    services.rollouts.shelf.count(),
  );
  metrics.gauge(
    'fuchsiahitch_in_flight',
    'Requests and rollouts in flight',
    () => services.status.own().inFlight,
  );
}

/** The fleet's calls to the store are shared by the hosts that the list shows. */
async function shareBudget(context: HostContext, services: EntryServices): Promise<void> {
  while (!context.stopped.aborted) {
    const hosts = context.domains.reduce(
      (sum, domain) => sum + services.membership.hostsOf(domain).length,
      0,
    );
    services.budget.setHosts(hosts);
    await sleep(context.clock, SHARE_PERIOD_MS, context.stopped);
  }
}

async function startListeners(
  settings: EntrySettings,
  context: HostContext,
  services: EntryServices,
): Promise<readonly Listener[]> {
  const metrics = { provide: Metrics, useValue: context.metrics };
  const callers = await Listener.start({
    address: settings['callers-address'],
    controller: CallersController,
    providers: [{ provide: RequestService, useValue: services.requests }, metrics],
  });
  const trainers = await Listener.start({
    address: settings['trainers-address'],
    controller: TrainersController,
    providers: [
      { provide: StepService, useValue: services.steps },
      { provide: OrdersService, useValue: services.orders },
      metrics,
    ],
  });
  const operators = await Listener.start({
    address: settings['operators-address'],
    controller: OperatorsController,
    providers: [
      { provide: RulesService, useValue: services.rules },
      { provide: FleetStatus, useValue: services.status },
      metrics,
    ],
    token: settings['operator-token'],
  });
  return [callers, trainers, operators];
}

/** Pings begin before the other services exist; until then they tell of nothing. */
class LateTopics {
  private _services: EntryServices | undefined;

  set(services: EntryServices): void {
    this._services = services;
  }

  rulesRevision(): number {
    return this._services?.rules.revision() ?? 0;
  }

  slotMapRevision(): number {
    return this._services?.keys.revision() ?? 0;
  }

  sawRevisions(
    address: string,
    ping: { readonly rulesRevision: number; readonly slotMapRevision: number },
  ): void {
    const services = this._services;
    if (!services) return;
    void services.rules.sawRevision(address, ping.rulesRevision);
    if (ping.slotMapRevision > services.keys.revision()) void services.keys.pullFrom(address);
  }
}
