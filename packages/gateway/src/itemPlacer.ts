/**
 * Chooses endpoints for the items of one batch.
 */
import { shouldMove, type Batch, type BatchItem, type BatchLedger } from '@fuchsiahitch/batches';
import type { Route } from '@fuchsiahitch/rules';
import { batchRoute } from './batchRoute.js';
import type { ConfigurationService } from './configurationService.js';
import type { DemandView } from './demandUpdates.js';
import type { Endpoint } from './endpoint.js';
import { EndpointTier } from './endpointTier.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ItemAttempt } from './itemAttempt.js';
import { modelShares } from './modelShares.js';

export interface PlacementPorts {
  readonly endpoints: EndpointDirectory;
  readonly configuration: ConfigurationService;
  readonly demand: DemandView;
}

/** In order of preference: a tier is used only if no tier before it has a suitable free slot. */
export type EndpointTiers = readonly EndpointTier[];

/** Share of the items that are treated as long. Larger than the expected share, since estimates are inexact. */
const LONG_ITEM_FRACTION = 0.25;
/** The search for faster endpoints is too expensive to run at every placement. */
const MOVE_INTERVAL_MS = 250;

/** An endpoint with free slots. `paceMs` is Infinity until a pace is known. */
interface PacedEndpoint {
  readonly endpoint: Endpoint;
  readonly paceMs: number;
  /** Free slots not yet reserved by a move. */
  left: number;
}

export class ItemPlacer {
  private readonly _context: GatewayContext;
  private readonly _ports: PlacementPorts;
  private readonly _ledger: BatchLedger;
  private readonly _groupEndpoints = new Map<string, string>();
  private readonly _avoided = new Map<string, Set<string>>();
  /** Items with at least this many expected tokens count as long. */
  private readonly _longTokens: number;
  private _nextMoveCheckMs = -Infinity;

  constructor(context: GatewayContext, ports: PlacementPorts, ledger: BatchLedger) {
    this._context = context;
    this._ports = ports;
    this._ledger = ledger;
    this._longTokens = longTokens(ledger.batch);
  }

  /** Returns the current endpoints for the batch's items; empty if the items have no route. */
  tiers(): EndpointTiers {
    const route = this._routeOfBatch();
    const tiers = route ? this._tiersOf(route) : [];
    return tiers.map(endpoints => new EndpointTier(endpoints));
  }

  /** Reserves a slot for the item. `ignoresGroup`: whether not to prefer the endpoint of the item's group. */
  choose(item: BatchItem, tiers: EndpointTiers, ignoresGroup = false): Endpoint | undefined {
    const avoid = this._avoided.get(item.id) ?? new Set<string>();
    const request = {
      groupEndpointId: ignoresGroup ? undefined : this._groupEndpoints.get(item.group),
      isLong: item.expectedTokens >= this._longTokens || this._isStarted(item),
      ownDomain: this._context.domain,
      avoid,
    };
    for (const tier of tiers) {
      const endpoint = tier.take(request);
      if (endpoint) return endpoint;
    }
    // All endpoints were tried: allow them again.
    const tried = tiers.reduce((sum, tier) => sum + tier.size, 0);
    if (avoid.size > 0 && avoid.size >= tried) avoid.clear();
    return undefined;
  }

  /** Records the endpoint of a started item, which the rest of its group will prefer. */
  recordStart(item: BatchItem, endpoint: Endpoint): void {
    this._groupEndpoints.set(item.group, endpoint.id);
  }

  /** Excludes the endpoint for the item until all others were tried. */
  avoid(item: BatchItem, endpoint: Endpoint): void {
    const avoided = this._avoided.get(item.id) ?? new Set<string>();
    avoided.add(endpoint.id);
    this._avoided.set(item.id, avoided);
    if (this._groupEndpoints.get(item.group) === endpoint.id) this._groupEndpoints.delete(item.group);
  }

  /** True if another endpoint that the item does not avoid has a free slot. */
  hasFreeSlotElsewhere(item: BatchItem, attempt: ItemAttempt): boolean {
    const route = this._routeOfBatch();
    return route !== undefined && this._freeElsewhere(route, item, attempt).length > 0;
  }

