/**
 * The base capacity of each pool, as followed by the holder of the capacity duty.
 *
 * Records of endpoints are missing from the view during and after an outage of the store although the endpoints serve,
 * so such views are not compared with the base.
 */
import { PoolBase, type CapacityRecord } from '@fuchsiahitch/capacity';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import { CapacityRecords, type HeldKey } from './capacityRecords.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';

/** Longer than the time between two answers of the watch, which the store delays by up to a second each. */
const MAX_VIEW_AGE_MS = 3000;
/** Endpoints whose records expired during an outage write them again within this time. */
const OUTAGE_QUIET_MS = 5000;
const RETRY_MS = 1000;

export type BaseEndpoints = Pick<EndpointDirectory, 'inPool' | 'isComplete' | 'viewAgeMs' | 'sinceFailureMs'>;

/** Used for one tenure of the duty. */
export class PoolBases {
  private readonly _context: GatewayContext;
  private readonly _endpoints: BaseEndpoints;
  private readonly _records: CapacityRecords;
  private readonly _bases = new Map<string, PoolBase>();
  private readonly _readAfterMs = new Map<string, number>();
  private _lastWrite: Promise<boolean> = Promise.resolve(true);
  private _pendingWrites = 0;
  private _writeAfterMs = -Infinity;

  constructor(context: GatewayContext, store: RevisionedStore, endpoints: BaseEndpoints) {
    this._context = context;
    this._endpoints = endpoints;
    this._records = new CapacityRecords(context, store);
  }

  /** Updates the pool's base; undefined while the record is unread or the view of the endpoints is unreliable. */
  observe(pool: string, bootMs: number): PoolBase | undefined {
    const base = this._bases.get(pool);
    if (!base) {
      this._readIfDue(pool);
      return undefined;
    }
    if (!this.isViewReliable()) {
      base.interrupt();
      return undefined;
    }
    const endpoints = this._endpoints.inPool(pool).map(endpoint => ({
      id: endpoint.id,
      domain: endpoint.domain,
      isReclaimable: endpoint.info().isReclaimable === true,
      isLeaving: endpoint.isLeaving,
    }));
    const overdue = base.observe(endpoints, this._context.clock.nowMs(), bootMs);
    for (const { domain, ...counts } of overdue)
      this._context.log.warn('capacity order overdue', { pool, of: domain, ...counts });
    return base;
  }

  /** Returns false if endpoints that serve may be missing from the view. */
  isViewReliable(): boolean {
    const endpoints = this._endpoints;
    if (!endpoints.isComplete() || endpoints.viewAgeMs() > MAX_VIEW_AGE_MS) return false;
    return endpoints.sinceFailureMs() >= OUTAGE_QUIET_MS;
  }

  /** Stores the pool's record; false if that may have failed. Writes run one after the other. */
  async write(pool: string, held: HeldKey): Promise<boolean> {
    this._pendingWrites += 1;
    let isStored = false;
    try {
      const written = this._lastWrite.then(() => this._write(pool, held));
      // A write that throws must not prevent the later ones.
      this._lastWrite = written.catch(() => false);
      isStored = await written;
    } finally {
      this._pendingWrites -= 1;
      if (!isStored) this._writeAfterMs = this._context.clock.nowMs() + RETRY_MS;
    }
    return isStored;
  }

  /** Stores a changed record in the background. Called with each observation. */
  writeInBackground(pool: string, held: HeldKey): void {
    if (this._pendingWrites > 0 || this._context.clock.nowMs() < this._writeAfterMs) return;
    if (this._bases.get(pool)?.record()) void this.write(pool, held);
  }

  private async _write(pool: string, held: HeldKey): Promise<boolean> {
    const record = this._bases.get(pool)?.record();
    if (!record) return false;
    const outcome = await this._records.write(pool, record, held);
    if (outcome === 'written')
      this._context.log.info('capacity base', { pool, source: 'view', ...describe(record) });
    return outcome !== 'failed';
  }

  private _readIfDue(pool: string): void {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < (this._readAfterMs.get(pool) ?? -Infinity)) return;
    this._readAfterMs.set(pool, Infinity);
    void this._read(pool);
  }

  private async _read(pool: string): Promise<void> {
    const read = await this._records.read(pool);
    const nowMs = this._context.clock.nowMs();
    if (!read.ok) {
      this._readAfterMs.set(pool, nowMs + RETRY_MS);
      return;
    }
    this._bases.set(pool, new PoolBase(read.value, nowMs));
    this._context.log.info('capacity base', { pool, source: 'store', ...describe(read.value) });
  }
}

function describe(record: CapacityRecord | undefined): Readonly<Record<string, string>> {
  if (!record) return { base: 'none' };
  const textOf = (counts: ReadonlyMap<string, unknown>): string => JSON.stringify(Object.fromEntries(counts));
  return { base: textOf(record.base), added: textOf(record.added), withdrawn: textOf(record.withdrawn) };
}
