/**
 * Shares of a pool's endpoints in proportion to the work of its models.
 *
 * Addresses pools in which one model has twice the work of another, or in which all fast endpoints serve one model.
 * Each endpoint that changes models loads weights for about a second and discards its prefix cache. Endpoints therefore
 * change models only if a difference exceeds both the rounding of the shares and the variation of work between steps.
 */
import { invariant } from '@fuchsiahitch/base';

/** The facts about an endpoint on which shares depend. */
export interface PacedEndpoint {
  readonly id: string;
  /** Time between two events of a stream; undefined if not known yet. */
  readonly paceMs?: number | undefined;
}

/** Ratio of paces from which endpoints count as clearly different. Measured paces of equal endpoints vary less. */
const CLEAR_PACE_RATIO = 1.5;
/** Endpoints are moved if the surplus of one model plus the deficit of another is at least this many endpoints. */
const MIN_DIFFERENCE = 2;
/**
 * Ratio from which the work of two models, in total or per endpoint, counts as different. Smaller variations occur
 * between the steps of one trainer.
 */
const MIN_WORK_RATIO = 1.1;
/** Surplus of fast endpoints from which a model gives one to a model that has none. */
const MIN_FAST_SURPLUS = 2;
/** Rounding error of the sums of shares. */
const TOLERANCE = 1e-9;

interface Share<E> {
  readonly model: string;
  readonly work: number;
  /** The exact proportional number of endpoints. */
  readonly quota: number;
  /** The exact proportional number of fast endpoints. */
  readonly fastQuota: number;
  readonly endpoints: E[];
  /** The rounded number of endpoints. */
  target: number;
}

/**
 * Assigns endpoints in proportion to work. `shares`: the present endpoints of each model; `unassigned`: endpoints that
 * belong to no model yet. Requires some work and at least one endpoint for each model.
 */
export function assignByWork<E extends PacedEndpoint>(
  shares: ReadonlyMap<string, readonly E[]>,
  unassigned: readonly E[],
  work: ReadonlyMap<string, number>,
): ReadonlyMap<string, readonly E[]> {
  return new WorkAssignment(shares, unassigned, work).assign();
}

/** Returns the endpoints that are clearly faster than the others; none if all have similar paces. */
export function fastEndpoints(endpoints: readonly PacedEndpoint[]): ReadonlySet<string> {
  const paced = endpoints.flatMap(({ id, paceMs }) =>
    paceMs === undefined || paceMs <= 0 ? [] : [{ id, paceMs }],
  );
  paced.sort((a, b) => a.paceMs - b.paceMs);
  // The first gap: a second one separates endpoints whose machines are busy for the moment.
  const slowest = paced.findIndex(
    ({ paceMs }, i) => i > 0 && paceMs >= CLEAR_PACE_RATIO * (paced[i - 1]?.paceMs ?? Infinity),
  );
  return new Set(paced.slice(0, Math.max(0, slowest)).map(({ id }) => id));
}

class WorkAssignment<E extends PacedEndpoint> {
  private readonly _shares: readonly Share<E>[];
  private readonly _unassigned: E[];
  private readonly _fast: ReadonlySet<string>;

  constructor(
    shares: ReadonlyMap<string, readonly E[]>,
    unassigned: readonly E[],
    work: ReadonlyMap<string, number>,
  ) {
    this._unassigned = [...unassigned];
    const all = [...[...shares.values()].flat(), ...unassigned];
    this._fast = fastEndpoints(all);
    const total = [...shares.keys()].reduce((sum, model) => sum + (work.get(model) ?? 0), 0);
    this._shares = [...shares].map(([model, endpoints]) => {
      const fraction = (work.get(model) ?? 0) / total;
      const quota = all.length * fraction;
      const fastQuota = this._fast.size * fraction;
      return { model, work: fraction, quota, fastQuota, endpoints: [...endpoints], target: 0 };
    });
  }

  assign(): ReadonlyMap<string, readonly E[]> {
    this._placeUnassigned();
    this._setTargets();
    if (this._isMoveDue()) this._moveToTargets();
    this._exchangeFast();
    return new Map(this._shares.map(({ model, endpoints }) => [model, endpoints]));
  }