  /**
   * Returns attempts whose items should move to a sufficiently faster endpoint with a free slot. Returns none if called
   * again within `MOVE_INTERVAL_MS`.
   */
  dueMoves(attempts: readonly ItemAttempt[]): readonly ItemAttempt[] {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < this._nextMoveCheckMs) return [];
    this._nextMoveCheckMs = nowMs + MOVE_INTERVAL_MS;
    const candidates = this._pacedEndpoints();
    const moving = attempts.filter(attempt => this._reserveFasterSlot(attempt, candidates));
    for (const { itemId, endpoint } of moving) {
      const item = this._ledger.item(itemId);
      if (item) this.avoid(item, endpoint);
    }
    return moving;
  }

  private _pacedEndpoints(): readonly PacedEndpoint[] {
    const route = this._routeOfBatch();
    const candidates = route ? this._candidates(route) : [];
    return candidates
      .map(endpoint => ({ endpoint, paceMs: endpoint.paceMs() ?? Infinity, left: endpoint.freeSlots() }))
      .filter(({ left }) => left > 0);
  }

  /**
   * Reserves a slot at a faster endpoint for the attempt's item, if there is one. Without the reservation, all items of
   * a slow endpoint would move to the same slot.
   */
  private _reserveFasterSlot(attempt: ItemAttempt, candidates: readonly PacedEndpoint[]): boolean {
    const { endpoint, itemId } = attempt;
    const paceMs = endpoint.paceMs();
    if (paceMs === undefined || endpoint.isLeaving) return false;
    const avoid = this._avoided.get(itemId);
    const elapsedMs = attempt.elapsedMs();
    const target = candidates.find(
      other =>
        other.left > 0 &&
        other.endpoint !== endpoint &&
        !avoid?.has(other.endpoint.id) &&
        shouldMove(elapsedMs, paceMs, other.paceMs),
    );
    if (!target) return false;
    target.left -= 1;
    return true;
  }

  private _routeOfBatch(): Route | undefined {
    return batchRoute(this._ports.configuration, this._ledger.batch);
  }

  /**
   * Returns the endpoints assigned to the batch's model, then all others. Without the split, batches of two trainers
   * would fill the same endpoints.
   */
  private _tiersOf(route: Route): readonly (readonly Endpoint[])[] {
    const candidates = this._candidates(route);
    const { model } = this._ledger.batch;
    const pool = candidates[0]?.pool ?? '';
    const { targets, shares } = modelShares(pool, this._ports);
    if (targets.size < 2) return [candidates];
    const own = new Set(shares.get(model) ?? []);
    return [
      candidates.filter(endpoint => own.has(endpoint.id)),
      candidates.filter(endpoint => !own.has(endpoint.id)),
    ];
  }

  /** Endpoints of the route's pools that are not leaving and whose weights are new enough. */
  private _candidates(route: Route): readonly Endpoint[] {
    const { model, minVersion } = this._ledger.batch;
    return route.pools
      .filter(share => share.weight > 0)
      .flatMap(share => this._ports.endpoints.inPool(share.pool))
      .filter(endpoint => !endpoint.isLeaving)
      .filter(endpoint => model === '' || endpoint.versionOf(model) >= minVersion);
  }

  /** Endpoints with a free slot, except the attempt's own and those that the item avoids. */
  private _freeElsewhere(route: Route, item: BatchItem, attempt: ItemAttempt): readonly Endpoint[] {
    const avoid = this._avoided.get(item.id);
    return this._candidates(route)
      .filter(other => other !== attempt.endpoint)
      .filter(other => other.freeSlots() > 0 && !avoid?.has(other.id));
  }

  /** True for items with a partial text, which were moved or taken over. They are treated as long to finish soon. */
  private _isStarted(item: BatchItem): boolean {
    return this._ledger.progress(item.id).lastEventNumber() > 0;
  }
}

/** Returns the expected tokens from which items count as long; Infinity without estimates. */
function longTokens(batch: Batch): number {
  const estimates = batch.items.map(item => item.expectedTokens).sort((a, b) => b - a);
  const limit = estimates[Math.floor(estimates.length * LONG_ITEM_FRACTION)] ?? 0;
  return limit > 0 ? limit : Infinity;
}
