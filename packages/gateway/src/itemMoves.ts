/**
 * Moves the running items of one batch to faster endpoints.
 *
 * A move with a binding target reserves a slot there. The attempt is stopped, which closes its connection, and the item
 * then starts at the target after the last event that it has received.
 */
import {
  continueMoved,
  eventsPerToken,
  PaceRatioMoves,
  TimeSavingMoves,
  type BatchLedger,
  type Move,
  type MovePolicy,
  type RunningItem,
} from '@fuchsiahitch/batches';
import type { Endpoint, SlotReservation } from './endpoint.js';
import type { EndpointTier } from './endpointTier.js';
import type { GatewayContext } from './gatewayContext.js';
import type { AttemptEnd, ItemAttempt } from './itemAttempt.js';

/** How long a slot is kept for an item that does not start at its target. */
const RESERVATION_MS = 2000;
/** After this time since the decision, running at a slower endpoint is better than waiting further. */
const MAX_WAIT_MS = 2000;

const PACE_RATIO_MOVES: MovePolicy = new PaceRatioMoves();
const TIME_SAVING_MOVES: MovePolicy = new TimeSavingMoves();

/** A move from its decision until an attempt after it has ended with an answer. */
interface PendingMove {
  readonly source: Endpoint;
  /** The pace of the source when the move was decided. */
  readonly sourcePaceMs: number;
  readonly target: Endpoint;
  readonly reservation: SlotReservation;
  readonly decidedMs: number;
  /** The endpoint of the latest attempt after the move; the move ends when that endpoint answers the attempt. */
  continuedAt: Endpoint | undefined;
  /** Whether the item has continued at the source. */
  isFailed: boolean;
}

/** The earlier moves of an item. */
interface MoveHistory {
  readonly moves: number;
  /** Moves that were refused, so that the item continued at the endpoint it had left. */
  readonly failedMoves: number;
  readonly lastFailedMs: number;
}

const NO_MOVES: MoveHistory = { moves: 0, failedMoves: 0, lastFailedMs: -Infinity };

/** The endpoints that a batch's items may move to. */
export interface MoveCandidates {
  readonly endpoints: readonly Endpoint[];
  /** The measured or estimated pace. */
  readonly paceOf: (endpoint: Endpoint) => number | undefined;
  /** Whether moves must save time and have a binding target. */
  readonly isTimeSaving: boolean;
}

/** `unrestricted`: the item is placed like any waiting item. */
export type MovedPlacement =
  | { readonly kind: 'at'; readonly endpoint: Endpoint }
  | { readonly kind: 'wait' }
  | { readonly kind: 'unrestricted' };

export class ItemMoves {
  private readonly _context: GatewayContext;
  private readonly _ledger: BatchLedger;
  private readonly _pending = new Map<string, PendingMove>();
  private readonly _histories = new Map<string, MoveHistory>();

  constructor(context: GatewayContext, ledger: BatchLedger) {
    this._context = context;
    this._ledger = ledger;
  }

  /** Returns the attempts to stop so that their items can move. `avoidedBy`: the endpoints that an item avoids. */
  plan(
    attempts: readonly ItemAttempt[],
    { endpoints, paceOf, isTimeSaving }: MoveCandidates,
    avoidedBy: (itemId: string) => ReadonlySet<string>,
  ): readonly ItemAttempt[] {
    const policy = isTimeSaving ? TIME_SAVING_MOVES : PACE_RATIO_MOVES;
    const running = this._runningItems(attempts, paceOf, avoidedBy);
    const targets = endpoints.map(endpoint => ({
      id: endpoint.id,
      freeSlots: endpoint.freeSlots(),
      paceMs: paceOf(endpoint),
      isLoadRecent: endpoint.stats.hasRecentReport(),
    }));
    const byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
    const attemptsByItem = new Map(attempts.map(attempt => [attempt.itemId, attempt]));
    const moving: ItemAttempt[] = [];
    for (const move of policy.plan(running, targets)) {
      const attempt = attemptsByItem.get(move.itemId);
      const target = byId.get(move.targetId);
      const item = running.find(({ itemId }) => itemId === move.itemId);
      if (!attempt || !target || !item) continue;
      if (policy.isTargetBinding && !this._reserve(attempt, item, { target, paceMs: paceOf(target) }, move))
        continue;
      moving.push(attempt);
    }
    return moving;
  }

