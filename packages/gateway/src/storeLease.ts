/**
 * A key in the store that lasts as long as this process renews its lease.
 */
import { Deadline, sleep } from '@fuchsiahitch/base';
import type { RevisionedStore, Write } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';

export interface LeaseTimes {
  readonly ttlMs: number;
  readonly renewMs: number;
}

/** What holding the key means to the one who asked for it. */
export interface LeaseHolder {
  /** The key's value. */
  value(): string;
  /**
   * How long to wait before the key is taken: 0 to take it now, Infinity as things stand. Whoever knows that things have
   * changed calls `look`.
   */
  acquireDelayMs(): number;
  /** Taken or renewed: `sentMs` is when the store was asked, `token` grows with each holder. */
  held(token: number, sentMs: number): void;
  lost(reason: string): void;
  /** Written together with the key, and again when it is given up; kept when it ends. */
  extraWrites?(): readonly Write[];
}

const CALL_TIMEOUT_MS = 800;
/** The pause after a key could not be taken, or its lease not be renewed. */
const RETRY_MS = 150;

export class StoreLease {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;
  private readonly _key: string;
  private readonly _times: LeaseTimes;
  private readonly _holder: LeaseHolder;
  /** True if the key must not exist when it is taken; a host's own key replaces what it left behind. */
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

  /** Asks the holder again whether it wants the key. */
  recheck(): void {
    this._wake();
  }

  /** Gives the key up at once, so that others need not wait for its end. */
  async release(): Promise<void> {
    this._isReleased = true;
    this._wake();
    await this.relinquish();
  }

  /** As `release`, and takes the key again once the holder wants it. */
  async relinquish(): Promise<void> {
    const leaseId = this._leaseId;
    this._leaseId = undefined;
    if (leaseId === undefined) return;
    const writes = this._holder.extraWrites?.() ?? [];
    // Only as long as the key is still this holder's: a late write must not replace what a successor wrote.
    const compares = [{ key: this._key, version: this._token }];
    if (writes.length > 0) await this._store.transact(compares, writes, this._deadline());
    await this._store.endLease(leaseId, this._deadline());
  }

  private async _run(): Promise<void> {
    const { clock, stopped } = this._context;
    while (!stopped.aborted && !this._isReleased) {
      const waitMs = this._leaseId === undefined ? this._holder.acquireDelayMs() : 0;
      if (waitMs > 0) {
        await this._idle(waitMs);
        continue;
      }
      const isHeld = this._leaseId === undefined ? await this._acquire() : await this._renew(this._leaseId);
      await sleep(clock, isHeld ? this._times.renewMs : RETRY_MS, stopped);
    }
  }

  /** Ends after the time, when somebody asks to look, or when the process stops. */
  private async _idle(waitMs: number): Promise<void> {
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
    const done = await this._store.transact(compares, writes, this._deadline());
    if (!done.ok || !done.value.succeeded) {
      // An answer that was lost may hide that the key was taken: the lease is ended so that it cannot stay.
      await this._store.endLease(lease.value, this._deadline());
      return false;
    }
    this._leaseId = lease.value;
    this._token = done.value.version;
    this._holder.held(this._token, sentMs);
    return true;
  }

  private async _renew(leaseId: string): Promise<boolean> {
    const sentMs = this._context.clock.nowMs();
    const renewed = await this._store.keepLease(leaseId, this._deadline());
    // Given up meanwhile: the key may be another host's by now.
    if (this._leaseId !== leaseId) return false;
    if (renewed.ok && renewed.value) {
      this._holder.held(this._token, sentMs);
      return true;
    }
    // No answer says nothing: the lease may still stand, and its own end guards what depends on it.
    if (!renewed.ok) return false;
    this._leaseId = undefined;
    this._holder.lost('the store no longer knows the lease');
    return false;
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, CALL_TIMEOUT_MS);
  }
}
