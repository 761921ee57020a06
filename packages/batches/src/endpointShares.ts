/**
 * Assigns the endpoints of a pool to the models of its trainers.
 *
 * Loading weights stops an endpoint for about a second and discards its prefix cache, so each endpoint loads only one
 * model. It keeps that model unless the shares differ by two or more endpoints.
 */
import { assignByWork } from './weightedShares.js';

/** An endpoint with its weight version of each model. */
export interface SharedEndpoint {
  readonly id: string;
  readonly versions: ReadonlyMap<string, number>;
  /** Time between two events of a stream; undefined if not known yet. Matters only if the work is known. */
  readonly paceMs?: number | undefined;
}

/** The newest version of each model, by model name. */
export type ModelTargets = ReadonlyMap<string, number>;

/** The work of each model, by model name, in any unit. */
export type ModelWork = ReadonlyMap<string, number>;

/**
 * Returns the endpoints of each model. Every endpoint is assigned to one model. The shares are proportional to `work`;
 * they are equal if it is undefined, zero, or if there are fewer endpoints than models.
 */
export function assignEndpoints(
  endpoints: readonly SharedEndpoint[],
  targets: ModelTargets,
  work?: ModelWork,
): ReadonlyMap<string, readonly string[]> {
  const { shares, unassigned } = presentShares(endpoints, targets);
  if (work && isUsable(work, targets, endpoints.length)) return idsOf(assignByWork(shares, unassigned, work));
  for (const endpoint of unassigned) smallestShare(shares)?.push(endpoint);
  balance(shares);
  return idsOf(shares);
}

/** Returns the number of endpoints that each model has now. As work, it leaves all endpoints where they are. */
export function presentWork(endpoints: readonly SharedEndpoint[], targets: ModelTargets): ModelWork {
  const { shares } = presentShares(endpoints, targets);
  return new Map([...shares].map(([model, share]) => [model, share.length]));
}

interface PresentShares {
  readonly shares: ReadonlyMap<string, SharedEndpoint[]>;
  readonly unassigned: readonly SharedEndpoint[];
}

/** Splits the endpoints by the model whose newest version each is closest to. */
function presentShares(endpoints: readonly SharedEndpoint[], targets: ModelTargets): PresentShares {
  const shares = new Map<string, SharedEndpoint[]>([...targets.keys()].map(model => [model, []]));
  const unassigned: SharedEndpoint[] = [];
  for (const endpoint of sortedById(endpoints)) {
    const closest = closestModel(endpoint, targets);
    const share = closest === undefined ? undefined : shares.get(closest);
    (share ?? unassigned).push(endpoint);
  }
  return { shares, unassigned };
}

function idsOf(
  shares: ReadonlyMap<string, readonly SharedEndpoint[]>,
): ReadonlyMap<string, readonly string[]> {
  return new Map([...shares].map(([model, share]) => [model, share.map(({ id }) => id)]));
}

function isUsable(work: ModelWork, targets: ModelTargets, endpointCount: number): boolean {
  const amounts = [...targets.keys()].map(model => work.get(model) ?? 0);
  const total = amounts.reduce((sum, amount) => sum + amount, 0);
  return Number.isFinite(total) && total > 0 && Math.min(...amounts) >= 0 && endpointCount >= targets.size;
}

function sortedById(endpoints: readonly SharedEndpoint[]): readonly SharedEndpoint[] {
  return [...endpoints].sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** The model whose newest version the endpoint is closest to; undefined on a tie. */
function closestModel(endpoint: SharedEndpoint, targets: ModelTargets): string | undefined {
  let closest: string | undefined;
  let smallestLag = Infinity;
  for (const [model, target] of targets) {
    const lag = target - (endpoint.versions.get(model) ?? 0);
    if (lag === smallestLag) closest = undefined;
    if (lag < smallestLag) {
      closest = model;
      smallestLag = lag;
    }
  }
  return closest;
}

function balance(shares: ReadonlyMap<string, SharedEndpoint[]>): void {
  for (;;) {
    const least = smallestShare(shares);
    const most = largestShare(shares);
    if (!least || !most || most.length - least.length < 2) return;
    const moved = most.pop();
    if (moved !== undefined) least.push(moved);
  }
}

function smallestShare(shares: ReadonlyMap<string, SharedEndpoint[]>): SharedEndpoint[] | undefined {
  let found: SharedEndpoint[] | undefined;
  for (const share of shares.values()) if (!found || share.length < found.length) found = share;
  return found;
}

function largestShare(shares: ReadonlyMap<string, SharedEndpoint[]>): SharedEndpoint[] | undefined {
  let found: SharedEndpoint[] | undefined;
  for (const share of shares.values()) if (!found || share.length > found.length) found = share;
  return found;
}
