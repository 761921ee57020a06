/**
 * The platform's side of duties in memory: it remembers every call, and which rules of theirs were broken.
 */
import { sleep, type Clock } from '@fuchsiahitch/base';
import type { CapacityOrder, DutyHolder, DutyAnswer, PlatformDuties } from '@fuchsiahitch/gateway';
import { totalOf, type UsageReport } from '@fuchsiahitch/metering';

/** `late`: no answer, and carried out seconds later, as the platform may do with any call. */
export type DutyMode = 'well' | 'silent' | 'busy' | 'away' | 'lost' | 'late';

const ANSWER_MS = 2;
const SILENT_MS = 1500;

interface Arrival extends DutyHolder {
  readonly machine: string;
  readonly atMs: number;
}

export class DutyStandIn {
  mode: DutyMode = 'well';
  /** Machines that can't reach it. */
  readonly unreachableFrom = new Set<string>();
  readonly reports = new Map<number, UsageReport>();
  readonly orders: CapacityOrder[] = [];
  readonly arrivals: Arrival[] = [];
  /** What broke a rule of duties. */
  readonly broken: string[] = [];
  /** No endpoints are left to order. */
  isSoldOut = false;
  lateMs = 3000;
  private readonly _clock: Clock;
  private readonly _handoverMs: number;

  constructor(clock: Clock, handoverMs: number) {
    this._clock = clock;
    this._handoverMs = handoverMs;
  }

  /** Calls from one machine. */
  from(machine: string): PlatformDuties {
    return {
      reportUsage: (act, report) => this._call(machine, act, () => this._recordReport(report)),
      orderCapacity: (act, order) => this._call(machine, act, () => this.orders.push(order)),
    };
  }

  total(): number {
    return [...this.reports.values()].reduce((sum, report) => sum + totalOf(report.counts), 0);
  }

  private async _call(machine: string, act: DutyHolder, execute: () => void): Promise<DutyAnswer> {
    await sleep(this._clock, ANSWER_MS);
    const mode = this.unreachableFrom.has(machine) ? 'away' : this.mode;
    if (mode === 'away') return 'unreached';
    if (mode === 'late') return this._executeLate(execute);
    this._checkRules({ ...act, machine, atMs: this._clock.nowMs() });
    if (mode === 'busy') return 'busy';
    if (this.isSoldOut) return 'refused';
    if (mode !== 'silent') execute();
    if (mode === 'well') return 'accepted';
    await sleep(this._clock, SILENT_MS);
    return 'unknown';
  }

  private async _executeLate(carryOut: () => void): Promise<DutyAnswer> {
    this._clock.after(this.lateMs, carryOut);
    await sleep(this._clock, SILENT_MS);
    return 'unknown';
  }

  private _recordReport(report: UsageReport): void {
    const before = this.reports.get(report.window);
    if (before && JSON.stringify(before) !== JSON.stringify(report))
      this.broken.push(`two reports of window ${report.window}`);
    this.reports.set(report.window, before ?? report);
  }

  /** Tokens never fall, belong to one machine, and machines don't take turns within the bound. */
  private _checkRules(arrival: Arrival): void {
    const { machine, fencingToken, atMs } = arrival;
    const highest = Math.max(0, ...this.arrivals.map(other => other.fencingToken));
    if (fencingToken < highest) this.broken.push(`token ${fencingToken} after ${highest}`);
    if (this.arrivals.some(other => other.machine !== machine && other.fencingToken === fencingToken))
      this.broken.push(`token ${fencingToken} of two machines`);
    const recent = this.arrivals.filter(other => atMs - other.atMs < this._handoverMs);
    const lastOther = recent.findLastIndex(other => other.machine !== machine);
    if (recent.slice(0, Math.max(0, lastOther)).some(other => other.machine === machine))
      this.broken.push(`${machine} took its turn again within the bound`);
    this.arrivals.push(arrival);
  }
}
