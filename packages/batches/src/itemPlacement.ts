/**
 * Selects the endpoint that runs an item.
 *
 * An engine batches its requests and runs a full batch almost as fast as a small one, so all free slots are used. Items
 * of a group share their prompt and are placed together while the endpoint has free slots. Slow endpoints are avoided,
 * since one slow item delays its group and with it the step.
 */
import { median } from './median.js';

export interface PlacementEndpoint {
  readonly id: string;
  readonly domain: string;
  /** Estimated from this host's requests and the endpoint's last report. */
  readonly freeSlots: number;
  /** The time between two events; undefined while not measured. */
  readonly paceMs: number | undefined;
}

/** An endpoint is slow if its time between events exceeds this multiple of the median. */
export const SLOW_FACTOR = 2;
const PACE_TOLERANCE = 1.1;
/** The minimum ratio of paces for a move, well above the variation of measured paces. */
const MOVE_FACTOR = 2;
/** Items that run for longer than this determine the duration of their step and move for a smaller gain. */
const LONG_RUN_MS = 1500;
const LONG_RUN_MOVE_FACTOR = 1.2;
/** Items do not move before they have run for this long: most of them end before a move would pay off. */
const MIN_RUN_MS = 800;

/** Decides whether an item that has run for `elapsedMs` moves to an endpoint with pace `otherPaceMs`. */
export function shouldMove(elapsedMs: number, paceMs: number, otherPaceMs: number): boolean {
  if (elapsedMs <= MIN_RUN_MS) return false;
  const factor = elapsedMs > LONG_RUN_MS ? LONG_RUN_MOVE_FACTOR : MOVE_FACTOR;
  return otherPaceMs * factor < paceMs;
}

/** The median of the known paces. */
export function medianPaceMs(endpoints: readonly PlacementEndpoint[]): number | undefined {
  return median(endpoints.map(endpoint => endpoint.paceMs).filter(pace => pace !== undefined));
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
  /** `candidates`: endpoints with a free slot; `groupEndpoint`: the one of them that runs other items of the group. */
  choose(
    candidates: readonly PlacementEndpoint[],
    groupEndpoint: PlacementEndpoint | undefined,
    request: PlacementRequest,
  ): PlacementEndpoint | undefined;
}

/** Places long items at the fastest endpoint, others with their group or else where most slots are free. */
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

/** Places all items at the fastest endpoint, so that those that are longer than estimated need not move. */
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

/**
 * Like `MostFreePlacement`, but takes endpoints of unknown pace for average ones, not for the fastest. For pools whose
 * endpoints clearly differ in speed: a long item at a new endpoint would otherwise often have to move.
 */
export class KnownFastPlacement implements PlacementPolicy {
  private readonly _mostFree = new MostFreePlacement();

  choose(
    candidates: readonly PlacementEndpoint[],
    groupEndpoint: PlacementEndpoint | undefined,
    request: PlacementRequest,
  ): PlacementEndpoint | undefined {
    if (!request.isLong) return this._mostFree.choose(candidates, groupEndpoint, request);
    const medianMs = medianPaceMs(candidates);
    const assumed = candidates.map(candidate => ({ ...candidate, paceMs: candidate.paceMs ?? medianMs }));
    const found = fastest(assumed);
    return found && candidates.find(({ id }) => id === found.id);
  }
}

/** Returns undefined if the item should wait for a free slot. */
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

/** True if the item should rather wait for a fast endpoint than run at a slow one. */
function hasFastEndpoint(endpoints: readonly PlacementEndpoint[], medianMs: number | undefined): boolean {
  return endpoints.some(endpoint => !isSlow(endpoint, medianMs));
}

/** Among endpoints of equal or unknown pace, the one with the most free slots. */
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

/** Among equals, an endpoint in `ownDomain`. */
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
