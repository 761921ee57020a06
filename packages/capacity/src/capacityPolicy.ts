/**
 * Policies for the wanted capacity of a pool.
 */
import type { PoolView, WantedCapacity } from './model.js';

export interface CapacityPolicy {
  readonly name: string;
  /** True if it needs `PoolView.shortage`, and wants numbers of regular endpoints instead of all. */
  readonly usesBase?: boolean;
  /** Deterministic, so that successive holders of the duty agree. */
  wanted(pool: PoolView): WantedCapacity;
}

/** Orders nothing. */
export class KeepCapacity implements CapacityPolicy {
  readonly name = 'keep';

  wanted(): WantedCapacity {
    return new Map();
  }
}

/** Limits the weight of domains with a price close to zero. */
const MIN_PRICE = 0.01;

/**
 * Wants a fixed number of endpoints per model, distributed over the failure domains in inverse proportion to prices.
 *
 * With enough endpoints, each model gets its own share of the pool and trainers don't wait for each other.
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