  /** True if a move restricts the endpoints at which the item may start. */
  isPending(itemId: string): boolean {
    return this._pending.has(itemId);
  }

  /** Where a moved item starts: at its target, or else at an endpoint that is not slower than the one it left. */
  place(
    itemId: string,
    candidates: readonly Endpoint[],
    tiers: readonly EndpointTier[],
    avoid: ReadonlySet<string>,
  ): MovedPlacement {
    const move = this._pending.get(itemId);
    if (!move) return { kind: 'unrestricted' };
    const { source, target, reservation } = move;
    // A target that has restarted is another `Endpoint` and no longer among the candidates.
    if (candidates.includes(target) && !avoid.has(target.id) && reservation.isValid() && target.hasOpenSlot())
      return { kind: 'at', endpoint: target };
    reservation.release();
    const paceMs = Math.max(move.sourcePaceMs, source.paceMs() ?? 0);
    const known = tiers.flatMap(tier => tier.candidates());
    const next = continueMoved(known, { id: source.id, paceMs }, avoid);
    const isWaitOver = this._context.clock.nowMs() - move.decidedMs >= MAX_WAIT_MS;
    if (next.kind === 'anywhere' || (next.kind === 'wait' && isWaitOver)) return { kind: 'unrestricted' };
    if (next.kind === 'wait') return { kind: 'wait' };
    for (const tier of tiers) {
      const endpoint = tier.takeAt(next.endpoint.id);
      if (endpoint) return { kind: 'at', endpoint };
    }
    return { kind: 'wait' };
  }

  /** Records that an attempt starts, which uses the slot that is reserved for the item. */
  started(itemId: string, endpoint: Endpoint): void {
    const move = this._pending.get(itemId);
    if (!move) return;
    move.reservation.release();
    move.continuedAt = endpoint;
    const outcome = outcomeOf(move, endpoint);
    if (outcome === 'source') this._recordFailure(itemId, move);
    this._context.metrics.itemMoves.inc({ event: outcome });
    this._context.log.info('moved item starts', {
      batchId: this._ledger.batch.id,
      itemId,
      endpointId: endpoint.id,
      targetId: move.target.id,
      outcome,
      sinceDecisionMs: Math.round(this._context.clock.nowMs() - move.decidedMs),
      afterEvent: this._ledger.progress(itemId).lastEventNumber(),
    });
  }

  /**
   * Records the end of an attempt. A move is over if its attempt at the source did not end by being stopped, or once
   * another endpoint has answered; until then the item may not start at a slower endpoint.
   */
  attemptEnded(itemId: string, end: AttemptEnd['kind'], isAnswered: boolean): void {
    const move = this._pending.get(itemId);
    if (!move) return;
    const isMoveOver = move.continuedAt ? isAnswered || end === 'impossible' : end !== 'cancelled';
    if (!isMoveOver) return;
    move.reservation.release();
    this._pending.delete(itemId);
    if (move.continuedAt) return;
    this._context.metrics.itemMoves.inc({ event: 'dropped' });
    this._context.log.info('move dropped', {
      batchId: this._ledger.batch.id,
      itemId,
      targetId: move.target.id,
      end,
    });
  }

  /** Releases all reservations. */
  stop(): void {
    for (const { reservation } of this._pending.values()) reservation.release();
    this._pending.clear();
  }

