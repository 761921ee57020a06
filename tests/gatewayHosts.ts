/**
 * Several gateway hosts in one process on a virtual clock, with calls between them that a test can block.
 */
import { err, ok, sleep, VirtualClock, type CancelTimer, type Result } from '@fuchsiahitch/base';
import { isSameOwner, type Owner } from '@fuchsiahitch/batches';
import {
  BatchService,
  BatchStore,
  claimLeaseMs,
  ConfigurationService,
  DemandUpdates,
  EndpointDirectory,
  Forwarder,
  OrphanRecovery,
  type CallRegistry,
  type Hosts,
} from '@fuchsiahitch/gateway';
import type { CallDefinition, CallError } from '@fuchsiahitch/protocol';
import { FakeStore, FakeStoreClient } from './fakeStore.js';
import {
  endpointRecord,
  keys,
  singleHostPoisonGuard,
  JsonRecordDecoder,
  route,
  ScriptedClient,
  testContext,
} from './gatewayFixtures.js';
import type { TestContext } from './gatewayFixtures.js';
import { testClientLimits } from './testClientLimits.js';

const STEP_MS = 10;
/** Time for which a batch's items may still be sent after its end was confirmed. */
const BATCH_END_MS = 3000;

type CallHandler = (request: never) => unknown;

export class GatewayHost implements Hosts {
  readonly context: TestContext;
  readonly storeClient: FakeStoreClient;
  readonly batches: BatchService;
  readonly orphans: OrphanRecovery;
  readonly configuration: ConfigurationService;
  readonly endpoints: EndpointDirectory;
  readonly demand: DemandUpdates;
  readonly handlers = new Map<string, CallHandler>();
  isRunning = true;
  /** Whether the host reports that it relays its store calls. */
  isRelaying = false;
  private readonly _world: GatewayWorld;

  constructor(world: GatewayWorld, hostId: string, incarnation: string) {
    this._world = world;
    this.context = testContext(world.clock, hostId, incarnation);
    this.storeClient = world.store.client();
    const records = new JsonRecordDecoder();
    this.configuration = new ConfigurationService(this.context, this.storeClient, keys, records);
    this.endpoints = new EndpointDirectory(this.context, this.storeClient, keys, records, address =>
      world.client.dropConnections(address),
    );
    const poison = singleHostPoisonGuard(this.context, this.storeClient, world.client);
    const { configuration, endpoints } = this;
    this.demand = new DemandUpdates(this.context, { configuration, endpoints, hosts: this });
    const ports = {
      store: new BatchStore(this.context, this.storeClient),
      endpoints: this.endpoints,
      configuration: this.configuration,
      hosts: this,
      client: world.client,
      forwarder: new Forwarder(
        this.context,
        this.endpoints,
        world.client,
        poison,
        testClientLimits(this.context.clock).answers,
      ),
      demand: this.demand,
      claimLeaseMs: claimLeaseMs(BATCH_END_MS),
      isRelaying: () => this.isRelaying,
      maxBatchBytes: world.maxBatchBytes,
    };
    this.batches = new BatchService(this.context, ports, this);
    const registry: CallRegistry = {
      handle: (call, handler) => {
        this.handlers.set(call.name, handler as unknown as CallHandler);
      },
    };
    this.batches.serve(registry);
    this.orphans = new OrphanRecovery(this.context, ports.store, this, (batchId, from) =>
      this.batches.adoptFrom(batchId, from),
    );
    this.configuration.start();
    this.endpoints.start();
  }

  /** Simulates a crash: stops all work without a hand-over. */
  kill(): void {
    this.isRunning = false;
    this.batches.stopAll();
    this.context.stop.abort();
  }

  self(): Owner {
    const { hostId, incarnation } = this.context;
    return { hostId, incarnation, address: hostId };
  }

  isSynced(): boolean {
    return true;
  }

  isAlive(owner: Owner): boolean {
    return this._world.leases.some(lease => isSameOwner(lease, owner));
  }

  onTerminated(owner: Owner, run: () => void): CancelTimer {
    return this._world.onLeaseEnd(owner, run);
  }

  isTerminated(owner: Owner): boolean {
    return !this.isAlive(owner);
  }

  isOwnDomain(hostId: string): boolean {
    const { domains } = this._world;
    return domains.get(hostId) === domains.get(this.context.hostId);
  }

  onKeyChange(): void {
    // No host of these orders weights.
  }

  lastOrders(): undefined {
    return undefined;
  }

  isHeld(): boolean {
    return false;
  }

  peers(): readonly Owner[] {
    return this._world.leases.filter(lease => lease.hostId !== this.context.hostId);
  }

