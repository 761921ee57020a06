/**
 * A fleet of complete gateways on a virtual clock that share one store, with counters of their work.
 */
import { err, ok, sleep, type Result, VirtualClock } from '@fuchsiahitch/base';
import type { CapacityPolicy } from '@fuchsiahitch/capacity';
import { Gateway, type CallRegistry, type GatewayOptions, type PeerCaller } from '@fuchsiahitch/gateway';
import { encodeFrame, type CallDefinition, type CallError } from '@fuchsiahitch/protocol';
import { DutyStandIn } from './dutyStandIn.js';
import { FakeStore, type FakeStoreClient } from './fakeStore.js';
import {
  endpointRecord,
  keys,
  JsonRecordDecoder,
  route,
  ScriptedClient,
  testContext,
} from './gatewayFixtures.js';
import type { TestContext } from './gatewayFixtures.js';
import { testClientLimits } from './testClientLimits.js';

const ONE_WAY_LATENCY_MS = 2;
const HEARTBEAT_MS = 1200;
const HANDOVER_MS = 3000;

export interface FleetSize {
  readonly hosts: number;
  readonly domains: number;
  readonly endpoints: number;
  /** Whether endpoints write their records only once. */
  readonly isHeartbeatDisabled?: boolean;
  /** Slots of each endpoint; 4 if omitted. */
  readonly slots?: number;
  /** Connections that one endpoint accepts from all hosts together. */
  readonly connectionLimit?: number;
  /** Returns the endpoint client of a host; the same for all hosts if omitted. */
  readonly clientOf?: (shared: ScriptedClient, hostId: string) => ScriptedClient;
  /** If omitted, usage is not reported. */
  readonly usage?: UsageBounds;
  /** If omitted, no endpoints are ordered. */
  readonly capacity?: CapacityPolicy;
}

export interface UsageBounds {
  readonly windowMs: number;
  readonly dueMs: number;
}

/** How an endpoint leaves: reported by its record, or by the removal of the record alone. */
export type LeavingKind = 'draining' | 'removed';

/** One gateway process with counters of its calls, timers and decoded records. */
export class FleetHost {
  readonly context: TestContext;
  readonly storeClient: FakeStoreClient;
  readonly gateway: Gateway;
  readonly records = new CountingDecoder();
  /** Number of calls to peers, by call name. */
  readonly calls = new Map<string, number>();
  /** Number of timers set. */
  timers = 0;
  sentBytes = 0;
  isRunning = false;
  /** Offset of this host's wall clock. */
  skewMs = 0;
  private readonly _fleet: GatewayFleet;
  private readonly _handlers = new Map<string, (request: unknown) => unknown>();

  constructor(fleet: GatewayFleet, hostId: string, domain: string, incarnation: string) {
    this._fleet = fleet;
    this.context = { ...testContext(this._countingClock(fleet.clock), hostId, incarnation), domain };
    this.storeClient = fleet.store.client();
    const peers: PeerCaller = {
      call: (address, call, request, timeoutMs) => this._call(address, call, request, timeoutMs),
      close: () => undefined,
    };
    this.gateway = new Gateway(this.context, {
      store: this.storeClient,
      client: fleet.clientOf(hostId),
      keys,
      decoder: this.records,
      hosts: { peers, address: hostId },
      orders: { handoverMs: HANDOVER_MS },
      domains: fleet.domains,
      batchReadableMs: 120_000,
      batchEndMs: 3000,
      newsBoundMs: 2000,
      answers: testClientLimits(this.context.clock).answers,
      maxBatchBytes: Infinity,
      usage: fleet.usageOf(hostId),
      capacity: fleet.capacityOf(hostId),
    });
  }

  start(): void {
    this.isRunning = true;
    const registry: CallRegistry = {
      handle: (call, handler) => {
        this._handlers.set(call.name, handler as unknown as (request: unknown) => unknown);
      },
    };
    this.gateway.start(registry);
  }

  kill(): void {
    this.isRunning = false;
    this.context.stop.abort();
  }

  /** Returns a clock that counts this host's timers and applies its clock skew. */
  private _countingClock(clock: VirtualClock): VirtualClock {
    const own = Object.create(clock) as VirtualClock;
    own.after = (delayMs, run) => {
      this.timers += 1;
      return clock.after(delayMs, run);
    };
    own.wallMs = () => clock.wallMs() + this.skewMs;
    return own;
  }

  private async _call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
  ): Promise<Result<A, CallError>> {
    const { clock } = this._fleet;
    this.calls.set(call.name, (this.calls.get(call.name) ?? 0) + 1);
    this.sentBytes += encodeFrame({ t: 'call', id: 1, name: call.name, body: request }).length;
    await sleep(clock, ONE_WAY_LATENCY_MS);
    if (this._fleet.silentHosts.has(this.context.hostId) || this._fleet.silentHosts.has(address)) {
      await sleep(clock, timeoutMs);
      return err({ kind: 'timed-out' });
    }
    const target = this._fleet.isPartitioned(this.context.hostId, address)
      ? undefined
      : this._fleet.hostAt(address);
    if (!target?.isRunning) return err({ kind: 'not-sent', text: 'connection refused' });
    const timeout = new Promise<Result<A, CallError>>(resolve => {
      clock.after(timeoutMs, () => resolve(err({ kind: 'timed-out' })));
    });
    return Promise.race([target._answer(this, call, request), timeout]);
  }

  private async _answer<Q, A>(
    caller: FleetHost,
    call: CallDefinition<Q, A>,
    request: Q,
  ): Promise<Result<A, CallError>> {
    const reply = await this._handlers.get(call.name)?.(call.request.parse(request));
    this.sentBytes += encodeFrame({ t: 'reply', id: 1, body: reply }).length;
    await sleep(this._fleet.clock, ONE_WAY_LATENCY_MS);
    if (!caller.isRunning || !this.isRunning) return err({ kind: 'broken', text: 'ended' });
    return ok(call.reply.parse(reply));
  }
}

