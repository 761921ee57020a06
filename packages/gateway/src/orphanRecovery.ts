/**
 * Reassigns the open batches of terminated hosts without waiting for a reader to trigger a takeover: the trainers of an
 * isolated failure domain may be unable to reach any other host. Their steps would otherwise be delayed by the duration
 * of the isolation, since the owners in that domain cannot list results.
 *
 * Only the live host with the lowest identifier lists the claims, so that the cost does not depend on the fleet size.
 * It spreads the batches over all hosts.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { Owner } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { BatchStore } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';

/** Delay of a run. Hosts of a domain tend to fail together, and readers trigger most takeovers within this time. */
const SETTLE_MS = 500;
const STORE_TIMEOUT_MS = 1000;
/** After a longer outage of the store, the directory of live hosts triggers another run. */
const MAX_TRIES = 5;
const RETRY_MS = 700;
/** A takeover takes a call to the owner, two calls to the store and one read of the batch. */
const ADOPT_TIMEOUT_MS = 2200;

export class OrphanRecovery {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _hosts: Hosts;
  private readonly _adoptLocally: (batchId: string, from: Owner) => Promise<unknown>;
  private _isRunning = false;
  private _isRequested = false;

  /** `adoptLocally`: takes a batch over at this host. */
  constructor(
    context: GatewayContext,
    store: BatchStore,
    hosts: Hosts,
    adoptLocally: (batchId: string, from: Owner) => Promise<unknown>,
  ) {
    this._context = context;
    this._store = store;
    this._hosts = hosts;
    this._adoptLocally = adoptLocally;
  }

  /** Schedules a run after a host was removed. Hosts that are removed together share one run. */
  hostRemoved(): void {
    this._isRequested = true;
    if (!this._isRunning) void this._run();
  }

  private async _run(): Promise<void> {
    const { clock, stopped } = this._context;
    this._isRunning = true;
    while (this._isRequested && !stopped.aborted) {
      await sleep(clock, SETTLE_MS, stopped);
      this._isRequested = false;
      if (this._hasLowestHostId()) await this._reassignOrphans();
    }
    this._isRunning = false;
  }

  private _hasLowestHostId(): boolean {
    const { hostId } = this._hosts.self();
    return this._hosts.peers().every(peer => hostId < peer.hostId);
  }

  private async _reassignOrphans(): Promise<void> {
    const { clock, stopped, log } = this._context;
    for (let i = 0; i < MAX_TRIES && !stopped.aborted; i++) {
      const open = await this._store.openClaims(Deadline.after(clock, STORE_TIMEOUT_MS));
      if (!open.ok) {
        await sleep(clock, RETRY_MS, stopped);
        continue;
      }
      const orphans = open.value.filter(({ claim }) => this._hosts.isTerminated(claim.owner));
      log.info('searched for orphaned batches', { open: open.value.length, orphaned: orphans.length });
      await Promise.all(orphans.map(({ batchId, claim }) => this._reassign(batchId, claim.owner)));
      return;
    }
    log.warn('listing the claims of orphaned batches failed', { tries: MAX_TRIES });
  }

  /** Offers the batch to a random host and takes it over locally if that host does not adopt it. */
  private async _reassign(batchId: string, from: Owner): Promise<void> {
    const peers = this._hosts.peers();
    const index = this._context.random.below(peers.length + 1);
    const peer = peers[index];
    const request = { batchId, from, isGivenUp: false, unfinished: [] };
    const reply = peer && (await this._hosts.call(peer.address, calls.batchAdopt, request, ADOPT_TIMEOUT_MS));
    const isAdopted = reply?.ok === true && reply.value.isAdopted;
    if (!isAdopted) await this._adoptLocally(batchId, from);
  }
}
