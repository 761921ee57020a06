/**
 * What the fleet knows of poison requests, in the store: a key for each endpoint that ended under one, and for each trial.
 *
 * Hosts add keys without looking: an end that two of them tell is one key, and none undoes what another wrote, however late a
 * write is carried out. A trial alone is claimed, so that the whole fleet makes it once. The keys stand where all hosts
 * watch already, and end with leases that outlive the process that wrote them: a host may be the one that dies.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { RevisionedStore, Write } from '@fuchsiahitch/clients';
import { markKey, type PoisonMark } from '@fuchsiahitch/requests';
import * as z from 'zod';
import type { GatewayContext } from './gatewayContext.js';
import { LIVE_PREFIX } from './hostDirectory.js';

export const POISON_PREFIX = `${LIVE_PREFIX}poison/`;

/** A mark with the request that it belongs to. */
export interface MarkedRequest {
  readonly fingerprint: string;
  readonly mark: PoisonMark;
}

/** What the value of a trial's key must tell. */
const trialValueSchema = z.object({ endsBefore: z.number().int().min(0).default(0) });

/** The longest life of a lease that the platform's store grants. */
const LEASE_TTL_MS = 600_000;
/** A lease takes in no more keys after half of its life, so that each is kept for half of it at least. */
const LEASE_REUSE_MS = LEASE_TTL_MS / 2;
/** Several round trips to a slow store. A request may wait for it: that of a trial. */
const STORE_TIMEOUT_MS = 400;
/** Pause between two tries while the store is away. */
const RETRY_MS = 250;
/** The platform's store takes 32 entries in one transaction. */
const MAX_WRITES_PER_TRANSACTION = 30;
/** Writes that wait for a store that is away; beyond it the oldest is given up. */
const MAX_PENDING_WRITES = 1000;

/** A write that waits: a mark to add, or none for a key to remove. */
interface PendingWrite {
  readonly added: MarkedRequest | undefined;
}

export class PoisonRecords {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;
  private readonly _pending = new Map<string, PendingWrite>();
  private _lease: { readonly id: string; readonly grantedMs: number } | undefined;
  private _lastWrite: Promise<void> = Promise.resolve();
  /** The store did not take the last write; it is tried again until it does. */
  private _isStoreUnavailable = false;

  constructor(context: GatewayContext, store: RevisionedStore) {
    this._context = context;
    this._store = store;
  }

  /** Writes marks as soon as the store takes them. False if it did not take them at once. */
  async add(fingerprint: string, marks: readonly PoisonMark[]): Promise<boolean> {
    return this._write(
      marks.map(mark => ({ fingerprint, mark })),
      added => ({ added }),
    );
  }

  /** Takes marks back, as `add` writes them. */
  async remove(fingerprint: string, marks: readonly PoisonMark[]): Promise<boolean> {
    return this._write(
      marks.map(mark => ({ fingerprint, mark })),
      () => ({ added: undefined }),
    );
  }

  /** True if this host, and no other, has the trial. Without an answer of the store nobody has it. */
  async claimTrial(fingerprint: string, number: number, endsBefore: number): Promise<boolean> {
    // A caller waits for it.
    if (this._isStoreUnavailable) return false;
    const leaseId = await this._leaseId();
    if (leaseId === undefined) return false;
    const claimed: MarkedRequest = { fingerprint, mark: { kind: 'trial', number, endsBefore } };
    const key = keyOf(claimed);
    const write: Write = { kind: 'put', key, value: this._valueOf(claimed), leaseId };
    const done = await this._store.transact([{ key, version: 0 }], [write], this._deadline());
    // It may be claimed all the same, and then nobody makes it.
    if (!done.ok && done.error === 'unknown') void this.remove(fingerprint, [claimed.mark]);
    return done.ok && done.value.succeeded;
  }

