/**
 * Sends weight orders to the endpoints of this failure domain while this host holds the domain's orders lease.
 */
import { Deadline, err, every, ok, rendezvous, type Result } from '@fuchsiahitch/base';
import {
  LeaseGuard,
  SwapPlanner,
  weightTargetSchema,
  type WeightOrder,
  type WeightTarget,
} from '@fuchsiahitch/orders';
import type { EngineClient, KeyValueStore, WatchEvent } from '@fuchsiahitch/clients';
import type { EndpointService } from './endpointService.js';
import type { HostContext } from './hostContext.js';
import type { MembershipService } from './membershipService.js';
import type { RulesService } from './rulesService.js';

const ELECT_PERIOD_MS = 1000;
const LEASE_MS = 10_000;
const LEASE_MARGIN_MS = 3000;
const RENEW_PERIOD_MS = 3000;
const PLAN_PERIOD_MS = 100;
/** The holder of the orders lease polls one endpoint per period, to find those that restarted with an old version. */
const ENGINE_POLL_PERIOD_MS = 1000;
const VERSION_READ_RETRY_MS = 1000;
const READ_TARGETS_PERIOD_MS = 5000;
const STORE_TIMEOUT_MS = 2000;
/** Shorter than the lease margin, so that no order arrives after the lease has expired. */
const ORDER_TIMEOUT_MS = 2000;
const WEIGHTS_PREFIX = 'weights/';
const MAX_TRIES = 5;
const SWAP_OPTIONS = { maxSwappingShare: 0.34, loadsPerSecond: 20, swapTimeoutMs: 4000, maxTries: 4 };

/** Why a new target was not written. */
export type TargetError = 'store-unavailable' | 'unknown';

interface HeldLease {
  readonly leaseId: string;
  readonly token: number;
  renewedMs: number;
}

export class OrdersService {
  private readonly _context: HostContext;
  private readonly _store: KeyValueStore;
  private readonly _membership: MembershipService;
  private readonly _endpoints: EndpointService;
  private readonly _engines: EngineClient;
  private readonly _rules: RulesService;
  private readonly _guard: LeaseGuard;
  private readonly _planners = new Map<string, SwapPlanner>();
  private _lease: HeldLease | undefined;
  private _watch: AbortController | undefined;
  private _lastReadMs = -Infinity;
  /** For each endpoint, the fencing token under which its version was read. */
  private readonly _versionReadTokens = new Map<string, number>();
  private readonly _versionRequestedMs = new Map<string, number>();
  private _pollIndex = 0;

  constructor(
    context: HostContext,
    parts: {
      readonly store: KeyValueStore;
      readonly membership: MembershipService;
      readonly endpoints: EndpointService;
      readonly engines: EngineClient;
      readonly rules: RulesService;
    },
  ) {
    this._context = context;
    this._store = parts.store;
    this._membership = parts.membership;
    this._endpoints = parts.endpoints;
    this._engines = parts.engines;
    this._rules = parts.rules;
    this._guard = new LeaseGuard(context.clock, { leaseMs: LEASE_MS, marginMs: LEASE_MARGIN_MS });
  }

  start(): void {
    const { clock, stopped } = this._context;
    every(clock, ELECT_PERIOD_MS, stopped, () => this._elect());
    every(clock, PLAN_PERIOD_MS, stopped, () => this._sendDueOrders());
    every(clock, ENGINE_POLL_PERIOD_MS, stopped, () => this._pollNextEngine());
    stopped.addEventListener('abort', () => this._watch?.abort());
  }

  /** Releases the lease when this host shuts down. */
  stop(): void {
    this._resign();
  }

  /** True while this host sends the orders of its domain. */
  isLeader(): boolean {
    return this._guard.token() !== undefined;
  }

  /** Returns the target of each pool and its progress, for operators. */
  status(): readonly {
    readonly target: WeightTarget;
    readonly isDone: boolean;
    readonly aside: readonly string[];
  }[] {
    const statuses = [];
    for (const [pool, planner] of this._planners) {
      const target = planner.target();
      if (!target) continue;
      const isDone = planner.isDone(this._swapCandidates(pool));
      statuses.push({ target, isDone, aside: planner.excludedEndpoints() });
    }
    return statuses;
  }

