/**
 * Pools whose endpoints can be ordered.
 */

/** Scaling limits of a pool, set by the operators, and the prices of its endpoints. */
export interface PoolScaling {
  /** Bounds per failure domain. */
  readonly min: number;
  readonly max: number;
  /** Time from an order until the endpoint serves. */
  readonly bootMs: number;
  /** Price of an endpoint per second, by failure domain. */
  readonly prices: ReadonlyMap<string, number>;
}

/** Input of a capacity policy. */
export interface PoolView {
  readonly scaling: PoolScaling;
  /** Number of models that share the pool. */
  readonly models: number;
  /** Number of serving endpoints by failure domain. */
  readonly present: ReadonlyMap<string, number>;
}

/** Wanted number of endpoints by failure domain; a domain that is not listed remains unchanged. */
export type WantedCapacity = ReadonlyMap<string, number>;
