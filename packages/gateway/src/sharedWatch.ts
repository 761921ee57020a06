/**
 * One watch of the store for all hosts of a failure domain.
 *
 * What goes wrong without it: every host asks the store for the same changes, so that calls grow with the fleet, and with its
 * square while all hosts start and each writes that it lives. One notices it as calls to the store, most of them watches, on
 * a fleet that nobody asks anything. So the host with the lowest identifier watches, and its neighbours follow it, with one
 * call at a time for all prefixes. A follower must not depend on a host that is silent, or that the store is silent to: it
 * waits for a short time only, hears nothing from a host whose own view is old, and watches by itself for a while whenever
 * that happens.
 */
import { sleep, type Deadline, type Result } from '@fuchsiahitch/base';
import type { Changes, Snapshot, StoreError } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';
import type { MirrorSource } from './storeMirror.js';
import { followCall, type FollowReply, type FollowRequest, type Revisions } from './storeRelayMessages.js';
import { WatchFeed, type WatchedPrefix } from './watchFeed.js';

/** A follower's question waits this long for news, and its answer this much longer for the network. */
const FOLLOW_WAIT_MS = 600;
const FOLLOW_SLACK_MS = 300;
/** After a question that failed, a follower watches by itself for this long. */
const DIRECT_WATCH_MS = 2000;

/** What decides whom to follow. */
export type WatchHosts = Pick<Hosts, 'isSynced' | 'self' | 'peers' | 'isOwnDomain' | 'call'>;

export class SharedWatch implements MirrorSource {
  private readonly _context: GatewayContext;
  private readonly _store: MirrorSource;
  private readonly _feeds: ReadonlyMap<string, WatchFeed>;
  private _hosts: WatchHosts | undefined;
  private _directUntilMs = -Infinity;
  private _followedHostId: string | undefined;
  /** The question to the watching host that is on its way, for all prefixes. */
  private _pendingFollow: Promise<boolean> | undefined;
  private _waiters: (() => void)[] = [];

  constructor(context: GatewayContext, store: MirrorSource, prefixes: readonly WatchedPrefix[]) {
    this._context = context;
    this._store = store;
    this._feeds = new Map(prefixes.map(watched => [watched.prefix, new WatchFeed(watched)]));
  }

  /** Until then this host watches by itself: which hosts live is itself learnt by a watch. */
  setHosts(hosts: WatchHosts): void {
    this._hosts = hosts;
  }

  serve(server: CallRegistry): void {
    server.handle(followCall, request => this._serveFollower(request));
  }

  async snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>> {
    const snapshot = await this._store.snapshot(prefix, deadline);
    if (snapshot.ok) this._feed(prefix).restart(snapshot.value, this._context.clock.nowMs());
    return snapshot;
  }

  async changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<Changes, StoreError | 'compacted'>> {
    const feed = this._feed(prefix);
    const told =
      feed.hasChangesAfter(afterRevision) || (await this._follow()) ? feed.after(afterRevision) : undefined;
    if (told) return { ok: true, value: told };
    await this._awaitSpacing(feed);
    const ownWaitMs = Math.min(waitMs, feed.waitMs(this._context.clock.nowMs()));
    const changes = await this._store.changes(prefix, afterRevision, ownWaitMs, deadline);
    if (!changes.ok) return changes;
    if (feed.apply(afterRevision, changes.value, this._context.clock.nowMs())) this._wakeFollowers();
    return { ok: true, value: feed.after(afterRevision) ?? changes.value };
  }

  private _feed(prefix: string): WatchFeed {
    const feed = this._feeds.get(prefix);
    if (!feed) throw new Error(`no watch of '${prefix}'`);
    return feed;
  }

  /** Hears what the watching host tells, of all prefixes; false when this host watches by itself. */
  private async _follow(): Promise<boolean> {
    const watchingHost = this._watchingHost();
    if (!watchingHost) {
      this._setSource(undefined, 'this host watches');
      return false;
    }
    this._pendingFollow ??= this._requestChanges(watchingHost).finally(() => {
      this._pendingFollow = undefined;
    });
    return this._pendingFollow;
  }

  private async _requestChanges(watcher: {
    readonly hostId: string;
    readonly address: string;
  }): Promise<boolean> {
    const after = this._revisions();
    const request: FollowRequest = { after, waitMs: FOLLOW_WAIT_MS };
    const timeoutMs = FOLLOW_WAIT_MS + FOLLOW_SLACK_MS;
    const reply = await this._hosts?.call(watcher.address, followCall, request, timeoutMs);
    if (reply?.ok && reply.value.kind === 'changes') {
      this._setSource(watcher.hostId, 'it watches');
      this._applyChanges(after, reply.value.changes);
      return true;
    }
    this._directUntilMs = this._context.clock.nowMs() + DIRECT_WATCH_MS;
    this._setSource(
      undefined,
      reply?.ok === false ? reply.error.kind : 'the watching host has no fresh view',
    );
    return false;
  }

  /** The prefixes that were read whole, and up to where their changes are known. */
  private _revisions(): Revisions {
    const feeds = [...this._feeds].filter(([, feed]) => feed.revision > 0);
    return Object.fromEntries(feeds.map(([prefix, feed]) => [prefix, feed.revision]));
  }

  private _applyChanges(after: Revisions, told: Readonly<Record<string, Changes>>): void {
    const nowMs = this._context.clock.nowMs();
    for (const [prefix, revision] of Object.entries(after)) {
      const changes = told[prefix];
      if (changes) this._feeds.get(prefix)?.apply(revision, changes, nowMs);
    }
  }

  /** The host to follow: the one of the own domain with the lowest identifier, unless that is this host. */
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

  /** Changes that come close together are read in one call. */
  private async _awaitSpacing(feed: WatchFeed): Promise<void> {
    const { clock, stopped } = this._context;
    const leftMs = feed.spacingLeftMs(clock.nowMs());
    if (leftMs > 0) await sleep(clock, leftMs, stopped);
  }

  private async _serveFollower({ after, waitMs }: FollowRequest): Promise<FollowReply> {
    const { clock } = this._context;
    const endMs = clock.nowMs() + waitMs;
    while (this._freshForMs(after) > 0 && !this._hasChanges(after) && clock.nowMs() < endMs)
      await this._nextChange(Math.min(this._freshForMs(after), endMs - clock.nowMs()));
    return this._freshForMs(after) > 0 ? this._replyOf(after) : { kind: 'not-watching' };
  }

  private _replyOf(after: Revisions): FollowReply {
    const changes: Record<string, Changes> = {};
    for (const [prefix, revision] of Object.entries(after)) {
      const told = this._feeds.get(prefix)?.after(revision);
      if (!told) return { kind: 'not-watching' };
      changes[prefix] = told;
    }
    return { kind: 'changes', changes };
  }

  private _hasChanges(after: Revisions): boolean {
    return Object.entries(after).some(([prefix, revision]) =>
      this._feeds.get(prefix)?.hasChangesAfter(revision),
    );
  }

  /** How long this host's view of all these prefixes is still good; 0 if it does not watch the store itself. */
  private _freshForMs(after: Revisions): number {
    if (this._followedHostId !== undefined) return 0;
    const nowMs = this._context.clock.nowMs();
    const fresh = Object.keys(after).map(prefix => this._feeds.get(prefix)?.freshForMs(nowMs) ?? 0);
    return Math.max(0, Math.min(...fresh));
  }

  private _wakeFollowers(): void {
    const waiters = this._waiters;
    this._waiters = [];
    for (const run of waiters) run();
  }

  /** Resolves at the next news, or after the time. */
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
