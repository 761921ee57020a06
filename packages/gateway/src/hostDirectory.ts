/**
 * The hosts that live, by keys in the store that end with their leases, and calls to them.
 */
import type { CancelTimer, Result } from '@fuchsiahitch/base';
import { isSameOwner, ownerFields, ROOT, type Owner } from '@fuchsiahitch/batches';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import { decodeHandover, type DutyHandover } from '@fuchsiahitch/duties';
import type { CallDefinition, CallError, PeerServer } from '@fuchsiahitch/protocol';
import * as z from 'zod';
import type { GatewayContext } from './gatewayContext.js';
import { HostChangeLog } from './hostChangeLog.js';
import type { PeerCaller } from './peerCaller.js';
import { StoreLease } from './storeLease.js';
import { StoreMirror, type MirrorSource } from './storeMirror.js';

/** Keys that end with a lease, most of them with that of the process that wrote them. */
export const LIVE_PREFIX = `${ROOT}live/`;
const HOST_PREFIX = `${LIVE_PREFIX}host/`;

/** The key of what the last holder of a domain's orders left. It outlives the holder's lease. */
export function lastOrdersKey(domain: string): string {
  return `${LIVE_PREFIX}last-orders/${domain}`;
}

/** The key of the one host that orders the endpoints of a failure domain. */
export function ordersKey(domain: string): string {
  return `${LIVE_PREFIX}orders/${domain}`;
}

/**
 * A dead host is known after this time at most. Batches wait for it; against that a host that pauses for a
 * moment loses its batches.
 */
const HOST_LEASE = { ttlMs: 2000, renewMs: 600 };
/** Ended processes that are remembered: a fleet of 330 hosts restarts 610 a day. */
const MAX_TERMINATED = 1000;
const MIRROR = { prefix: LIVE_PREFIX, waitMs: 4000, spacingMs: 0 };

export interface HostDirectoryOptions {
  readonly peers: PeerCaller;
  /** Where this host's peers reach it. */
  readonly address: string;
}

/** What services ask about the other hosts. */
export interface Hosts extends Pick<PeerCaller, 'call'> {
  self(): Owner;
  /** False until the store has named the hosts that live. */
  isSynced(): boolean;
  /** True if the process that owns something lives, as far as the store's last word goes. */
  isAlive(owner: Owner): boolean;
  /**
   * Runs something once when the process is seen to be gone: its lease has ended, or another process stands at its
   * host. At once if that was seen before. The returned function cancels it.
   */
  onTerminated(owner: Owner, run: () => void): CancelTimer;
  /** True if the process was seen to be gone. */
  isTerminated(owner: Owner): boolean;
  /** True for a host of this host's failure domain. */
  isOwnDomain(hostId: string): boolean;
  /** True if some host holds the key. */
  isHeld(key: string): boolean;
  /** Runs something whenever the key's holder may have changed, and once the hosts that live are known. */
  onKeyChange(key: string, run: () => void): void;
  /** What the last holder of a domain's orders left, also when nobody holds them now. */
  lastOrders(domain: string): DutyHandover | undefined;
  /** The other hosts that live. */
  peers(): readonly Owner[];
}

/** Hears of the keys under one prefix. */
export interface KeyListener {
  /** The key is new, or was written again. */
  changed(key: string, value: string): void;
  removed(key: string): void;
}

/** Lets others hear of keys among those that every host watches for the sake of the living hosts. */
export interface LiveKeys {
  /** `prefix` begins with `LIVE_PREFIX`. */
  watchKeys(prefix: string, listener: KeyListener): void;
}

/** Takes the handlers of calls from peers. */
export type CallRegistry = Pick<PeerServer, 'handle'>;

export class HostDirectory implements Hosts, LiveKeys {
  private readonly _context: GatewayContext;
  private readonly _options: HostDirectoryOptions;
  private readonly _mirror: StoreMirror;
  private readonly _lease: StoreLease;
  private readonly _owners = new Map<string, Owner>();
  private readonly _domains = new Map<string, string>();
  private readonly _values = new Map<string, string>();
  private readonly _keyCallbacks = new Map<string, (() => void)[]>();
  private readonly _listeners = new Map<string, KeyListener>();
  private readonly _terminated = new TerminatedProcesses();
  private readonly _changes: HostChangeLog;
  private readonly _onHostTerminated: () => void;

  /** `source`: where the living hosts are read. `hostGone`: told whenever a process is seen to be gone. */
  constructor(
    context: GatewayContext,
    store: RevisionedStore,
    source: MirrorSource,
    options: HostDirectoryOptions,
    onHostTerminated: () => void,
  ) {
    this._onHostTerminated = onHostTerminated;
    this._context = context;
    this._options = options;
    this._changes = new HostChangeLog(context);
    this._mirror = new StoreMirror(context, source, MIRROR, {
      changed: item => this._changed(item.key, item.value),
      removed: key => this._removed(key),
      synced: () => [...this._keyCallbacks.values()].flat().forEach(run => run()),
    });
    this._lease = new StoreLease(context, store, `${HOST_PREFIX}${context.hostId}`, HOST_LEASE, false, {
      value: () => JSON.stringify({ ...this.self(), domain: context.domain }),
      acquireDelayMs: () => 0,
      held: () => undefined,
      lost: reason => context.log.warn('host lease lost', { reason }),
    });
  }

  start(): void {
    this._mirror.start();
    this._lease.start();
  }

