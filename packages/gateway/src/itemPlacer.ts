/**
 * Chooses the endpoints at which the items of one batch run.
 */
import { shouldMove, type Batch, type BatchItem, type BatchLedger } from '@fuchsiahitch/batches';
import type { Route } from '@fuchsiahitch/rules';
import { batchRoute } from './batchRoute.js';
import type { ConfigurationService } from './configurationService.js';
import type { Endpoint } from './endpoint.js';
import { EndpointTier } from './endpointTier.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ItemAttempt } from './itemAttempt.js';
import { modelShares } from './modelShares.js';

export interface PlacementPorts {
  readonly endpoints: EndpointDirectory;
  readonly configuration: ConfigurationService;
}

/** Endpoints in the order in which they are asked: those of a later tier only if no earlier one has a place. */
export type EndpointTiers = readonly EndpointTier[];

/** Lengths have a long tail: about a tenth of the items is several times as long as the rest, and estimates err. */
const LONG_SHARE = 0.25;
/**
 * How often a quicker place is looked for; a pace follows an endpoint within half a second. Looked for at every turn of
 * the owner, every 25 ms and at each end of an attempt, it took two fifths of the processor time of a batch's first 3 s,
 * which a small host does not have. Measured with 144 items at 34 endpoints over sockets: 1379 -> 829 ms of the first 3 s in
 * a process that has just started, 1002 -> 651 ms in its second batch.
 */
const MOVE_INTERVAL_MS = 250;

/** An endpoint with free places, and its pace; Infinity before any is known. */
interface PacedPlace {
  readonly endpoint: Endpoint;
  readonly paceMs: number;
  /** Places that no item has left for yet. */
  left: number;
}

export class ItemPlacer {
  private readonly _context: GatewayContext;
  private readonly _ports: PlacementPorts;
  private readonly _ledger: BatchLedger;
  private readonly _groupEndpoints = new Map<string, string>();
  private readonly _avoided = new Map<string, Set<string>>();
  /** Items of this many expected tokens and more are long. */
  private readonly _longTokens: number;
  private _movesAgainMs = -Infinity;

  constructor(context: GatewayContext, ports: PlacementPorts, ledger: BatchLedger) {
    this._context = context;
    this._ports = ports;
    this._ledger = ledger;
    this._longTokens = longTokens(ledger.batch);
  }

  /** The endpoints for the batch's items as they stand now; none if the items have no route. */
  tiers(): EndpointTiers {
    const route = this._routeOfBatch();
    const tiers = route ? this._tiersOf(route) : [];
    return tiers.map(endpoints => new EndpointTier(endpoints));
  }

  /** An endpoint that has a place for the item, which begins there at once. `isAlone`: it does not follow its group. */
  choose(item: BatchItem, tiers: EndpointTiers, isAlone = false): Endpoint | undefined {
    const avoid = this._avoided.get(item.id) ?? new Set<string>();
    const request = {
      groupEndpointId: isAlone ? undefined : this._groupEndpoints.get(item.group),
      isLong: item.expectedTokens >= this._longTokens || this._isBegun(item),
      ownDomain: this._context.domain,
      avoid,
    };
    for (const tier of tiers) {
      const endpoint = tier.take(request);
      if (endpoint) return endpoint;
    }
    // All were tried: the item may go anywhere again.
    const tried = tiers.reduce((sum, tier) => sum + tier.size, 0);
    if (avoid.size > 0 && avoid.size >= tried) avoid.clear();
    return undefined;
  }

  /** The item begins at the endpoint: the others of its group follow it there. */
  began(item: BatchItem, endpoint: Endpoint): void {
    this._groupEndpoints.set(item.group, endpoint.id);
  }

  /** The item is not to run at the endpoint again, until all others were tried. */
  avoid(item: BatchItem, endpoint: Endpoint): void {
    const avoided = this._avoided.get(item.id) ?? new Set<string>();
    avoided.add(endpoint.id);
    this._avoided.set(item.id, avoided);
    if (this._groupEndpoints.get(item.group) === endpoint.id) this._groupEndpoints.delete(item.group);
  }

  /** True if another endpoint, at which the item has not failed of late, has a place for it. */
  hasOtherPlace(item: BatchItem, attempt: ItemAttempt): boolean {
    const route = this._routeOfBatch();
    return route !== undefined && this._freeElsewhere(route, item, attempt).length > 0;
  }

