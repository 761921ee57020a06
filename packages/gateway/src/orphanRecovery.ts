/**
 * Finds owners for the open batches of hosts that are gone, without waiting for a reader.
 *
 * What goes wrong without it: a failure domain is cut off, and its trainer's readers reach hosts of that domain only. The
 * batches stand with owners there, which can't list results, and nobody else hears a reader: steps that were under way
 * are lost or late by the length of the cut. One notices it as batches whose `batch takeover` comes seconds after the
 * host's `gone`. One host, the one with the lowest identifier that lives, looks through the claims, so that a death
 * costs the fleet one read of the store however large it is; it shares the batches out among all.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { Owner } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { BatchStore } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';

/** Hosts of a domain go together, and a reader that drives a takeover does so within half a second. */
const SETTLE_MS = 500;
const STORE_TIMEOUT_MS = 1000;
/** A store that is away comes back within seconds; its mirror then tells again who lives. */
const MAX_TRIES = 5;
const RETRY_MS = 700;
/** Taking a batch over is a question to its owner, two calls to the store and one read of it. */
const ADOPT_TIMEOUT_MS = 2200;

export class OrphanRecovery {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _hosts: Hosts;
  private readonly _adoptLocally: (batchId: string, from: Owner) => Promise<unknown>;
  private _isRunning = false;
  private _isRequested = false;

  /** `adoptHere`: takes a batch over at this host. */
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

  /** A host is gone. Several that go together are looked for at once. */
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
      const orphans = open.value.filter(({ claim }) => this._hosts.isGone(claim.owner));
      log.info('orphaned batches', { open: open.value.length, orphaned: orphans.length });
      await Promise.all(orphans.map(({ batchId, claim }) => this._reassign(batchId, claim.owner)));
      return;
    }
    log.warn('orphaned batches could not be looked for', { tries: MAX_TRIES });
  }

  /** Asks a host drawn at random; takes the batch itself if that one doesn't. */
  private async _reassign(batchId: string, from: Owner): Promise<void> {
    const peers = this._hosts.peers();
    const drawn = this._context.random.below(peers.length + 1);
    const peer = peers[drawn];
    const request = { batchId, from, isGivenUp: false, unfinished: [] };
    const reply = peer && (await this._hosts.call(peer.address, calls.batchAdopt, request, ADOPT_TIMEOUT_MS));
    const isAdopted = reply?.ok === true && reply.value.isAdopted;
    if (!isAdopted) await this._adoptLocally(batchId, from);
  }
}
