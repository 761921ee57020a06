/**
 * The endpoints that this host uses: its subset of each pool, with load reports and concurrency limits.
 */
import { Deadline, every } from '@fuchsiahitch/base';
import type { EndpointEntry } from '@fuchsiahitch/membership';
import type { EngineClient, EngineReport } from '@fuchsiahitch/clients';
import { ConcurrencyLimit, EndpointStats, subsetFor, type EndpointView } from '@fuchsiahitch/requests';
import type { Signal } from '@fuchsiahitch/rules';
import type { HostContext } from './hostContext.js';
import type { MembershipService } from './membershipService.js';

/**
 * One endpoint is polled per interval, so that the traffic does not grow with the number of endpoints. With 16
 * endpoints, each is polled every 6.4 s.
 */
const REPORT_INTERVAL_MS = 400;
/** Minimum time between two polls of the same endpoint. */
const MIN_REPORT_PERIOD_MS = 2000;
const REPORT_TIMEOUT_MS = 1000;
/** Number of hosts assumed to share an endpoint while none are known. */
const MIN_HOSTS = 1;

interface Endpoint {
  readonly entry: EndpointEntry;
  readonly stats: EndpointStats;
  readonly limit: ConcurrencyLimit;
}

/** An endpoint with the data needed to call it. */
export interface CallableEndpoint extends EndpointView {
  readonly url: string;
  readonly kind: EndpointEntry['kind'];
  readonly slots: number;
}

export class EndpointService {
  private readonly _context: HostContext;
  private readonly _membership: MembershipService;
  private readonly _engines: EngineClient;
  private readonly _endpoints = new Map<string, Endpoint>();
  private readonly _views = new Map<string, readonly CallableEndpoint[]>();
  private readonly _reportRequestedMs = new Map<string, number>();
  private _notifyCapacityChange: () => void = () => undefined;

  constructor(context: HostContext, membership: MembershipService, engines: EngineClient) {
    this._context = context;
    this._membership = membership;
    this._engines = engines;
    membership.onDocumentsChange(() => this._rebuild());
    this._rebuild();
  }

  start(): void {
    every(this._context.clock, REPORT_INTERVAL_MS, this._context.stopped, () => this._pollNextReport());
  }

  /** Sets the listener that is called when a limit or the set of endpoints has changed. */
  onCapacityChange(listener: () => void): void {
    this._notifyCapacityChange = listener;
  }

  /** Returns the endpoints of a pool that this host uses, in all failure domains. */
  pool(pool: string): readonly CallableEndpoint[] {
    return this._views.get(pool) ?? [];
  }

  pools(): readonly string[] {
    return [...this._views.keys()];
  }

  /** Returns all endpoints of this host's failure domain, including those that it does not use. */
  ownDomain(): readonly EndpointEntry[] {
    const own = this._membership.documents().find(document => document.domain === this._context.domain);
    return own?.endpoints ?? [];
  }

  /** Returns all endpoints that this host uses. */
  all(): readonly CallableEndpoint[] {
    return [...this._views.values()].flat();
  }

  /** Applies a load report from a poll or an answer. */
  applyReport(endpointId: string, report: EngineReport): void {
    const endpoint = this._endpoints.get(endpointId);
    if (!endpoint) return;
    this._membership.leaving.observeStart(endpointId, report.startId);
    if (report.isLeaving) this._membership.announceLeaving({ endpointId, startId: report.startId });
    endpoint.limit.onLoadReport(report.queued, report.inFlight);
    endpoint.stats.onLoadReport({ ...report, version: String(report.version) });
    this._notifyCapacityChange();
  }

  /** Marks an endpoint as leaving after it said so in an answer. */
  markLeaving(endpointId: string): void {
    const startId = this._endpoints.get(endpointId)?.stats.report()?.startId ?? '';
    this._membership.announceLeaving({ endpointId, startId });
  }

  /** Returns the value of a signal that rules can refer to. */
  signal(signal: Signal, pool: string, queueSize: number): number {
    const views = this.pool(pool);
    switch (signal) {
      case 'queue':
        return queueSize;
      case 'load':
        return relativeLoad(views);
      case 'swapping':
        return new Set(views.map(view => view.version)).size > 1 ? 1 : 0;
    }
  }

  private _rebuild(): void {
    const byPool = new Map<string, Map<string, EndpointEntry[]>>();
    for (const document of this._membership.documents()) {
      for (const entry of document.endpoints) {
        const domains = byPool.get(entry.pool) ?? new Map<string, EndpointEntry[]>();
        domains.set(entry.domain, [...(domains.get(entry.domain) ?? []), entry]);
        byPool.set(entry.pool, domains);
      }
    }
    this._views.clear();
    for (const [pool, domains] of byPool) {
      const used = [...domains.values()].flatMap(entries => this._subset(entries));
      this._views.set(
        pool,
        used.map(entry => this._view(entry)),
      );
    }
    this._notifyCapacityChange();
  }

  private _subset(entries: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const ids = subsetFor(this._context.hostId, entries.map(entry => entry.id).sort());
    return entries.filter(entry => ids.includes(entry.id));
  }

  private _view(entry: EndpointEntry): CallableEndpoint {
    const endpoint = this._endpoints.get(entry.id) ?? this._create(entry);
    const { leaving } = this._membership;
    const { stats, limit } = endpoint;
    return {
      id: entry.id,
      domain: entry.domain,
      pool: entry.pool,
      url: entry.url,
      kind: entry.kind,
      slots: entry.slots,
      get isLeaving() {
        return entry.state === 'leaving' || leaving.isLeaving(entry.id);
      },
      get version() {
        return stats.report()?.version ?? '';
      },
      stats,
      limit,
    };
  }

  private _create(entry: EndpointEntry): Endpoint {
    const hosts = Math.max(MIN_HOSTS, this._membership.view.liveIds().length);
    const limit = new ConcurrencyLimit(entry.slots, hosts);
    const endpoint = { entry, stats: new EndpointStats(this._context.clock), limit };
    this._endpoints.set(entry.id, endpoint);
    return endpoint;
  }

  /** Polls the least recently polled engine of those in this domain or with requests in flight. */
  private async _pollNextReport(): Promise<void> {
    const { clock, domain } = this._context;
    const nowMs = clock.nowMs();
    const due = this.all()
      .filter(endpoint => endpoint.kind === 'engine')
      .filter(endpoint => endpoint.domain === domain || endpoint.stats.inFlight() > 0)
      .map(endpoint => ({ endpoint, requestedMs: this._reportRequestedMs.get(endpoint.id) ?? -Infinity }))
      .filter(({ requestedMs }) => nowMs - requestedMs >= MIN_REPORT_PERIOD_MS);
    if (due.length === 0) return;
    const { endpoint } = due.reduce((oldest, one) => (one.requestedMs < oldest.requestedMs ? one : oldest));
    this._reportRequestedMs.set(endpoint.id, nowMs);
    const report = await this._engines.report(endpoint.url, Deadline.after(clock, REPORT_TIMEOUT_MS));
    if (report) this.applyReport(endpoint.id, report);
  }
}

/** Returns the estimated load of the endpoints, divided by the number of their slots. */
function relativeLoad(views: readonly CallableEndpoint[]): number {
  const limit = views.reduce((sum, view) => sum + view.slots, 0);
  const load = views.reduce((sum, view) => sum + view.stats.estimatedLoad(), 0);
  return limit === 0 ? 0 : load / limit;
}
