/**
 * Duty that orders endpoints for the pools that can be scaled.
 *
 * The subject of an order is one pool in one failure domain. An order states the total number of endpoints, so that
 * repeating it has no effect.
 */
import {
  OrderTracker,
  type CapacityOrderOutcome,
  type CapacityPolicy,
  type PoolBase,
  type PoolScaling,
  type PoolShortage,
} from '@fuchsiahitch/capacity';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import type { ConfigurationService } from './configurationService.js';
import { DutyLease, type Duty, type DutyHosts, type DutyPorts } from './dutyLease.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import { LIVE_PREFIX } from './hostDirectory.js';
import { PoolBases } from './poolBases.js';
import type { DutyAnswer, PlatformDuties } from './ports.js';

export const CAPACITY_KEY = `${LIVE_PREFIX}capacity`;
export const LAST_CAPACITY_KEY = `${LIVE_PREFIX}last-capacity`;
const LEASE = { ttlMs: 3000, renewMs: 1000, validityMs: 2500, marginMs: 600 };
const TIMEOUTS = { connectMs: 500, answerMs: 1500 };
const CHECK_INTERVAL_MS = 1000;
/** Missing endpoints must be noticed within a fraction of the notice that reclaimed endpoints have. */
const BASE_CHECK_INTERVAL_MS = 100;
/** Consecutive calls without an answer after which another host is to try, and the time left to it. */
const MAX_FAILURES = 3;
const YIELD_MS = 6000;
const ORDERS = { maxPerMinute: 20, initialBackoffMs: 5000, maxBackoffMs: 15_000 };

export interface CapacityOptions {
  readonly policy: CapacityPolicy;
  readonly duties: PlatformDuties;
  /** Minimum time between calls of two holders, required by the platform. */
  readonly handoverMs: number;
}

export interface CapacityPorts {
  readonly store: RevisionedStore;
  readonly hosts: DutyHosts;
  readonly lastHandover: DutyPorts['lastHandover'];
  readonly configuration: ConfigurationService;
  readonly endpoints: EndpointDirectory;
}

export class CapacityOrders implements Duty {
  private readonly _context: GatewayContext;
  private readonly _ports: CapacityPorts;
  private readonly _options: CapacityOptions;
  private readonly _duty: DutyLease;
  private _tracker: OrderTracker;
  private _bases: PoolBases | undefined;
  private _nextCheckMs = -Infinity;
  private _failures = 0;
  private readonly _pendingSubjects = new Set<string>();

  constructor(context: GatewayContext, ports: CapacityPorts, options: CapacityOptions) {
    this._context = context;
    this._ports = ports;
    this._options = options;
    this._tracker = this._newTracker();
    const name = {
      label: 'capacity lease',
      key: CAPACITY_KEY,
      lastKey: LAST_CAPACITY_KEY,
      domain: undefined,
    };
    this._duty = new DutyLease(context, ports, name, { ...LEASE, handoverMs: options.handoverMs }, this);
  }

  start(): void {
    this._duty.start();
  }

  async stop(): Promise<void> {
    await this._duty.stop();
  }

  /** Starts without the orders of previous holders; the present endpoints and records determine what is due. */
  taken(): void {
    const { store, endpoints } = this._ports;
    this._tracker = this._newTracker();
    this._bases = this._usesBase() ? new PoolBases(this._context, store, endpoints) : undefined;
    this._failures = 0;
  }

