/**
 * In-memory stand-in of the platform's side of duties, which records all calls and rule violations.
 */
import { sleep, type Clock } from '@fuchsiahitch/base';
import type { CapacityOrder, DutyHolder, DutyAnswer, PlatformDuties } from '@fuchsiahitch/gateway';
import { totalOf, type UsageReport } from '@fuchsiahitch/metering';

/**
 * How calls are answered. `unreachable`: no connection. `silent`: neither executed nor answered. `lost`: executed, but
 * not answered. `late`: not answered, and executed seconds later, as the platform may do with any call.
 */
export type DutyMode = 'available' | 'silent' | 'busy' | 'unreachable' | 'lost' | 'late';

const ANSWER_DELAY_MS = 2;
const UNANSWERED_MS = 1500;

interface Arrival extends DutyHolder {
  readonly hostId: string;
  readonly atMs: number;
}

export class DutyStandIn {
  mode: DutyMode = 'available';
  /** Hosts that cannot reach the stand-in. */
  readonly unreachableFrom = new Set<string>();
  readonly reports = new Map<number, UsageReport>();
  readonly orders: CapacityOrder[] = [];
  readonly arrivals: Arrival[] = [];
  /** Violations of the rules of duties. */
  readonly broken: string[] = [];
  /** Refuses all calls, as when no endpoints are left to order. */
  isSoldOut = false;
  /** Failure domains whose orders are refused. */
  readonly soldOutDomains = new Set<string>();
  /** Called when an order is executed. */
  onOrder: (order: CapacityOrder) => void = () => undefined;
  lateMs = 3000;
  private readonly _clock: Clock;
  private readonly _handoverMs: number;

  constructor(clock: Clock, handoverMs: number) {
    this._clock = clock;
    this._handoverMs = handoverMs;
  }

  /** Returns the platform as seen from one host. */
  from(hostId: string): PlatformDuties {
    return {
      reportUsage: (holder, report) => this._call(hostId, holder, () => this._recordReport(report)),
      orderCapacity: (holder, order) =>
        this._call(hostId, holder, () => this._recordOrder(order), this.soldOutDomains.has(order.domain)),
    };
  }

  total(): number {
    return [...this.reports.values()].reduce((sum, report) => sum + totalOf(report.counts), 0);
  }

  private async _call(
    hostId: string,
    holder: DutyHolder,
    execute: () => void,
    isRefused = false,
  ): Promise<DutyAnswer> {
    await sleep(this._clock, ANSWER_DELAY_MS);
    const mode = this.unreachableFrom.has(hostId) ? 'unreachable' : this.mode;
    if (mode === 'unreachable') return 'unreached';
    if (mode === 'late') return this._executeLate(execute);
    this._checkRules({ ...holder, hostId, atMs: this._clock.nowMs() });
    if (mode === 'busy') return 'busy';
    if (this.isSoldOut || isRefused) return 'refused';
    if (mode !== 'silent') execute();
    if (mode === 'available') return 'accepted';
    await sleep(this._clock, UNANSWERED_MS);
    return 'unknown';
  }

  private async _executeLate(execute: () => void): Promise<DutyAnswer> {
    this._clock.after(this.lateMs, execute);
    await sleep(this._clock, UNANSWERED_MS);
    return 'unknown';
  }

  private _recordOrder(order: CapacityOrder): void {
    this.orders.push(order);
    this.onOrder(order);
  }

  private _recordReport(report: UsageReport): void {
    const before = this.reports.get(report.window);
    if (before && JSON.stringify(before) !== JSON.stringify(report))
      this.broken.push(`two reports of window ${report.window}`);
    this.reports.set(report.window, before ?? report);
  }

  /** Checks that tokens never decrease, belong to one host each, and that hosts don't alternate within the bound. */
  private _checkRules(arrival: Arrival): void {
    const { hostId, fencingToken, atMs } = arrival;
    const highest = Math.max(0, ...this.arrivals.map(other => other.fencingToken));
    if (fencingToken < highest) this.broken.push(`token ${fencingToken} after ${highest}`);
    if (this.arrivals.some(other => other.hostId !== hostId && other.fencingToken === fencingToken))
      this.broken.push(`token ${fencingToken} of two hosts`);
    const recent = this.arrivals.filter(other => atMs - other.atMs < this._handoverMs);
    const lastOther = recent.findLastIndex(other => other.hostId !== hostId);
    if (recent.slice(0, Math.max(0, lastOther)).some(other => other.hostId === hostId))
      this.broken.push(`${hostId} acted again within the bound`);
    this.arrivals.push(arrival);
  }
}
