/**
 * A failure domain of complete gateways that send requests without a pause, and what their endpoints see.
 */
import { Deadline, SeededRandom, settle, sleep, VirtualClock } from '@fuchsiahitch/base';
import type {
  CallerRequest,
  EndpointCall,
  EndpointReply,
  ItemCall,
  ItemEnd,
  ItemProgressListener,
  SendKind,
} from '@fuchsiahitch/gateway';
import { GatewayFleet, type FleetHost, type LeavingKind } from './gatewayFleet.js';
import { answer, batch, item, keys, route, ScriptedClient } from './gatewayFixtures.js';

/** Time from the store's acknowledgement of a leaving until the last request may arrive: the platform's bound. */
export const DRAIN_MS = 2000;
const ENDPOINTS = 4;
const SEND_INTERVAL_MS = 45;
const ITEMS_PER_BATCH = 8;
const SUBMIT_TIMEOUT_MS = 1000;
const ROUTE = route({ run: 'idempotent', maxAttempts: 3, targetMs: 200, timeoutMs: 3000 });
/** After a pause, callers' requests are read before the store has answered. */
const STORE_LATENCY_MS = 5;
const STREAM_ROUTE = { ...ROUTE, run: 'stream' } as const;
const IGNORED_STREAM = {
  begin: () => undefined,
  write: () => Promise.resolve(),
  end: () => undefined,
  abort: () => undefined,
};
const NEVER_ABORTED = new AbortController().signal;

export interface Arrival {
  readonly hostId: string;
  readonly endpointId: string;
  readonly kind: SendKind;
  readonly atMs: number;
}

/** Connects before each request, then asks its guard, then writes it. */
class ConnectingClient extends ScriptedClient {
  private readonly _fleet: LeavingFleet;
  private readonly _hostId: string;

  constructor(clock: VirtualClock, fleet: LeavingFleet, hostId: string) {
    super(clock);
    this._fleet = fleet;
    this._hostId = hostId;
  }

  override async send(call: EndpointCall, signal: AbortSignal): Promise<EndpointReply> {
    const kind = call.target.startsWith('/run/stream') ? 'stream' : 'request';
    const reply = await this._connect(call, kind, signal);
    return reply ?? { kind: 'answered', answer: answer(200, 'whole') };
  }

  override async runItem(
    call: ItemCall,
    listener: ItemProgressListener,
    signal: AbortSignal,
  ): Promise<ItemEnd> {
    return (await this._connect(call, 'item', signal)) ?? super.runItem(call, listener, signal);
  }

  /** Returns how the call ended if it was not written. */
  private async _connect(
    { guard, endpoint }: EndpointCall | ItemCall,
    kind: SendKind,
    signal: AbortSignal,
  ): Promise<Extract<EndpointReply, { kind: 'cancelled' | 'not-run' }> | undefined> {
    const { clock, connectMs, arrivals } = this._fleet;
    if (connectMs > 0) await sleep(clock, connectMs, signal);
    if (signal.aborted) return { kind: 'cancelled' };
    if (!guard.mayWrite()) return { kind: 'not-run', reason: 'withheld', load: undefined };
    arrivals.push({ hostId: this._hostId, endpointId: endpoint.id, kind, atMs: clock.nowMs() });
    return undefined;
  }
}

export class LeavingFleet {
  readonly fleet: GatewayFleet;
  readonly arrivals: Arrival[] = [];
  /** Time until a connection to an endpoint is open. */
  connectMs = 0;
  /** Outcomes of the requests, by kind. */
  readonly outcomes = new Map<string, number>();
  private _requests = 0;

  constructor(hosts: number) {
    this.fleet = new GatewayFleet({
      hosts,
      domains: 1,
      endpoints: ENDPOINTS,
      slots: 40,
      clientOf: (_shared, hostId) => new ConnectingClient(this.clock, this, hostId),
    });
  }

  get clock(): VirtualClock {
    return this.fleet.clock;
  }

  get hosts(): readonly FleetHost[] {
    return this.fleet.hosts;
  }

  /** Starts the hosts and waits until they follow one of them. */
  async start(): Promise<void> {
    await this.fleet.start();
    await this.clock.advance(6000);
  }

