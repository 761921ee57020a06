/**
 * Chooses the endpoint of a request.
 *
 * Order: rules (pool, domains), then the host's own failure domain, then the endpoint that holds the prompt's
 * prefix if it is not loaded beyond its share, then the less loaded of two drawn at random. At the target a
 * host looks at its own subset of a pool's servers only, so that no host watches all of them.
 */
import { hash32, rendezvous, type Random } from '@fuchsiahitch/base';
import type { ConcurrencyLimit } from './concurrencyLimit.js';
import type { EndpointStats } from './endpointStats.js';

/** One endpoint as a host sees it. */
export interface EndpointView {
  readonly id: string;
  readonly domain: string;
  readonly pool: string;
  readonly isLeaving: boolean;
  readonly version: string;
  readonly stats: EndpointStats;
  readonly limit: ConcurrencyLimit;
}

/** What a request asks of its endpoint. */
export interface PickRequest {
  readonly pool: string;
  readonly ownDomain: string;
  /** Failure domains in the order that a rule prefers them; empty for the own one first. */
  readonly domains: readonly string[];
  readonly isRollout: boolean;
  readonly reserve: number;
  /** The beginning of the prompt, for the engines' prefix caches; empty for none. */
  readonly prefix: string;
  /** Only this version, if not empty. */
  readonly version: string;
  /** Endpoints that this request was already tried at. */
  readonly tried: ReadonlySet<string>;
}

/** Endpoints of one pool and domain that one host uses. */
export const SUBSET_SIZE = 16;
/** The endpoint with the prefix may carry this much of the mean load, and no more. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** The subset of a pool's endpoints in one domain that this host uses and watches. */
export function subsetFor(hostId: string, endpointIds: readonly string[]): readonly string[] {
  if (endpointIds.length <= SUBSET_SIZE) return endpointIds;
  return rendezvous(hostId, endpointIds).slice(0, SUBSET_SIZE);
}

/** True if the endpoint has room for the request under this host's limit. */
export function hasRoom(endpoint: EndpointView, isRollout: boolean, reserve: number): boolean {
  if (endpoint.stats.inFlight() >= endpoint.limit.value()) return false;
  return !isRollout || endpoint.stats.rolloutInFlight() < endpoint.limit.rolloutLimit(reserve);
}

export class EndpointPicker {
  private readonly _random: Random;

  constructor(random: Random) {
    this._random = random;
  }

  /** The endpoint to send to now, or undefined when none has room. */
  pick(endpoints: readonly EndpointView[], request: PickRequest): EndpointView | undefined {
    const usable = endpoints.filter(endpoint => isCandidate(endpoint, request));
    for (const group of byDomain(usable, request)) {
      const free = group.filter(endpoint => hasRoom(endpoint, request.isRollout, request.reserve));
      if (free.length > 0)
        return this._pickByPrefix(free, group, request.prefix) ?? this._pickLessLoaded(free);
    }
    return undefined;
  }

  /** The rollout's endpoint that must yield to a customer: the one with the most rollouts. */
  pickToPreempt(endpoints: readonly EndpointView[], request: PickRequest): EndpointView | undefined {
    const usable = endpoints.filter(e => isCandidate(e, request) && e.stats.rolloutInFlight() > 0);
    const [group = []] = byDomain(usable, request);
    return group.reduce<EndpointView | undefined>(
      (most, e) => (!most || e.stats.rolloutInFlight() > most.stats.rolloutInFlight() ? e : most),
      undefined,
    );
  }

  private _pickByPrefix(
    free: readonly EndpointView[],
    group: readonly EndpointView[],
    prefix: string,
  ): EndpointView | undefined {
    if (prefix === '') return undefined;
    const total = group.reduce((sum, endpoint) => sum + endpoint.stats.estimatedLoad(), 0);
    const bound = Math.ceil(AFFINITY_LOAD_FACTOR * ((total + 1) / group.length));
    const preferred = highestRanked(free, prefix);
    return preferred && preferred.stats.estimatedLoad() < bound ? preferred : undefined;
  }

  private _pickLessLoaded(free: readonly EndpointView[]): EndpointView | undefined {
    const first = free[this._random.below(free.length)];
    const second = free[this._random.below(free.length)];
    if (!first || !second) return first;
    return relativeLoad(second) < relativeLoad(first) ? second : first;
  }
}

function isCandidate(endpoint: EndpointView, request: PickRequest): boolean {
  if (endpoint.pool !== request.pool || endpoint.isLeaving || request.tried.has(endpoint.id)) return false;
  if (request.version !== '' && endpoint.version !== request.version) return false;
  return endpoint.stats.isUsable();
}

/** The endpoints in groups by domain: preferred ones in order, then the own, then the rest together. */
function byDomain(
  endpoints: readonly EndpointView[],
  request: PickRequest,
): readonly (readonly EndpointView[])[] {
  const order = request.domains.length > 0 ? request.domains : [request.ownDomain];
  const groups = order.map(domain => endpoints.filter(endpoint => endpoint.domain === domain));
  groups.push(endpoints.filter(endpoint => !order.includes(endpoint.domain)));
  return groups.filter(group => group.length > 0);
}

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
