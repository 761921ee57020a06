/**
 * Whether this host is cut off: from the store, and from the hosts of every other failure domain.
 *
 * What goes wrong without it: the balancer goes on sending trainers to a domain that can neither read nor write
 * their batches, and every read is refused until the cut ends. A host that says that it is not ready sends its
 * callers to other domains, whose hosts take the batches over. When only the store is away, other domains answer
 * and the host stays ready: elsewhere it would be no better.
 *
 * A process that is held up comes here before it has read what arrived meanwhile, so that its own delay looks like the
 * silence of the store; one notices it as hosts that are not ready for seconds while the store answers them. The loop
 * therefore reads before the store counts as silent, and again before a round does.
 */
import { every, haveRead } from '@fuchsiahitch/base';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';
import type { RelayedStore } from './relayedStore.js';
import { reachCall } from './storeRelayMessages.js';

const CHECK_INTERVAL_MS = 200;
/** Hosts of other domains are asked once the store was silent for so long. */
const STORE_SILENCE_MS = 750;
const PROBE_TIMEOUT_MS = 300;
/** Rounds without any answer until the host takes itself for cut off. */
const MAX_FAILED_ROUNDS = 2;
/** Hosts that are asked in one round. */
const PROBED_HOSTS = 3;

export class ReachabilityMonitor {
  private readonly _context: GatewayContext;
  private readonly _store: RelayedStore;
  private readonly _hosts: Hosts;
  private _failedRounds = 0;

  constructor(context: GatewayContext, store: RelayedStore, hosts: Hosts) {
    this._context = context;
    this._store = store;
    this._hosts = hosts;
  }

  start(): void {
    every(this._context.clock, CHECK_INTERVAL_MS, this._context.stopped, () => this._check());
  }

  isCutOff(): boolean {
    return this._failedRounds >= MAX_FAILED_ROUNDS;
  }

  private async _check(): Promise<void> {
    const isReached =
      (await this._isStoreReached()) || (await this._anyHostResponds()) || (await this._isStoreReached());
    const wasCutOff = this.isCutOff();
    this._failedRounds = isReached ? 0 : this._failedRounds + 1;
    if (this.isCutOff() === wasCutOff) return;
    const change = this.isCutOff() ? 'cut off' : 'connected';
    this._context.log.warn('reach', { change, sinceStoreMs: Math.round(this._store.sinceReachedMs()) });
  }

  private async _isStoreReached(): Promise<boolean> {
    if (this._store.sinceReachedMs() < STORE_SILENCE_MS) return true;
    await haveRead();
    return this._store.sinceReachedMs() < STORE_SILENCE_MS;
  }

  /** True if a host of another domain answers, or there is none to ask. */
  private async _anyHostResponds(): Promise<boolean> {
    const others = this._hosts.peers().filter(peer => !this._hosts.isOwnDomain(peer.hostId));
    if (others.length === 0) return true;
    const start = this._context.random.below(others.length);
    const probed = [...others.slice(start), ...others.slice(0, start)].slice(0, PROBED_HOSTS);
    const replies = await Promise.all(
      probed.map(peer => this._hosts.call(peer.address, reachCall, {}, PROBE_TIMEOUT_MS)),
    );
    return replies.some(reply => reply.ok);
  }
}
