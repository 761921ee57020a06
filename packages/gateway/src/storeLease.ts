/**
 * Store key that is bound to a lease and exists as long as this process renews it.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { RevisionedStore, Write } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';

export interface LeaseTimes {
  readonly ttlMs: number;
  readonly renewMs: number;
}

/** Callbacks of the owner of a `StoreLease`. */
export interface LeaseHolder {
  value(): string;
  /** Delay before the key is acquired: 0 to acquire it now, Infinity to wait until `recheck` is called. */
  acquireDelayMs(): number;
  /**
   * Called when the store confirmed that this process holds the key: on its acquisition and each renewal.
   * `sentMs`: when the request was sent; `token` grows with each holder.
   */
  held(token: number, sentMs: number): void;
  lost(reason: string): void;
  /** Additional writes when the key is acquired and when it is released; they outlive the lease. */
  extraWrites?(): readonly Write[];
}

const CALL_TIMEOUT_MS = 800;
const RETRY_MS = 150;

export class StoreLease {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;
  private readonly _key: string;
  private readonly _times: LeaseTimes;
  private readonly _holder: LeaseHolder;
  /** True if the key must not exist when it is acquired; false to replace the record of an earlier process. */
  private readonly _isExclusive: boolean;
  private _leaseId: string | undefined;
  private _token = 0;
  private _isReleased = false;
  private _wake: () => void = () => undefined;

  constructor(
    context: GatewayContext,
    store: RevisionedStore,
    key: string,
    times: LeaseTimes,
    isExclusive: boolean,
    holder: LeaseHolder,
  ) {
    this._context = context;
    this._store = store;
    this._key = key;
    this._times = times;
    this._isExclusive = isExclusive;
    this._holder = holder;
  }

  start(): void {
    void this._run();
  }

  /** Queries the holder's acquire delay again. */
  recheck(): void {
    this._wake();
  }

  /** Releases the key for good, so that others need not wait for the lease to expire. */
  async release(): Promise<void> {
    this._isReleased = true;
    this._wake();
    await this.relinquish();
  }

  /** Releases the key; it is reacquired when the holder's acquire delay allows. */
  async relinquish(): Promise<void> {
    const leaseId = this._leaseId;
    this._leaseId = undefined;
    if (leaseId === undefined) return;
    const writes = this._holder.extraWrites?.() ?? [];
    // The compare prevents a delayed write from replacing a successor's record.
    const compares = [{ key: this._key, version: this._token }];
    if (writes.length > 0) await this._store.transact(compares, writes, this._deadline());
    await this._store.endLease(leaseId, this._deadline());
  }

  private async _run(): Promise<void> {
    const { clock, stopped } = this._context;
    while (!stopped.aborted && !this._isReleased) {
      const waitMs = this._leaseId === undefined ? this._holder.acquireDelayMs() : 0;
      if (waitMs > 0) {
        await this._waitToAcquire(waitMs);
        continue;
      }
      const isHeld = this._leaseId === undefined ? await this._acquire() : await this._renew(this._leaseId);
      await sleep(clock, isHeld ? this._times.renewMs : RETRY_MS, stopped);
    }
  }

  /** Resolves after the time, on `recheck`, or when the process stops. */
  private async _waitToAcquire(waitMs: number): Promise<void> {
    const { clock, stopped } = this._context;
    await new Promise<void>(resolve => {
      const end = (): void => {
        cancel();
        stopped.removeEventListener('abort', end);
        this._wake = () => undefined;
        resolve();
      };
      const cancel = waitMs === Infinity ? () => undefined : clock.after(waitMs, end);
      stopped.addEventListener('abort', end);
      this._wake = end;
    });
  }

  private async _acquire(): Promise<boolean> {
    const sentMs = this._context.clock.nowMs();
    const lease = await this._store.grantLease(this._times.ttlMs, this._deadline());
    if (!lease.ok || this._isReleased) return false;
    const compares = this._isExclusive ? [{ key: this._key, version: 0 }] : [];
    const put = { kind: 'put', key: this._key, value: this._holder.value(), leaseId: lease.value } as const;
    const writes = [put, ...(this._holder.extraWrites?.() ?? [])];
    const result = await this._store.transact(compares, writes, this._deadline());
    if (!result.ok || !result.value.succeeded) {
      // The write may have succeeded although its answer was lost: ending the lease removes the key.
      await this._store.endLease(lease.value, this._deadline());
      return false;
    }
    this._leaseId = lease.value;
    this._token = result.value.version;
    this._holder.held(this._token, sentMs);
    return true;
  }

  private async _renew(leaseId: string): Promise<boolean> {
    const sentMs = this._context.clock.nowMs();
    const renewed = await this._store.keepLease(leaseId, this._deadline());
    // Released during the call: another host may hold the key now.
    if (this._leaseId !== leaseId) return false;
    if (renewed.ok && renewed.value) {
      this._holder.held(this._token, sentMs);
      return true;
    }
    // Without an answer the lease may still exist; its validity limits the holder's actions.
    if (!renewed.ok) return false;
    this._leaseId = undefined;
    this._holder.lost('lease no longer exists in the store');
    return false;
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, CALL_TIMEOUT_MS);
  }
}
