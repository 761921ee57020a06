/**
 * What the fleet knows of poison requests, in the store: a key for each endpoint that ended under one, and for each trial.
 *
 * Hosts add keys without looking: an end that two of them tell is one key, and none undoes what another wrote, however late a
 * write is carried out. A trial alone is claimed, so that the whole fleet makes it once. The keys stand where all hosts
 * watch already, and end with leases that outlive the process that wrote them: a host may be the one that dies.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { RevisionedStore, Write } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';
import { LIVE_PREFIX } from './hostDirectory.js';

export const POISON_PREFIX = `${LIVE_PREFIX}poison/`;

/** One thing known of a request. */
export type PoisonMark =
  { readonly kind: 'end'; readonly startId: string } | { readonly kind: 'trial'; readonly number: number };

/** A mark with the request that it belongs to. */
export interface MarkedRequest {
  readonly fingerprint: string;
  readonly mark: PoisonMark;
}

/** The longest life of a lease that the platform's store grants. */
const LEASE_TTL_MS = 600_000;
/** A lease takes in no more keys after half of its life, so that each is kept for half of it at least. */
const LEASE_USED_MS = LEASE_TTL_MS / 2;
const STORE_TIMEOUT_MS = 800;
/** Pause between two tries while the store is away. */
const RETRY_MS = 250;
/** The platform's store takes 32 entries in one transaction. */
const MAX_WRITES = 30;
/** Writes that wait for a store that is away; beyond it the oldest is given up. */
const MAX_WAITING = 1000;

export class PoisonRecords {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;
  private readonly _waiting = new Map<string, 'put' | 'delete'>();
  private _lease: { readonly id: string; readonly grantedMs: number } | undefined;
  private _isWriting = false;

  constructor(context: GatewayContext, store: RevisionedStore) {
    this._context = context;
    this._store = store;
  }

  /** Tells the fleet, as soon as the store takes it. */
  add(fingerprint: string, marks: readonly PoisonMark[]): void {
    for (const mark of marks) this._enqueue(keyOf({ fingerprint, mark }), 'put');
    void this._write();
  }

  /** Takes marks back. */
  remove(fingerprint: string, marks: readonly PoisonMark[]): void {
    for (const mark of marks) this._enqueue(keyOf({ fingerprint, mark }), 'delete');
    void this._write();
  }

  /** True if this host, and no other, has the trial. Without an answer of the store nobody has it. */
  async claimTrial(fingerprint: string, number: number): Promise<boolean> {
    const leaseId = await this._leaseId();
    if (leaseId === undefined) return false;
    const key = keyOf({ fingerprint, mark: { kind: 'trial', number } });
    const write: Write = { kind: 'put', key, value: this._value(), leaseId };
    const done = await this._store.transact([{ key, version: 0 }], [write], this._deadline());
    return done.ok && done.value.succeeded;
  }

  private _enqueue(key: string, kind: 'put' | 'delete'): void {
    this._waiting.delete(key);
    this._waiting.set(key, kind);
    const [oldest] = this._waiting.keys();
    if (this._waiting.size <= MAX_WAITING || oldest === undefined) return;
    this._waiting.delete(oldest);
    this._context.log.warn('poison record given up', { key: oldest, waiting: MAX_WAITING });
  }

  private async _write(): Promise<void> {
    if (this._isWriting) return;
    this._isWriting = true;
    const { clock, stopped } = this._context;
    while (this._waiting.size > 0 && !stopped.aborted)
      if (!(await this._writeSome())) await sleep(clock, RETRY_MS, stopped);
    this._isWriting = false;
  }

  private async _writeSome(): Promise<boolean> {
    const leaseId = await this._leaseId();
    if (leaseId === undefined) return false;
    const batch = [...this._waiting].slice(0, MAX_WRITES);
    const value = this._value();
    const writes = batch.map(([key, kind]): Write =>
      kind === 'put' ? { kind, key, value, leaseId } : { kind, key },
    );
    const done = await this._store.transact([], writes, this._deadline());
    if (!done.ok || !done.value.succeeded) {
      // The store may have dropped the lease.
      this._lease = undefined;
      return false;
    }
    // What was asked for meanwhile stays.
    for (const [key, kind] of batch) if (this._waiting.get(key) === kind) this._waiting.delete(key);
    return true;
  }

  private async _leaseId(): Promise<string | undefined> {
    const nowMs = this._context.clock.nowMs();
    if (this._lease && nowMs - this._lease.grantedMs < LEASE_USED_MS) return this._lease.id;
    const granted = await this._store.grantLease(LEASE_TTL_MS, this._deadline());
    if (!granted.ok) return undefined;
    this._lease = { id: granted.value, grantedMs: nowMs };
    return granted.value;
  }

  /** For whoever looks into the store; nothing is decided by it. */
  private _value(): string {
    const { hostId, clock } = this._context;
    return JSON.stringify({ hostId, wallMs: clock.wallMs() });
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }
}

function keyOf({ fingerprint, mark }: MarkedRequest): string {
  const name = mark.kind === 'end' ? `end-${mark.startId}` : `trial-${mark.number}`;
  return `${POISON_PREFIX}${fingerprint}/${name}`;
}

/** Undefined for a key that is none of these, as a later version of the program may write. */
export function readPoisonKey(key: string): MarkedRequest | undefined {
  const parts = /^([0-9a-f]+-[0-9a-f]+)\/(?:end-(.+)|trial-(\d+))$/.exec(key.slice(POISON_PREFIX.length));
  const [, fingerprint, startId, number] = parts ?? [];
  if (fingerprint === undefined) return undefined;
  if (startId !== undefined) return { fingerprint, mark: { kind: 'end', startId } };
  return { fingerprint, mark: { kind: 'trial', number: Number(number) } };
}
