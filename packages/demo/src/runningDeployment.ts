/**
 * A running deployment: starts its stand-ins and entry hosts, and injects the demo's faults.
 */
import { request } from 'undici';
import type { DeploymentPlan, PoolPlan } from './deployment.js';
import { delay, type EntryAddresses, type StartedProcess, type Supervisor } from './supervisor.js';

const FLEET_KEY = 'demo-fleet-key-0123456789';
export const OPERATOR_TOKEN = 'demo-operator-token-0123456789';
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 200;
const ENGINE_SLOTS = 8;
const SERVICE_SLOTS = 32;

interface RunningHost {
  readonly id: string;
  readonly domain: string;
  started: StartedProcess<EntryAddresses>;
}

interface RunningEndpoint {
  readonly id: string;
  readonly domain: string;
  readonly pool: PoolPlan;
  readonly started: StartedProcess<string>;
}

export class RunningDeployment {
  readonly plan: DeploymentPlan;
  readonly hosts: RunningHost[] = [];
  readonly endpoints: RunningEndpoint[] = [];
  private readonly _supervisor: Supervisor;
  private _storeUrl = '';
  private _membersUrl = '';
  private _scorerUrl = '';
  private _weightStoreUrl = '';

  constructor(plan: DeploymentPlan, supervisor: Supervisor) {
    this.plan = plan;
    this._supervisor = supervisor;
  }

  async start(): Promise<void> {
    const [store, members, scorer, weights] = await Promise.all(
      ['key-value', 'members', 'scorer', 'weight-store'].map(kind => this._supervisor.startStandIn({ kind })),
    );
    this._storeUrl = `http://${store?.addresses ?? ''}`;
    this._membersUrl = `http://${members?.addresses ?? ''}`;
    this._scorerUrl = `http://${scorer?.addresses ?? ''}`;
    this._weightStoreUrl = `http://${weights?.addresses ?? ''}`;
    await Promise.all([this._startPool(this.plan.engines), this._startPool(this.plan.services)]);
    const hosts = this.plan.domains.flatMap((domain, i) =>
      Array.from({ length: this.plan.hostsPerDomain[i] ?? 0 }, (_, n) => ({ domain, id: `${domain}-${n}` })),
    );
    await Promise.all(hosts.map(({ domain, id }) => this._startHost(domain, id)));
    await this._waitUntilReady();
  }

  urls(kind: keyof EntryAddresses): readonly string[] {
    return this.hosts.map(host => `http://${host.started.addresses[kind]}`);
  }

  /** Runs `fuchsiahitchctl` against this deployment. */
  async ctl(...args: readonly string[]): Promise<{ readonly output: string; readonly exitCode: number }> {
    const hosts = this.urls('operators').join(',');
    return this._supervisor.ctl([...args, '--hosts', hosts, '--operator-token', OPERATOR_TOKEN]);
  }

  /** Kills a host and restarts it after a delay, as the platform does. */
  async crashHost(index: number, restartAfterMs: number): Promise<string> {
    const host = this.hosts[index];
    if (!host) return 'none';
    this._supervisor.crash(host.started.child);
    await delay(restartAfterMs);
    host.started = await this._startEntry(host.domain, host.id);
    return host.id;
  }

  /** Kills an engine permanently and removes it from the membership list. */
  async crashEngine(index: number): Promise<string> {
    const engine = this.endpoints.filter(endpoint => endpoint.pool.kind === 'engine')[index];
    if (!engine) return 'none';
    this._supervisor.crash(engine.started.child);
    await this._changeList({ remove: engine.id });
    return engine.id;
  }

  /** Drains an engine and marks it as leaving in the membership list. */
  async drainEngine(index: number): Promise<string> {
    const engine = this.endpoints.filter(endpoint => endpoint.pool.kind === 'engine')[index];
    if (!engine) return 'none';
    await post(`http://${engine.started.addresses}/leave`, {});
    await this._changeList({ endpoint: { ...this._entryOf(engine), state: 'leaving' } });
    return engine.id;
  }

