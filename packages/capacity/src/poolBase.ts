/**
 * Follows the endpoints of one pool: what it has when it is complete, what is missing, and what was added for it.
 *
 * Additional endpoints cannot be distinguished from others. An upper bound of their number is recorded before they are
 * ordered; regular endpoints beyond the base count as additional up to that bound.
 */
import type { CapacityOrderOutcome } from './orderTracker.js';
import type { CapacityRecord, DomainShortage, EndpointCounts, PoolShortage } from './model.js';

/** An endpoint of the pool, as its record shows it. */
export interface PresentEndpoint {
  readonly id: string;
  readonly domain: string;
  readonly isReclaimable: boolean;
  readonly isLeaving: boolean;
}

/** How long the numbers must remain the same before they count as those of the complete pool. */
const STABLE_MS = 10_000;
/** How long regular endpoints must be withdrawn before the base follows: a release replaces them earlier. */
const DECREASE_MS = 30_000;
/** Endpoints that are missing for less may have restarted. */
const MISSING_MS = 500;
/** Ordered endpoints that have not arrived after this multiple of their boot time, but no less than the minimum. */
const OVERDUE_FACTOR = 3;
const MIN_OVERDUE_MS = 15_000;
/** An order without an answer may be executed until then. */
const LATE_ORDER_MS = 30_000;

/** An order whose endpoints have not arrived in time, so that others may be ordered elsewhere. */
export interface OverdueOrder {
  readonly domain: string;
  /** Additional regular endpoints that were planned, and those that arrived. */
  readonly planned: number;
  readonly arrived: number;
}

/** `not-sent`: the order was given up before it was sent, or certainly not received. */
export type AdditionOutcome = CapacityOrderOutcome | 'not-sent';

export class PoolBase {
  private readonly _domains = new Map<string, DomainState>();
  private _hasBase: boolean;
  /** Identifiers of the regular endpoints that drain. */
  private _leaving: ReadonlySet<string> = new Set();
  private _stable: { readonly counts: string; readonly sinceMs: number } | undefined;
  private _missing: readonly { readonly atMs: number; readonly count: number }[] = [];
  private _completeSinceMs: number | undefined;
  private _isFirst = true;
  private _nowMs: number;

  /** `record`: what an earlier holder of the duty has stored; undefined if there is none. */
  constructor(record: CapacityRecord | undefined, nowMs: number) {
    this._nowMs = nowMs;
    this._hasBase = record !== undefined;
    for (const [name, base] of record?.base ?? []) this._domain(name).setBase(base);
    for (const [name, added] of record?.added ?? []) this._domain(name).restoreAdditions(added, nowMs);
    for (const [name, withdrawn] of record?.withdrawn ?? []) this._domain(name).restoreWithdrawn(withdrawn);
    this._leaving = new Set(record?.draining);
  }

