/**
 * A deployment on a virtual clock: hosts run the daemon's real services over a simulated network.
 */
import { setMaxListeners } from 'node:events';
import {
  err,
  ok,
  readSettings,
  SeededRandom,
  settle,
  VirtualClock,
  type Clock,
  type Result,
} from '@fuchsiahitch/base';
import {
  entrySettings,
  Metrics,
  startServices,
  type CallRegistry,
  type EntryServices,
  type EntrySettings,
  type PeerCaller,
} from '@fuchsiahitch/entry';
import type { MemberDocument } from '@fuchsiahitch/membership';
import { encodeFrame, type CallContext, type CallDefinition, type CallError } from '@fuchsiahitch/protocol';
import { Tracing, type Logger } from '@fuchsiahitch/telemetry';
import { SimNet, SimProcess } from './simulation.js';
import {
  SimEngine,
  SimEngineClient,
  SimMemberList,
  SimMemberListClient,
  SimScorer,
  SimScorerClient,
  SimService,
  SimStore,
  SimStoreClient,
} from './simBackends.js';

const NO_OP_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const START_TIMEOUT_MS = 60_000;
const POLL_MS = 100;
const POOL = 'gen-pool';

type Handler = (body: unknown, context: CallContext) => unknown;

/** A host that runs the daemon's services. */
export class SimHost implements CallRegistry, PeerCaller {
  readonly id: string;
  readonly domain: string;
  readonly process: SimProcess;
  readonly handlers = new Map<string, Handler>();
  /** Undefined until the services have started. */
  services: EntryServices | undefined;
  private readonly _fleet: SimFleet;

  constructor(fleet: SimFleet, domain: string, id: string) {
    this._fleet = fleet;
    this.id = id;
    this.domain = domain;
    this.process = new SimProcess(id, fleet.clock);
  }

  /** Bytes sent and received on the peer protocol, without the host's calls to itself. */
  peerBytes = 0;

  /** The services of a started host. Throws if the host has not started. */
  get ready(): EntryServices {
    if (!this.services) throw new Error(`services of host ${this.id} have not started`);
    return this.services;
  }

  handle<Q, A>(
    call: CallDefinition<Q, A>,
    handler: (request: Q, context: CallContext) => Promise<A> | A,
  ): void {
    this.handlers.set(call.name, (body, context) => handler(call.request.parse(body), context));
  }

  async call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
  ): Promise<Result<A, CallError>> {
    const target = this._fleet.hosts.get(address);
    if (!target) return err({ kind: 'not-sent', text: 'no such host' });
    const body = structuredClone(request);
    const countsBytes = this._fleet.options.countsBytes === true;
    if (countsBytes) this._count(target, encodeFrame({ t: 'call', id: 1, name: call.name, body }).length);
    const reply = await this._fleet.net.call(this.process, target.process, timeoutMs, async () => {
      const handler = target.handlers.get(call.name);
      if (!handler) return { refused: `no call '${call.name}'` };
      const peer = { hostId: this.id, domain: this.domain, incarnation: '1', programVersion: '0' };
      const value = structuredClone(await handler(body, { peer, trace: undefined }));
      this._fleet.onCallHandled(call.name, value);
      if (countsBytes) target._count(this, encodeFrame({ t: 'reply', id: 1, body: value }).length);
      return { value };
    });
    if (!reply) return err({ kind: 'timed-out' });
    if ('refused' in reply) return err({ kind: 'refused', text: reply.refused ?? '' });
    return ok(call.reply.parse(reply.value));
  }

  private _count(other: SimHost, sizeBytes: number): void {
    if (other === this) return;
    this.peerBytes += sizeBytes;
    other.peerBytes += sizeBytes;
  }
}

export interface SimFleetOptions {
  /** Whether to count the encoded bytes of the peer protocol. */
  readonly countsBytes?: boolean;
  readonly seed: number;
  readonly domains: readonly string[];
  readonly hostsPerDomain: number;
  readonly enginesPerDomain: number;
  readonly engineSlots?: number;
}

export class SimFleet {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly net: SimNet;
  readonly store: SimStore;
  readonly list: SimMemberList;
  readonly scorer: SimScorer;
  readonly engines = new Map<string, SimEngine>();
  readonly hosts = new Map<string, SimHost>();
  readonly services: SimService;
  readonly options: SimFleetOptions;
  /** Called when a step, sample or write reaches a stage; tests inject faults here. */
  onStage: (stage: string) => void = () => undefined;
  /** Number of requests for an engine's load report. */
  loadReportCalls = 0;
  private readonly _stop = new AbortController();

  constructor(options: SimFleetOptions) {
    this.options = options;
    setMaxListeners(0, this._stop.signal);
    this.random = new SeededRandom(options.seed);
    this.net = new SimNet(this.clock, this.random, { maxDelayMs: 4, lossRate: 0 });
    this.store = new SimStore(new SimProcess('store', this.clock));
    this.list = new SimMemberList(new SimProcess('list', this.clock));
    this.scorer = new SimScorer(new SimProcess('scorer', this.clock));
    this.services = new SimService(new SimProcess('service', this.clock));
    this.store.onPut.push(key => {
      if (key.includes('/chunk/')) this.onStage('sealed');
    });
  }

