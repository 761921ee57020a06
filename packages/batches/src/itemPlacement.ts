/**
 * Which endpoint runs an item.
 *
 * Engines batch what they run, and a step of the batch costs nearly the same at any fill, so free places are
 * used to the full. What decides how long an item takes is the pace of its endpoint: a slow one holds a whole
 * group, and with it the step. Items of a group share their prompt and go to one endpoint while it has room.
 */

/** An endpoint as the placement sees it. */
export interface PlacementEndpoint {
  readonly id: string;
  readonly domain: string;
  /** Places that are free by this host's own count and the endpoint's last word. */
  readonly freePlaces: number;
  /** Milliseconds from one event to the next; undefined before the first. */
  readonly paceMs: number | undefined;
}

/** An endpoint with this many times the median pace is slow. Endpoints of one pool differ by up to 1.3. */
export const SLOW_FACTOR = 2;
const PACE_TOLERANCE = 1.1;
/** A run moves only away from an endpoint that is clearly slow: a measured pace swings by a quarter. */
const MOVE_FACTOR = 2;
/**
 * A run that is this old is one of the few that decide when its step is whole: half of all items end within 0.8 s, and
 * the longest take 7.1 s of 7.5 at the quickest endpoints and 9.2 s at those that are 1.3 times slower. Going on
 * elsewhere costs some ms of prefill.
 */
const OLD_RUN_MS = 1500;
const OLD_RUN_MOVE_FACTOR = 1.2;
/** A younger run is not worth moving: its text would end in the time that the move takes. */
const YOUNG_RUN_MS = 800;

/** True if a run that has taken `ranMs` at an endpoint of one pace should go on at one of another. */
export function shouldMove(ranMs: number, paceMs: number, otherPaceMs: number): boolean {
  if (ranMs <= YOUNG_RUN_MS) return false;
  const factor = ranMs > OLD_RUN_MS ? OLD_RUN_MOVE_FACTOR : MOVE_FACTOR;
  return otherPaceMs * factor < paceMs;
}

/** The median pace of the endpoints that have one; undefined when none has. */
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
  /** The endpoint that runs other items of the group, if any. */
  readonly groupEndpointId: string | undefined;
  /** True for an item that is expected to be among the longest: pace counts more for it than company. */
  readonly isLong: boolean;
  readonly ownDomain: string;
  /** Endpoints at which this item was refused or broke a moment ago. */
  readonly avoid: ReadonlySet<string>;
}

/** Which of the endpoints that are not slow an item goes to. */
export interface PlacementPolicy {
  /** `quick`: endpoints with a free place; `together`: the one of them that runs others of the item's group, if any. */
  choose(
    quick: readonly PlacementEndpoint[],
    together: PlacementEndpoint | undefined,
    request: PlacementRequest,
  ): PlacementEndpoint | undefined;
}

/** Long items to the quickest endpoint, others to their group, or to the endpoint with the most room. */
export class MostFreePlacement implements PlacementPolicy {
  choose(
    quick: readonly PlacementEndpoint[],
    together: PlacementEndpoint | undefined,
    { isLong, ownDomain }: PlacementRequest,
  ): PlacementEndpoint | undefined {
    if (isLong) return fastest(quick);
    return together ?? mostFree(quick, ownDomain);
  }
}

/**
 * Every item to the quickest endpoint that has a place, of equals to its group's. Lengths are estimated badly: an item that turns
 * out to be among the longest then runs well already, where it would have to move.
 */
export class FastestPlacement implements PlacementPolicy {
  choose(
    quick: readonly PlacementEndpoint[],
    together: PlacementEndpoint | undefined,
    { isLong }: PlacementRequest,
  ): PlacementEndpoint | undefined {
    const found = fastest(quick);
    if (!found || !together || isLong) return found;
    return isClearlyFaster(found, together) ? found : together;
  }
}

/** The endpoint for an item, or undefined when it is better to wait for a place. */
export function placeItem(
  endpoints: readonly PlacementEndpoint[],
  request: PlacementRequest,
  policy: PlacementPolicy = DEFAULT_PLACEMENT,
): PlacementEndpoint | undefined {
  const medianMs = medianPaceMs(endpoints);
  const open = endpoints.filter(endpoint => endpoint.freePlaces > 0 && !request.avoid.has(endpoint.id));
  const quick = open.filter(endpoint => !isSlow(endpoint, medianMs));
  const together = quick.find(endpoint => endpoint.id === request.groupEndpointId);
  return (
    policy.choose(quick, together, request) ??
    (hasFastEndpoint(endpoints, medianMs) ? undefined : mostFree(open, ''))
  );
}

const DEFAULT_PLACEMENT: PlacementPolicy = new MostFreePlacement();

/** True if an endpoint that is not slow exists: an item that waits for its place still ends sooner there. */
function hasFastEndpoint(endpoints: readonly PlacementEndpoint[], medianMs: number | undefined): boolean {
  return endpoints.some(endpoint => !isSlow(endpoint, medianMs));
}

/** The endpoint with the best pace; among equals, and where paces are not known, the one with the most places. */
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
  return a.freePlaces > b.freePlaces;
}

/** Paces are measured: a tenth is no difference. */
function isClearlyFaster(a: PlacementEndpoint, b: PlacementEndpoint): boolean {
  return (a.paceMs ?? 0) * PACE_TOLERANCE < (b.paceMs ?? 0);
}

/** The endpoint with the most free places; among equals one of the own failure domain. */
function mostFree(endpoints: readonly PlacementEndpoint[], ownDomain: string): PlacementEndpoint | undefined {
  let found: PlacementEndpoint | undefined;
  for (const endpoint of endpoints) {
    if (!found || isFreer(endpoint, found, ownDomain)) found = endpoint;
  }
  return found;
}

function isFreer(a: PlacementEndpoint, b: PlacementEndpoint, ownDomain: string): boolean {
  if (a.freePlaces !== b.freePlaces) return a.freePlaces > b.freePlaces;
  return a.domain === ownDomain && b.domain !== ownDomain;
}