  isSynced(): boolean {
    return this._mirror.isSynced();
  }

  /** Says that this host leaves, so that its batches need not wait for its lease to end. */
  async leave(): Promise<void> {
    await this._lease.release();
  }

  close(): void {
    this._options.peers.close();
  }

  self(): Owner {
    const { hostId, incarnation } = this._context;
    return { hostId, incarnation, address: this._options.address };
  }

  isAlive(owner: Owner): boolean {
    const known = this._owners.get(owner.hostId);
    return known !== undefined && isSameOwner(known, owner);
  }

  onTerminated(owner: Owner, run: () => void): CancelTimer {
    return this._terminated.on(owner, run);
  }

  isTerminated(owner: Owner): boolean {
    return this._terminated.has(owner);
  }

  isHeld(key: string): boolean {
    return this._values.has(key);
  }

  onKeyChange(key: string, run: () => void): void {
    this._keyCallbacks.set(key, [...(this._keyCallbacks.get(key) ?? []), run]);
  }

  /** What stands under a key; undefined while nobody holds it. */
  valueOfKey(key: string): string | undefined {
    return this._values.get(key);
  }

  watchKeys(prefix: string, listener: KeyListener): void {
    this._listeners.set(prefix, listener);
  }

  lastOrders(domain: string): DutyHandover | undefined {
    return this.handover(lastOrdersKey(domain));
  }

  /** What the last holder of a duty left under a key, also when nobody holds it now. */
  handover(key: string): DutyHandover | undefined {
    const value = this._values.get(key);
    return value === undefined ? undefined : decodeHandover(value);
  }

  peers(): readonly Owner[] {
    return [...this._owners.values()].filter(owner => owner.hostId !== this._context.hostId);
  }

  isOwnDomain(hostId: string): boolean {
    return this._domains.get(hostId) === this._context.domain;
  }

  async call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
  ): Promise<Result<A, CallError>> {
    return this._options.peers.call(address, call, request, timeoutMs);
  }

  private _listenerOf(key: string): KeyListener | undefined {
    for (const [prefix, listener] of this._listeners) if (key.startsWith(prefix)) return listener;
    return undefined;
  }

  private _changed(key: string, value: string): void {
    const listener = this._listenerOf(key);
    if (listener) {
      listener.changed(key, value);
      return;
    }
    this._values.set(key, value);
    this._notifyKeyCallbacks(key);
    if (!key.startsWith(HOST_PREFIX)) return;
    const owner = decodeHostRecord(value);
    if (!owner) {
      this._context.log.warn('unreadable host record', { key });
      return;
    }
    const known = this._owners.get(owner.hostId);
    this._owners.set(owner.hostId, toOwner(owner));
    this._domains.set(owner.hostId, owner.domain);
    if (known && isSameOwner(known, owner)) return;
    this._terminated.delete(owner);
    if (known) this._onProcessTerminated(known);
    this._changes.added(owner.hostId, owner.incarnation);
  }

  private _notifyKeyCallbacks(key: string): void {
    for (const run of this._keyCallbacks.get(key) ?? []) run();
  }

  private _onProcessTerminated(process: Owner): void {
    this._terminated.add(process);
    this._onHostTerminated();
  }

  private _removed(key: string): void {
    const listener = this._listenerOf(key);
    if (listener) {
      listener.removed(key);
      return;
    }
    this._values.delete(key);
    this._notifyKeyCallbacks(key);
    if (!key.startsWith(HOST_PREFIX)) return;
    const hostId = key.slice(HOST_PREFIX.length);
    const known = this._owners.get(hostId);
    this._owners.delete(hostId);
    if (known) this._onProcessTerminated(known);
    this._changes.removed(hostId);
  }
}

/** Processes that were seen to end, and who waits for an end. */
class TerminatedProcesses {
  private readonly _incarnations = new Set<string>();
  private readonly _callbacks = new Map<string, Set<() => void>>();

  add({ incarnation }: Owner): void {
    this._incarnations.add(incarnation);
    const [oldest] = this._incarnations;
    if (this._incarnations.size > MAX_TERMINATED && oldest !== undefined) this._incarnations.delete(oldest);
    const waiting = this._callbacks.get(incarnation) ?? [];
    this._callbacks.delete(incarnation);
    for (const run of waiting) run();
  }

  /** A lease that was revoked, and not the process that ended: it is back. */
  delete({ incarnation }: Owner): void {
    this._incarnations.delete(incarnation);
  }

  has({ incarnation }: Owner): boolean {
    return this._incarnations.has(incarnation);
  }

  on({ incarnation }: Owner, run: () => void): CancelTimer {
    if (this._incarnations.has(incarnation)) {
      run();
      return () => undefined;
    }
    const waiting = this._callbacks.get(incarnation) ?? new Set();
    waiting.add(run);
    this._callbacks.set(incarnation, waiting);
    return () => {
      waiting.delete(run);
      if (waiting.size === 0) this._callbacks.delete(incarnation);
    };
  }
}

/** What a host writes of itself. */
const hostRecordSchema = z.object({ ...ownerFields, domain: z.string() }).readonly();
type HostRecord = z.infer<typeof hostRecordSchema>;

function toOwner({ hostId, incarnation, address }: HostRecord): Owner {
  return { hostId, incarnation, address };
}

function decodeHostRecord(value: string): HostRecord | undefined {
  try {
    const parsed = hostRecordSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