  /**
   * Updates the numbers from a current view of all endpoints of the pool. `bootMs`: from an order to service. Returns
   * the orders that are given up.
   */
  observe(endpoints: readonly PresentEndpoint[], nowMs: number, bootMs: number): readonly OverdueOrder[] {
    this._nowMs = nowMs;
    const counts = countsOf(endpoints);
    const newlyLeaving = this._newlyLeaving(endpoints);
    for (const name of counts.keys()) this._domain(name);
    for (const [name, domain] of this._domains) {
      const present = counts.get(name) ?? { regular: 0, reclaimable: 0 };
      domain.observe(present, newlyLeaving.get(name) ?? 0, nowMs, this._isFirst);
    }
    this._isFirst = false;
    const overdueMs = Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * bootMs);
    const overdue: OverdueOrder[] = [];
    for (const [name, domain] of this._domains) {
      const counts = domain.giveUpOverdue(nowMs, overdueMs);
      if (counts) overdue.push({ domain: name, ...counts });
    }
    this._updateBase(nowMs);
    this._updateMissing(nowMs);
    if (this._completeForMs() >= STABLE_MS)
      for (const domain of this._domains.values()) domain.forgetReleased(nowMs);
    return overdue;
  }

  /** Call when the view may be incomplete: times without a change start again. */
  interrupt(): void {
    this._stable = undefined;
    this._missing = [];
    this._completeSinceMs = undefined;
    for (const domain of this._domains.values()) domain.interrupt();
  }

  /** Undefined before the base is known. */
  shortage(): PoolShortage | undefined {
    if (!this._hasBase) return undefined;
    return {
      domains: new Map([...this._domains].map(([name, domain]) => [name, domain.view(this._nowMs)])),
      baseTotal: this._baseTotal(),
      missing: this._lastingMissing(),
      completeForMs: this._completeForMs(),
    };
  }

  /** Undefined before the base is known. */
  record(): CapacityRecord | undefined {
    if (!this._hasBase) return undefined;
    const domains = [...this._domains];
    return {
      base: new Map(domains.map(([name, { base }]) => [name, base])),
      added: positive(domains.map(([name, { added }]) => [name, added])),
      withdrawn: positive(domains.map(([name, domain]) => [name, domain.withdrawn()])),
      draining: [...this._leaving].sort(),
    };
  }

  /** Call before an order of `count` regular endpoints is recorded and sent. */
  orderPlanned(name: string, count: number, nowMs: number): void {
    this._domain(name).orderPlanned(count, nowMs);
  }

  /** Call with the outcome of the order that was planned last for the domain. */
  orderEnded(name: string, end: AdditionOutcome): void {
    this._domain(name).orderEnded(end);
  }

  private _domain(name: string): DomainState {
    const known = this._domains.get(name);
    if (known) return known;
    const domain = new DomainState();
    this._domains.set(name, domain);
    return domain;
  }

  /** Number of regular endpoints that have begun to drain since the last call, by domain. */
  private _newlyLeaving(endpoints: readonly PresentEndpoint[]): ReadonlyMap<string, number> {
    const leaving = endpoints.filter(endpoint => endpoint.isLeaving && !endpoint.isReclaimable);
    const counts = new Map<string, number>();
    for (const { id, domain } of leaving)
      if (!this._leaving.has(id)) counts.set(domain, (counts.get(domain) ?? 0) + 1);
    this._leaving = new Set(leaving.map(({ id }) => id));
    return counts;
  }

  /**
   * A stable distribution of at least the base's total raises the base, and never lowers it: if endpoints crash in one
   * domain while others appear elsewhere, the platform may still run the crashed ones.
   */
  private _updateBase(nowMs: number): void {
    const own = [...this._domains].map(([name, domain]) => [name, domain.own()] as const);
    const counts = JSON.stringify(own);
    if (this._stable?.counts !== counts) this._stable = { counts, sinceMs: nowMs };
    const total = own.reduce((sum, [, each]) => sum + totalOf(each), 0);
    if (nowMs - this._stable.sinceMs < STABLE_MS || total === 0) return;
    if (this._hasBase && total < this._baseTotal()) return;
    for (const [name, each] of own)
      if (this._hasBase) this._domain(name).raiseBase(each);
      else this._domain(name).setBase(each);
    this._hasBase = true;
  }

  private _updateMissing(nowMs: number): void {
    const ownTotal = [...this._domains.values()].reduce((sum, domain) => sum + totalOf(domain.own()), 0);
    const withdrawn = [...this._domains.values()].reduce((sum, domain) => sum + domain.withdrawn(), 0);
    const count = Math.max(0, this._baseTotal() - ownTotal - withdrawn);
    if (count > 0) this._completeSinceMs = undefined;
    else this._completeSinceMs ??= nowMs;
    // The last sample before the window shows that the window is covered completely.
    const first = this._missing.findLastIndex(({ atMs }) => nowMs - atMs >= MISSING_MS);
    this._missing = [...this._missing.slice(Math.max(0, first)), { atMs: nowMs, count }];
  }

  private _lastingMissing(): number {
    const [first] = this._missing;
    if (!first || this._nowMs - first.atMs < MISSING_MS) return 0;
    return Math.min(...this._missing.map(({ count }) => count));
  }

  private _completeForMs(): number {
    return this._completeSinceMs === undefined ? 0 : this._nowMs - this._completeSinceMs;
  }

  private _baseTotal(): number {
    return [...this._domains.values()].reduce((sum, { base }) => sum + totalOf(base), 0);
  }
}

