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
  /** Comparison with the complete pool; absent while that is unknown, or for policies that don't use it. */
  readonly shortage?: PoolShortage | undefined;
  /** Domains in which no further endpoints may be ordered now, because the last order failed. */
  readonly backingOff?: ReadonlySet<string>;
}

/** Numbers of endpoints by kind. */
export interface EndpointCounts {
  readonly regular: number;
  /** Endpoints that the platform may reclaim at short notice. */
  readonly reclaimable: number;
}

/** What a pool lacks compared with its base: the endpoints of each kind and domain that it had when complete. */
export interface PoolShortage {
  readonly domains: ReadonlyMap<string, DomainShortage>;
  /** Number of endpoints of the base in all domains. */
  readonly baseTotal: number;
  /**
   * Endpoints missing from the base throughout the last 500 ms; additional endpoints are not counted as present, and
   * withdrawn ones not as missing.
   */
  readonly missing: number;
  /** Time for which the base has been complete; 0 while endpoints are missing. */
  readonly completeForMs: number;
}

export interface DomainShortage {
  readonly base: EndpointCounts;
  readonly present: EndpointCounts;
  /** Regular endpoints that the platform runs for others than the policy. An order below it would remove some. */
  readonly floor: number;
  /** Additional regular endpoints that were ordered and are expected to serve, or do. */
  readonly planned: number;
  /** Upper bound of the additional regular endpoints, including those of orders with an unknown outcome. */
  readonly added: number;
  /** Additional regular endpoints that are planned and have not been seen yet. */
  readonly awaited: number;
  /** Regular endpoints below the base that left after draining, as in a release or a planned scale-in. */
  readonly withdrawn: number;
  /** Time since the number of endpoints last fell for another reason than an order. */
  readonly sinceLossMs: number;
}

/** The part of a pool's state that outlives the holder of the duty. */
export interface CapacityRecord {
  readonly base: ReadonlyMap<string, EndpointCounts>;
  /** Upper bound of the additional regular endpoints by domain. */
  readonly added: ReadonlyMap<string, number>;
  /** Regular endpoints by domain that were drained and not replaced. */
  readonly withdrawn: ReadonlyMap<string, number>;
  /** Identifiers of the regular endpoints that drain, so that a successor does not count them again. */
  readonly draining: readonly string[];
}

/** Wanted number of endpoints by failure domain; a domain that is not listed remains unchanged. */
export type WantedCapacity = ReadonlyMap<string, number>;