  /** Returns the endpoints that do not check fencing tokens, and so execute late orders of a former lease holder. */
  unfenced(): readonly string[] {
    const engines = this._endpoints.ownDomain().filter(entry => entry.kind === 'engine');
    return engines.filter(entry => !entry.checksFencing).map(entry => entry.id);
  }

  /** Sets the target version of a pool. Idempotent: an equal or later target is kept and returned. */
  async setTarget(pool: string, version: number): Promise<Result<WeightTarget, TargetError>> {
    const key = WEIGHTS_PREFIX + pool;
    let mayBeWritten = false;
    for (let i = 0; i < MAX_TRIES; i++) {
      const stored = await this._store.get(key, this._deadline());
      if (!stored.ok) return err(mayBeWritten ? 'unknown' : 'store-unavailable');
      const last = stored.value ? weightTargetSchema.parse(JSON.parse(stored.value.value)) : undefined;
      if (last && last.version >= version) return ok(last);
      const target = { pool, version, sequence: (last?.sequence ?? 0) + 1, share: 1 };
      const write = { kind: 'put', key, value: JSON.stringify(target) } as const;
      const compare = { key, version: stored.value?.version ?? 0 };
      const written = await this._store.transact([compare], [write], this._deadline());
      if (written.ok && written.value.succeeded) return ok(target);
      if (!written.ok) mayBeWritten ||= written.error === 'unknown';
    }
    return err('unknown');
  }

  private async _elect(): Promise<void> {
    const { domain, hostId } = this._context;
    const [first] = rendezvous(`orders/${domain}`, this._membership.view.liveIds());
    if (first !== hostId) {
      this._resign();
      return;
    }
    if (this._lease) await this._renew(this._lease);
    else await this._acquire();
    if (this.isLeader()) await this._refreshTargets();
  }

  private async _acquire(): Promise<void> {
    const sentMs = this._context.clock.nowMs();
    const lease = await this._store.grantLease(LEASE_MS, this._deadline());
    if (!lease.ok) return;
    const key = `orders/${this._context.domain}`;
    const write = { kind: 'put', key, value: this._context.hostId, leaseId: lease.value } as const;
    const created = await this._store.transact([{ key, version: 0 }], [write], this._deadline());
    if (!created.ok || !created.value.succeeded) return;
    this._lease = { leaseId: lease.value, token: created.value.version, renewedMs: sentMs };
    this._guard.renewed(created.value.version, sentMs);
    this._context.log.info('orders lease acquired', { token: created.value.version });
  }

  private async _renew(lease: HeldLease): Promise<void> {
    const sentMs = this._context.clock.nowMs();
    if (sentMs - lease.renewedMs < RENEW_PERIOD_MS) return;
    const keptAlive = await this._store.keepLease(lease.leaseId, this._deadline());
    if (!keptAlive.ok) return;
    if (keptAlive.value) {
      lease.renewedMs = sentMs;
      this._guard.renewed(lease.token, sentMs);
    } else {
      this._resign();
    }
  }

  /** Releases the lease by deleting its key, so that a successor need not wait for the lease to expire. */
  private _resign(): void {
    if (!this._lease) return;
    const { token } = this._lease;
    this._lease = undefined;
    const key = `orders/${this._context.domain}`;
    void this._store.transact([{ key, version: token }], [{ kind: 'delete', key }], this._deadline());
    this._guard.invalidate();
    this._watch?.abort();
    this._watch = undefined;
  }

  private async _refreshTargets(): Promise<void> {
    this._startWatch();
    const nowMs = this._context.clock.nowMs();
    if (nowMs - this._lastReadMs < READ_TARGETS_PERIOD_MS) return;
    const listed = await this._store.list(WEIGHTS_PREFIX, this._deadline());
    if (!listed.ok) return;
    this._lastReadMs = nowMs;
    for (const { value } of listed.value) this._applyTarget(value);
  }

  private _startWatch(): void {
    if (this._watch) return;
    const watch = new AbortController();
    this._watch = watch;
    const onEvents = (events: readonly WatchEvent[]): void => {
      for (const { value } of events) if (value !== undefined) this._applyTarget(value);
    };
    void this._store.watch(WEIGHTS_PREFIX, onEvents, watch.signal).then(() => {
      if (this._watch === watch) this._watch = undefined;
      this._lastReadMs = -Infinity;
    });
  }

