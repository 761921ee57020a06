/**
 * Shares one store watch among the hosts of a failure domain, to bound the number of store calls in large fleets. With
 * a watch per host, calls grow with the fleet, and with its square while all hosts start and each writes its own key.
 *
 * The host with the lowest identifier watches the store. The other hosts follow it, with one call at a time for all
 * prefixes. A follower watches the store itself for a while if the watching host does not respond or has a stale view.
 */
import { Deadline, Instant, sleep, type Result } from '@fuchsiahitch/base';
import type { Snapshot, StoreError } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';
import { RESPONSE_GRACE_MS, type MirrorChanges, type MirrorSource, type MirrorStore } from './storeMirror.js';
import {
  followCall,
  type FollowedChanges,
  type FollowReply,
  type FollowRequest,
  type Revisions,
} from './storeRelayMessages.js';
import { watchedAsOf } from './storeView.js';
import { WatchFeed, type WatchedPrefix } from './watchFeed.js';

/** How long a follower's request waits for an answer of the store, and the additional time for the network. */
const FOLLOW_WAIT_MS = 1100;
const FOLLOW_SLACK_MS = 300;
/** Answers for several prefixes within this time are passed on together. */
const COALESCE_MS = 60;
/** A shorter wait would cost more calls than replies are saved. */
const MIN_ALIGNED_WAIT_MS = 300;
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
  private _isNotificationDue = false;

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
    if (!snapshot.ok) return snapshot;
    this._feed(prefix).restart(snapshot.value, began);
    this._notifyFollowers(true);
    return snapshot;
  }

  async changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<MirrorChanges, StoreError | 'compacted'>> {
    const feed = this._feed(prefix);
    if (waitMs === 0) return this._ask(feed, afterRevision, 0, deadline);
    const buffered =
      feed.hasChangesAfter(afterRevision) || (await this._follow()) ? feed.after(afterRevision) : undefined;
    if (buffered) return { ok: true, value: { ...buffered, view: feed.view() } };
    await this._awaitSpacing(feed);
    const ownWaitMs = Math.min(waitMs, feed.waitMs(), this._alignedWaitMs(feed));
    const ownDeadline = Deadline.after(this._context.clock, ownWaitMs + RESPONSE_GRACE_MS);
    return this._ask(feed, afterRevision, ownWaitMs, ownDeadline);
  }

  /** Asks the store for changes and buffers them. */
  private async _ask(
    feed: WatchFeed,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<MirrorChanges, StoreError | 'compacted'>> {
    const { clock } = this._context;
    const began = Instant.now(clock);
    const changes = await this._store.changes(feed.watched.prefix, afterRevision, waitMs, deadline);
    if (!changes.ok) return changes;
    const asOf = watchedAsOf(clock, began, waitMs, changes.value.events.length > 0);
    const isNews = feed.apply(afterRevision, changes.value, { asOf, source: 'watch' });
    this._notifyFollowers(isNews);
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
    const waitMs = this._followWaitMs(after);
    const request: FollowRequest = { after, waitMs };
    const timeoutMs = waitMs + FOLLOW_SLACK_MS;
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

  /** Short enough that no view gets so old meanwhile that its mirror asks the store. */
  private _followWaitMs(after: Revisions): number {
    const waits = Object.keys(after).map(prefix => this._feeds.get(prefix)?.followWaitMs() ?? 0);
    return Math.min(FOLLOW_WAIT_MS, ...waits);
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
    for (const [prefix, revision] of Object.entries(after)) {
      const changes = received[prefix];
      const feed = this._feeds.get(prefix);
      if (!changes || !feed) continue;
      const ageMs = changes.ageMs ?? feed.watched.budget.askAgeMs;
      feed.apply(revision, changes, { asOf: answered.plus(-ageMs), source: 'follow' });
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
    const leftMs = feed.spacingLeftMs();
    if (leftMs > 0) await sleep(clock, leftMs, stopped);
  }

  /**
   * Answers when there is news, and whenever the store has answered this host, so that a follower's view is as current as
   * this host's.
   */
  private async _serveFollower({ after, waitMs }: FollowRequest): Promise<FollowReply> {
    const { clock } = this._context;
    const beganMs = clock.nowMs();
    if (this._canServe(after) && !this._hasChanges(after))
      await this._nextChange(Math.min(this._freshForMs(after), waitMs));
    return this._canServe(after) ? this._replyOf(after, clock.nowMs() - beganMs) : { kind: 'not-watching' };
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

  /** Returns false if this host's view is stale, or lacks changes between the follower's and its own. */
  private _canServe(after: Revisions): boolean {
    const areRetained = Object.entries(after).every(([prefix, revision]) =>
      this._feeds.get(prefix)?.retains(revision),
    );
    return areRetained && this._freshForMs(after) > 0;
  }

  /** How long this host's view of all these prefixes remains fresh; 0 if it does not watch the store itself. */
  private _freshForMs(after: Revisions): number {
    if (this._followedHostId !== undefined) return 0;
    const fresh = Object.keys(after).map(prefix => this._feeds.get(prefix)?.freshForMs() ?? 0);
    return Math.max(0, Math.min(...fresh));
  }

  /**
   * Time until the next call for another prefix with the same budget, so that both are answered at about the same time and
   * followers learn of both in one reply; Infinity if no such call is due soon.
   */
  private _alignedWaitMs(feed: WatchFeed): number {
    const others = [...this._feeds.values()].filter(
      other => other !== feed && other.watched.budget === feed.watched.budget,
    );
    const waits = others.map(other => other.spacingLeftMs()).filter(leftMs => leftMs >= MIN_ALIGNED_WAIT_MS);
    return Math.min(...waits);
  }

  /** Without news, followers only need to know how current their view is, which may wait for the next prefix. */
  private _notifyFollowers(isNews: boolean): void {
    if (isNews) {
      this._wakeFollowers();
      return;
    }
    if (this._isNotificationDue) return;
    this._isNotificationDue = true;
    this._context.clock.after(COALESCE_MS, () => {
      this._isNotificationDue = false;
      this._wakeFollowers();
    });
  }

  private _wakeFollowers(): void {
    const waiters = this._waiters;
    this._waiters = [];
    for (const wake of waiters) wake();
  }

  /** Resolves on the next answer of the store, or after the time. */
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
