/**
 * An entry host: creates its services, starts them in order, and shuts down gracefully.
 */
import { setMaxListeners } from 'node:events';
import { Deadline, sleep, type Clock, type Random } from '@fuchsiahitch/base';
import {
  endpointAgent,
  EtcdStore,
  HttpEngineClient,
  HttpMemberList,
  HttpScorer,
  HttpServiceClient,
} from '@fuchsiahitch/clients';
import { createProcessLimits } from '@fuchsiahitch/intake';
import { hostBudget } from '@fuchsiahitch/limits';
import { PeerServer } from '@fuchsiahitch/protocol';
import { startServices, type EntryServices } from './entryServices.js';
import type { HostPorts } from './hostPorts.js';
import { CallerAccounts } from './callerAccounts.js';
import { CallersController } from './callersController.js';
import type { EntrySettings } from './entrySettings.js';
import { FleetStatus } from './fleetStatus.js';
import type { HostContext } from './hostContext.js';
import { Listener } from '@fuchsiahitch/listener';
import { RoarrLogger, Tracing } from '@fuchsiahitch/telemetry';
import { Metrics } from './metrics.js';
import { OperatorsController } from './operatorsController.js';
import { OrdersService } from './ordersService.js';
import { PeerDirectory } from './peerDirectory.js';
import { RequestService } from './requestService.js';
import { RulesService } from './rulesService.js';
import { StepService } from './stepService.js';
import { TrainersController } from './trainersController.js';

/** The program with its web framework, its heap at rest and its views of the fleet. */
const RUNTIME_BYTES = 200_000_000;
/** How long a client may pause within a body. */
const BODY_IDLE_TIMEOUT_MS = 30_000;
const HANDOVER_TIMEOUT_MS = 10_000;
const IN_FLIGHT_POLL_MS = 50;

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
  private readonly _peers: PeerDirectory;
  private readonly _services: EntryServices;
  private readonly _listeners: readonly Listener[];
  private readonly _accounts: CallerAccounts;

  private constructor(
    context: HostContext,
    stop: AbortController,
    server: PeerServer,
    peers: PeerDirectory,
    services: EntryServices,
    listeners: readonly Listener[],
    addresses: EntryAddresses,
    accounts: CallerAccounts,
  ) {
    this._accounts = accounts;
    this._context = context;
    this._stop = stop;
    this._server = server;
    this._peers = peers;
    this._services = services;
    this._listeners = listeners;
    this.addresses = addresses;
  }

  /** Starts a host and resolves once it listens. The host becomes ready when it has received the rules. */
  static async start(settings: EntrySettings, clock: Clock, random: Random): Promise<EntryHost> {
    const stop = new AbortController();
    // Each service loop adds a listener, which would exceed the default limit and log a warning.
    setMaxListeners(0, stop.signal);
    const tracing = await Tracing.open(settings['trace-file'], settings['host-id']);
    const context = createContext(settings, clock, random, tracing, stop.signal);
    const peers = new PeerDirectory(context);
    const server = new PeerServer({
      address: settings['peers-address'],
      fleetKey: settings['fleet-key'],
      identity: peers.identity(),
      clock,
      counters: context.metrics,
    });
    const peersAddress = await server.listen();
    const services = await startServices(context, createPorts(settings, peers, server), peersAddress);
    const accounts = new CallerAccounts(settings['accounts-file'], context.log);
    const problems = await accounts.load();
    // Starting without accounts would admit every caller.
    if (problems.length > 0) throw new Error(`cannot load the accounts file: ${problems.join('; ')}`);
    const listeners = await startListeners(settings, context, services, accounts);
    const [callers, trainers, operators] = listeners.map(listener => listener.address);
    const addresses = {
      callers: callers ?? '',
      trainers: trainers ?? '',
      operators: operators ?? '',
      peers: peersAddress,
    };
    context.log.info('listening', { ...addresses });
    return new EntryHost(context, stop, server, peers, services, listeners, addresses, accounts);
  }

  /** True when the load balancer may send requests to this host. */
  isReady(): boolean {
    return this._services.status.isReady();
  }

  /** Reloads the accounts. An invalid file leaves the current ones in force. */
  async reload(): Promise<void> {
    await this._accounts.load();
  }

  /**
   * Shuts down gracefully: reports not ready while it serves the requests that the load balancer still sends, waits for
   * requests in flight, then hands over its idempotency keys.
   */
  async shutDown(): Promise<void> {
    const { settings, clock, log } = this._context;
    const shutdownDeadline = Deadline.after(clock, settings['max-shutdown-ms']);
    log.info('shutting down', { drainMs: settings['drain-ms'] });
    const { status, rollouts, requests, membership, keys, orders } = this._services;
    status.drain();
    rollouts.drain();
    membership.view.leave();
    orders.stop();
    await sleep(clock, Math.min(settings['drain-ms'], shutdownDeadline.remainingMs()));
    await this._waitForInFlight(shutdownDeadline);
    requests.refuseNew();
    const isHandedOver = await keys.handOver(shutdownDeadline.atMost(HANDOVER_TIMEOUT_MS));
    await Promise.all(this._listeners.map(listener => listener.close()));
    await this._waitForInFlight(shutdownDeadline);
    this._stop.abort();
    this._peers.close();
    await this._server.close();
    log.info('ended', { isHandedOver, inFlight: requests.inFlight() + rollouts.running() });
  }

  private async _waitForInFlight(deadline: Deadline): Promise<void> {
    const { requests, rollouts } = this._services;
    while (!deadline.isOver() && requests.inFlight() + rollouts.running() > 0) {
      await sleep(this._context.clock, IN_FLIGHT_POLL_MS);
    }
  }
}

