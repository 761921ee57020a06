/**
 * Selects the endpoint that runs an item.
 *
 * Engines run requests in batches at nearly the same cost at any fill level, so all free places are used. A slow
 * endpoint delays the complete group and with it the step. Items of a group share their prompt and are placed together
 * while the endpoint has room.
 */

export interface PlacementEndpoint {
  readonly id: string;
  readonly domain: string;
  /** By this host's count and the endpoint's last report. */
  readonly freeSlots: number;
  /** The time between two events; undefined while not measured. */
  readonly paceMs: number | undefined;
}

/** An endpoint is slow if its time between events exceeds this multiple of the median. */
export const SLOW_FACTOR = 2;
const PACE_TOLERANCE = 1.1;
/** The minimum ratio of paces for a move, well above the variation of measured paces. */
const MOVE_FACTOR = 2;
/** Older runs determine the duration of their step and move for a smaller gain. */
const OLD_RUN_MS = 1500;
const OLD_RUN_MOVE_FACTOR = 1.2;
/** Younger runs do not move: they usually end before a move would pay off. */
const YOUNG_RUN_MS = 800;

/** Decides whether a run of age `ranMs` moves to an endpoint with `otherPaceMs`. */
export function shouldMove(ranMs: number, paceMs: number, otherPaceMs: number): boolean {
  if (ranMs <= YOUNG_RUN_MS) return false;
  const factor = ranMs > OLD_RUN_MS ? OLD_RUN_MOVE_FACTOR : MOVE_FACTOR;
  return otherPaceMs * factor < paceMs;
}

/** The median of the known paces. */
export function medianPaceMs(endpoints: readonly PlacementEndpoint[]): number | undefined {
  const paces = endpoints.map(endpoint => endpoint.paceMs).filter(pace => pace !== undefined);
  paces.sort((a, b) => a - b);
  return paces[Math.floor((paces.length - 1) / 2)];
}

export function isSlow(endpoint: PlacementEndpoint, medianMs: number | undefined): boolean {
  if (endpoint.paceMs === undefined || medianMs === undefined) return false;
  return endpoint.paceMs > SLOW_FACTOR * medianMs;
}

export interface PlacementRequest {
  /** The endpoint that runs other items of the group. */
  readonly groupEndpointId: string | undefined;
  /** True if expected to be among the longest items: pace then takes precedence over group affinity. */
  readonly isLong: boolean;
  readonly ownDomain: string;
  /** Endpoints at which this item was recently refused or interrupted. */
  readonly avoid: ReadonlySet<string>;
}

/** Selects among the endpoints that are not slow. */
export interface PlacementPolicy {
  /** `candidates`: endpoints with a free place; `groupEndpoint`: the one of them that runs other items of the group. */
  choose(
    candidates: readonly PlacementEndpoint[],
    groupEndpoint: PlacementEndpoint | undefined,
    request: PlacementRequest,
  ): PlacementEndpoint | undefined;
}

/** Long items go to the fastest endpoint, others to their group or else where most places are free. */
export class MostFreePlacement implements PlacementPolicy {
  choose(
    candidates: readonly PlacementEndpoint[],
    groupEndpoint: PlacementEndpoint | undefined,
    { isLong, ownDomain }: PlacementRequest,
  ): PlacementEndpoint | undefined {
    if (isLong) return fastest(candidates);
    return groupEndpoint ?? mostFree(candidates, ownDomain);
  }
}

/** All items go to the fastest endpoint, so that those that turn out longer than estimated need not move. */
export class FastestPlacement implements PlacementPolicy {
  choose(
    candidates: readonly PlacementEndpoint[],
    groupEndpoint: PlacementEndpoint | undefined,
    { isLong }: PlacementRequest,
  ): PlacementEndpoint | undefined {
    const found = fastest(candidates);
    if (!found || !groupEndpoint || isLong) return found;
    return isClearlyFaster(found, groupEndpoint) ? found : groupEndpoint;
  }
}

/** Returns undefined if the item should wait for a free place. */
export function placeItem(
  endpoints: readonly PlacementEndpoint[],
  request: PlacementRequest,
  policy: PlacementPolicy = DEFAULT_PLACEMENT,
): PlacementEndpoint | undefined {
  const medianMs = medianPaceMs(endpoints);
  const available = endpoints.filter(endpoint => endpoint.freeSlots > 0 && !request.avoid.has(endpoint.id));
  const candidates = available.filter(endpoint => !isSlow(endpoint, medianMs));
  const groupEndpoint = candidates.find(endpoint => endpoint.id === request.groupEndpointId);
  return (
    policy.choose(candidates, groupEndpoint, request) ??
    (hasFastEndpoint(endpoints, medianMs) ? undefined : mostFree(available, ''))
  );
}

const DEFAULT_PLACEMENT: PlacementPolicy = new MostFreePlacement();

/** Waiting for a fast endpoint is better than running at a slow one. */
function hasFastEndpoint(endpoints: readonly PlacementEndpoint[], medianMs: number | undefined): boolean {
  return endpoints.some(endpoint => !isSlow(endpoint, medianMs));
}

/** Among equals, or without known paces, the endpoint with the most free places. */
function fastest(endpoints: readonly PlacementEndpoint[]): PlacementEndpoint | undefined {
  let found: PlacementEndpoint | undefined;
  for (const endpoint of endpoints) {
    if (!found || isFaster(endpoint, found)) found = endpoint;
  }
  return found;
}

function isFaster(a: PlacementEndpoint, b: PlacementEndpoint): boolean {
  if (isClearlyFaster(a, b)) return true;
  if (isClearlyFaster(b, a)) return false;
  return a.freeSlots > b.freeSlots;
}

/** Ignores differences within the tolerance of the measurement. */
function isClearlyFaster(a: PlacementEndpoint, b: PlacementEndpoint): boolean {
  return (a.paceMs ?? 0) * PACE_TOLERANCE < (b.paceMs ?? 0);
}

/** Among equals, an endpoint of the own failure domain. */
function mostFree(endpoints: readonly PlacementEndpoint[], ownDomain: string): PlacementEndpoint | undefined {
  let found: PlacementEndpoint | undefined;
  for (const endpoint of endpoints) {
    if (!found || isFreer(endpoint, found, ownDomain)) found = endpoint;
  }
  return found;
}

function isFreer(a: PlacementEndpoint, b: PlacementEndpoint, ownDomain: string): boolean {
  if (a.freeSlots !== b.freeSlots) return a.freeSlots > b.freeSlots;
  return a.domain === ownDomain && b.domain !== ownDomain;
}