  private _applyTarget(text: string): void {
    const target = weightTargetSchema.parse(JSON.parse(text));
    const planner = this._planners.get(target.pool) ?? new SwapPlanner(this._context.clock, SWAP_OPTIONS);
    this._planners.set(target.pool, planner);
    if (planner.setTarget(target))
      this._context.log.info('weight target changed', { pool: target.pool, version: target.version });
  }

  private _sendDueOrders(): void {
    const token = this._guard.token();
    if (token === undefined) return;
    const pools = [...this._planners].filter(
      ([pool, planner]) => !planner.isDone(this._swapCandidates(pool)),
    );
    if (pools.length === 0) return;
    for (const [pool, planner] of pools) {
      for (const endpointId of planner.dueForReadBack()) void this._readReport(endpointId);
      const candidates = this._swapCandidates(pool).filter(endpoint =>
        this._isVersionRead(endpoint.id, token),
      );
      for (const order of planner.next(candidates, token)) void this._sendOrder(planner, order);
    }
  }

  /**
   * True if the version of an endpoint was read under the current lease; starts reading it otherwise. An earlier
   * reading may be stale, and a redundant order would make the endpoint reload the weights that it has.
   */
  private _isVersionRead(endpointId: string, token: number): boolean {
    if (this._versionReadTokens.get(endpointId) === token) return true;
    const nowMs = this._context.clock.nowMs();
    if (nowMs - (this._versionRequestedMs.get(endpointId) ?? -Infinity) < VERSION_READ_RETRY_MS) return false;
    this._versionRequestedMs.set(endpointId, nowMs);
    void this._readReport(endpointId);
    return false;
  }

  private async _sendOrder(planner: SwapPlanner, order: WeightOrder): Promise<void> {
    const endpoint = this._endpoints.ownDomain().find(entry => entry.id === order.endpointId);
    // The process may have been paused since planning, so check the lease again.
    if (!endpoint || this._guard.token() !== order.token) {
      planner.ended(order.endpointId, 'failed');
      return;
    }
    const deadline = Deadline.after(this._context.clock, ORDER_TIMEOUT_MS);
    const result = await this._engines.order(endpoint.url, order.version, order.token, deadline);
    this._context.metrics.orders.inc({ end: result });
    if (result === 'fenced') this._resign();
    planner.ended(order.endpointId, result);
  }

  private async _pollNextEngine(): Promise<void> {
    if (!this.isLeader()) return;
    const engines = this._endpoints.ownDomain().filter(entry => this._planners.has(entry.pool));
    this._pollIndex = (this._pollIndex + 1) % Math.max(1, engines.length);
    const entry = engines[this._pollIndex];
    if (entry) await this._readReport(entry.id);
  }

  private async _readReport(endpointId: string): Promise<void> {
    const entry = this._endpoints.ownDomain().find(one => one.id === endpointId);
    if (!entry) return;
    const report = await this._engines.report(
      entry.url,
      Deadline.after(this._context.clock, ORDER_TIMEOUT_MS),
    );
    if (!report) return;
    if (this._lease) this._versionReadTokens.set(entry.id, this._lease.token);
    this._planners.get(entry.pool)?.readBack(entry.id, report);
    this._endpoints.applyReport(entry.id, report);
  }

  /** Returns the live engines of a pool in swap order, limited to the share that the rules stage. */
  private _swapCandidates(pool: string): readonly { readonly id: string; readonly isUsable: boolean }[] {
    const { domain } = this._context;
    const facts = {
      kind: 'sample',
      caller: '',
      house: '',
      pool,
      domain,
      priority: 'low',
      version: '',
    } as const;
    const staged = this._rules.evaluator().decide(facts).action.stagedShare ?? 1;
    const entries = this._endpoints
      .ownDomain()
      .filter(entry => entry.kind === 'engine' && entry.pool === pool && entry.state === 'live')
      .map(entry => ({ id: entry.id, isUsable: !this._membership.leaving.isLeaving(entry.id) }));
    return entries.slice(0, Math.ceil(entries.length * staged));
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }
}
