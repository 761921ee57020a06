/**
 * A deployment in one process: stand-ins and entry hosts that communicate over real sockets.
 */
import { SystemClock, SystemRandom, readSettings } from '@fuchsiahitch/base';
import { EntryHost, entrySettings } from '@fuchsiahitch/entry';
import {
  EngineStandIn,
  KeyValueStandIn,
  MemberStandIn,
  ScorerStandIn,
  ServiceStandIn,
  type EngineOptions,
} from '@fuchsiahitch/standins';
import { request } from 'undici';

const OPERATOR_TOKEN = 'operator-token-for-tests';
const FLEET_KEY = 'fleet-key-for-tests-only';
const POLL_MS = 20;
const TIMEOUT_MS = 30_000;

export interface FleetOptions {
  readonly domains: readonly string[];
  readonly hostsPerDomain: number;
  readonly enginesPerDomain: number;
  readonly servicesPerDomain: number;
  readonly engine?: Partial<EngineOptions>;
  /** Path of the client accounts. If omitted, callers need no keys. */
  readonly accountsFile?: string;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

export class TestFleet {
  readonly store = new KeyValueStandIn();
  readonly members = new MemberStandIn();
  readonly scorer = new ScorerStandIn();
  readonly engines: EngineStandIn[] = [];
  readonly services: ServiceStandIn[] = [];
  readonly hosts = new Map<string, EntryHost>();
  private readonly _options: FleetOptions;

  private constructor(options: FleetOptions) {
    this._options = options;
  }

  static async start(options: FleetOptions): Promise<TestFleet> {
    const fleet = new TestFleet(options);
    await Promise.all(
      [fleet.store, fleet.members, fleet.scorer].map(standIn => standIn.listen('127.0.0.1:0')),
    );
    for (const domain of options.domains) await fleet._startEndpoints(domain);
    const hostNames = options.domains.flatMap(domain =>
      Array.from({ length: options.hostsPerDomain }, (_, i) => ({ domain, id: `${domain}-${i}` })),
    );
    await Promise.all(hostNames.map(({ domain, id }) => fleet.startHost(domain, id)));
    await eventually('all hosts ready', () => [...fleet.hosts.values()].every(host => host.isReady()));
    return fleet;
  }

  async startHost(domain: string, id: string): Promise<EntryHost> {
    const flags = [
      ['host-id', id],
      ['domain', domain],
      ['domains', this._options.domains.join(',')],
      ['store-url', this.store.url],
      ['members-url', this.members.url],
      ['scorer-url', this.scorer.url],
      ['fleet-key', FLEET_KEY],
      ['operator-token', OPERATOR_TOKEN],
      ['drain-ms', '100'],
      ['log-level', 'error'],
      ['accounts-file', this._options.accountsFile ?? ''],
    ];
    const settings = readSettings(
      'test',
      entrySettings,
      flags.flatMap(([flag, value]) => [`--${flag}`, String(value)]),
      {},
    );
    if (!settings.ok) throw new Error(JSON.stringify(settings.error));
    const host = await EntryHost.start(settings.value, new SystemClock(), new SystemRandom());
    this.hosts.set(id, host);
    this.members.change({ host: { id, domain, peerAddress: host.addresses.peers, state: 'live' } });
    return host;
  }

  host(id: string): EntryHost {
    const host = this.hosts.get(id);
    if (!host) throw new Error(`unknown host ${id}`);
    return host;
  }

  urls(kind: 'callers' | 'trainers' | 'operators'): readonly string[] {
    return [...this.hosts.values()].map(host => `http://${host.addresses[kind]}`);
  }

  async call(
    hostId: string,
    kind: 'callers' | 'trainers' | 'operators',
    path: string,
    options: {
      readonly body?: unknown;
      readonly headers?: Readonly<Record<string, string>>;
      readonly method?: 'GET' | 'POST';
    } = {},
  ): Promise<HttpResponse> {
    const response = await request(`http://${this.host(hostId).addresses[kind]}${path}`, {
      method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${OPERATOR_TOKEN}`,
        ...options.headers,
      },
      body: options.body === undefined ? null : JSON.stringify(options.body),
    });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
  }

  async stop(): Promise<void> {
    await Promise.all([...this.hosts.values()].map(host => host.shutDown()));
    const standIns = [this.store, this.members, this.scorer, ...this.engines, ...this.services];
    await Promise.all(standIns.map(standIn => standIn.close()));
  }

  private async _startEndpoints(domain: string): Promise<void> {
    for (let i = 0; i < this._options.enginesPerDomain; i++) {
      const id = `${domain}-engine-${i}`;
      const engine = new EngineStandIn({
        tokenMs: 1,
        meanTokens: 6,
        swapMs: 50,
        reportLagMs: 50,
        ...this._options.engine,
        id,
      });
      await engine.listen('127.0.0.1:0');
      this.engines.push(engine);
      const slots = this._options.engine?.slots ?? 8;
      this.members.change({
        endpoint: {
          id,
          domain,
          pool: 'gen-pool',
          kind: 'engine',
          url: engine.url,
          slots,
          checksFencing: true,
          state: 'live',
        },
      });
    }
    for (let i = 0; i < this._options.servicesPerDomain; i++) {
      const id = `${domain}-service-${i}`;
      const service = new ServiceStandIn({ id });
      await service.listen('127.0.0.1:0');
      this.services.push(service);
      this.members.change({
        endpoint: {
          id,
          domain,
          pool: 'skybook',
          kind: 'service',
          url: service.url,
          slots: 16,
          checksFencing: false,
          state: 'live',
        },
      });
    }
  }
}

/** Polls until the condition holds. Throws after `TIMEOUT_MS`. */
export async function eventually(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`timed out waiting for: ${description}`);
    await new Promise<void>(resolve => setTimeout(resolve, POLL_MS));
  }
}