  async call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
  ): Promise<Result<A, CallError>> {
    const host = this._world.hosts.get(address);
    if (this._world.refusing.has(address)) return err({ kind: 'not-sent', text: 'connection refused' });
    const isCut = this._world.blockedLinks.has(`${this.context.hostId}-${address}`);
    if (!host?.isRunning || isCut) {
      const waitMs = this._world.unresponsive.has(address) ? timeoutMs : Math.min(timeoutMs, 50);
      await new Promise<void>(resolve => void this._world.clock.after(waitMs, resolve));
      return err({ kind: 'timed-out' });
    }
    const handler = host.handlers.get(call.name);
    if (!handler) return err({ kind: 'refused', text: `no call '${call.name}' in this version` });
    const response = this._reply(address, Promise.resolve(handler(request as never))).then(reply =>
      ok(call.reply.parse(reply)),
    );
    const timeout = new Promise<Result<A, CallError>>(resolve => {
      this._world.clock.after(timeoutMs, () => resolve(err({ kind: 'timed-out' })));
    });
    return Promise.race([response, timeout]);
  }

  private async _reply(address: string, handled: Promise<unknown>): Promise<unknown> {
    const reply = await handled;
    const delayMs = this._world.replyDelaysMs.get(`${this.context.hostId}-${address}`) ?? 0;
    if (delayMs > 0) await sleep(this._world.clock, delayMs);
    return reply;
  }
}

export class GatewayWorld {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly client = new ScriptedClient(this.clock);
  readonly hosts = new Map<string, GatewayHost>();
  /** Memory of each host for the batches that it runs. */
  maxBatchBytes = Infinity;
  /** Processes whose leases are valid. */
  leases: Owner[] = [];
  /** Links `from-to` whose calls time out. */
  readonly blockedLinks = new Set<string>();
  /** Unreachable hosts that do not reset connections, so that calls take their full timeout. */
  readonly unresponsive = new Set<string>();
  /** Time that replies of a host's calls take to arrive, by link `from-to` of the call. */
  readonly replyDelaysMs = new Map<string, number>();
  /** Hosts that refuse connections, so that calls to them are not sent. */
  readonly refusing = new Set<string>();
  /** Failure domains by host; hosts without an entry share one. */
  readonly domains = new Map<string, string>();

  constructor() {
    this.store.put(keys.configurationKey, JSON.stringify({ revision: 1, route: route(), models: ['m'] }));
    this.store.put(`${keys.endpointPrefix}e1`, endpointRecord());
    this.store.put(`${keys.endpointPrefix}e2`, endpointRecord({ address: '10.0.0.2:1' }));
  }

  /** Adds scoring endpoints with six slots each. */
  addScorers(...ids: readonly string[]): void {
    for (const id of ids) {
      const record = endpointRecord({ address: `10.0.1.1:${id}`, pool: 'scorers', slots: 6 });
      this.store.put(`${keys.endpointPrefix}${id}`, record);
    }
  }

  start(hostId: string, incarnation = '1'): GatewayHost {
    const host = new GatewayHost(this, hostId, incarnation);
    this.hosts.set(hostId, host);
    this.leases = this.leases.filter(lease => lease.hostId !== hostId);
    this.leases.push(host.self());
    return host;
  }

  expireLease(hostId: string): void {
    const ended = this.leases.filter(lease => lease.hostId === hostId);
    this.leases = this.leases.filter(lease => lease.hostId !== hostId);
    for (const { incarnation } of ended)
      for (const run of this._leaseEndListeners.get(incarnation) ?? []) run();
  }

  /** Runs the listener when the lease ends, or immediately if it has already ended. */
  onLeaseEnd(owner: Owner, run: () => void): CancelTimer {
    const waiting = this._leaseEndListeners.get(owner.incarnation) ?? new Set();
    this._leaseEndListeners.set(owner.incarnation, waiting.add(run));
    if (!this.leases.some(lease => isSameOwner(lease, owner))) run();
    return () => {
      waiting.delete(run);
    };
  }
  private readonly _leaseEndListeners = new Map<string, Set<() => void>>();

  /** Advances the clock until the promise has settled, for at most `limitMs`. */
  async until<T>(promise: Promise<T>, limitMs = 10_000): Promise<T> {
    const state = { isSettled: false };
    const settled = promise.finally(() => {
      state.isSettled = true;
    });
    for (let ms = 0; ms < limitMs && !state.isSettled; ms += STEP_MS) await this.clock.advance(STEP_MS);
    return settled;
  }

  stop(): void {
    for (const host of this.hosts.values()) host.kill();
  }
}