  tick(): void {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < this._nextCheckMs) return;
    // Without a synced view the pools are still checked: the bases must learn that it may be incomplete.
    if (this._ports.endpoints.isSynced())
      this._nextCheckMs = nowMs + (this._usesBase() ? BASE_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS);
    for (const [pool, scaling] of this._ports.configuration.scalings()) this._checkPool(pool, scaling);
  }

  private _usesBase(): boolean {
    return this._options.policy.usesBase === true;
  }

  private _newTracker(): OrderTracker {
    return new OrderTracker(this._context.clock, { ...ORDERS, repeatsReductions: this._usesBase() });
  }

  private _checkPool(pool: string, scaling: PoolScaling): void {
    const base = this._bases?.observe(pool, scaling.bootMs);
    if (!this._ports.endpoints.isSynced() || (this._usesBase() && !base)) return;
    const shortage = base?.shortage();
    const present = this._presentOf(pool, scaling);
    const models = this._ports.configuration.models().get(pool)?.length ?? 1;
    const backingOff = this._backingOff(pool, scaling);
    const wanted = this._options.policy.wanted({ scaling, models, present, shortage, backingOff });
    const due = [...wanted]
      .map(([domain, count]) => toOrder(pool, domain, count, present.get(domain) ?? 0, shortage))
      .filter(order => this._isDue(order, scaling));
    if (due.length > 0) this._place(pool, due, base);
    else this._recordInBackground(pool);
  }

  private _presentOf(pool: string, { prices }: PoolScaling): ReadonlyMap<string, number> {
    const counts = new Map<string, number>([...prices.keys()].map(domain => [domain, 0]));
    for (const endpoint of this._ports.endpoints.inPool(pool))
      if (!endpoint.isLeaving) counts.set(endpoint.domain, (counts.get(endpoint.domain) ?? 0) + 1);
    return counts;
  }

  private _backingOff(pool: string, { prices }: PoolScaling): ReadonlySet<string> {
    const domains = [...prices.keys()].filter(domain => {
      const subject = subjectOf({ pool, domain });
      return this._tracker.isBackingOff(subject) || !this._duty.canActOn(subject);
    });
    return new Set(domains);
  }

  private _isDue(order: PoolOrder, { bootMs }: PoolScaling): boolean {
    const subject = subjectOf(order);
    if (this._pendingSubjects.has(subject) || !this._duty.canActOn(subject)) return false;
    return this._tracker.isDue(subject, order.wanted, order.present, bootMs);
  }

  private _place(pool: string, orders: readonly PoolOrder[], base: PoolBase | undefined): void {
    const token = this._duty.token();
    if (token === undefined) return this._giveUp(orders, undefined, 'no valid lease');
    const tenure = { token, tracker: this._tracker, bases: this._bases };
    for (const order of orders) {
      this._pendingSubjects.add(subjectOf(order));
      base?.orderPlanned(order.domain, order.wanted, this._context.clock.nowMs());
    }
    const placed = this._recordAndSend(pool, orders, base, tenure).finally(() => {
      for (const order of orders) this._pendingSubjects.delete(subjectOf(order));
    });
    this._duty.track(placed);
  }

  /** A successor must know which endpoints were added, even if this host ends before the answer. */
  private async _recordAndSend(
    pool: string,
    orders: readonly PoolOrder[],
    base: PoolBase | undefined,
    tenure: Tenure,
  ): Promise<void> {
    const held = { key: CAPACITY_KEY, version: tenure.token };
    if (tenure.bases && !(await tenure.bases.write(pool, held))) {
      this._giveUp(orders, base, 'record not stored');
      return;
    }
    await Promise.all(orders.map(order => this._send(order, base, tenure)));
  }

  private _recordInBackground(pool: string): void {
    const version = this._duty.token();
    if (version !== undefined) this._bases?.writeInBackground(pool, { key: CAPACITY_KEY, version });
  }

  private async _send(order: PoolOrder, base: PoolBase | undefined, tenure: Tenure): Promise<void> {
    const { pool, domain, wanted } = order;
    const subject = subjectOf(order);
    const obstacle = this._obstacle(subject, tenure);
    if (obstacle !== undefined) {
      this._giveUp([order], base, obstacle);
      return;
    }
    this._duty.recordActionOn(subject, this._context.clock.nowMs() + TIMEOUTS.connectMs);
    const dutyHolder = { holder: this._context.hostId, fencingToken: tenure.token };
    const call = { pool, domain, count: wanted };
    const answer = await this._options.duties.orderCapacity(dutyHolder, call, TIMEOUTS);
    tenure.tracker.recordOrder(subject, wanted, toOrderOutcome(answer));
    base?.orderEnded(domain, answer === 'unreached' ? 'not-sent' : toOrderOutcome(answer));
    this._context.metrics.duties.inc({ duty: 'capacity', answer });
    this._logOrder(order, { answer });
    if (tenure.tracker === this._tracker) this._countFailure(answer);
  }

  /** Why an order must not be sent although it was due before its record was stored. */
  private _obstacle(subject: string, { token, bases }: Tenure): string | undefined {
    if (this._duty.token() !== token) return 'lease ended or not renewed';
    if (!this._duty.canActOn(subject)) return 'previous holder may act';
    return bases?.isViewReliable() === false ? 'view of endpoints may be incomplete' : undefined;
  }

  /** Tries again after the next check, which is delayed so that it is not logged with each tick. */
  private _giveUp(orders: readonly PoolOrder[], base: PoolBase | undefined, cause: string): void {
    this._nextCheckMs = this._context.clock.nowMs() + CHECK_INTERVAL_MS;
    for (const order of orders) {
      base?.orderEnded(order.domain, 'not-sent');
      this._logOrder(order, { answer: 'not-sent', cause });
    }
  }

  /** Releases the duty after repeated failures: another host may be able to reach the platform. */
  private _countFailure(answer: DutyAnswer): void {
    const isFailure = answer === 'unreached' || answer === 'unknown';
    this._failures = isFailure ? this._failures + 1 : 0;
    if (this._failures < MAX_FAILURES) return;
    this._failures = 0;
    this._context.log.warn('capacity lease', { change: 'yielded', reason: answer });
    // Not awaited: it waits for pending orders, such as this one, to end.
    void this._duty.yieldFor(YIELD_MS);
  }

  private _logOrder(
    { pool, domain, wanted, present, shortage }: PoolOrder,
    result: { readonly answer: DutyAnswer | 'not-sent'; readonly cause?: string },
  ): void {
    const policy = this._options.policy.name;
    const line = { pool, of: domain, wanted, present, ...result, policy };
    const inDomain = shortage?.domains.get(domain);
    const details = shortage && {
      kind: 'regular',
      base: inDomain?.base.regular ?? 0,
      reason: shortage.missing > 0 ? 'endpoints missing' : 'base complete',
      missing: shortage.missing,
      baseTotal: shortage.baseTotal,
    };
    this._context.log.info('capacity order', { ...line, ...details });
  }
}

