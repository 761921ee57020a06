/**
 * Creates the services of an entry host and starts them in order.
 */
import { sleep } from '@fuchsiahitch/base';
import { CallBudget } from '@fuchsiahitch/membership';
import type { Signal } from '@fuchsiahitch/rules';
import { BudgetedStore } from './budgetedStore.js';
import { Dispatcher } from './dispatcher.js';
import { EndpointService } from './endpointService.js';
import { FleetStatus } from './fleetStatus.js';
import type { HostContext } from './hostContext.js';
import type { CallRegistry, HostPorts } from './hostPorts.js';
import { KeyService } from './keyService.js';
import { MembershipService } from './membershipService.js';
import { OrdersService } from './ordersService.js';
import { RequestService } from './requestService.js';
import { RolloutService } from './rolloutService.js';
import { RulesService } from './rulesService.js';
import { StepService } from './stepService.js';
import { KeyValueRuleStore } from './keyValueRuleStore.js';
import { KeyValueStepStore } from './keyValueStepStore.js';

const STORE_BURST = 40;
const STORE_BASE_PAUSE_MS = 50;
const STORE_MAX_PAUSE_MS = 5000;
const BUDGET_SHARE_PERIOD_MS = 5000;

export interface EntryServices {
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

function createServices(
  context: HostContext,
  ports: HostPorts,
  membership: MembershipService,
): EntryServices {
  const { settings, clock, random } = context;
  const { peers, engines, services, scorer } = ports;
  const budget = new CallBudget(clock, random, {
    fleetPerSecond: settings['store-calls-per-second'],
    burst: STORE_BURST,
    basePauseMs: STORE_BASE_PAUSE_MS,
    maxPauseMs: STORE_MAX_PAUSE_MS,
  });
  const store = new BudgetedStore(ports.store, budget, clock, context.metrics);
  const endpoints = new EndpointService(context, membership, engines);
  const dispatcher = new Dispatcher(context, endpoints);
  const signals = (signal: Signal, pool: string): number =>
    endpoints.signal(signal, pool, dispatcher.queueSize(pool));
  const rules = new RulesService(
    context,
    store,
    new KeyValueRuleStore(store, clock),
    membership,
    peers,
    signals,
  );
  const keys = new KeyService(context, membership, peers, store);
  const requests = new RequestService(context, { rules, keys, endpoints, dispatcher, engines, services });
  const rollouts = new RolloutService(context, {
    peers,
    membership,
    rules,
    endpoints,
    dispatcher,
    engines,
    scorer,
  });
  const steps = new StepService(context, membership, peers, new KeyValueStepStore(store, clock), rollouts);
  const orders = new OrdersService(context, { store, membership, endpoints, engines, rules });
  const sources = { membership, rules, keys, steps, requests, rollouts, endpoints, orders, store };
  const status = new FleetStatus(context, { peers, ...sources });
  return { ...sources, budget, dispatcher, status };
}

function registerAll(server: CallRegistry, services: EntryServices): void {
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
  void updateBudgetShare(context, services);
  const { metrics } = context;
  metrics.gauge('fuchsiahitch_rules_revision', 'Revision of the rules in force', () =>
    services.rules.revision(),
  );
  metrics.gauge('fuchsiahitch_key_records', 'Idempotency keys remembered', () =>
    services.keys.holder.recordCount(),
  );
  metrics.gauge('fuchsiahitch_samples_kept', 'Samples kept until their step is over', () =>
    services.rollouts.sampleBuffer.count(),
  );
  metrics.gauge(
    'fuchsiahitch_in_flight',
    'Requests and rollouts in flight',
    () => services.status.ownStatus().inFlight,
  );
}

/** Periodically adapts this host's share of the store's call rate to the number of live hosts. */
async function updateBudgetShare(context: HostContext, services: EntryServices): Promise<void> {
  while (!context.stopped.aborted) {
    const hosts = context.domains.reduce(
      (sum, domain) => sum + services.membership.liveHostsOf(domain).length,
      0,
    );
    services.budget.setHostCount(hosts);
    await sleep(context.clock, BUDGET_SHARE_PERIOD_MS, context.stopped);
  }
}

/** Joins the fleet, then creates and starts all services. */
export async function startServices(
  context: HostContext,
  ports: HostPorts,
  peersAddress: string,
): Promise<EntryServices> {
  const membership = new MembershipService(context, ports.peers, ports.list, peersAddress);
  membership.register(ports.registry);
  const revisionTracker = new DeferredRevisionTracker();
  await membership.start(revisionTracker);
  // Joining may have raised the incarnation above that of an earlier process whose wall clock was ahead.
  const joined = { ...context, incarnation: membership.view.self().incarnation };
  const services = createServices(joined, ports, membership);
  revisionTracker.set(services);
  registerAll(ports.registry, services);
  startAll(joined, services);
  return services;
}

/** Reports revision 0 until the services exist, because pings start before them. */
class DeferredRevisionTracker {
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

  onPeerRevisions(
    address: string,
    ping: { readonly rulesRevision: number; readonly slotMapRevision: number },
  ): void {
    const services = this._services;
    if (!services) return;
    void services.rules.onPeerRevision(address, ping.rulesRevision);
    if (ping.slotMapRevision > services.keys.revision()) void services.keys.pullFrom(address);
  }
}
