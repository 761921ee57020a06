/**
 * Which endpoints load the weights of which model.
 *
 * Several trainers share one pool. A load stops an endpoint for about a second and throws away what it has
 * read, so that each trainer's versions go to a share of the endpoints only. An endpoint stays with the model
 * whose newest weights it has, because moving it costs a load; it moves only when shares differ by two or more.
 */

/** An endpoint with the weight version that it has of each model. */
export interface SharedEndpoint {
  readonly id: string;
  readonly versions: ReadonlyMap<string, number>;
}

/** The newest version of each model by its name. */
export type ModelTargets = ReadonlyMap<string, number>;

/** The endpoints of each model. Every endpoint stands with one model. */
export function assignEndpoints(
  endpoints: readonly SharedEndpoint[],
  targets: ModelTargets,
): ReadonlyMap<string, readonly string[]> {
  const shares = new Map<string, string[]>([...targets.keys()].map(model => [model, []]));
  const free: string[] = [];
  for (const endpoint of sorted(endpoints)) {
    const home = closestModel(endpoint, targets);
    const share = home === undefined ? undefined : shares.get(home);
    (share ?? free).push(endpoint.id);
  }
  for (const id of free) smallest(shares)?.push(id);
  balance(shares);
  return shares;
}

function sorted(endpoints: readonly SharedEndpoint[]): readonly SharedEndpoint[] {
  return [...endpoints].sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** The model of which the endpoint is the least behind; undefined when two are even. */
function closestModel(endpoint: SharedEndpoint, targets: ModelTargets): string | undefined {
  let home: string | undefined;
  let least = Infinity;
  for (const [model, target] of targets) {
    const behind = target - (endpoint.versions.get(model) ?? 0);
    if (behind === least) home = undefined;
    if (behind < least) {
      home = model;
      least = behind;
    }
  }
  return home;
}

function balance(shares: ReadonlyMap<string, string[]>): void {
  for (;;) {
    const least = smallest(shares);
    const most = largest(shares);
    if (!least || !most || most.length - least.length < 2) return;
    const moved = most.pop();
    if (moved !== undefined) least.push(moved);
  }
}

function smallest(shares: ReadonlyMap<string, string[]>): string[] | undefined {
  let found: string[] | undefined;
  for (const share of shares.values()) if (!found || share.length < found.length) found = share;
  return found;
}

function largest(shares: ReadonlyMap<string, string[]>): string[] | undefined {
  let found: string[] | undefined;
  for (const share of shares.values()) if (!found || share.length > found.length) found = share;
  return found;
}
