/**
 * Selects the endpoints that load the version that a trainer named.
 *
 * A step also accepts tokens of the previous version, so half of a model's endpoints load one version and the other
 * half the next. Loads then interrupt no request of the current step, and each endpoint loads half as often.
 */
import type { Clock } from '@fuchsiahitch/base';

/** An endpoint of one model's share. */
export interface LoadCandidate {
  readonly id: string;
  /** The version that it has or is loading. */
  readonly version: number;
  /** The estimated requests at the endpoint. The least loaded one loads first. */
  readonly load: number;
  /** False while it loads, or while no lease holder may order it. It counts in the shares, but is never due. */
  readonly acceptsOrders: boolean;
}

/** The minimum share of endpoints with the newest version. */
const FRESH_SHARE = 0.5;

/** Returns the endpoints that should load, most urgent first. `allowedLag`: the versions that a step may lag behind. */
export function endpointsDueForLoad(
  candidates: readonly LoadCandidate[],
  namedVersion: number,
  allowedLag: number,
): readonly string[] {
  const behind = candidates.filter(candidate => candidate.version < namedVersion);
  const stale = behind.filter(candidate => candidate.version < namedVersion - allowedLag);
  const usable = behind.filter(candidate => candidate.version >= namedVersion - allowedLag);
  const wanted = Math.ceil(candidates.length * FRESH_SHARE);
  const fresh = candidates.length - behind.length;
  const missing = Math.max(0, wanted - fresh - stale.length);
  const chosen = [...stale].sort(byVersionThenLoad);
  chosen.push(...[...usable].sort(byVersionThenLoad).slice(0, missing));
  return chosen.filter(candidate => candidate.acceptsOrders).map(candidate => candidate.id);
}

function byVersionThenLoad(a: LoadCandidate, b: LoadCandidate): number {
  return a.version - b.version || a.load - b.load || (a.id < b.id ? -1 : 1);
}

export interface DueEndpoint {
  readonly id: string;
  readonly version: number;
}

/**
 * Limits the number of concurrent loads over all failure domains. More concurrent loads slow each other down and occupy
 * endpoints that the running step needs.
 *
 * The hosts that give orders in different domains do not coordinate: each computes the same window of due endpoints and
 * gives orders to those of its own domain. An endpoint that stays in the window for `skipAfterMs` no longer counts, so
 * that it does not block the others.
 */
export class LoadWindow {
  private readonly _clock: Clock;
  private readonly _skipAfterMs: number;
  private _firstDueMs = new Map<string, number>();

  constructor(clock: Clock, skipAfterMs: number) {
    this._clock = clock;
    this._skipAfterMs = skipAfterMs;
  }

  /** Returns the first endpoints of `due`, of which at most `limit` count. */
  next(due: readonly DueEndpoint[], limit: number): readonly DueEndpoint[] {
    const nowMs = this._clock.nowMs();
    const firstDueMs = new Map<string, number>();
    const included: DueEndpoint[] = [];
    let counted = 0;
    for (const endpoint of due) {
      if (counted >= limit) break;
      const key = `${endpoint.id} ${endpoint.version}`;
      const dueSinceMs = this._firstDueMs.get(key) ?? nowMs;
      firstDueMs.set(key, dueSinceMs);
      included.push(endpoint);
      if (nowMs - dueSinceMs < this._skipAfterMs) counted += 1;
    }
    this._firstDueMs = firstDueMs;
    return included;
  }
}