/** The pool's endpoints in one failure domain. */
class DomainState {
  base: EndpointCounts = { regular: 0, reclaimable: 0 };
  /** Upper bound of the additional endpoints. */
  added = 0;
  /** Regular endpoints below the floor that were drained and not replaced. */
  private _withdrawn = 0;
  private _lastOwn = 0;
  private _present: EndpointCounts = { regular: 0, reclaimable: 0 };
  private _floor = 0;
  private _planned = 0;
  /** Additional endpoints of the last order; 0 for an order that released them. */
  private _ordered = 0;
  /** Additional endpoints of orders that were accepted or may be executed. */
  private _confirmed = 0;
  /** Highest number of additional endpoints that were seen. */
  private _arrived = 0;
  /** Additional endpoints that will remain after an accepted order, until no more than these are seen. */
  private _remaining = Infinity;
  private _isReleased = false;
  private _isUncertain = false;
  private _lastAdditionMs = -Infinity;
  private _lastLossMs = -Infinity;
  private _regular: { readonly own: number; readonly sinceMs: number } | undefined;

  setBase(base: EndpointCounts): void {
    this.base = base;
    this._floor = base.regular;
    this._lastOwn = base.regular;
  }

  raiseBase({ regular, reclaimable }: EndpointCounts): void {
    this.base = {
      regular: Math.max(this.base.regular, regular),
      reclaimable: Math.max(this.base.reclaimable, reclaimable),
    };
    this._floor = Math.max(this._floor, this.base.regular);
  }

  /** The predecessor's orders may not have been executed yet. */
  restoreAdditions(added: number, nowMs: number): void {
    this.added = added;
    this._planned = added;
    this._confirmed = added;
    this._isUncertain = true;
    this._lastAdditionMs = nowMs;
  }

  /** Call after `setBase`. */
  restoreWithdrawn(withdrawn: number): void {
    this._withdrawn = Math.min(withdrawn, this._floor);
    this._lastOwn = this._floor - this._withdrawn;
  }

  observe(present: EndpointCounts, newlyLeaving: number, nowMs: number, isFirst: boolean): void {
    const before = isFirst ? this.base : this._present;
    if (totalOf(present) < totalOf(before) && !this._isReleased) this._lastLossMs = nowMs;
    this._present = present;
    const beyondFloor = Math.min(this.added, Math.max(0, present.regular - this._floor));
    // While additional endpoints are being released, their number falls. Otherwise a lower number of regular endpoints
    // means that endpoints are missing, whether or not they are additional.
    this._arrived = this._isReleased
      ? beyondFloor
      : Math.max(beyondFloor, Math.min(this._arrived, this._remaining));
    if (beyondFloor <= this._remaining) this._remaining = Infinity;
    if (!this._isReleased) this._planArrived();
    const own = this.own().regular;
    this._floor = Math.max(this._floor, own);
    this._countWithdrawn(own, newlyLeaving);
    if (this._regular?.own !== own) this._regular = { own, sinceMs: nowMs };
    if (nowMs - this._regular.sinceMs >= DECREASE_MS) this._followDecrease();
  }

  interrupt(): void {
    this._regular = undefined;
  }

  /** Endpoints without the additional ones. */
  own(): EndpointCounts {
    const { regular, reclaimable } = this._present;
    return { regular: Math.max(0, regular - this._arrived), reclaimable };
  }

  /** Regular endpoints of the base that were drained and not replaced. */
  withdrawn(): number {
    return Math.max(0, this._withdrawn - (this._floor - this.base.regular));
  }

  view(nowMs: number): DomainShortage {
    return {
      base: this.base,
      present: this._present,
      floor: this._floor,
      planned: this._expected(),
      added: this.added,
      awaited: Math.max(0, this._planned - this._arrived),
      withdrawn: this.withdrawn(),
      sinceLossMs: nowMs - this._lastLossMs,
    };
  }

  orderPlanned(count: number, nowMs: number): void {
    const additional = Math.max(0, count - this._floor);
    this._ordered = additional;
    if (additional === 0) return;
    // Endpoints that this order removes remain until they are drained.
    this.added = Math.max(additional, this._arrived, this._isUncertain ? this.added : 0);
    this._remaining = Infinity;
    this._planned = additional;
    this._isReleased = false;
    this._lastAdditionMs = nowMs;
  }