/** Counts the endpoint records that a host decodes. */
class CountingDecoder extends JsonRecordDecoder {
  decoded = 0;

  override endpoint(
    ...args: Parameters<JsonRecordDecoder['endpoint']>
  ): ReturnType<JsonRecordDecoder['endpoint']> {
    this.decoded += 1;
    return super.endpoint(...args);
  }
}

export class GatewayFleet {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly client = new ScriptedClient(this.clock);
  readonly domains: readonly string[];
  readonly hosts: FleetHost[] = [];
  readonly duties = new DutyStandIn(this.clock, HANDOVER_MS);
  /** Hosts partitioned from all others. Calls between two isolated hosts still succeed. */
  readonly isolatedHosts = new Set<string>();
  /** Hosts that answer no call and are answered none, without an error. */
  readonly silentHosts = new Set<string>();
  private readonly _size: FleetSize;
  private readonly _leftEndpoints = new Map<number, LeavingKind>();
  private _heartbeatCount = 0;
  private _isStopped = false;

  constructor(size: FleetSize) {
    this._size = size;
    this.domains = Array.from({ length: size.domains }, (_, i) => `domain-${i}`);
    const { connectionLimit } = size;
    const connectionLimits = connectionLimit === undefined ? {} : { 'gen-pool': connectionLimit };
    this.store.put(
      keys.configurationKey,
      JSON.stringify({ revision: 1, route: route(), models: ['m'], connectionLimits }),
    );
    for (let i = 0; i < size.endpoints; i++) this._writeHeartbeat(i);
  }

  /** Starts all hosts, spread over 300 ms. */
  async start(incarnation = '1'): Promise<void> {
    this.hosts.splice(0);
    const { hosts, domains } = this._size;
    for (let i = 0; i < hosts; i++) {
      const hostId = `host-${String(i).padStart(3, '0')}`;
      const host = new FleetHost(this, hostId, `domain-${i % domains}`, `${incarnation}-${i}`);
      this.hosts.push(host);
      this.clock.after((300 * i) / hosts, () => host.start());
    }
    await this.clock.advance(300);
  }

  clientOf(hostId: string): ScriptedClient {
    return this._size.clientOf?.(this.client, hostId) ?? this.client;
  }

  usageOf(hostId: string): GatewayOptions['usage'] {
    const { usage } = this._size;
    return usage && { ...usage, duties: this.duties.from(hostId), handoverMs: HANDOVER_MS };
  }

  capacityOf(hostId: string): GatewayOptions['capacity'] {
    const { capacity: policy } = this._size;
    return policy && { policy, duties: this.duties.from(hostId), handoverMs: HANDOVER_MS };
  }

  isPartitioned(hostId: string, address: string): boolean {
    return this.isolatedHosts.has(hostId) !== this.isolatedHosts.has(address);
  }

  /** Kills a host's process and starts a new one. */
  restart(host: FleetHost, incarnation: string): FleetHost {
    host.kill();
    const { hostId, domain } = host.context;
    const next = new FleetHost(this, hostId, domain, incarnation);
    next.skewMs = host.skewMs;
    this.hosts.splice(this.hosts.indexOf(host), 1, next);
    next.start();
    return next;
  }

  /** An endpoint leaves: it reports so, or its record is removed without that. */
  leave(endpoint: number, kind: LeavingKind): void {
    this._leftEndpoints.set(endpoint, kind);
    const key = `${keys.endpointPrefix}e${endpoint}`;
    if (kind === 'removed') this.store.remove(key);
    else this.store.put(key, this._recordOf(endpoint));
  }

  hostAt(address: string): FleetHost | undefined {
    return this.hosts.find(host => host.context.hostId === address);
  }

  stop(): void {
    this._isStopped = true;
    for (const host of this.hosts) host.kill();
  }

  /** Writes the endpoint's record with an incremented heartbeat counter, and schedules the next heartbeat. */
  private _writeHeartbeat(i: number): void {
    if (this._isStopped || this._leftEndpoints.get(i) === 'removed') return;
    this.store.put(`${keys.endpointPrefix}e${i}`, this._recordOf(i));
    if (this._size.isHeartbeatDisabled === true) return;
    const spreadMs =
      this._heartbeatCount <= this._size.endpoints ? (HEARTBEAT_MS * i) / this._size.endpoints : 0;
    this.clock.after(HEARTBEAT_MS + spreadMs, () => this._writeHeartbeat(i));
  }

  private _recordOf(i: number): string {
    const record = JSON.parse(
      endpointRecord({
        address: `10.0.0.1:${i}`,
        domain: `domain-${i % this._size.domains}`,
        isLeaving: this._leftEndpoints.has(i),
        ...(this._size.slots === undefined ? {} : { slots: this._size.slots }),
      }),
    ) as object;
    return JSON.stringify({ ...record, beat: (this._heartbeatCount += 1) });
  }
}
