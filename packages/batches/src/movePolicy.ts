/**
 * Decides which running items of a batch move to a faster endpoint.
 *
 * A move closes the item's connection and reads its prompt again at another endpoint, so it has to save more time than
 * it costs.
 */
import { shouldMove, type PlacementEndpoint } from './itemPlacement.js';

/** A running item. */
export interface RunningItem {
  readonly itemId: string;
  readonly endpointId: string;
  /** The pace of its endpoint. */
  readonly paceMs: number;
  /** The duration of the current attempt. */
  readonly elapsedMs: number;
  /** Events generated so far, by all attempts. */
  readonly events: number;
  /** The length estimate in events; 0 if unknown. */
  readonly expectedEvents: number;
  /** How often the item was moved before, without failed moves. */
  readonly moves: number;
  /** How often the item was to move but continued at the endpoint it had left, because the target was unavailable. */
  readonly failedMoves: number;
  /** Time since the last failed move; Infinity if there was none. */
  readonly sinceFailedMoveMs: number;
  /** Endpoints at which the item was recently refused or interrupted. */
  readonly avoid: ReadonlySet<string>;
}

/** An endpoint that items may move to. */
export interface MoveTarget extends Pick<PlacementEndpoint, 'id' | 'freeSlots' | 'paceMs'> {
  /** Whether a recent report has shown which slots other hosts use. */
  readonly isLoadRecent: boolean;
}

export interface Move {
  readonly itemId: string;
  readonly targetId: string;
  /** The expected time saved. */
  readonly savedMs: number;
}

export interface MovePolicy {
  /** Whether the item must start at the target of its move; otherwise it is placed like any waiting item. */
  readonly isTargetBinding: boolean;
  /** Returns the moves to make now, at most as many to each target as it has free slots. */
  plan(items: readonly RunningItem[], targets: readonly MoveTarget[]): readonly Move[];
}

/**
 * Moves items by the ratio of the paces and the time that the item has run. For pools with enough connections, where a
 * move costs little.
 */
export class PaceRatioMoves implements MovePolicy {
  readonly isTargetBinding = false;

  plan(items: readonly RunningItem[], targets: readonly MoveTarget[]): readonly Move[] {
    const slots = new TargetSlots(targets);
    return items.flatMap(item => {
      const target = slots
        .availableTo(item)
        .find(({ paceMs = Infinity }) => shouldMove(item.elapsedMs, item.paceMs, paceMs));
      if (!target) return [];
      slots.take(target);
      return [{ itemId: item.itemId, targetId: target.id, savedMs: 0 }];
    });
  }
}

/** The cost of a move: a new connection, and reading the prompt again. */
const MOVE_COST_MS = 300;
/** A smaller gain does not justify the connection. */
const MIN_SAVED_MS = 500;
/** Bounds the attempts of an item whose endpoints change their speed. */
const MAX_MOVES = 2;
/**
 * Pause after the first failed move; it doubles with each, which bounds the attempts that are aborted for nothing. With a
 * fixed number of failed moves, a long item could use them up while the pool is full, and then remain slow.
 */
const RETRY_MS = 1000;
/** Paces within this ratio count as equal when a target is chosen. */
const PACE_TOLERANCE = 1.1;
/** Lengths have a long tail: an item that has generated n events generates at least half of n more on average. */
const TAIL_SHARE = 0.5;

/**
 * Moves items if that saves time for their expected remaining events, the items with the largest saving first. For
 * pools with scarce connections or endpoints that report their speed: under the ratio of paces alone, items move
 * repeatedly, each time over a new connection, and some end at a slower endpoint than they left.
 */
export class TimeSavingMoves implements MovePolicy {
  readonly isTargetBinding = true;

  plan(items: readonly RunningItem[], targets: readonly MoveTarget[]): readonly Move[] {
    const slots = new TargetSlots(targets.map(withProbeSlot));
    const best = items
      .filter(mayMove)
      .map(item => ({ item, savedMs: bestOf(item, slots)?.savedMs ?? 0 }))
      .filter(({ savedMs }) => savedMs > 0)
      .sort((a, b) => b.savedMs - a.savedMs);
    const moves: Move[] = [];
    for (const { item } of best) {
      // The fastest target may have been taken by an item before this one.
      const found = bestOf(item, slots);
      if (!found) continue;
      slots.take(found.target);
      moves.push({ itemId: item.itemId, targetId: found.target.id, savedMs: found.savedMs });
    }
    return moves;
  }
}

function mayMove({ moves, failedMoves, sinceFailedMoveMs }: RunningItem): boolean {
  return moves < MAX_MOVES && sinceFailedMoveMs >= RETRY_MS * 2 ** (failedMoves - 1);
}

/** The expected number of events that the item will still generate. */
export function eventsLeft({
  events,
  expectedEvents,
}: Pick<RunningItem, 'events' | 'expectedEvents'>): number {
  return Math.max(expectedEvents - events, TAIL_SHARE * events);
}

interface BestTarget {
  readonly target: MoveTarget;
  readonly savedMs: number;
}

