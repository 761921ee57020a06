/**
 * Candidate endpoints for the waiting items of a batch within one scheduling pass.
 */
import { placeItem, type PlacementEndpoint, type PlacementRequest } from '@fuchsiahitch/batches';
import type { Endpoint } from './endpoint.js';

/**
 * Reads free slots once per pass and decrements them as items are placed, which is cheaper than reading them for each
 * item.
 */
export class EndpointTier {
  private readonly _endpoints: ReadonlyMap<string, Endpoint>;
  private _candidates: readonly PlacementEndpoint[];
  private _freeSlots: number;

  constructor(endpoints: readonly Endpoint[]) {
    this._endpoints = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
    this._candidates = endpoints.map(toPlacement);
    this._freeSlots = this._candidates.reduce((sum, candidate) => sum + candidate.freeSlots, 0);
  }

  get size(): number {
    return this._candidates.length;
  }

  /** Takes a slot for an item at a suitable endpoint. */
  take(request: PlacementRequest): Endpoint | undefined {
    if (this._freeSlots <= 0) return undefined;
    const found = placeItem(this._candidates, request);
    if (!found) return undefined;
    this._freeSlots -= 1;
    this._candidates = this._candidates.map(candidate =>
      candidate === found ? { ...candidate, freeSlots: candidate.freeSlots - 1 } : candidate,
    );
    return this._endpoints.get(found.id);
  }
}

function toPlacement(endpoint: Endpoint): PlacementEndpoint {
  return {
    id: endpoint.id,
    domain: endpoint.domain,
    freeSlots: endpoint.freeSlots(),
    paceMs: endpoint.paceMs(),
  };
}