  private async _write(
    marked: readonly MarkedRequest[],
    toWrite: (marked: MarkedRequest) => PendingWrite,
  ): Promise<boolean> {
    for (const each of marked) this._enqueue(keyOf(each), toWrite(each));
    // One write at a time takes in all that has come meanwhile.
    this._lastWrite = this._lastWrite.then(() => this._flush());
    await this._lastWrite;
    return marked.every(each => !this._pending.has(keyOf(each)));
  }

  private _enqueue(key: string, write: PendingWrite): void {
    this._pending.delete(key);
    this._pending.set(key, write);
    const [oldest] = this._pending.keys();
    if (this._pending.size <= MAX_PENDING_WRITES || oldest === undefined) return;
    this._pending.delete(oldest);
    this._context.log.warn('poison record given up', { key: oldest, waiting: MAX_PENDING_WRITES });
  }

  /** Writes what waits; where the store is away, what is left goes on by itself. */
  private async _flush(): Promise<void> {
    if (this._isStoreUnavailable) return;
    while (this._pending.size > 0) {
      if (await this._writeChunk()) continue;
      this._isStoreUnavailable = true;
      void this._retryFlush();
      return;
    }
  }

  private async _retryFlush(): Promise<void> {
    const { clock, stopped } = this._context;
    while (this._pending.size > 0 && !stopped.aborted) {
      await sleep(clock, RETRY_MS, stopped);
      await this._writeChunk();
    }
    this._isStoreUnavailable = false;
  }

  private async _writeChunk(): Promise<boolean> {
    const leaseId = await this._leaseId();
    if (leaseId === undefined) return false;
    const batch = [...this._pending].slice(0, MAX_WRITES_PER_TRANSACTION);
    const writes = batch.map(([key, { added }]): Write =>
      added ? { kind: 'put', key, value: this._valueOf(added), leaseId } : { kind: 'delete', key },
    );
    const done = await this._store.transact([], writes, this._deadline());
    if (!done.ok || !done.value.succeeded) {
      // The store may have dropped the lease.
      this._lease = undefined;
      return false;
    }
    // What was asked for meanwhile stays.
    for (const [key, write] of batch) if (this._pending.get(key) === write) this._pending.delete(key);
    return true;
  }

  private async _leaseId(): Promise<string | undefined> {
    const nowMs = this._context.clock.nowMs();
    if (this._lease && nowMs - this._lease.grantedMs < LEASE_REUSE_MS) return this._lease.id;
    const granted = await this._store.grantLease(LEASE_TTL_MS, this._deadline());
    if (!granted.ok) return undefined;
    this._lease = { id: granted.value, grantedMs: nowMs };
    return granted.value;
  }

  /** Which host wrote it, and when, is for whoever looks into the store. */
  private _valueOf({ mark }: MarkedRequest): string {
    const { hostId, clock } = this._context;
    const endsBefore = mark.kind === 'trial' ? mark.endsBefore : undefined;
    return JSON.stringify({ hostId, wallMs: clock.wallMs(), endsBefore });
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }
}

function keyOf({ fingerprint, mark }: MarkedRequest): string {
  return `${POISON_PREFIX}${fingerprint}/${markKey(mark)}`;
}

/**
 * The mark that stands at a key. Undefined for a key that is none of these, as a later version of the program may write.
 * `value` may be left out where only the key is known: the mark of a trial then counts no ends.
 */
export function parseMark(key: string, value = '{}'): MarkedRequest | undefined {
  const parts = /^([0-9a-f]+-[0-9a-f]+)\/(?:end-(.+)|trial-(\d+))$/.exec(key.slice(POISON_PREFIX.length));
  const [, fingerprint, startId, number] = parts ?? [];
  if (fingerprint === undefined) return undefined;
  if (startId !== undefined) return { fingerprint, mark: { kind: 'end', startId } };
  return { fingerprint, mark: { kind: 'trial', number: Number(number), endsBefore: endsBeforeOf(value) } };
}

/** What a trial's value tells; 0, the most careful, if it can't be read. */
function endsBeforeOf(value: string): number {
  try {
    const parsed = trialValueSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data.endsBefore : 0;
  } catch {
    // Not JSON: a value of another writer.
    return 0;
  }
}