  /** Gives each endpoint to the model that lacks most; a model without any endpoint comes first. */
  private _placeUnassigned(): void {
    while (this._unassigned.length > 0) {
      const share = largestBy(this._shares, ({ quota, endpoints }) =>
        endpoints.length === 0 ? Infinity : quota - endpoints.length,
      );
      const lacksFast = share.fastQuota - this._fastCount(share) >= 0.5;
      share.endpoints.push(this._take(this._unassigned, lacksFast));
    }
  }

  /** Sets the proportional numbers by the largest-remainder method, with at least one endpoint for each model. */
  private _setTargets(): void {
    const count = this._shares.reduce((sum, { endpoints }) => sum + endpoints.length, 0);
    for (const share of this._shares) share.target = 1;
    for (let left = count - this._shares.length; left > 0; left--) {
      // Among equal remainders, the model that has the endpoint keeps it.
      const share = largestBy(
        this._shares,
        ({ quota, target }) => quota - target,
        ({ endpoints, target }) => endpoints.length - target,
      );
      share.target += 1;
    }
  }

  private _isMoveDue(): boolean {
    const givers = this._shares.filter(({ endpoints, target }) => endpoints.length > target);
    const receivers = this._shares.filter(({ endpoints, target }) => endpoints.length < target);
    return givers.some(giver => receivers.some(receiver => isDifferenceClear(giver, receiver)));
  }

  private _moveToTargets(): void {
    for (;;) {
      const giver = largestBy(this._shares, ({ endpoints, target }) => endpoints.length - target);
      const receiver = largestBy(this._shares, ({ endpoints, target }) => target - endpoints.length);
      if (giver.endpoints.length <= giver.target) return;
      const isFast = this._fastSurplus(giver) - this._fastSurplus(receiver) > 1;
      receiver.endpoints.push(this._take(giver.endpoints, isFast));
    }
  }

  /** Exchanges a slow endpoint of a model without fast ones for a fast one of a model with a surplus. */
  private _exchangeFast(): void {
    for (const receiver of this._shares) {
      // A model with endpoints of unknown pace may have a fast one.
      if (receiver.endpoints.some(({ paceMs }) => paceMs === undefined)) continue;
      if (receiver.work === 0 || this._fastCount(receiver) > 0) continue;
      const giver = largestBy(this._shares, share => this._fastSurplus(share));
      if (this._fastSurplus(giver) < MIN_FAST_SURPLUS - TOLERANCE) return;
      const fast = this._take(giver.endpoints, true);
      giver.endpoints.push(this._take(receiver.endpoints, false));
      receiver.endpoints.push(fast);
    }
  }

  private _fastCount({ endpoints }: Share<E>): number {
    return endpoints.filter(({ id }) => this._fast.has(id)).length;
  }

  private _fastSurplus(share: Share<E>): number {
    return this._fastCount(share) - share.fastQuota;
  }

  /** Removes the last fast or other endpoint, or the last one if there is none of the kind. */
  private _take(endpoints: E[], isFast: boolean): E {
    const index = endpoints.findLastIndex(({ id }) => this._fast.has(id) === isFast);
    const [taken] = endpoints.splice(index, 1);
    invariant(taken !== undefined, 'the list has an endpoint');
    return taken;
  }
}

/** True if the receiver lacks so many endpoints compared with the giver that moving them is worth the loads. */
function isDifferenceClear(giver: Share<PacedEndpoint>, receiver: Share<PacedEndpoint>): boolean {
  const [given, received] = [giver.endpoints.length, receiver.endpoints.length];
  if (received === 0) return true;
  const difference = given - giver.quota - (received - receiver.quota);
  if (difference < MIN_DIFFERENCE - TOLERANCE) return false;
  if (receiver.work * given < MIN_WORK_RATIO * giver.work * received - TOLERANCE) return false;
  // Models of similar work have similar shares, whatever the rounding of their exact shares.
  return !isWorkSimilar(giver.work, receiver.work) || given - received >= MIN_DIFFERENCE;
}

function isWorkSimilar(a: number, b: number): boolean {
  return Math.max(a, b) < MIN_WORK_RATIO * Math.min(a, b);
}

/** The first element with the largest value, or with the largest second value among equal ones. */
function largestBy<T>(all: readonly T[], value: (one: T) => number, second: (one: T) => number = () => 0): T {
  return all.reduce((best, one) => {
    const [a, b] = [value(one), value(best)];
    if (a > b + TOLERANCE) return one;
    return a >= b - TOLERANCE && second(one) > second(best) ? one : best;
  });
}
