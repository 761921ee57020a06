/**
 * Reference for shares without known work: the assignment as it was before work was taken into account.
 */
import type { ModelTargets, SharedEndpoint } from '@fuchsiahitch/batches';

/** Returns the endpoints of each model. Every endpoint is assigned to one model. */
export function assignEqually(
  endpoints: readonly SharedEndpoint[],
  targets: ModelTargets,
): ReadonlyMap<string, readonly string[]> {
  const shares = new Map<string, string[]>([...targets.keys()].map(model => [model, []]));
  const unassigned: string[] = [];
  for (const endpoint of sortedById(endpoints)) {
    const closest = closestModel(endpoint, targets);
    const share = closest === undefined ? undefined : shares.get(closest);
    (share ?? unassigned).push(endpoint.id);
  }
  for (const id of unassigned) smallestShare(shares)?.push(id);
  balance(shares);
  return shares;
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

function balance(shares: ReadonlyMap<string, string[]>): void {
  for (;;) {
    const least = smallestShare(shares);
    const most = largestShare(shares);
    if (!least || !most || most.length - least.length < 2) return;
    const moved = most.pop();
    if (moved !== undefined) least.push(moved);
  }
}

function smallestShare(shares: ReadonlyMap<string, string[]>): string[] | undefined {
  let found: string[] | undefined;
  for (const share of shares.values()) if (!found || share.length < found.length) found = share;
  return found;
}

function largestShare(shares: ReadonlyMap<string, string[]>): string[] | undefined {
  let found: string[] | undefined;
  for (const share of shares.values()) if (!found || share.length > found.length) found = share;
  return found;
}
