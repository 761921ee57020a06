/**
 * Store records of the pools' base capacity and of the endpoints that were added to it.
 *
 * A record outlives the holder of the duty, so that a holder that starts during a shortage does not take it for the
 * base. It is written only by the current holder, which the lease key's version proves, and only over the version that
 * this holder has read or written, so that a delayed write does not replace a later one.
 */
import { Deadline, err, ok, type Result } from '@fuchsiahitch/base';
import { KEY_ROOT } from '@fuchsiahitch/batches';
import type { CapacityRecord } from '@fuchsiahitch/capacity';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import * as z from 'zod';
import type { GatewayContext } from './gatewayContext.js';

/** Not below the prefix that all hosts watch: only the holder reads it. */
export const CAPACITY_RECORD_PREFIX = `${KEY_ROOT}capacity/`;
const CALL_TIMEOUT_MS = 800;

const count = z.number().int().min(0);
const recordSchema = z.object({
  base: z.record(z.string(), z.object({ regular: count, reclaimable: count })),
  added: z.record(z.string(), count),
  // Records of earlier versions lack these.
  withdrawn: z.record(z.string(), count).default({}),
  draining: z.array(z.string()).default([]),
});

/** Proves that this host holds the duty: the version at which it wrote the lease key. */
export interface HeldKey {
  readonly key: string;
  readonly version: number;
}

export class CapacityRecords {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;
  /** Versions of the records by pool, 0 if there is none. A pool that is absent must be read first. */
  private readonly _versions = new Map<string, number>();
  private readonly _stored = new Map<string, string>();

  constructor(context: GatewayContext, store: RevisionedStore) {
    this._context = context;
    this._store = store;
  }

  /** The value is undefined if there is no record, or an unreadable one: the base is then measured again. */
  async read(pool: string): Promise<Result<CapacityRecord | undefined, 'out-of-reach'>> {
    const key = keyOf(pool);
    const stored = await this._store.get(key, this._deadline());
    if (!stored.ok) return err('out-of-reach');
    this._versions.set(pool, stored.value?.version ?? 0);
    this._stored.delete(pool);
    if (!stored.value) return ok(undefined);
    const record = decode(stored.value.value);
    if (!record)
      this._context.log.error('unreadable capacity record, measuring the base again', { pool, key });
    else this._stored.set(pool, stored.value.value);
    return ok(record);
  }

  /** `failed`: the record was not stored, or may not have been. */
  async write(
    pool: string,
    record: CapacityRecord,
    held: HeldKey,
  ): Promise<'written' | 'unchanged' | 'failed'> {
    const value = encode(record);
    if (this._stored.get(pool) === value) return 'unchanged';
    const key = keyOf(pool);
    const version = this._versions.get(pool) ?? (await this._readVersion(pool));
    if (version === undefined) return 'failed';
    const compares = [{ key, version }, held];
    const put = { kind: 'put', key, value } as const;
    const result = await this._store.transact(compares, [put], this._deadline());
    if (result.ok && result.value.succeeded) {
      this._versions.set(pool, result.value.version);
      this._stored.set(pool, value);
      return 'written';
    }
    this._versions.delete(pool);
    this._stored.delete(pool);
    return 'failed';
  }

  private async _readVersion(pool: string): Promise<number | undefined> {
    const stored = await this._store.get(keyOf(pool), this._deadline());
    return stored.ok ? (stored.value?.version ?? 0) : undefined;
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, CALL_TIMEOUT_MS);
  }
}

function keyOf(pool: string): string {
  return `${CAPACITY_RECORD_PREFIX}${pool}`;
}

function encode({ base, added, withdrawn, draining }: CapacityRecord): string {
  return JSON.stringify({
    base: Object.fromEntries(base),
    added: Object.fromEntries(added),
    withdrawn: Object.fromEntries(withdrawn),
    draining,
  });
}

function decode(value: string): CapacityRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(value));
    if (!parsed.success) return undefined;
    const { base, added, withdrawn, draining } = parsed.data;
    return {
      base: new Map(Object.entries(base)),
      added: new Map(Object.entries(added)),
      withdrawn: new Map(Object.entries(withdrawn)),
      draining,
    };
  } catch {
    return undefined;
  }
}