  /** Lets every running host send requests for `durationMs`. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.clock.nowMs() + durationMs;
    while (this.clock.nowMs() < endMs) {
      for (const host of this.hosts) if (host.isRunning) this.send(host);
      await this.clock.advance(Math.min(SEND_INTERVAL_MS, endMs - this.clock.nowMs()));
    }
  }

  send(host: FleetHost): void {
    if (!host.gateway.endpoints.isSynced()) return;
    const request = this._nextRequest('/run/request');
    void host.gateway.forwarder.forward(request, ROUTE, NEVER_ABORTED).then(({ kind }) => this._count(kind));
  }

  stream(host: FleetHost): void {
    const request = this._nextRequest('/run/stream');
    void host.gateway.forwarder
      .stream(request, STREAM_ROUTE, IGNORED_STREAM, NEVER_ABORTED)
      .then(({ kind }) => this._count(kind));
  }

  submit(host: FleetHost): void {
    this._requests += 1;
    const id = `b${this._requests}`;
    const items = Array.from({ length: ITEMS_PER_BATCH }, (_, i) => item(`${id}-${i}`));
    const deadline = Deadline.after(this.clock, SUBMIT_TIMEOUT_MS);
    void host.gateway.batches.submit(batch(id, items), deadline).then(({ kind }) => this._count(kind));
  }

  /** One endpoint leaves now. Returns a function that reads the latest arrival there, in ms after this moment. */
  leave(endpoint: number, kind: LeavingKind): () => number {
    const leftMs = this.clock.nowMs();
    this.fleet.leave(endpoint, kind);
    return () => {
      const reached = this.arrivals.filter(arrival => arrival.endpointId === `e${endpoint}`);
      return Math.max(0, ...reached.map(({ atMs }) => atMs - leftMs));
    };
  }

  /**
   * Makes a change while all hosts are paused for 3 s. Their pending calls to the store are lost, and they read the callers'
   * requests first.
   */
  async pauseDuring<T>(change: () => T, readRequests: (host: FleetHost) => void): Promise<T> {
    for (const host of this.hosts) host.storeClient.mode = 'silent';
    const result = change();
    await settle();
    for (const { storeClient } of this.hosts) {
      storeClient.mode = 'available';
      storeClient.callDelayMs = STORE_LATENCY_MS;
    }
    await this.clock.blockEventLoop(3000, () => {
      for (const host of this.hosts) readRequests(host);
    });
    return result;
  }

  /** The operators store a revision of the configuration. */
  configure(revision: number): void {
    const { store } = this.fleet;
    const current = JSON.parse(store.value(keys.configurationKey) ?? '') as object;
    store.put(keys.configurationKey, JSON.stringify({ ...current, revision }));
  }

  stop(): void {
    this.fleet.stop();
  }

  private _nextRequest(target: string): CallerRequest {
    this._requests += 1;
    const id = `r${this._requests}`;
    return {
      id,
      caller: '',
      host: 'quests',
      method: 'POST',
      target,
      headers: [],
      body: undefined,
      waitMs: 3000,
    };
  }

  private _count(outcome: string): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }
}

/** Faults that each leave the store reachable for the hosts, directly or through a peer. */
export class LeavingFaults {
  private readonly _world: LeavingFleet;
  private readonly _random: SeededRandom;
  readonly story: string[] = [];

  constructor(world: LeavingFleet, seed: number) {
    this._world = world;
    this._random = new SeededRandom(seed);
  }

  below(limit: number): number {
    return this._random.below(limit);
  }

  /** Schedules `count` faults within `windowMs` from now; at most one host at a time loses its own way to the store. */
  schedule(count: number, windowMs: number): void {
    const impaired = this.below(this._world.hosts.length);
    for (let i = 0; i < count; i++) {
      const atMs = this.below(windowMs);
      this._world.clock.after(atMs, () => this._cause(this.below(6), impaired));
    }
  }

  private _cause(kind: number, impaired: number): void {
    const { fleet, clock, hosts } = this._world;
    const any = hosts[this.below(hosts.length)];
    const host = kind < 3 ? hosts[impaired] : any;
    if (!host) return;
    const { hostId } = host.context;
    const log = (what: string): void =>
      void this.story.push(`${Math.round(clock.nowMs())} ${what} ${hostId}`);
    switch (kind) {
      case 0:
        log('refused for 1.2 s');
        host.storeClient.mode = 'refusing';
        clock.after(1200, () => (host.storeClient.mode = 'available'));
        return;
      case 1:
        log('slow store');
        host.storeClient.callDelayMs = 200;
        clock.after(1500, () => (host.storeClient.callDelayMs = 0));
        return;
      case 2:
        log('silent to peers for 1.5 s');
        fleet.silentHosts.add(hostId);
        clock.after(1500, () => fleet.silentHosts.delete(hostId));
        return;
      case 3:
        log('pending calls are never answered');
        host.storeClient.mode = 'silent';
        clock.after(100, () => (host.storeClient.mode = 'available'));
        return;
      case 4:
        log('history dropped');
        fleet.store.compact();
        return;
      default:
        log('restarted');
        fleet.restart(host, `${hostId}-${Math.round(clock.nowMs())}`);
    }
  }
}
