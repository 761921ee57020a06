/**
 * Selects the endpoint for a request.
 *
 * Criteria in order: rules (pool, domains), the host's own failure domain, the endpoint that caches the prompt's
 * prefix unless it is overloaded, then the least expected time for customer requests where endpoints report their
 * speed, otherwise the less loaded of two chosen at random. Each host uses a subset of a large pool, so that no host
 * watches all endpoints.
 */
import { hash32, rendezvous, type Random } from '@fuchsiahitch/base';
import type { ConcurrencyLimit } from './concurrencyLimit.js';
import type { EndpointStats } from './endpointStats.js';

/** A host's view of one endpoint. */
export interface EndpointView {
  readonly id: string;
  readonly domain: string;
  readonly pool: string;
  readonly isLeaving: boolean;
  readonly version: string;
  readonly stats: EndpointStats;
  readonly limit: ConcurrencyLimit;
}

export interface PickRequest {
  readonly pool: string;
  readonly ownDomain: string;
  /** Failure domains in order of preference; empty to prefer the host's own. */
  readonly domains: readonly string[];
  readonly isRollout: boolean;
  readonly reserve: number;
  /** The start of the prompt, for affinity to prefix caches. */
  readonly prefix: string;
  /** The required weight version; empty for any. */
  readonly version: string;
  /** Endpoints that already received this request. */
  readonly tried: ReadonlySet<string>;
}

/** Endpoints that one host uses per pool and domain. */
export const SUBSET_SIZE = 16;
/** Prefix affinity applies up to this multiple of the mean load. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** Returns the endpoints of a pool and domain that this host uses and watches. */
export function subsetFor(hostId: string, endpointIds: readonly string[]): readonly string[] {
  if (endpointIds.length <= SUBSET_SIZE) return endpointIds;
  return rendezvous(hostId, endpointIds).slice(0, SUBSET_SIZE);
}

/** Returns true if this host's limit for the endpoint allows another request. */
export function hasCapacity(endpoint: EndpointView, isRollout: boolean, reserve: number): boolean {
  if (endpoint.stats.inFlight() >= endpoint.limit.value()) return false;
  return !isRollout || endpoint.stats.rolloutInFlight() < endpoint.limit.rolloutLimit(reserve);
}

export class EndpointPicker {
  private readonly _random: Random;

  constructor(random: Random) {
    this._random = random;
  }

  /** Returns undefined if no endpoint has capacity. */
  pick(endpoints: readonly EndpointView[], request: PickRequest): EndpointView | undefined {
    const usable = endpoints.filter(endpoint => isCandidate(endpoint, request));
    for (const group of byDomain(usable, request)) {
      const available = group.filter(endpoint => hasCapacity(endpoint, request.isRollout, request.reserve));
      if (available.length > 0)
        return (
          this._pickByPrefix(available, group, request.prefix) ??
          this._pickByLoad(available, request.isRollout)
        );
    }
    return undefined;
  }

  /** Returns the endpoint with the most rollouts in flight, one of which is to be preempted for a customer. */
  pickToPreempt(endpoints: readonly EndpointView[], request: PickRequest): EndpointView | undefined {
    const usable = endpoints.filter(e => isCandidate(e, request) && e.stats.rolloutInFlight() > 0);
    const [group = []] = byDomain(usable, request);
    return group.reduce<EndpointView | undefined>(
      (most, e) => (!most || e.stats.rolloutInFlight() > most.stats.rolloutInFlight() ? e : most),
      undefined,
    );
  }

  private _pickByPrefix(
    available: readonly EndpointView[],
    group: readonly EndpointView[],
    prefix: string,
  ): EndpointView | undefined {
    if (prefix === '') return undefined;
    const total = group.reduce((sum, endpoint) => sum + endpoint.stats.estimatedLoad(), 0);
    const maxLoad = Math.ceil(AFFINITY_LOAD_FACTOR * ((total + 1) / group.length));
    const preferred = highestRanked(available, prefix);
    return preferred && preferred.stats.estimatedLoad() < maxLoad ? preferred : undefined;
  }

  private _pickByLoad(available: readonly EndpointView[], isRollout: boolean): EndpointView | undefined {
    const isSpeedReported = available.some(endpoint => endpoint.stats.hasReportedWorkPercent());
    return isSpeedReported && !isRollout ? this._pickFastest(available) : this._pickLessLoaded(available);
  }

  /** Chooses at random among equals: most hosts have no recent report, and would all send to the same endpoint. */
  private _pickFastest(available: readonly EndpointView[]): EndpointView | undefined {
    const times = available.map(endpoint => endpoint.stats.expectedTime());
    const leastTime = Math.min(...times);
    const fastest = available.filter((_, i) => times[i] === leastTime);
    return fastest[this._random.below(fastest.length)];
  }

  private _pickLessLoaded(available: readonly EndpointView[]): EndpointView | undefined {
    const first = available[this._random.below(available.length)];
    const second = available[this._random.below(available.length)];
    if (!first || !second) return first;
    return relativeLoad(second) < relativeLoad(first) ? second : first;
  }
}

function isCandidate(endpoint: EndpointView, request: PickRequest): boolean {
  if (endpoint.pool !== request.pool || endpoint.isLeaving || request.tried.has(endpoint.id)) return false;
  if (request.version !== '' && endpoint.version !== request.version) return false;
  return endpoint.stats.isUsable();
}

/** Groups endpoints by domain: the preferred domains in order, or else the own domain, then all others as one group. */
function byDomain(
  endpoints: readonly EndpointView[],
  request: PickRequest,
): readonly (readonly EndpointView[])[] {
  const order = request.domains.length > 0 ? request.domains : [request.ownDomain];
  const groups = order.map(domain => endpoints.filter(endpoint => endpoint.domain === domain));
  groups.push(endpoints.filter(endpoint => !order.includes(endpoint.domain)));
  return groups.filter(group => group.length > 0);
}

/** Selects by rendezvous hashing of the prefix, so that all hosts prefer the same endpoint for it. */
function highestRanked(endpoints: readonly EndpointView[], prefix: string): EndpointView | undefined {
  let best: EndpointView | undefined;
  let bestWeight = -1;
  for (const endpoint of endpoints) {
    const weight = hash32(`${prefix}\n${endpoint.id}`);
    if (weight > bestWeight) {
      best = endpoint;
      bestWeight = weight;
    }
  }
  return best;
}

function relativeLoad(endpoint: EndpointView): number {
  return endpoint.stats.estimatedLoad() / endpoint.limit.value();
}