function createContext(
  settings: EntrySettings,
  clock: Clock,
  random: Random,
  tracing: Tracing,
  stopped: AbortSignal,
): HostContext {
  const hostId = settings['host-id'];
  const { domain } = settings;
  return {
    settings,
    hostId,
    domain,
    domains: settings.domains,
    incarnation: Math.floor(clock.wallMs()),
    clock,
    random,
    log: new RoarrLogger(settings['log-level'], { program: 'fuchsiahitch-entry', hostId, domain }),
    metrics: new Metrics(),
    tracing,
    stopped,
  };
}

function createPorts(settings: EntrySettings, peers: PeerDirectory, server: PeerServer): HostPorts {
  const agent = endpointAgent();
  const scorerUrl = settings['scorer-url'];
  return {
    peers,
    registry: server,
    list: new HttpMemberList(settings['members-url'], agent),
    store: new EtcdStore(settings['store-url']),
    engines: new HttpEngineClient(agent),
    services: new HttpServiceClient(agent),
    scorer: scorerUrl === '' ? undefined : new HttpScorer(scorerUrl, agent),
  };
}

async function startListeners(
  settings: EntrySettings,
  context: HostContext,
  services: EntryServices,
  callerAccounts: CallerAccounts,
): Promise<readonly Listener[]> {
  const accounts = { provide: CallerAccounts, useValue: callerAccounts };
  const metrics = { provide: Metrics, useValue: context.metrics };
  const machine = { memoryMb: settings['memory-mb'], maxDescriptors: settings['max-fds'] };
  const budget = hostBudget(machine, RUNTIME_BYTES);
  // The listeners share the memory of bodies.
  const clientLimits = createProcessLimits(context, budget, () => BODY_IDLE_TIMEOUT_MS);
  const callers = await Listener.start({
    address: settings['callers-address'],
    clientLimits,
    maxConnections: budget.callerConnections,
    controller: CallersController,
    providers: [{ provide: RequestService, useValue: services.requests }, metrics, accounts],
  });
  const trainers = await Listener.start({
    address: settings['trainers-address'],
    clientLimits,
    maxConnections: budget.statusConnections,
    controller: TrainersController,
    providers: [
      { provide: StepService, useValue: services.steps },
      { provide: OrdersService, useValue: services.orders },
      metrics,
    ],
  });
  const operators = await Listener.start({
    address: settings['operators-address'],
    clientLimits,
    maxConnections: budget.statusConnections,
    controller: OperatorsController,
    providers: [
      { provide: RulesService, useValue: services.rules },
      { provide: FleetStatus, useValue: services.status },
      metrics,
      accounts,
    ],
    token: settings['operator-token'],
  });
  return [callers, trainers, operators];
}
