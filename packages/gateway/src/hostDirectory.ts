/**
 * Directory of the live hosts, from store keys that are bound to their leases, and calls to them.
 */
import type { CancelTimer, Result } from '@fuchsiahitch/base';
import { isSameOwner, ownerFields, KEY_ROOT, type Owner } from '@fuchsiahitch/batches';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import { decodeHandover, type DutyHandover } from '@fuchsiahitch/duties';
import type { CallDefinition, CallError, PeerServer } from '@fuchsiahitch/protocol';
import * as z from 'zod';
import type { GatewayContext } from './gatewayContext.js';
import { HostChangeLog } from './hostChangeLog.js';
import { LIVE_BUDGET } from './newsBudget.js';
import type { PeerCaller } from './peerCaller.js';
import { StoreLease } from './storeLease.js';
import { StoreMirror, type MirrorSource } from './storeMirror.js';

/** Prefix of keys that are bound to leases, most of them to the lease of the process that wrote them. */
export const LIVE_PREFIX = `${KEY_ROOT}live/`;
const HOST_PREFIX = `${LIVE_PREFIX}host/`;

/** Key of the handover record of a domain's weight orders. It outlives the holder's lease. */
export function lastOrdersKey(domain: string): string {
  return `${LIVE_PREFIX}last-orders/${domain}`;
}

/** Key held by the host that orders the endpoints of a failure domain. */
export function ordersKey(domain: string): string {
  return `${LIVE_PREFIX}orders/${domain}`;
}

/** Bounds the time until a failed host is detected. Briefly paused hosts must not lose their leases. */
const HOST_LEASE = { ttlMs: 2000, renewMs: 600 };
/** More than the restarts per day of a fleet of several hundred hosts. */
const MAX_TERMINATED_PROCESSES = 1000;
const MIRROR_OPTIONS = { prefix: LIVE_PREFIX, budget: LIVE_BUDGET, spacingMs: 0 };

export interface HostDirectoryOptions {
  readonly peers: PeerCaller;
  /** Address at which peers call this host. */
  readonly address: string;
}

/** View of the fleet's hosts. */
export interface Hosts extends Pick<PeerCaller, 'call'> {
  self(): Owner;
  /** Returns false until the live hosts were read from the store. */
  isSynced(): boolean;
  /** Returns true if the process is live according to the last view of the store. */
  isAlive(owner: Owner): boolean;
  /**
   * Runs a callback once when the process is seen to be terminated: its lease has ended, or another process has
   * replaced it at its host. Runs it at once if that was seen before. The returned function cancels it.
   */
  onTerminated(owner: Owner, callback: () => void): CancelTimer;
  /** Returns true if the process was seen to be terminated. */
  isTerminated(owner: Owner): boolean;
  /** Returns true for a host of this host's failure domain. */
  isOwnDomain(hostId: string): boolean;
  /** Returns true if the key exists in the last view of the store. */
  isHeld(key: string): boolean;
  /** Runs a callback whenever the key's holder may have changed, and after each complete read of the live hosts. */
  onKeyChange(key: string, callback: () => void): void;
  /** Handover record of a domain's weight orders, available even if they have no holder now. */
  lastOrders(domain: string): DutyHandover | undefined;
  /** Live hosts other than this one. */
  peers(): readonly Owner[];
}

/** Receives changes of the keys under one prefix. */
export interface KeyListener {
  /** Called when the key was added or written again. */
  changed(key: string, value: string): void;
  removed(key: string): void;
}

/** Subscribes to keys under `LIVE_PREFIX`, which every host watches. */
export interface LiveKeys {
  /** `prefix` begins with `LIVE_PREFIX`. */
  watchKeys(prefix: string, listener: KeyListener): void;
}

/** Registers handlers for calls from peers. */
export type CallRegistry = Pick<PeerServer, 'handle'>;

