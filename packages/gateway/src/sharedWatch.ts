/**
 * One watch of the store for all hosts of a failure domain.
 *
 * What goes wrong without it: every host asks the store for the same changes, so that calls grow with the fleet. On
 * 55 hosts and a quiet day these were 95 of the 125 calls of a host in 44 s. So the host with the lowest identifier
 * watches, and its neighbours follow it. A follower must not depend on a host that is silent, or that the store is
 * silent to: it waits for a short time only, hears nothing from a host whose own view is old, and watches by itself
 * for a while whenever that happens.
 */
import { sleep, type Deadline, type Result } from '@fuchsiahitch/base';
import type { Changes, RevisionedStore, Snapshot, StoreError, WatchEvent } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';
import type { MirrorSource } from './storeMirror.js';
import { followCall, type FollowReply, type FollowRequest } from './storeRelayMessages.js';

/**
 * A change takes up to this long to be read, and one watch for all changes of that time is one call to the
 * store. Endpoints write every second or so; a leaving one must be known within two seconds.
 */
const SPACING_MS = 900;
/** A follower's question waits this long for a change, and its answer this much longer for the network. */
const FOLLOW_WAIT_MS = 600;
const FOLLOW_SLACK_MS = 300;
/** A host that watches tells nothing once the store has been silent to it for so long: leaving endpoints count on two seconds. */
const VIEW_VALID_MS = 1400;
/** After a question that failed, a follower watches by itself for this long. */
const OWN_WATCH_MS = 2000;
/** Changes that are kept for followers: several seconds of a pool of hundreds of endpoints. */
const MAX_EVENTS = 2000;
const STALE_CHECK_MS = 100;

export class SharedWatch implements MirrorSource {
  private readonly _context: GatewayContext;
  private readonly _store: Pick<RevisionedStore, 'snapshot' | 'changes'>;
  private readonly _hosts: Hosts;
  private readonly _prefix: string;
  private _events: WatchEvent[] = [];
  /** The events are all changes after `_fromRevision`, up to `_revision`. */
  private _fromRevision = Infinity;
  private _revision = 0;
  private _heardMs = -Infinity;
  private _ownUntilMs = -Infinity;
  private _followed: string | undefined;
  private _wake: (() => void)[] = [];

  /** Watches what stands under `prefix`. */
  constructor(
    context: GatewayContext,
    store: Pick<RevisionedStore, 'snapshot' | 'changes'>,
    hosts: Hosts,
    prefix: string,
  ) {
    this._context = context;
    this._store = store;
    this._hosts = hosts;
    this._prefix = prefix;
  }

  serve(server: CallRegistry): void {
    server.handle(followCall, request => this._serveFollower(request));
  }

  async snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>> {
    const snapshot = await this._store.snapshot(prefix, deadline);
    if (snapshot.ok) this._restart(snapshot.value.revision);
    return snapshot;
  }

  async changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<Changes, StoreError | 'compacted'>> {
    const followed = await this._follow(afterRevision);
    if (followed) return { ok: true, value: followed };
    await this._space();
    const changes = await this._store.changes(prefix, afterRevision, waitMs, deadline);
    if (changes.ok) this._heard(afterRevision, changes.value);
    return changes;
  }

  /** What the watching host tells; undefined when this host watches by itself. */
  private async _follow(afterRevision: number): Promise<Changes | undefined> {
    const watcher = this._watcher();
    if (!watcher) {
      this._noteSource(undefined, 'this host watches');
      return undefined;
    }
    const request: FollowRequest = { afterRevision, waitMs: FOLLOW_WAIT_MS };
    const reply = await this._hosts.call(
      watcher.address,
      followCall,
      request,
      FOLLOW_WAIT_MS + FOLLOW_SLACK_MS,
    );
    if (reply.ok && reply.value.kind === 'changes') {
      this._noteSource(watcher.hostId, 'it watches');
      return { events: reply.value.events, revision: reply.value.revision };
    }
    this._ownUntilMs = this._context.clock.nowMs() + OWN_WATCH_MS;
    this._noteSource(undefined, reply.ok ? 'the watching host has no fresh view' : reply.error.kind);
    return undefined;
  }

  /** The host to follow: the one of the own domain with the lowest identifier, unless that is this host. */
  private _watcher(): { readonly hostId: string; readonly address: string } | undefined {
    if (!this._hosts.isSynced() || this._context.clock.nowMs() < this._ownUntilMs) return undefined;
    let lowest = this._hosts.self();
    for (const peer of this._hosts.peers())
      if (this._hosts.isOwnDomain(peer.hostId) && peer.hostId < lowest.hostId) lowest = peer;
    return lowest.hostId === this._hosts.self().hostId ? undefined : lowest;
  }

  private _noteSource(hostId: string | undefined, reason: string): void {
    if (hostId === this._followed) return;
    this._followed = hostId;
    const { log } = this._context;
    log.info('watch', { prefix: this._prefix, follows: hostId ?? 'the store', reason });
  }

  /** Changes that come close together are read in one call. */
  private async _space(): Promise<void> {
    const { clock, stopped } = this._context;
    const leftMs = this._heardMs + SPACING_MS - clock.nowMs();
    if (leftMs > 0) await sleep(clock, leftMs, stopped);
  }

  private _restart(revision: number): void {
    this._events = [];
    this._fromRevision = revision;
    this._revision = revision;
    this._heardMs = this._context.clock.nowMs();
  }

  private _heard(afterRevision: number, changes: Changes): void {
    // After a time of following, the changes before are not known here.
    if (afterRevision !== this._revision) this._restart(afterRevision);
    this._events.push(...changes.events);
    const surplus = this._events.splice(0, Math.max(0, this._events.length - MAX_EVENTS));
    this._fromRevision = surplus.at(-1)?.version ?? this._fromRevision;
    this._revision = Math.max(this._revision, changes.revision);
    this._heardMs = this._context.clock.nowMs();
    const wake = this._wake;
    this._wake = [];
    for (const run of wake) run();
  }

  private async _serveFollower({ afterRevision, waitMs }: FollowRequest): Promise<FollowReply> {
    const { clock } = this._context;
    const endMs = clock.nowMs() + waitMs;
    while (this._isFresh() && this._revision <= afterRevision && clock.nowMs() < endMs)
      await this._change(Math.min(STALE_CHECK_MS, endMs - clock.nowMs()));
    if (!this._isFresh() || afterRevision < this._fromRevision) return { kind: 'not-watching' };
    const events = this._events.filter(event => event.version > afterRevision);
    return { kind: 'changes', events, revision: Math.max(this._revision, afterRevision) };
  }

  /** True if this host watches the store itself, and has heard of it a moment ago. */
  private _isFresh(): boolean {
    return this._followed === undefined && this._context.clock.nowMs() - this._heardMs < VIEW_VALID_MS;
  }

  /** Resolves at the next change, or after the time. */
  private async _change(waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this._context.clock.after(waitMs, resolve);
      this._wake.push(() => {
        cancel();
        resolve();
      });
    });
  }
}