/** State of one tenure of the duty. An order is sent and recorded only in the one in which it was decided. */
interface Tenure {
  readonly token: number;
  readonly tracker: OrderTracker;
  readonly bases: PoolBases | undefined;
}

/** Wanted and present number of endpoints of a pool in one failure domain. */
interface PoolOrder {
  readonly pool: string;
  readonly domain: string;
  readonly wanted: number;
  readonly present: number;
  /** What the order is based on, if the policy compares the pool with its base. */
  readonly shortage: PoolShortage | undefined;
}

function subjectOf({ pool, domain }: Pick<PoolOrder, 'pool' | 'domain'>): string {
  return `${pool}/${domain}`;
}

/** `total`: number of present endpoints of all kinds. Compared with the base, only regular ones are ordered. */
function toOrder(
  pool: string,
  domain: string,
  wanted: number,
  total: number,
  shortage: PoolShortage | undefined,
): PoolOrder {
  const present = shortage ? (shortage.domains.get(domain)?.present.regular ?? 0) : total;
  return { pool, domain, wanted, present, shortage };
}

function toOrderOutcome(answer: DutyAnswer): CapacityOrderOutcome {
  switch (answer) {
    case 'accepted':
      return 'accepted';
    case 'refused':
      return 'none-left';
    case 'busy':
      return 'busy';
    case 'unreached':
    case 'unknown':
      return 'unsure';
  }
}