export class HostDirectory implements Hosts, LiveKeys {
  private readonly _context: GatewayContext;
  private readonly _options: HostDirectoryOptions;
  private readonly _mirror: StoreMirror;
  private readonly _lease: StoreLease;
  private readonly _owners = new Map<string, Owner>();
  private readonly _domains = new Map<string, string>();
  private readonly _valuesByKey = new Map<string, string>();
  private readonly _keyCallbacks = new Map<string, (() => void)[]>();
  private readonly _listeners = new Map<string, KeyListener>();
  private readonly _terminated = new TerminatedProcesses();
  private readonly _changeLog: HostChangeLog;
  private readonly _onHostTerminated: () => void;

  /** `source`: where live hosts are read. `onHostTerminated`: called whenever a process is seen to be terminated. */
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
    this._changeLog = new HostChangeLog(context);
    this._mirror = new StoreMirror(context, source, MIRROR_OPTIONS, {
      changed: item => this._changed(item.key, item.value),
      removed: key => this._removed(key),
      synced: () => [...this._keyCallbacks.values()].flat().forEach(callback => callback()),
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

  /** Releases the host lease, so that peers take over its batches before the lease expires. */
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

  onTerminated(owner: Owner, callback: () => void): CancelTimer {
    return this._terminated.subscribe(owner, callback);
  }

  isTerminated(owner: Owner): boolean {
    return this._terminated.has(owner);
  }

  isHeld(key: string): boolean {
    return this._valuesByKey.has(key);
  }

  onKeyChange(key: string, callback: () => void): void {
    this._keyCallbacks.set(key, [...(this._keyCallbacks.get(key) ?? []), callback]);
  }

  /** Value of a key; undefined if it has no holder. */
  valueOfKey(key: string): string | undefined {
    return this._valuesByKey.get(key);
  }

  watchKeys(prefix: string, listener: KeyListener): void {
    this._listeners.set(prefix, listener);
  }

  lastOrders(domain: string): DutyHandover | undefined {
    return this.handover(lastOrdersKey(domain));
  }

  /** Handover record stored under a key. */
  handover(key: string): DutyHandover | undefined {
    const value = this._valuesByKey.get(key);
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
    this._valuesByKey.set(key, value);
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
    this._changeLog.added(owner.hostId, owner.incarnation);
  }

  private _notifyKeyCallbacks(key: string): void {
    for (const callback of this._keyCallbacks.get(key) ?? []) callback();
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
    this._valuesByKey.delete(key);
    this._notifyKeyCallbacks(key);
    if (!key.startsWith(HOST_PREFIX)) return;
    const hostId = key.slice(HOST_PREFIX.length);
    const known = this._owners.get(hostId);
    this._owners.delete(hostId);
    if (known) this._onProcessTerminated(known);
    this._changeLog.removed(hostId);
  }
}

/** Processes that were seen to be terminated, and callbacks for the termination of others. */
class TerminatedProcesses {
  private readonly _incarnations = new Set<string>();
  private readonly _callbacks = new Map<string, Set<() => void>>();

  add({ incarnation }: Owner): void {
    this._incarnations.add(incarnation);
    const [oldest] = this._incarnations;
    if (this._incarnations.size > MAX_TERMINATED_PROCESSES && oldest !== undefined)
      this._incarnations.delete(oldest);
    const callbacks = this._callbacks.get(incarnation) ?? [];
    this._callbacks.delete(incarnation);
    for (const callback of callbacks) callback();
  }

  /** Forgets a process whose lease was revoked and that has registered again. */
  delete({ incarnation }: Owner): void {
    this._incarnations.delete(incarnation);
  }

  has({ incarnation }: Owner): boolean {
    return this._incarnations.has(incarnation);
  }

  subscribe({ incarnation }: Owner, callback: () => void): CancelTimer {
    if (this._incarnations.has(incarnation)) {
      callback();
      return () => undefined;
    }
    const callbacks = this._callbacks.get(incarnation) ?? new Set();
    callbacks.add(callback);
    this._callbacks.set(incarnation, callbacks);
    return () => {
      callbacks.delete(callback);
      if (callbacks.size === 0) this._callbacks.delete(incarnation);
    };
  }
}

/** Store record of a host. */
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
