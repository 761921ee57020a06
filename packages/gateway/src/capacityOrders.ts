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
  type PoolScaling,
} from '@fuchsiahitch/capacity';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import type { ConfigurationService } from './configurationService.js';
import { DutyLease, type Duty, type DutyHosts, type DutyPorts } from './dutyLease.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import { LIVE_PREFIX } from './hostDirectory.js';
import type { DutyAnswer, PlatformDuties } from './ports.js';

export const CAPACITY_KEY = `${LIVE_PREFIX}capacity`;
export const LAST_CAPACITY_KEY = `${LIVE_PREFIX}last-capacity`;
const LEASE = { ttlMs: 3000, renewMs: 1000, validityMs: 2500, marginMs: 600 };
const TIMEOUTS = { connectMs: 500, answerMs: 1500 };
const CHECK_INTERVAL_MS = 1000;
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
  private _nextCheckMs = -Infinity;
  private readonly _pendingSubjects = new Set<string>();

  constructor(context: GatewayContext, ports: CapacityPorts, options: CapacityOptions) {
    this._context = context;
    this._ports = ports;
    this._options = options;
    this._tracker = new OrderTracker(context.clock, ORDERS);
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

  /** Starts without the orders of previous holders; the present endpoints determine what is due. */
  taken(): void {
    this._tracker = new OrderTracker(this._context.clock, ORDERS);
  }

  tick(): void {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < this._nextCheckMs || !this._ports.endpoints.isSynced()) return;
    this._nextCheckMs = nowMs + CHECK_INTERVAL_MS;
    for (const [pool, scaling] of this._ports.configuration.scalings()) this._checkPool(pool, scaling);
  }

  private _checkPool(pool: string, scaling: PoolScaling): void {
    const present = this._presentOf(pool, scaling);
    const models = this._ports.configuration.models().get(pool)?.length ?? 1;
    for (const [domain, wanted] of this._options.policy.wanted({ scaling, models, present }))
      this._orderIfDue({ pool, domain, wanted, present: present.get(domain) ?? 0 }, scaling);
  }

  private _presentOf(pool: string, { prices }: PoolScaling): ReadonlyMap<string, number> {
    const counts = new Map<string, number>([...prices.keys()].map(domain => [domain, 0]));
    for (const endpoint of this._ports.endpoints.inPool(pool))
      if (!endpoint.isLeaving) counts.set(endpoint.domain, (counts.get(endpoint.domain) ?? 0) + 1);
    return counts;
  }

  private _orderIfDue(order: PoolOrder, { bootMs }: PoolScaling): void {
    const subject = `${order.pool}/${order.domain}`;
    if (this._pendingSubjects.has(subject) || !this._duty.canActOn(subject)) return;
    if (!this._tracker.isDue(subject, order.wanted, order.present, bootMs)) return;
    this._pendingSubjects.add(subject);
    this._duty.track(this._order(subject, order).finally(() => this._pendingSubjects.delete(subject)));
  }

  private async _order(subject: string, { pool, domain, wanted, present }: PoolOrder): Promise<void> {
    const fencingToken = this._duty.token();
    if (fencingToken === undefined) return;
    this._duty.recordActionOn(subject, this._context.clock.nowMs() + TIMEOUTS.connectMs);
    const dutyHolder = { holder: this._context.hostId, fencingToken };
    const order = { pool, domain, count: wanted };
    const answer = await this._options.duties.orderCapacity(dutyHolder, order, TIMEOUTS);
    this._tracker.recordOrder(subject, wanted, toOrderOutcome(answer));
    this._context.metrics.duties.inc({ duty: 'capacity', answer });
    const policy = this._options.policy.name;
    this._context.log.info('capacity order', { pool, of: domain, wanted, present, answer, policy });
  }
}

/** Wanted and present number of endpoints of a pool in one failure domain. */
interface PoolOrder {
  readonly pool: string;
  readonly domain: string;
  readonly wanted: number;
  readonly present: number;
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
