/**
 * Memory of the request bodies of all clients together.
 *
 * A body reserves its whole size before it is read: many bodies that grow side by side would all stop short of their end
 * with the memory used up. A reservation lapses when its body makes no progress and another one needs the memory, so
 * that clients that announce and then send nothing can't lock out the others. Part of the memory is kept for small bodies.
 */
import type { Clock } from '@fuchsiahitch/base';
import { RepeatedCheck } from './repeatedCheck.js';

/** Bodies up to this size may use all of the memory. */
export const SMALL_BODY_BYTES = 65_536;
/** The part of the memory that larger bodies leave to small ones. */
const SMALL_SHARE = 0.05;
/** Allocators keep the memory of freed buffers up to this size, so that larger ones need further memory. */
const MIDDLING_BODY_BYTES = 1_048_576;
const MIDDLING_SHARE = 0.5;
/** A body without progress for this long gives way to another. Several round trips between regions. */
const STALL_MS = 1000;
/** Bytes that count as progress, unless they end the body: a byte now and then doesn't keep a reservation. */
const PROGRESS_BYTES = 4096;
const SWEEP_INTERVAL_MS = 500;

/** Told when a body must end before it was received. `stalled`: for others; `timeout`: nothing arrived for too long. */
export type BodyEnd = 'stalled' | 'timeout';

export interface BodyBudgetOptions {
  readonly clock: Clock;
  readonly totalBytes: number;
  /** How long a body may stay without any byte. */
  readonly idleTimeoutMs: () => number;
}

export class BodyBudget {
  private readonly _options: BodyBudgetOptions;
  /** Bodies that are still being received, the one without progress for longest first. */
  private readonly _receiving = new Set<BodyReservation>();
  private _reservedBytes = 0;
  private readonly _sweep: RepeatedCheck;

  constructor(options: BodyBudgetOptions) {
    this._options = options;
    this._sweep = new RepeatedCheck(options.clock, SWEEP_INTERVAL_MS, () => this._endIdle());
  }

  reservedBytes(): number {
    return this._reservedBytes;
  }

  /** Reserves memory for a body. Returns undefined if there is none. `end` is called at most once. */
  reserve(sizeBytes: number, end: (reason: BodyEnd) => void): BodyReservation | undefined {
    const { clock } = this._options;
    const reservation = new BodyReservation(this, clock.nowMs(), end);
    if (!this.resize(reservation, sizeBytes)) return undefined;
    this._receiving.add(reservation);
    this._sweep.schedule();
    return reservation;
  }

  /** Changes a reservation. Returns false, and leaves it as it was, if there is no memory for it. */
  resize(reservation: BodyReservation, sizeBytes: number): boolean {
    const addedBytes = sizeBytes - reservation.sizeBytes;
    if (addedBytes > 0 && !this._makeRoom(addedBytes, sizeBytes, reservation)) return false;
    this._reservedBytes += addedBytes;
    reservation.sizeBytes = sizeBytes;
    return true;
  }

  /** Notes received bytes of a body. */
  received(reservation: BodyReservation, bytes: number): void {
    const nowMs = this._options.clock.nowMs();
    reservation.lastByteMs = nowMs;
    reservation.bytesSinceProgress += bytes;
    if (reservation.bytesSinceProgress < PROGRESS_BYTES) return;
    reservation.bytesSinceProgress = 0;
    reservation.progressMs = nowMs;
    if (this._receiving.delete(reservation)) this._receiving.add(reservation);
  }

  /** The whole body has been received: it is now held until the request ends. */
  complete(reservation: BodyReservation): void {
    this._receiving.delete(reservation);
  }

  release(reservation: BodyReservation): void {
    this._receiving.delete(reservation);
    this._reservedBytes -= reservation.sizeBytes;
    reservation.sizeBytes = 0;
  }

  /** Ends all bodies that have made no progress for a while, as at the end of the process. */
  endStalled(): void {
    const nowMs = this._options.clock.nowMs();
    for (const reservation of [...this._receiving])
      if (isStalled(reservation, nowMs)) this._end(reservation, 'stalled');
  }

  private _makeRoom(addedBytes: number, sizeBytes: number, own: BodyReservation): boolean {
    const { totalBytes, clock } = this._options;
    const availableBytes = totalBytes * shareOf(sizeBytes);
    const nowMs = clock.nowMs();
    for (const reservation of this._receiving) {
      if (this._reservedBytes + addedBytes <= availableBytes) return true;
      if (!isStalled(reservation, nowMs)) break;
      if (reservation !== own) this._end(reservation, 'stalled');
    }
    return this._reservedBytes + addedBytes <= availableBytes;
  }

  private _end(reservation: BodyReservation, reason: BodyEnd): void {
    this.release(reservation);
    reservation.end(reason);
  }

  /** Returns true while there are bodies that may become idle. */
  private _endIdle(): boolean {
    const idleBeforeMs = this._options.clock.nowMs() - this._options.idleTimeoutMs();
    for (const reservation of [...this._receiving])
      if (reservation.lastByteMs < idleBeforeMs) this._end(reservation, 'timeout');
    return this._receiving.size > 0;
  }
}

/** The share of the memory that bodies of a size may fill. */
function shareOf(sizeBytes: number): number {
  if (sizeBytes <= SMALL_BODY_BYTES) return 1;
  return sizeBytes <= MIDDLING_BODY_BYTES ? MIDDLING_SHARE : 1 - SMALL_SHARE;
}

function isStalled({ progressMs }: BodyReservation, nowMs: number): boolean {
  return nowMs - progressMs >= STALL_MS;
}

/** The memory of one body. `release` must be called when its request has ended; it is idempotent. */
export class BodyReservation {
  sizeBytes = 0;
  lastByteMs: number;
  progressMs: number;
  bytesSinceProgress = 0;
  readonly end: (reason: BodyEnd) => void;
  private readonly _budget: BodyBudget;

  constructor(budget: BodyBudget, nowMs: number, end: (reason: BodyEnd) => void) {
    this._budget = budget;
    this.lastByteMs = nowMs;
    this.progressMs = nowMs;
    this.end = end;
  }

  /** Returns false if there is no memory for the new size. */
  resize(sizeBytes: number): boolean {
    return this._budget.resize(this, sizeBytes);
  }

  received(bytes: number): void {
    this._budget.received(this, bytes);
  }

  complete(): void {
    this._budget.complete(this);
  }

  release(): void {
    this._budget.release(this);
  }
}
