/**
 * Pools whose endpoints can be ordered.
 */

/** What the operators allow for a pool, and what its endpoints cost. */
export interface PoolScaling {
  /** Bounds for each failure domain. */
  readonly min: number;
  readonly max: number;
  /** From an order until the endpoint serves. */
  readonly bootMs: number;
  /** What a second of an endpoint costs, by failure domain. */
  readonly prices: ReadonlyMap<string, number>;
}

/** A pool as the host sees it that orders its endpoints. */
export interface PoolView {
  readonly scaling: PoolScaling;
  /** Models that share the pool. */
  readonly models: number;
  /** Endpoints that serve, by failure domain. */
  readonly present: ReadonlyMap<string, number>;
}

/** Endpoints that should be there, by failure domain; a domain that is not named keeps what it has. */
export type WantedCapacity = ReadonlyMap<string, number>;
