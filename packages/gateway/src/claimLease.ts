/**
 * Lease on the claim of a batch, renewed by each answer of the store that confirms the claim.
 *
 * An owner that can't reach the store does not learn that another host has taken its batch over or ended it. Checking
 * the claim from time to time would not help, since the check would fail as well. Once the lease has expired, it sends
 * no new requests, which bounds how long items are sent after another host has confirmed the end of the batch. Attempts
 * that an endpoint has answered continue, and their results are listed later.
 */
import { Deadline, Instant, sleep } from '@fuchsiahitch/base';
import type { BatchStore, HeldClaim } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';

/** Slightly longer than the interval of progress records, since each of their writes renews the lease as well. */
const RENEW_AFTER_MS = 1100;
/** A short lease is renewed after this fraction of its duration, which leaves time for one retry. */
const RENEW_FRACTION = 0.6;
/**
 * Time for requests that were written just before the lease expired to reach their endpoints. Attempts that are not
 * answered when the lease expires are cancelled.
 */
const SEND_MARGIN_MS = 1000;
/** Interval at which the lease is checked for renewal, and at which failed renewals are retried. */
const CHECK_INTERVAL_MS = 125;
/**
 * A slow store answers within 0.3 s. An unresponsive one must be abandoned early enough for a retry through a peer to
 * be answered at about the time when the lease expires.
 */
const RENEW_TIMEOUT_MS = 700;
const CONFIRM_TIMEOUT_MS = 1000;

/** `batchEndMs`: how long items may still reach endpoints after the end of their batch was confirmed. */
export function claimLeaseMs(batchEndMs: number): number {
  return Math.max(batchEndMs - SEND_MARGIN_MS, batchEndMs / 2);
}

export class ClaimLease {
  private readonly _context: GatewayContext;
  private readonly _store: BatchStore;
  private readonly _batchId: string;
  private readonly _leaseMs: number;
  private readonly _renewAfterMs: number;
  private readonly _onLost: () => void;
  private _held: HeldClaim;
  /** When the confirmation was requested. */
  private _requested: Instant;
  private _isStopped = false;
  private _isExpired = false;

  /** `onLost`: called when another host has taken the batch over or ended it. */
  constructor(
    context: GatewayContext,
    store: BatchStore,
    batchId: string,
    held: HeldClaim,
    leaseMs: number,
    onLost: () => void,
  ) {
    this._context = context;
    this._store = store;
    this._batchId = batchId;
    this._held = held;
    this._leaseMs = leaseMs;
    this._renewAfterMs = Math.min(RENEW_AFTER_MS, leaseMs * RENEW_FRACTION);
    this._onLost = onLost;
    this._requested = Instant.ofMonotonic(context.clock, held.requestedAtMs);
  }

  get held(): HeldClaim {
    return this._held;
  }

  /** Time since the request that the store last answered with a confirmation. */
  ageMs(): number {
    return this._requested.ageMs();
  }

  /** True while new requests may be sent for the batch. */
  isValid(): boolean {
    return !this._isStopped && this.ageMs() < this._leaseMs;
  }

  /** Renews the lease until `stop` is called. */
  start(): void {
    void this._run();
  }

  stop(): void {
    this._isStopped = true;
  }

  /** Renews the lease after the store confirmed the claim in answer to a request sent at `requestedAtMs`. */
  markConfirmed(requestedAtMs: number): void {
    if (requestedAtMs > this._held.requestedAtMs) this.changed({ ...this._held, requestedAtMs });
    if (!this._isExpired || !this.isValid()) return;
    this._isExpired = false;
    this._log('claim lease regained');
  }

  /** Reports that the store rejected a write because the claim has changed. */
  reportLost(): void {
    this._onLost();
  }

  /** Replaces the claim after this owner changed it, or the store confirmed it. */
  changed(held: HeldClaim): void {
    this._held = held;
    this._requested = Instant.ofMonotonic(this._context.clock, held.requestedAtMs);
  }

  /** True if the store confirmed within `maxAgeMs`, or confirms now, that this host owns the batch. */
  async confirmOwnership(maxAgeMs: number): Promise<boolean> {
    if (this.ageMs() < maxAgeMs) return true;
    // A slow confirmation may be too old when it arrives.
    return (await this._readClaim(CONFIRM_TIMEOUT_MS)) && this.ageMs() < maxAgeMs;
  }

  private async _run(): Promise<void> {
    const { clock, stopped } = this._context;
    while (!this._isStopped && !stopped.aborted) {
      if (this.ageMs() >= this._renewAfterMs) await this._readClaim(RENEW_TIMEOUT_MS);
      this._checkExpiry();
      await sleep(clock, CHECK_INTERVAL_MS, stopped);
    }
  }

  private async _readClaim(timeoutMs: number): Promise<boolean> {
    const claim = await this._store.readClaim(this._batchId, Deadline.after(this._context.clock, timeoutMs));
    if (!claim.ok || this._isStopped) return false;
    if (claim.value?.revision !== this._held.revision) {
      this._onLost();
      return false;
    }
    this.markConfirmed(claim.value.requestedAtMs);
    return true;
  }

  private _checkExpiry(): void {
    if (this._isStopped || this._isExpired || this.isValid()) return;
    this._isExpired = true;
    this._log('claim lease expired');
  }

  private _log(text: string): void {
    const { revision } = this._held;
    const ageMs = Math.round(this.ageMs());
    this._context.log.warn(text, { batchId: this._batchId, claimRevision: revision, ageMs });
  }
}
