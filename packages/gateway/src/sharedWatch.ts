/**
 * Shares one store watch among the hosts of a failure domain, to bound the number of store calls in large fleets. With
 * a watch per host, calls grow with the fleet, and with its square while all hosts start and each writes its own key.
 *
 * The host with the lowest identifier watches the store. The other hosts follow it, with one call at a time for all
 * prefixes. A follower watches the store itself for a while if the watching host does not respond or has a stale view.
 */
import { Instant, sleep, type Deadline, type Result } from '@fuchsiahitch/base';
import type { Snapshot, StoreError } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';
import type { MirrorChanges, MirrorSource, MirrorStore } from './storeMirror.js';
import {
  followCall,
  type FollowedChanges,
  type FollowReply,
  type FollowRequest,
  type Revisions,
} from './storeRelayMessages.js';
import { watchedAsOf } from './storeView.js';
import { WatchFeed, type WatchedPrefix } from './watchFeed.js';

/** How long a follower's request waits for changes, and the additional time for the network. */
const FOLLOW_WAIT_MS = 600;
const FOLLOW_SLACK_MS = 300;
/** How long a follower watches the store itself after a failed request. */
const DIRECT_WATCH_MS = 2000;

export type WatchHosts = Pick<Hosts, 'isSynced' | 'self' | 'peers' | 'isOwnDomain' | 'call'>;

export class SharedWatch implements MirrorSource {
  private readonly _context: GatewayContext;
  private readonly _store: MirrorStore;
  private readonly _feeds: ReadonlyMap<string, WatchFeed>;
  private _hosts: WatchHosts | undefined;
  private _directUntilMs = -Infinity;
  private _followedHostId: string | undefined;
  /** Pending request to the watching host, shared by all prefixes. */
  private _pendingFollow: Promise<boolean> | undefined;
  private _waiters: (() => void)[] = [];

  constructor(context: GatewayContext, store: MirrorStore, prefixes: readonly WatchedPrefix[]) {
    this._context = context;
    this._store = store;
    this._feeds = new Map(prefixes.map(watched => [watched.prefix, new WatchFeed(watched)]));
  }

  /** Enables following. Until then this host watches the store itself, since the host list is read through a watch. */
  setHosts(hosts: WatchHosts): void {
    this._hosts = hosts;
  }

  serve(server: CallRegistry): void {
    server.handle(followCall, request => this._serveFollower(request));
  }

  async snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>> {
    const began = Instant.now(this._context.clock);
    const snapshot = await this._store.snapshot(prefix, deadline);
    if (snapshot.ok) this._feed(prefix).restart(snapshot.value, began, this._context.clock.nowMs());
    return snapshot;
  }

  async changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<MirrorChanges, StoreError | 'compacted'>> {
    const { clock } = this._context;
    const feed = this._feed(prefix);
    const buffered =
      feed.hasChangesAfter(afterRevision) || (await this._follow()) ? feed.after(afterRevision) : undefined;
    if (buffered) return { ok: true, value: { ...buffered, view: feed.view() } };
    await this._awaitSpacing(feed);
    const ownWaitMs = Math.min(waitMs, feed.waitMs(clock.nowMs()));
    const began = Instant.now(clock);
    const changes = await this._store.changes(prefix, afterRevision, ownWaitMs, deadline);
    if (!changes.ok) return changes;
    const asOf = watchedAsOf(clock, began, ownWaitMs, changes.value.events.length > 0);
    const isNews = feed.apply(afterRevision, changes.value, { asOf, source: 'watch' }, clock.nowMs());
    if (isNews) this._wakeFollowers();
    return { ok: true, value: { ...(feed.after(afterRevision) ?? changes.value), view: feed.view() } };
  }

  private _feed(prefix: string): WatchFeed {
    const feed = this._feeds.get(prefix);
    if (!feed) throw new Error(`prefix '${prefix}' is not a watched prefix`);
    return feed;
  }

  /** Applies the watching host's changes of all prefixes; returns false if this host watches the store itself. */
  private async _follow(): Promise<boolean> {
    const watchingHost = this._watchingHost();
    if (!watchingHost) {
      this._setSource(undefined, 'this host watches the store');
      return false;
    }
    this._pendingFollow ??= this._requestChanges(watchingHost).finally(() => {
      this._pendingFollow = undefined;
    });
    return this._pendingFollow;
  }

