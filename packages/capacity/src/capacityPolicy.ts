/**
 * Which capacity a pool should have.
 */
import type { PoolView, WantedCapacity } from './model.js';

export interface CapacityPolicy {
  readonly name: string;
  /** The same view gives the same answer: whoever has the duty next wants the same. */
  wanted(pool: PoolView): WantedCapacity;
}

/** Orders nothing: what there is stays. */
export class KeepCapacity implements CapacityPolicy {
  readonly name = 'keep';

  wanted(): WantedCapacity {
    return new Map();
  }
}

/** A domain that costs next to nothing does not get everything. */
const MIN_PRICE = 0.01;

/**
 * As many endpoints for each model as the operators say, more of them where they are cheaper.
 *
 * Guards against trainers that wait for each other's places, and for endpoints that load weights: each trainer's versions go to a
 * share of the pool. No domain gets fewer than it would by even parts of what the cheapest gets, in the ratio of prices, so that
 * each keeps some when others are cut off.
 */
export class CapacityByModel implements CapacityPolicy {
  readonly name = 'by-model';
  private readonly _endpointsPerModel: number;

  constructor(endpointsPerModel: number) {
    this._endpointsPerModel = endpointsPerModel;
  }

  wanted({ scaling, models }: PoolView): WantedCapacity {
    const total = this._endpointsPerModel * models;
    const weights = [...scaling.prices].map(([domain, price]) => ({
      domain,
      weight: 1 / Math.max(price, MIN_PRICE),
    }));
    const sum = weights.reduce((all, { weight }) => all + weight, 0);
    return new Map(
      weights.map(({ domain, weight }) => [domain, clamp(scaling, Math.round((total * weight) / sum))]),
    );
  }
}

function clamp({ min, max }: { readonly min: number; readonly max: number }, count: number): number {
  return Math.min(max, Math.max(min, count));
}
