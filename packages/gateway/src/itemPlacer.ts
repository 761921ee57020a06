/**
 * Chooses endpoints for the items of one batch.
 */
import {
  KnownFastPlacement,
  knownPaces,
  MostFreePlacement,
  type Batch,
  type BatchItem,
  type BatchLedger,
} from '@fuchsiahitch/batches';
import type { Route } from '@fuchsiahitch/rules';
import { batchRoute, poolsOf } from './batchRoute.js';
import type { ConfigurationService } from './configurationService.js';
import { hasScarceConnections } from './connectionBudget.js';
import type { DemandView } from './demandUpdates.js';
import type { Endpoint } from './endpoint.js';
import { EndpointTier, type TierOptions } from './endpointTier.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';
import type { AttemptEnd, ItemAttempt } from './itemAttempt.js';
import { ItemMoves } from './itemMoves.js';
import { modelShares } from './modelShares.js';

export interface PlacementPorts {
  readonly endpoints: EndpointDirectory;
  readonly configuration: ConfigurationService;
  readonly hosts: Pick<Hosts, 'peers'>;
  readonly demand: DemandView;
}

/** In order of preference: a tier is used only if no tier before it has a suitable free slot. */
export type EndpointTiers = readonly EndpointTier[];

/** Share of the items that are treated as long. Larger than the expected share, since estimates are inexact. */
const LONG_ITEM_FRACTION = 0.25;
/**
 * The search for faster endpoints is too expensive for a small host to run at every placement. A measured pace changes
 * more slowly than this.
 */
const MOVE_INTERVAL_MS = 250;

const MOST_FREE = new MostFreePlacement();
const KNOWN_FAST = new KnownFastPlacement();
const NOTHING_AVOIDED: ReadonlySet<string> = new Set();

interface SpeedRules extends TierOptions {
  /** Whether moves must save time and have a binding target. */
  readonly isTimeSaving: boolean;
}

/** An attempt that has ended. */
interface EndedAttempt {
  readonly itemId: string;
  /** Whether the endpoint had started to answer. */
  readonly isAnswered: boolean;
}

export class ItemPlacer {
  private readonly _context: GatewayContext;
  private readonly _ports: PlacementPorts;
  private readonly _ledger: BatchLedger;
  private readonly _groupEndpoints = new Map<string, string>();
  private readonly _avoided = new Map<string, Set<string>>();
  private readonly _moves: ItemMoves;
  /** Items with at least this many expected tokens count as long. */
  private readonly _longTokens: number;
  private _nextMoveCheckMs = -Infinity;

  constructor(context: GatewayContext, ports: PlacementPorts, ledger: BatchLedger) {
    this._context = context;
    this._ports = ports;
    this._ledger = ledger;
    this._longTokens = longTokens(ledger.batch);
    this._moves = new ItemMoves(context, ledger);
  }

  /** Returns the current endpoints for the batch's items; empty if the items have no route. */
  tiers(): EndpointTiers {
    const route = this._routeOfBatch();
    if (!route) return [];
    const options = this._speedRules(route);
    return this._tiersOf(route).map(endpoints => new EndpointTier(endpoints, options));
  }

  /** Reserves a slot for the item. */
  choose(item: BatchItem, tiers: EndpointTiers): Endpoint | undefined {
    const avoid = this._avoided.get(item.id) ?? new Set<string>();
    if (this._moves.isPending(item.id)) {
      const route = this._routeOfBatch();
      const moved = this._moves.place(item.id, route ? this._candidates(route) : [], tiers, avoid);
      if (moved.kind !== 'unrestricted') return moved.kind === 'at' ? moved.endpoint : undefined;
    }
    const request = {
      groupEndpointId: this._groupEndpoints.get(item.group),
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

  /** Records that an attempt of the item starts, which uses a slot reserved by a move. */
  attemptStarted(item: BatchItem, endpoint: Endpoint): void {
    this._moves.started(item.id, endpoint);
  }

  /** Records the end of an attempt, after which the item may be placed again. */
  attemptEnded({ itemId, isAnswered }: EndedAttempt, end: AttemptEnd['kind']): void {
    this._moves.attemptEnded(itemId, end, isAnswered);
  }

  /** Releases the slots reserved by moves. */
  stop(): void {
    this._moves.stop();
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
   * Returns attempts to stop, whose items should move to a sufficiently faster endpoint with a free slot. Returns none if
   * called again within `MOVE_INTERVAL_MS`.
   */
  dueMoves(attempts: readonly ItemAttempt[]): readonly ItemAttempt[] {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < this._nextMoveCheckMs) return [];
    this._nextMoveCheckMs = nowMs + MOVE_INTERVAL_MS;
    const route = this._routeOfBatch();
    if (!route) return [];
    const { isTimeSaving, paceOf } = this._speedRules(route);
    const moving = this._moves.plan(
      attempts,
      { endpoints: this._candidates(route), paceOf, isTimeSaving },
      itemId => this._avoided.get(itemId) ?? NOTHING_AVOIDED,
    );
    // Without a binding target, the item could be placed at the endpoint that it leaves.
    if (!isTimeSaving) for (const attempt of moving) this._avoidEndpointOf(attempt);
    return moving;
  }

  private _avoidEndpointOf({ itemId, endpoint }: ItemAttempt): void {
    const item = this._ledger.item(itemId);
    if (item) this.avoid(item, endpoint);
  }

  /**
   * True where attempts are costly because connections are scarce, or where endpoints report their speed, so that the
   * time saved by a move can be compared with its cost.
   */
  private _hasTimeSavingMoves(route: Route): boolean {
    const { endpoints } = this._ports;
    return poolsOf(route).some(
      pool =>
        endpoints.inPool(pool).some(({ stats }) => stats.hasReportedWorkPercent()) ||
        hasScarceConnections(pool, this._ports),
    );
  }

  /** How the items of the route are placed and moved with regard to the speed of endpoints. */
  private _speedRules(route: Route): SpeedRules {
    if (!this._hasTimeSavingMoves(route))
      return { isTimeSaving: false, paceOf: endpoint => endpoint.paceMs(), placement: MOST_FREE };
    const paces = new Map(poolsOf(route).flatMap(pool => [...knownPaces(this._speedsOf(pool))]));
    return { isTimeSaving: true, paceOf: endpoint => paces.get(endpoint.id), placement: KNOWN_FAST };
  }

  private _speedsOf(pool: string): Parameters<typeof knownPaces>[0] {
    return this._ports.endpoints.inPool(pool).map(endpoint => ({
      id: endpoint.id,
      paceMs: endpoint.paceMs(),
      baselinePercent: endpoint.baselinePercent(),
    }));
  }

  private _routeOfBatch(): Route | undefined {
    return batchRoute(this._ports.configuration, this._ledger.batch);
  }

  /**
   * Returns the endpoints assigned to the batch's model, then all others. Without the split, batches of two trainers
   * would fill the same endpoints before their owners learn of each other's load.
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
    return poolsOf(route)
      .flatMap(pool => this._ports.endpoints.inPool(pool))
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
