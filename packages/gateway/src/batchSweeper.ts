/**
 * Removes the records of batches that have passed their retention time. All hosts sweep without coordination: removing
 * a record twice is harmless. Without removal, the store would hold every batch ever submitted, and finally refuse
 * writes.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import { CLAIM_PREFIX, parseClaim } from '@fuchsiahitch/batches';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import type { BatchStore } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';

/** Each sweep of a host lists all claims in one call. */
const SWEEP_INTERVAL_MS = 120_000;
const CALL_TIMEOUT_MS = 3000;
/** Batches removed per sweep; the next sweep removes the rest. */
const MAX_REMOVALS = 50;
/** Ended batches are retained for a multiple of the guaranteed time, to allow for clock skew and slow trainers. */
const ENDED_BATCH_FACTOR = 2;
/** A batch that was never ended may still be running. No route retains items for longer than this. */
const OPEN_BATCH_FACTOR = 10;

export class BatchSweeper {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;
  private readonly _batches: BatchStore;
  private readonly _readableMs: number;

  /** `readableMs`: how long a batch must be readable after its submission. */
  constructor(context: GatewayContext, store: RevisionedStore, batches: BatchStore, readableMs: number) {
    this._context = context;
    this._store = store;
    this._batches = batches;
    this._readableMs = readableMs;
  }

  start(): void {
    void this._run();
  }

  private async _run(): Promise<void> {
    const { stopped } = this._context;
    await this._pause();
    while (!stopped.aborted) {
      await this._sweep();
      await this._pause();
    }
  }

  private async _pause(): Promise<void> {
    const { clock, random, stopped } = this._context;
    await sleep(clock, SWEEP_INTERVAL_MS / 2 + random.below(SWEEP_INTERVAL_MS), stopped);
  }

  private async _sweep(): Promise<void> {
    const claims = await this._store.list(CLAIM_PREFIX, this._deadline());
    if (!claims.ok) return;
    let removed = 0;
    for (const { key, value } of claims.value) {
      if (removed >= MAX_REMOVALS || !this._isExpired(key, value)) continue;
      removed += 1;
      await this._batches.remove(key.slice(CLAIM_PREFIX.length), this._deadline());
    }
    this._context.log.info('expired batches removed', { claims: claims.value.length, removed });
  }

  private _isExpired(key: string, value: string): boolean {
    const claim = parseClaim(key, value);
    if (!claim.ok) {
      this._context.log.warn('invalid claim record', { key });
      return false;
    }
    const ageMs = this._context.clock.wallMs() - claim.value.acceptedWallMs;
    return ageMs > this._readableMs * (claim.value.isEnded ? ENDED_BATCH_FACTOR : OPEN_BATCH_FACTOR);
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, CALL_TIMEOUT_MS);
  }
}