  /** Returns the number of executions per idempotency key, summed over all services. */
  async holdRuns(): Promise<ReadonlyMap<string, number>> {
    const services = this.endpoints.filter(endpoint => endpoint.pool.kind === 'service');
    return this._fetchRuns(services.map(service => `http://${service.started.addresses}/runs`));
  }

  /** Returns how often each sample was scored. */
  async scoreRuns(): Promise<ReadonlyMap<string, number>> {
    return this._fetchRuns([`${this._scorerUrl}/runs`]);
  }

  private async _fetchRuns(urls: readonly string[]): Promise<ReadonlyMap<string, number>> {
    const runs = new Map<string, number>();
    for (const url of urls) {
      const response = await request(url);
      const counts = (await response.body.json()) as Record<string, number>;
      for (const [key, count] of Object.entries(counts)) runs.set(key, (runs.get(key) ?? 0) + count);
    }
    return runs;
  }

  private async _startPool(pool: PoolPlan): Promise<void> {
    const endpoints = this.plan.domains.flatMap((domain, i) =>
      Array.from({ length: pool.perDomain[i] ?? 0 }, (_, n) => ({
        domain,
        id: `${domain}-${pool.name}-${n}`,
      })),
    );
    await Promise.all(endpoints.map(({ domain, id }) => this._startEndpoint(pool, domain, id)));
  }

  private async _startEndpoint(pool: PoolPlan, domain: string, id: string): Promise<void> {
    const engineFlags = { slots: String(ENGINE_SLOTS), 'weight-store-url': this._weightStoreUrl };
    const flags = { kind: pool.kind, id, ...(pool.kind === 'engine' ? engineFlags : {}) };
    const endpoint = { id, domain, pool, started: await this._supervisor.startStandIn(flags) };
    this.endpoints.push(endpoint);
    await this._changeList({ endpoint: this._entryOf(endpoint) });
  }

  private _entryOf(endpoint: RunningEndpoint): Record<string, unknown> {
    const { id, domain, pool, started } = endpoint;
    return {
      id,
      domain,
      pool: pool.name,
      kind: pool.kind,
      url: `http://${started.addresses}`,
      slots: pool.kind === 'engine' ? ENGINE_SLOTS : SERVICE_SLOTS,
      checksFencing: pool.kind === 'engine',
      state: 'live',
    };
  }

  private async _startHost(domain: string, id: string): Promise<void> {
    this.hosts.push({ id, domain, started: await this._startEntry(domain, id) });
  }

  private async _startEntry(domain: string, id: string): Promise<StartedProcess<EntryAddresses>> {
    const started = await this._supervisor.startEntry({
      'host-id': id,
      domain,
      domains: this.plan.domains.join(','),
      'store-url': this._storeUrl,
      'members-url': this._membersUrl,
      'scorer-url': this._scorerUrl,
      'fleet-key': FLEET_KEY,
      'operator-token': OPERATOR_TOKEN,
      'drain-ms': '500',
    });
    await this._changeList({ host: { id, domain, peerAddress: started.addresses.peers, state: 'live' } });
    return started;
  }

  private async _changeList(change: Readonly<Record<string, unknown>>): Promise<void> {
    await post(`${this._membersUrl}/v1/changes`, change);
  }

  /** Waits until every host is ready and has settled all key slots that it owns. */
  private async _waitUntilReady(): Promise<void> {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      const { output, exitCode } = await this.ctl('hosts', '--json', 'yes');
      if (exitCode === 0 && isSettled(JSON.parse(output) as HostStatusLine[], this.hosts.length)) return;
      await delay(POLL_MS);
    }
    throw new Error(`${this.plan.name}: hosts did not become ready before the start timeout`);
  }
}

interface HostStatusLine {
  readonly status?: { readonly isReady: boolean; readonly slotsOwned: number; readonly slotsSettled: number };
}

function isSettled(lines: readonly HostStatusLine[], hosts: number): boolean {
  const ready = lines.filter(({ status }) => status?.isReady === true && status.slotsOwned > 0);
  return ready.length === hosts && ready.every(({ status }) => status?.slotsSettled === status?.slotsOwned);
}

async function post(url: string, body: unknown): Promise<void> {
  const response = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  await response.body.dump();
}
