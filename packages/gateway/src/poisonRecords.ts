/**
 * Poison request marks in the store: one key for each endpoint that terminated while running a request, and one for
 * each trial.
 *
 * Terminations are written unconditionally and have one key each, so repeated and delayed writes are harmless. Trials
 * are claimed by a conditional write, so that only one host runs each. Leases outlive the writing process, since
 * the host that writes a mark may be the next to fail. The keys are under `LIVE_PREFIX`, which all hosts watch already.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { RevisionedStore, Write } from '@fuchsiahitch/clients';
import { markKey, type PoisonMark } from '@fuchsiahitch/requests';
import * as z from 'zod';
import type { GatewayContext } from './gatewayContext.js';
import { LIVE_PREFIX } from './hostDirectory.js';

export const POISON_PREFIX = `${LIVE_PREFIX}poison/`;

export interface MarkedRequest {
  readonly fingerprint: string;
  readonly mark: PoisonMark;
}

const trialValueSchema = z.object({ endsBefore: z.number().int().min(0).default(0) });

/** The longest TTL that the platform's store grants. */
const LEASE_TTL_MS = 600_000;
/** A lease is reused for half of its TTL, so that each key is retained for at least the other half. */
const LEASE_REUSE_MS = LEASE_TTL_MS / 2;
/** Short, because a trial's request waits for the claim. */
const STORE_TIMEOUT_MS = 400;
/** Delay between attempts while the store is unavailable. */
const RETRY_MS = 250;
/** Below the platform store's limit of 32 entries in a transaction. */
const MAX_WRITES_PER_TRANSACTION = 30;
/** Beyond this many, the oldest pending write is dropped. */
const MAX_PENDING_WRITES = 1000;

/** Adds a mark, or removes its key if `added` is undefined. */
interface PendingWrite {
  readonly added: MarkedRequest | undefined;
}

export class PoisonRecords {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;
  private readonly _pending = new Map<string, PendingWrite>();
  private _lease: { readonly id: string; readonly grantedMs: number } | undefined;
  private _lastWrite: Promise<void> = Promise.resolve();
  /** True while a failed write is being retried. */
  private _isStoreUnavailable = false;

  constructor(context: GatewayContext, store: RevisionedStore) {
    this._context = context;
    this._store = store;
  }

  /** Returns false if the first attempt fails; the write is then retried in the background. */
  async add(fingerprint: string, marks: readonly PoisonMark[]): Promise<boolean> {
    return this._write(
      marks.map(mark => ({ fingerprint, mark })),
      added => ({ added }),
    );
  }

  /** Removes marks; retries like `add`. */
  async remove(fingerprint: string, marks: readonly PoisonMark[]): Promise<boolean> {
    return this._write(
      marks.map(mark => ({ fingerprint, mark })),
      () => ({ added: undefined }),
    );
  }

  /** Returns true if this host holds the trial. If the store does not answer, no host does. */
  async claimTrial(fingerprint: string, number: number, endsBefore: number): Promise<boolean> {
    // Fail fast: a caller is waiting.
    if (this._isStoreUnavailable) return false;
    const leaseId = await this._leaseId();
    if (leaseId === undefined) return false;
    const claimed: MarkedRequest = { fingerprint, mark: { kind: 'trial', number, endsBefore } };
    const key = keyOf(claimed);
    const write: Write = { kind: 'put', key, value: this._valueOf(claimed), leaseId };
    const done = await this._store.transact([{ key, version: 0 }], [write], this._deadline());
    // The claim may have been stored; remove it so that the trial is not lost.
    if (!done.ok && done.error === 'unknown') void this.remove(fingerprint, [claimed.mark]);
    return done.ok && done.value.succeeded;
  }

  private async _write(
    marked: readonly MarkedRequest[],
    toWrite: (marked: MarkedRequest) => PendingWrite,
  ): Promise<boolean> {
    for (const each of marked) this._enqueue(keyOf(each), toWrite(each));
    // Writes run one at a time; each flush includes everything that is pending by then.
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
    this._context.log.warn('poison record write dropped', { key: oldest, waiting: MAX_PENDING_WRITES });
  }

  /** Writes everything that is pending. On failure, continues in the background. */
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
      // The store may have expired the lease.
      this._lease = undefined;
      return false;
    }
    // Keep entries that were replaced during the transaction.
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

  /** The host ID and the time are for diagnostics only. */
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
 * Parses the mark stored at a key. Returns undefined for unknown keys of later program versions. Without a
 * `value`, the mark of a trial has zero `endsBefore`.
 */
export function parseMark(key: string, value = '{}'): MarkedRequest | undefined {
  const parts = /^([0-9a-f]+-[0-9a-f]+)\/(?:end-(.+)|trial-(\d+))$/.exec(key.slice(POISON_PREFIX.length));
  const [, fingerprint, startId, number] = parts ?? [];
  if (fingerprint === undefined) return undefined;
  if (startId !== undefined) return { fingerprint, mark: { kind: 'end', startId } };
  return { fingerprint, mark: { kind: 'trial', number: Number(number), endsBefore: endsBeforeOf(value) } };
}

/** Falls back to 0, the most conservative value, if the value is unreadable. */
function endsBeforeOf(value: string): number {
  try {
    const parsed = trialValueSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data.endsBefore : 0;
  } catch {
    // Not JSON: written by another program.
    return 0;
  }
}