  orderEnded(end: AdditionOutcome): void {
    const isRefused = end === 'none-left' || end === 'not-sent';
    this._isUncertain ||= !isRefused && end !== 'accepted';
    if (this._ordered === 0) {
      if (end === 'accepted' || end === 'unsure') this._release();
      return;
    }
    if (isRefused) return this._withdrawPlan(end);
    this._confirmed = this._ordered;
    if (end !== 'accepted') return;
    this._planned = this._ordered;
    this._remaining = this._ordered;
  }

  /** Lets the policy order in other domains if this one does not deliver, as when it is cut off. */
  giveUpOverdue(nowMs: number, overdueMs: number): Omit<OverdueOrder, 'domain'> | undefined {
    if (this._planned <= this._arrived || nowMs - this._lastAdditionMs < overdueMs) return undefined;
    const planned = this._planned;
    this._planned = this._arrived;
    this._confirmed = this._arrived;
    this._isUncertain = true;
    this._lastLossMs = nowMs;
    return { planned, arrived: this._arrived };
  }

  /** Forgets additions that are gone and can't appear any more. Call while the base is complete. */
  forgetReleased(nowMs: number): void {
    if (this.added === 0 || this._present.regular > this._floor) return;
    const isCertain = this._isReleased && !this._isUncertain;
    if (!isCertain && nowMs - this._lastAdditionMs < LATE_ORDER_MS) return;
    this.added = 0;
    this._planned = 0;
    this._confirmed = 0;
    this._arrived = 0;
    this._isReleased = false;
    this._isUncertain = false;
  }

  /** Endpoints of an order that was given up, or whose release was not executed, are part of the next total. */
  private _planArrived(): void {
    const arrived = Math.min(this._arrived, this._remaining);
    this._planned = Math.max(this._planned, arrived);
    this._confirmed = Math.max(this._confirmed, arrived);
  }

  /** Additional endpoints that an order must include in its total so that it removes none. */
  private _expected(): number {
    return Math.max(this._planned, Math.min(this._arrived, this._remaining));
  }

  /** The additional endpoints will leave, or may do so if the order has no answer. */
  private _release(): void {
    this._isReleased = true;
    this._remaining = Infinity;
    this._planned = 0;
    this._confirmed = 0;
  }

  /** Returns to what was ordered before, so that the missing endpoints can be ordered in another domain. */
  private _withdrawPlan(end: AdditionOutcome): void {
    // A refusal of a repeated order shows that the earlier one has had no effect so far. It may still be executed.
    if (end === 'none-left' && this._confirmed >= this._ordered) {
      this._confirmed = this._arrived;
      this._isUncertain = true;
    }
    this._planned = this._confirmed;
    if (!this._isUncertain) this.added = Math.max(this._confirmed, this._arrived);
  }

  /** A lower number counts as withdrawn as far as endpoints began to drain, a higher one as their replacement. */
  private _countWithdrawn(own: number, newlyLeaving: number): void {
    const change = own - this._lastOwn;
    this._lastOwn = own;
    const withdrawn = this._withdrawn + (change < 0 ? Math.min(newlyLeaving, -change) : -change);
    this._withdrawn = Math.max(0, Math.min(withdrawn, this._floor - own));
  }

  /**
   * The base follows a planned decrease only. Reclaimed and failed endpoints remain in it, so that their replacements
   * are kept. While there are additional endpoints, it is unknown whether those that were drained belong to the base.
   */
  private _followDecrease(): void {
    if (this._withdrawn === 0 || this._expected() > 0) return;
    this._floor -= this._withdrawn;
    this.base = { ...this.base, regular: Math.min(this.base.regular, this._floor) };
    this._withdrawn = 0;
  }
}

function positive(counts: readonly (readonly [string, number])[]): ReadonlyMap<string, number> {
  return new Map(counts.filter(([, count]) => count > 0));
}

function totalOf({ regular, reclaimable }: EndpointCounts): number {
  return regular + reclaimable;
}

/** Numbers of the endpoints that are not leaving, by domain. */
function countsOf(endpoints: readonly PresentEndpoint[]): ReadonlyMap<string, EndpointCounts> {
  const counts = new Map<string, { regular: number; reclaimable: number }>();
  for (const { domain, isReclaimable, isLeaving } of endpoints) {
    if (isLeaving) continue;
    const count = counts.get(domain) ?? { regular: 0, reclaimable: 0 };
    count[isReclaimable ? 'reclaimable' : 'regular'] += 1;
    counts.set(domain, count);
  }
  return counts;
}
