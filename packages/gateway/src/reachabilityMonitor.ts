/**
 * Detects that this host is isolated from the store and from the hosts of all other failure domains.
 *
 * An isolated host reports not ready, so that the load balancer sends its callers to other domains, whose hosts take
 * over its batches; otherwise callers would continue to reach a domain that can neither read nor write their batches.
 * If only the store is unreachable, the host remains ready, since other domains are affected as well.
 *
 * After event loop lag, replies may have arrived without being read. Pending I/O is therefore read before the store or
 * a round of probes counts as unanswered.
 */
import { every, pendingIoRead } from '@fuchsiahitch/base';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';
import type { RelayedStore } from './relayedStore.js';
import { reachCall } from './storeRelayMessages.js';

const CHECK_INTERVAL_MS = 200;
/** Time without an answer of the store after which hosts of other domains are probed. */
const STORE_SILENCE_MS = 750;
const PROBE_TIMEOUT_MS = 300;
/** Consecutive rounds without any answer after which the host counts as isolated. */
const MAX_FAILED_ROUNDS = 2;
const PROBED_HOSTS_PER_ROUND = 3;

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

  isIsolated(): boolean {
    return this._failedRounds >= MAX_FAILED_ROUNDS;
  }

  private async _check(): Promise<void> {
    const isReached =
      (await this._hasStoreAnswered()) || (await this._anyHostResponds()) || (await this._hasStoreAnswered());
    const wasIsolated = this.isIsolated();
    this._failedRounds = isReached ? 0 : this._failedRounds + 1;
    if (this.isIsolated() === wasIsolated) return;
    const change = this.isIsolated() ? 'isolated' : 'connected';
    this._context.log.warn('reach', {
      change,
      sinceStoreMs: Math.round(this._store.sinceReachedMs()),
    });
  }

  private async _hasStoreAnswered(): Promise<boolean> {
    if (this._store.sinceReachedMs() < STORE_SILENCE_MS) return true;
    await pendingIoRead();
    return this._store.sinceReachedMs() < STORE_SILENCE_MS;
  }

  /** Returns true if a host of another domain answers, or if there is none. */
  private async _anyHostResponds(): Promise<boolean> {
    const others = this._hosts.peers().filter(peer => !this._hosts.isOwnDomain(peer.hostId));
    if (others.length === 0) return true;
    const start = this._context.random.below(others.length);
    const probed = [...others.slice(start), ...others.slice(0, start)].slice(0, PROBED_HOSTS_PER_ROUND);
    const replies = await Promise.all(
      probed.map(peer => this._hosts.call(peer.address, reachCall, {}, PROBE_TIMEOUT_MS)),
    );
    return replies.some(reply => reply.ok);
  }
}