  static async start(options: SimFleetOptions): Promise<SimFleet> {
    const fleet = new SimFleet(options);
    for (const domain of options.domains) {
      for (let i = 0; i < options.enginesPerDomain; i++) fleet._addEngine(domain, `${domain}-engine-${i}`);
      const service = {
        id: `${domain}-service`,
        domain,
        pool: 'skybook',
        kind: 'service' as const,
        url: 'service',
      };
      fleet.list.change(
        domain,
        document => ({
          ...document,
          endpoints: [
            ...document.endpoints,
            { ...service, slots: 64, checksFencing: false, state: 'live' as const },
          ],
        }),
        0,
      );
    }
    const starts = options.domains.flatMap(domain =>
      Array.from({ length: options.hostsPerDomain }, (_, i) => fleet.startHost(domain, `${domain}-${i}`)),
    );
    await fleet.until('all hosts started', () =>
      [...fleet.hosts.values()].every(host => host.services !== undefined),
    );
    await Promise.all(starts);
    await fleet.until('all slots settled', () => fleet.isSettled());
    return fleet;
  }

  /** Starts a host, or replaces its process if it is already running. */
  async startHost(domain: string, id: string): Promise<void> {
    this.hosts.get(id)?.process.kill();
    const host = new SimHost(this, domain, id);
    this.hosts.set(id, host);
    const entry = { id, domain, peerAddress: id, state: 'live' as const };
    this.list.change(
      domain,
      document => ({ ...document, hosts: [...document.hosts.filter(other => other.id !== id), entry] }),
      0,
    );
    host.services = await startServices(this._contextOf(host), this._portsOf(host), id);
  }

  host(id: string): SimHost {
    const host = this.hosts.get(id);
    if (!host) throw new Error(`unknown host ${id}`);
    return host;
  }

  liveHosts(): readonly SimHost[] {
    return [...this.hosts.values()].filter(
      host => !host.process.isKilled && !host.process.isPaused && host.services,
    );
  }

  engine(url: string): SimEngine {
    const engine = this.engines.get(url);
    if (!engine) throw new Error(`unknown engine ${url}`);
    return engine;
  }

  /** Whether every live host owns key slots and has settled all of them. */
  isSettled(): boolean {
    return this.liveHosts().every(host => {
      const { keys } = host.ready;
      const owned = keys.holder.map()?.slots.filter(slot => slot.owner.startsWith(`${host.id}#`)).length ?? 0;
      return owned > 0 && keys.holder.settledSlots().size === owned;
    });
  }

  /** Advances the clock until the condition holds. */
  async until(description: string, condition: () => boolean, timeoutMs = START_TIMEOUT_MS): Promise<void> {
    for (let waitedMs = 0; !condition(); waitedMs += POLL_MS) {
      if (waitedMs > timeoutMs) throw new Error(`timed out waiting for: ${description}`);
      await this.clock.advance(POLL_MS);
    }
  }

  /** Cuts all connections between two sets of processes. */
  cutBetween(left: readonly string[], right: readonly string[]): void {
    for (const a of left) for (const b of right) this.net.cut(a, b);
  }

  /** Names of the hosts and engines in a failure domain. */
  processNames(domain: string): readonly string[] {
    return [...this.hosts.keys(), ...this.engines.keys()].filter(name => name.startsWith(`${domain}-`));
  }

  onCallHandled(name: string, reply: unknown): void {
    if (name === 'workPull' && JSON.stringify(reply).includes('sampleId')) this.onStage('assigned');
    if (name === 'sampleDone') this.onStage('copied');
  }

  async stop(): Promise<void> {
    this._stop.abort();
    await settle();
  }

  private _addEngine(domain: string, id: string): void {
    this.engines.set(id, new SimEngine(new SimProcess(id, this.clock)));
    const slots = this.options.engineSlots ?? 8;
    const entry = {
      id,
      domain,
      pool: POOL,
      kind: 'engine' as const,
      url: id,
      slots,
      checksFencing: false,
      state: 'live' as const,
    };
    this.list.change(
      domain,
      (document: MemberDocument) => ({ ...document, endpoints: [...document.endpoints, entry] }),
      0,
    );
  }

  private _contextOf(host: SimHost): Parameters<typeof startServices>[0] {
    const clock: Clock = host.process;
    return {
      settings: settingsOf(host, this.options.domains),
      hostId: host.id,
      domain: host.domain,
      domains: this.options.domains,
      incarnation: Math.floor(this.clock.nowMs()) + 1,
      clock,
      random: this.random,
      log: NO_OP_LOGGER,
      metrics: new Metrics(),
      tracing: new Tracing(),
      stopped: this._stop.signal,
    };
  }

  private _portsOf(host: SimHost): Parameters<typeof startServices>[1] {
    const { process } = host;
    const onStage = (stage: string): void => {
      if (stage === 'report') this.loadReportCalls += 1;
      else this.onStage(stage);
    };
    return {
      peers: host,
      registry: host,
      list: new SimMemberListClient(this.list, process, this.net),
      store: new SimStoreClient(this.store, process, this.net),
      engines: new SimEngineClient(this.engines, process, this.net, onStage),
      services: this.services,
      scorer: new SimScorerClient(this.scorer, process, this.net, onStage),
    };
  }
}

function settingsOf(host: SimHost, domains: readonly string[]): EntrySettings {
  const flags = {
    'host-id': host.id,
    domain: host.domain,
    domains: domains.join(','),
    'store-url': 'http://127.0.0.1:1',
    'members-url': 'http://127.0.0.1:1',
    'fleet-key': 'not-used-in-simulation',
    'operator-token': 'not-used-in-simulation',
  };
  const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
  const settings = readSettings('simulation', entrySettings, args, {});
  if (!settings.ok) throw new Error(JSON.stringify(settings.error));
  return settings.value;
}
