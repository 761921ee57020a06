/**
 * Choice of the host that owns a trainer's batches.
 *
 * Addresses trainers whose steps arrive at a different entry host each time. If the accepting host owns the batch, it
 * has no open connections to the endpoints, no measured paces and none of the previous step's output, although all
 * hosts together may open only a few connections to each endpoint.
 */
import { rendezvous } from '@fuchsiahitch/base';
import type { Batch } from './model.js';

export interface LiveHost {
  readonly hostId: string;
  /** True if the host is in the failure domain of the accepting host. */
  readonly isOwnDomain: boolean;
}

/** Chooses the owner of a submitted batch. */
export interface OwnerChoice {
  /** Returns hosts in order of preference. `peers`: the live hosts other than `self`, the accepting host. */
  candidates(
    batch: Pick<Batch, 'accountName' | 'model'>,
    peers: readonly LiveHost[],
    self: string,
  ): readonly string[];
}

/** The accepting host owns the batch. Used where one host can open enough connections to fill an endpoint. */
export class AcceptingHost implements OwnerChoice {
  candidates(
    _batch: Pick<Batch, 'accountName' | 'model'>,
    _peers: readonly LiveHost[],
    self: string,
  ): readonly string[] {
    return [self];
  }
}

/** The same host owns all batches of a client account and model. Used where connections are scarce. */
export class HomeHost implements OwnerChoice {
  candidates(
    { accountName, model }: Pick<Batch, 'accountName' | 'model'>,
    peers: readonly LiveHost[],
    self: string,
  ): readonly string[] {
    return homeCandidates(JSON.stringify([accountName ?? null, model]), peers, self);
  }
}

/**
 * Returns the live hosts, including `self`, in the order of their rendezvous weights for the key. Hosts of the own
 * failure domain come first, since a call to another domain takes longer and fails when the domains are separated.
 */
export function homeCandidates(key: string, hosts: readonly LiveHost[], self: string): readonly string[] {
  const peers = hosts.filter(({ hostId }) => hostId !== self);
  const own = peers.filter(({ isOwnDomain }) => isOwnDomain).map(({ hostId }) => hostId);
  const others = peers.filter(({ isOwnDomain }) => !isOwnDomain).map(({ hostId }) => hostId);
  return [...rendezvous(key, [self, ...own]), ...rendezvous(key, others)];
}

/** The state of a host that decides whether it can own another batch. */
export interface HomeState {
  readonly isShuttingDown: boolean;
  /** False if the host has no route for the batch or does not know the endpoints yet, for example after its start. */
  readonly isReady: boolean;
  /** True if the host cannot reach the store directly. */
  readonly isRelaying: boolean;
  readonly loopLagMs: number;
  /** Items that are running or waiting, and those of batches that are being accepted. */
  readonly openItems: number;
  /** False if the open batches leave no memory for this one. */
  readonly hasMemory: boolean;
}

/** With more lag, the owner delays the reading of events and the start of items. */
const MAX_LOOP_LAG_MS = 200;
/** More than two steps of each of two trainers. The limit keeps the owner responsive on a small host. */
const MAX_OPEN_ITEMS = 600;

/** Returns why a host can't own another batch, or undefined if it can. Bounds the load of homes shared by trainers. */
export function declineReason(state: HomeState): string | undefined {
  if (state.isShuttingDown) return 'the host is shutting down';
  if (!state.isReady) return 'the host is not ready to run the batch';
  if (state.isRelaying) return 'the host relays its store calls';
  if (state.loopLagMs > MAX_LOOP_LAG_MS) return `event loop lag of ${Math.round(state.loopLagMs)} ms`;
  if (state.openItems >= MAX_OPEN_ITEMS) return `${state.openItems} open items`;
  if (!state.hasMemory) return 'no memory for another batch';
  return undefined;
}