/** Undefined if no target saves enough time. */
function bestOf(item: RunningItem, slots: TargetSlots): BestTarget | undefined {
  const left = eventsLeft(item);
  let best: BestTarget | undefined;
  for (const target of slots.availableTo(item)) {
    const { paceMs } = target;
    if (paceMs === undefined) continue;
    const savedMs = (item.paceMs - paceMs) * left - MOVE_COST_MS;
    if (savedMs < MIN_SAVED_MS) continue;
    if (!best || isBetter(target, best.target)) best = { target, savedMs };
  }
  return best;
}

/**
 * Limits a target of unknown load to one move, whose answer shows its load. Other hosts may use the slots that appear to
 * be free, and each refused move has aborted an attempt for nothing.
 */
function withProbeSlot(target: MoveTarget): MoveTarget {
  return target.isLoadRecent ? target : { ...target, freeSlots: Math.min(1, target.freeSlots) };
}

/** Prefers the faster target; among targets of about equal pace, the one that is more certain to have a free slot. */
function isBetter(a: MoveTarget, b: MoveTarget): boolean {
  const [aMs = Infinity, bMs = Infinity] = [a.paceMs, b.paceMs];
  if (aMs * PACE_TOLERANCE < bMs) return true;
  if (bMs * PACE_TOLERANCE < aMs) return false;
  if (a.isLoadRecent !== b.isLoadRecent) return a.isLoadRecent;
  return a.freeSlots > b.freeSlots;
}

/** Counts the free slots of the targets during one plan. */
class TargetSlots {
  private readonly _targets: readonly MoveTarget[];
  private readonly _left: Map<string, number>;

  constructor(targets: readonly MoveTarget[]) {
    this._targets = targets;
    this._left = new Map(targets.map(({ id, freeSlots }) => [id, freeSlots]));
  }

  /** The targets with a free slot, except the item's own endpoint and those that it avoids. */
  availableTo({ endpointId, avoid }: RunningItem): readonly MoveTarget[] {
    return this._targets.filter(
      ({ id }) => (this._left.get(id) ?? 0) > 0 && id !== endpointId && !avoid.has(id),
    );
  }

  take({ id }: MoveTarget): void {
    this._left.set(id, (this._left.get(id) ?? 0) - 1);
  }
}

/** The endpoint that a moved item has left. */
export interface LeftEndpoint {
  readonly id: string;
  readonly paceMs: number;
}

/**
 * `wait`: for a free slot at an endpoint that is not slower. `anywhere`: no such endpoint is left, so the item is
 * placed like any other.
 */
export type Continuation =
  | { readonly kind: 'at'; readonly endpoint: PlacementEndpoint }
  | { readonly kind: 'wait' }
  | { readonly kind: 'anywhere' };

/**
 * Selects where a moved item continues if its target has become unavailable: at the fastest endpoint that is clearly
 * faster than the one it left, otherwise at the latter, otherwise at another that is not slower.
 */
export function continueMoved(
  endpoints: readonly PlacementEndpoint[],
  left: LeftEndpoint,
  avoid: ReadonlySet<string>,
): Continuation {
  const notSlower = endpoints.filter(
    ({ id, paceMs }) => !avoid.has(id) && (id === left.id || (paceMs !== undefined && paceMs <= left.paceMs)),
  );
  if (notSlower.length === 0) return { kind: 'anywhere' };
  const free = notSlower.filter(({ freeSlots }) => freeSlots > 0);
  const paceOf = ({ paceMs = left.paceMs }: PlacementEndpoint): number => paceMs;
  const [fastest] = free.sort((a, b) => paceOf(a) - paceOf(b) || b.freeSlots - a.freeSlots);
  // The slot that the item has left is more certain to be free than those that other hosts use as well.
  const previous = free.find(({ id }) => id === left.id);
  const isGain = fastest && paceOf(fastest) * PACE_TOLERANCE < left.paceMs;
  const endpoint = isGain ? fastest : (previous ?? fastest);
  return endpoint ? { kind: 'at', endpoint } : { kind: 'wait' };
}

/** The progress of an item with a length estimate. */
export interface EstimatedItem {
  readonly expectedTokens: number;
  readonly events: number;
  readonly isComplete: boolean;
}

/**
 * The number of events per token of the length estimates; undefined without estimates. Trainers estimate tokens, and
 * endpoints group tokens into events.
 *
 * Estimates are right at the median, so this is the median ratio of a batch's items. Items that still run have a higher
 * final ratio than now; the Kaplan-Meier estimator accounts for them. Until it reaches the median, the median of the
 * current ratios is a lower bound.
 */
export function eventsPerToken(items: readonly EstimatedItem[]): number | undefined {
  const ratios = items
    .filter(({ expectedTokens, events }) => expectedTokens > 0 && events > 0)
    .map(({ expectedTokens, events, isComplete }) => ({ ratio: events / expectedTokens, isComplete }))
    .sort((a, b) => a.ratio - b.ratio);
  let longerShare = 1;
  for (const [i, { ratio, isComplete }] of ratios.entries()) {
    if (isComplete) longerShare *= 1 - 1 / (ratios.length - i);
    if (longerShare <= 0.5) return ratio;
  }
  return ratios[Math.floor((ratios.length - 1) / 2)]?.ratio;
}
