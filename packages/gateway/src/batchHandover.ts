/**
 * Hands open batches over to other hosts when this host shuts down, with the events of their unfinished items.
 * Otherwise a batch would make no progress until its trainer reads it at another host.
 */
import type { Owner } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { BatchHomes } from './batchHomes.js';
import type { BatchOwner } from './batchOwner.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';

/** Allows for the takeover: two calls to the store and one read of the batch. */
const ADOPT_TIMEOUT_MS = 1500;
const MAX_SUCCESSORS = 3;
/** The last successor is a random host, since the preferred ones may fail for the same reason. */
const MAX_PREFERRED_SUCCESSORS = 2;

export class BatchHandover {
  private readonly _context: GatewayContext;
  private readonly _hosts: Pick<Hosts, 'self' | 'peers' | 'call'>;
  private readonly _homes: Pick<BatchHomes, 'successors'>;

  constructor(
    context: GatewayContext,
    hosts: Pick<Hosts, 'self' | 'peers' | 'call'>,
    homes: Pick<BatchHomes, 'successors'>,
  ) {
    this._context = context;
    this._hosts = hosts;
    this._homes = homes;
  }

  /** Stops the batch at this host and asks other hosts in turn to adopt it. */
  async handOver(owner: BatchOwner): Promise<void> {
    owner.stop('host is shutting down');
    const { batchId } = owner;
    if (owner.isEnded()) return;
    const from = this._hosts.self();
    const unfinished = owner.ledger.unfinished();
    for (const peer of this._successors(owner)) {
      const request = { batchId, from, isGivenUp: true, unfinished };
      const reply = await this._hosts.call(peer.address, calls.batchAdopt, request, ADOPT_TIMEOUT_MS);
      const isAdopted = reply.ok && reply.value.isAdopted;
      this._context.log.info('batch handed over', { batchId, to: peer.hostId, isAdopted });
      if (isAdopted) return;
    }
  }

  /** Returns the next homes of the batch, then random peers, so that batches are spread over the fleet. */
  private _successors(owner: BatchOwner): readonly Owner[] {
    const successors = this._homes.successors(owner.ledger.batch).slice(0, MAX_PREFERRED_SUCCESSORS);
    const peers = this._hosts.peers().filter(peer => !successors.includes(peer));
    while (peers.length > 0 && successors.length < MAX_SUCCESSORS)
      successors.push(...peers.splice(this._context.random.below(peers.length), 1));
    return successors;
  }
}
