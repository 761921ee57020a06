/**
 * Candidate endpoints for the waiting items of a batch within one scheduling pass.
 */
import {
  placeItem,
  type PlacementEndpoint,
  type PlacementPolicy,
  type PlacementRequest,
} from '@fuchsiahitch/batches';
import type { Endpoint } from './endpoint.js';

export interface TierOptions {
  /** The pace by which items are placed. */
  readonly paceOf: (endpoint: Endpoint) => number | undefined;
  readonly placement: PlacementPolicy;
}

/**
 * Reads free slots once per pass and decrements them as items are placed, which is cheaper than reading them for each
 * item.
 */
export class EndpointTier {
  private readonly _endpoints: ReadonlyMap<string, Endpoint>;
  private _candidates: readonly PlacementEndpoint[];
  private _freeSlots: number;
  private readonly _placement: PlacementPolicy;

  constructor(endpoints: readonly Endpoint[], { paceOf, placement }: TierOptions) {
    this._placement = placement;
    this._endpoints = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
    this._candidates = endpoints.map(endpoint => toPlacement(endpoint, paceOf(endpoint)));
    this._freeSlots = this._candidates.reduce((sum, candidate) => sum + candidate.freeSlots, 0);
  }

  get size(): number {
    return this._candidates.length;
  }

  candidates(): readonly PlacementEndpoint[] {
    return this._candidates;
  }

  /** Takes a slot for an item at a suitable endpoint. */
  take(request: PlacementRequest): Endpoint | undefined {
    if (this._freeSlots <= 0) return undefined;
    const found = placeItem(this._candidates, request, this._placement);
    return found && this._take(found);
  }

  /** Takes a slot at the endpoint if it is one of this tier and has a free one. */
  takeAt(endpointId: string): Endpoint | undefined {
    const found = this._candidates.find(({ id, freeSlots }) => id === endpointId && freeSlots > 0);
    return found && this._take(found);
  }

  private _take(found: PlacementEndpoint): Endpoint | undefined {
    this._freeSlots -= 1;
    this._candidates = this._candidates.map(candidate =>
      candidate === found ? { ...candidate, freeSlots: candidate.freeSlots - 1 } : candidate,
    );
    return this._endpoints.get(found.id);
  }
}

function toPlacement(endpoint: Endpoint, paceMs: number | undefined): PlacementEndpoint {
  return {
    id: endpoint.id,
    domain: endpoint.domain,
    freeSlots: endpoint.freeSlots(),
    paceMs,
  };
}