  private _runningItems(
    attempts: readonly ItemAttempt[],
    paceOf: MoveCandidates['paceOf'],
    avoidedBy: (itemId: string) => ReadonlySet<string>,
  ): readonly RunningItem[] {
    const ratio = this._eventsPerToken(attempts);
    const nowMs = this._context.clock.nowMs();
    return attempts.flatMap(attempt => {
      const { endpoint, itemId } = attempt;
      const paceMs = paceOf(endpoint);
      const history = this._histories.get(itemId) ?? NO_MOVES;
      const pending = this._pending.get(itemId);
      const isMoving = pending !== undefined && !pending.continuedAt;
      if (paceMs === undefined || endpoint.isLeaving || isMoving) return [];
      return {
        itemId,
        endpointId: endpoint.id,
        paceMs,
        elapsedMs: attempt.elapsedMs(),
        events: this._ledger.progress(itemId).lastEventNumber(),
        expectedEvents: (this._ledger.item(itemId)?.expectedTokens ?? 0) * ratio,
        moves: history.moves,
        failedMoves: history.failedMoves,
        sinceFailedMoveMs: nowMs - history.lastFailedMs,
        avoid: avoidedBy(itemId),
      };
    });
  }

  /** An item that is back at its endpoint was not moved, but its attempt was aborted. */
  private _recordFailure(itemId: string, move: PendingMove): void {
    if (move.isFailed) return;
    move.isFailed = true;
    const { moves, failedMoves } = this._histories.get(itemId) ?? NO_MOVES;
    const lastFailedMs = this._context.clock.nowMs();
    this._histories.set(itemId, { moves: moves - 1, failedMoves: failedMoves + 1, lastFailedMs });
  }

  /** 0 without estimates. */
  private _eventsPerToken(attempts: readonly ItemAttempt[]): number {
    const open = new Set(attempts.map(({ itemId }) => itemId));
    const items = this._ledger.batch.items.map(({ id, expectedTokens }) => ({
      expectedTokens,
      events: this._ledger.progress(id).lastEventNumber(),
      isComplete: !open.has(id),
    }));
    return eventsPerToken(items) ?? 0;
  }

  private _reserve(
    attempt: ItemAttempt,
    item: RunningItem,
    { target, paceMs: targetPaceMs = 0 }: { readonly target: Endpoint; readonly paceMs: number | undefined },
    move: Move,
  ): boolean {
    const reservation = target.reserveSlot(RESERVATION_MS);
    if (!reservation) return false;
    const { itemId, endpoint: source } = attempt;
    this._pending.get(itemId)?.reservation.release();
    this._pending.set(itemId, {
      source,
      sourcePaceMs: item.paceMs,
      target,
      reservation,
      decidedMs: this._context.clock.nowMs(),
      continuedAt: undefined,
      isFailed: false,
    });
    const history = this._histories.get(itemId) ?? NO_MOVES;
    this._histories.set(itemId, { ...history, moves: item.moves + 1 });
    this._context.metrics.itemMoves.inc({ event: 'decided' });
    this._logDecision(item, target, targetPaceMs, move);
    return true;
  }

  private _logDecision(item: RunningItem, target: Endpoint, targetPaceMs: number, move: Move): void {
    this._context.log.info('item moves', {
      batchId: this._ledger.batch.id,
      itemId: item.itemId,
      endpointId: item.endpointId,
      paceMs: Math.round(item.paceMs),
      targetId: target.id,
      targetPaceMs: Math.round(targetPaceMs),
      isTargetMeasured: target.paceMs() !== undefined,
      targetFreeSlots: target.freeSlots(),
      events: item.events,
      expectedEvents: Math.round(item.expectedEvents),
      savedMs: Math.round(move.savedMs),
      move: item.moves + 1,
      failedMoves: item.failedMoves,
    });
  }
}

function outcomeOf({ source, target }: PendingMove, endpoint: Endpoint): 'target' | 'source' | 'other' {
  if (endpoint === target) return 'target';
  return endpoint === source ? 'source' : 'other';
}