  private async _requestChanges(host: {
    readonly hostId: string;
    readonly address: string;
  }): Promise<boolean> {
    const after = this._revisions();
    const request: FollowRequest = { after, waitMs: FOLLOW_WAIT_MS };
    const timeoutMs = FOLLOW_WAIT_MS + FOLLOW_SLACK_MS;
    const began = Instant.now(this._context.clock);
    const reply = await this._hosts?.call(host.address, followCall, request, timeoutMs);
    if (reply?.ok && reply.value.kind === 'changes') {
      this._setSource(host.hostId, 'that host watches the store');
      this._applyChanges(after, reply.value.changes, began.plus(reply.value.heldMs ?? 0));
      return true;
    }
    this._directUntilMs = this._context.clock.nowMs() + DIRECT_WATCH_MS;
    this._setSource(undefined, reply?.ok === false ? reply.error.kind : 'view of the watching host is stale');
    return false;
  }

  /** Last known revisions of the prefixes that were read completely. */
  private _revisions(): Revisions {
    const feeds = [...this._feeds].filter(([, feed]) => feed.revision > 0);
    return Object.fromEntries(feeds.map(([prefix, feed]) => [prefix, feed.revision]));
  }

  /** `answered`: the earliest time at which the watching host can have answered. */
  private _applyChanges(
    after: Revisions,
    received: Readonly<Record<string, FollowedChanges>>,
    answered: Instant,
  ): void {
    const nowMs = this._context.clock.nowMs();
    for (const [prefix, revision] of Object.entries(after)) {
      const changes = received[prefix];
      const feed = this._feeds.get(prefix);
      if (!changes || !feed) continue;
      const ageMs = changes.ageMs ?? feed.watched.validMs;
      feed.apply(revision, changes, { asOf: answered.plus(-ageMs), source: 'follow' }, nowMs);
    }
  }

  /** Returns the host of the own domain with the lowest identifier, or undefined if this host is to watch. */
  private _watchingHost(): { readonly hostId: string; readonly address: string } | undefined {
    const hosts = this._hosts;
    if (!hosts?.isSynced() || this._context.clock.nowMs() < this._directUntilMs) return undefined;
    const self = hosts.self();
    let lowest = self;
    for (const peer of hosts.peers())
      if (peer.hostId < lowest.hostId && hosts.isOwnDomain(peer.hostId)) lowest = peer;
    return lowest.hostId === self.hostId ? undefined : lowest;
  }

  private _setSource(hostId: string | undefined, reason: string): void {
    if (hostId === this._followedHostId) return;
    this._followedHostId = hostId;
    this._context.log.info('watch', { follows: hostId ?? 'the store', reason });
  }

  /** Delays the next call so that close changes are read together. */
  private async _awaitSpacing(feed: WatchFeed): Promise<void> {
    const { clock, stopped } = this._context;
    const leftMs = feed.spacingLeftMs(clock.nowMs());
    if (leftMs > 0) await sleep(clock, leftMs, stopped);
  }

  private async _serveFollower({ after, waitMs }: FollowRequest): Promise<FollowReply> {
    const { clock } = this._context;
    const beganMs = clock.nowMs();
    const endMs = beganMs + waitMs;
    while (this._freshForMs(after) > 0 && !this._hasChanges(after) && clock.nowMs() < endMs)
      await this._nextChange(Math.min(this._freshForMs(after), endMs - clock.nowMs()));
    return this._freshForMs(after) > 0
      ? this._replyOf(after, clock.nowMs() - beganMs)
      : { kind: 'not-watching' };
  }

  private _replyOf(after: Revisions, heldMs: number): FollowReply {
    const changes: Record<string, FollowedChanges> = {};
    for (const [prefix, revision] of Object.entries(after)) {
      const feed = this._feeds.get(prefix);
      const buffered = feed?.after(revision);
      const ageMs = feed?.view()?.asOf.ageMs();
      if (!buffered || ageMs === undefined) return { kind: 'not-watching' };
      changes[prefix] = { ...buffered, ageMs };
    }
    return { kind: 'changes', changes, heldMs };
  }

  private _hasChanges(after: Revisions): boolean {
    return Object.entries(after).some(([prefix, revision]) =>
      this._feeds.get(prefix)?.hasChangesAfter(revision),
    );
  }

  /** How long this host's view of all these prefixes remains fresh; 0 if it does not watch the store itself. */
  private _freshForMs(after: Revisions): number {
    if (this._followedHostId !== undefined) return 0;
    const nowMs = this._context.clock.nowMs();
    const fresh = Object.keys(after).map(prefix => this._feeds.get(prefix)?.freshForMs(nowMs) ?? 0);
    return Math.max(0, Math.min(...fresh));
  }

  private _wakeFollowers(): void {
    const waiters = this._waiters;
    this._waiters = [];
    for (const wake of waiters) wake();
  }

  /** Resolves on the next change, or after the time. */
  private async _nextChange(waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this._context.clock.after(waitMs, resolve);
      this._waiters.push(() => {
        cancel();
        resolve();
      });
    });
  }
}
