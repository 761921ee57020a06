/**
 * The claim of a batch as its owner holds it: a lease that each answer of the store renews.
 *
 * What goes wrong without a bound in time: the owner can't reach the store, or is answered so late that it gives up
 * waiting; meanwhile another host takes the batch over, or ends it, and tells the trainer so. The owner goes on to send
 * items for as long as its trouble lasts. One notices it as runs that begin at endpoints seconds after the end of their
 * batch was confirmed, all from one host. A look at the claim now and then does not help, since the look is what fails.
 * So nothing new is sent unless the store has confirmed the claim within the lease, counted from when the store was
 * asked: whatever happened to the claim since then, it was confirmed to others at most that long ago. Runs that have
 * begun go on, and their results are listed when the store answers again.
 */
import { Deadline, sleep, type Clock } from '@fuchsiahitch/base';
import type { BatchStore, HeldClaim } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';

/**
 * The store is asked once it has confirmed nothing for so long. An owner whose items run writes what they generate every
 * second, and each write confirms the claim: this is a little longer, so that it costs no call of its own.
 */
const RENEW_AFTER_MS = 1100;
/** A short lease is renewed after this part of it, so that a question and its repetition fit in. */
const RENEW_FRACTION = 0.6;
/**
 * Part of the time in which an item may still arrive, for what was written just before the lease ran out. What was begun and
 * is not answered by then is taken back.
 */
const SEND_MARGIN_MS = 1000;
/** How often it is looked at whether the store must be asked. Also the pause after a question that got no answer. */
const CHECK_INTERVAL_MS = 125;
/**
 * A question has this long: a slow store answers in 0.3 s, and one that is silent must be given up early enough that a second
 * question, by way of a peer, is answered about when the lease runs out.
 */
const RENEW_TIMEOUT_MS = 700;
/**
 * A reader is told that there is nothing yet only by an owner that the store has confirmed this recently; a result read
 * elsewhere must be shown by everybody within a second.
 */
export const READ_CONFIRMATION_MAX_AGE_MS = 600;
const CONFIRM_TIMEOUT_MS = 1000;

/** The lease of a claim, from how long after the end of a batch was confirmed its items may still reach endpoints. */
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
  /** The wall clock less the monotonic one, when the claim was last confirmed. */
  private _wallOffsetMs: number;
  private _isStopped = false;
  private _isExpired = false;

  /** `leaseMs`: how long after a confirmation the claim may be acted on. `lost`: another host has it, or has ended the batch. */
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
    this._wallOffsetMs = wallOffsetMs(context.clock);
  }

  /** The claim with its revision, which every write names. */
  get held(): HeldClaim {
    return this._held;
  }

  /**
   * Time since the store was asked for the answer that last confirmed the claim. The monotonic clock stands still while a
   * machine is suspended, and the wall clock does not: whichever says more counts.
   */
  ageMs(): number {
    const { clock } = this._context;
    const nowMs = Math.max(clock.nowMs(), clock.wallMs() - this._wallOffsetMs);
    return nowMs - this._held.requestedAtMs;
  }

  /** True while something new may be sent for the batch. */
  isValid(): boolean {
    return !this._isStopped && this.ageMs() < this._leaseMs;
  }

  /** Keeps the lease renewed until it is stopped. */
  start(): void {
    void this._run();
  }

  stop(): void {
    this._isStopped = true;
  }

  /** The store confirmed the claim when it was asked at that time. */
  markConfirmed(askedMs: number): void {
    if (askedMs > this._held.requestedAtMs) {
      this._held = { ...this._held, requestedAtMs: askedMs };
      this._wallOffsetMs = wallOffsetMs(this._context.clock);
    }
    if (!this._isExpired || !this.isValid()) return;
    this._isExpired = false;
    this._log('claim confirmed again');
  }

  /** The store refused a write that named the claim. */
  reportLost(): void {
    this._onLost();
  }

  /** The batch stands at another revision by this owner's own change. */
  changed(held: HeldClaim): void {
    this._held = held;
  }

  /** True if the store has confirmed a moment ago, or does so now, that this host still owns the batch. */
  async confirmOwnership(): Promise<boolean> {
    return this.ageMs() < READ_CONFIRMATION_MAX_AGE_MS || this._readClaim(CONFIRM_TIMEOUT_MS);
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
    this._log('claim unconfirmed');
  }

  private _log(text: string): void {
    const { revision } = this._held;
    const ageMs = Math.round(this.ageMs());
    this._context.log.warn(text, { batchId: this._batchId, claimRevision: revision, ageMs });
  }
}

function wallOffsetMs(clock: Clock): number {
  return clock.wallMs() - clock.nowMs();
}