  /**
   * The attempts whose items should move: another endpoint is so much quicker and has a place. Looked for now and then
   * only; empty in between.
   */
  movesDue(attempts: readonly ItemAttempt[]): readonly ItemAttempt[] {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < this._movesAgainMs) return [];
    this._movesAgainMs = nowMs + MOVE_INTERVAL_MS;
    const places = this._pacedPlaces();
    const leaving = attempts.filter(attempt => this._takeQuickerPlace(attempt, places));
    for (const { itemId, endpoint } of leaving) {
      const item = this._ledger.item(itemId);
      if (item) this.avoid(item, endpoint);
    }
    return leaving;
  }

  /** The endpoints with a free place whose paces are known. */
  private _pacedPlaces(): readonly PacedPlace[] {
    const route = this._routeOfBatch();
    const candidates = route ? this._candidates(route) : [];
    return candidates
      .map(endpoint => ({ endpoint, paceMs: endpoint.paceMs() ?? Infinity, left: endpoint.freeSlots() }))
      .filter(({ left }) => left > 0);
  }

  /**
   * Takes a place at a quicker endpoint for the attempt's item, if there is one. The places are counted down: without that
   * every item of a slow endpoint leaves for the same place, and all but one of them then wait for another.
   */
  private _takeQuickerPlace(attempt: ItemAttempt, places: readonly PacedPlace[]): boolean {
    const { endpoint, itemId } = attempt;
    const paceMs = endpoint.paceMs();
    if (paceMs === undefined || endpoint.isLeaving) return false;
    const avoid = this._avoided.get(itemId);
    const ranMs = attempt.ranMs();
    const place = places.find(
      other =>
        other.left > 0 &&
        other.endpoint !== endpoint &&
        !avoid?.has(other.endpoint.id) &&
        shouldMove(ranMs, paceMs, other.paceMs),
    );
    if (!place) return false;
    place.left -= 1;
    return true;
  }

  private _routeOfBatch(): Route | undefined {
    return batchRoute(this._ports.configuration, this._ledger.batch);
  }

  /**
   * The endpoints in the order in which they are asked: first those that load this model's versions, then the
   * others. Without that the owners of two trainers' batches fill the same endpoints, and neither sees it in time.
   */
  private _tiersOf(route: Route): readonly (readonly Endpoint[])[] {
    const candidates = this._candidates(route);
    const { model } = this._ledger.batch;
    const pool = candidates[0]?.pool ?? '';
    const { configuration, endpoints } = this._ports;
    const { targets, shares } = modelShares(pool, configuration, endpoints);
    if (targets.size < 2) return [candidates];
    const own = new Set(shares.get(model) ?? []);
    return [
      candidates.filter(endpoint => own.has(endpoint.id)),
      candidates.filter(endpoint => !own.has(endpoint.id)),
    ];
  }

  /** Endpoints of the route's pools whose weights are new enough. */
  private _candidates(route: Route): readonly Endpoint[] {
    const { model, minVersion } = this._ledger.batch;
    return route.pools
      .filter(share => share.weight > 0)
      .flatMap(share => this._ports.endpoints.inPool(share.pool))
      .filter(endpoint => !endpoint.isLeaving)
      .filter(endpoint => model === '' || endpoint.versionOf(model) >= minVersion);
  }

  /** Endpoints with a free place, besides the attempt's own, at which the item has not failed of late. */
  private _freeElsewhere(route: Route, item: BatchItem, attempt: ItemAttempt): readonly Endpoint[] {
    const avoid = this._avoided.get(item.id);
    return this._candidates(route)
      .filter(other => other !== attempt.endpoint)
      .filter(other => other.freeSlots() > 0 && !avoid?.has(other.id));
  }

  /** An item that was moved, or that its owner before left: what is left of it should go quickly. */
  private _isBegun(item: BatchItem): boolean {
    return this._ledger.progress(item.id).lastEvent() > 0;
  }
}

/** The longest quarter of the items by their estimates; Infinity when there are none. */
function longTokens(batch: Batch): number {
  const estimates = batch.items.map(item => item.expectedTokens).sort((a, b) => b - a);
  const limit = estimates[Math.floor(estimates.length * LONG_SHARE)] ?? 0;
  return limit > 0 ? limit : Infinity;
}
