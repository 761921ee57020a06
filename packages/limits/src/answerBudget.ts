/**
 * Memory of the answers that clients have not read yet, of all clients together.
 *
 * An answer counts from the first byte that an endpoint sent until the client has taken the last one. When there is no
 * room, clients that have not read their answer for a while are closed, and answers of endpoints are read on one at a time.
 * Some answers wait meanwhile; further ones are dropped, since the connection of each holds its beginning.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { GarbageLimit } from './garbageLimit.js';
import { RepeatedCheck } from './repeatedCheck.js';

/** Answers up to this size never wait: many of them fit, and waiting would cost more than they hold. */
const SMALL_ANSWER_BYTES = 65_536;
/** What a host holds of a stream that its client doesn't read on: chunks on both connections. */
const STALLED_STREAM_BYTES = 262_144;
/** A client that has not read its answer for this long may be closed for others. */
const UNREAD_MS = 2000;
const CHECK_INTERVAL_MS = 250;
/** An answer above this size is dropped while the memory is full, also if it is the only one that is read on. */
const ALWAYS_ALLOWED_BYTES = 1024 * 1024;
/** An endpoint may send an answer without end. */
export const MAX_HELD_BYTES = 32 * 1024 * 1024;

interface Waiting {
  readonly answer: HeldAnswer;
  readonly totalBytes: number;
  readonly proceed: () => void;
}

/** What to do with a chunk of an answer. `drop`: there is no memory for it. `too-long`: no answer of this length is held. */
export type ChunkDecision = 'hold' | 'drop' | 'too-long';

/** A client to whom an answer is delivered. */
export interface AnswerReader {
  readonly address: string;
  close(): void;
}

export interface AnswerBudgetOptions {
  readonly clock: Clock;
  readonly totalBytes: number;
  /** How many answers may wait for memory. */
  readonly maxWaiting: number;
  readonly garbage: GarbageLimit;
  /** Told the address of a client that was closed because it did not read its answer. */
  readonly closed: (address: string) => void;
}

export class AnswerBudget {
  private readonly _options: AnswerBudgetOptions;
  /** Answers of endpoints that are being read, the oldest first. */
  private readonly _reading = new Set<HeldAnswer>();
  /** Answers that are being delivered, the oldest first. */
  private readonly _unread = new Map<
    HeldAnswer,
    { readonly sinceMs: number; readonly reader: AnswerReader }
  >();
  /** Streams that their clients don't read on, the one that has stalled for longest first. */
  private readonly _stalled = new Map<HeldAnswer, AnswerReader>();
  private readonly _waiting = new Set<Waiting>();
  private _heldBytes = 0;
  private _unreadBytes = 0;
  private readonly _check: RepeatedCheck;

  constructor(options: AnswerBudgetOptions) {
    this._options = options;
    this._check = new RepeatedCheck(options.clock, CHECK_INTERVAL_MS, () => this._closeUnread());
  }

  heldBytes(): number {
    return this._heldBytes;
  }

  /** Begins an answer of an endpoint. `release` must be called when it has been read or is dropped. */
  read(): HeldAnswer {
    const answer = new HeldAnswer(this);
    this._reading.add(answer);
    return answer;
  }

  /** Begins an answer to a client. `release` must be called when it has left. */
  deliver(bytes: number, reader: AnswerReader): HeldAnswer {
    const answer = new HeldAnswer(this);
    this._unread.set(answer, { sinceMs: this._options.clock.nowMs(), reader });
    this._unreadBytes += bytes;
    this.reserveNow(answer, bytes);
    return answer;
  }

  /**
   * Notes a stream whose client doesn't read on. Those that have stalled for longest are closed if there is no room.
   * `release` must be called when the client reads on or has left.
   */
  stall(reader: AnswerReader): HeldAnswer {
    const answer = new HeldAnswer(this);
    this._options.garbage.beforeAllocating(STALLED_STREAM_BYTES);
    answer.sizeBytes = STALLED_STREAM_BYTES;
    this._heldBytes += STALLED_STREAM_BYTES;
    this._stalled.set(answer, reader);
    for (const [stalled, client] of this._stalled) {
      if (this._heldBytes <= this._options.totalBytes || stalled === answer) break;
      this._close(stalled, client);
    }
    return answer;
  }

  /** Reserves memory for an answer without waiting for room. */
  reserveNow(answer: HeldAnswer, totalBytes: number): void {
    const addedBytes = totalBytes - answer.sizeBytes;
    if (addedBytes <= 0) return;
    answer.sizeBytes = totalBytes;
    this._heldBytes += addedBytes;
    if (totalBytes <= SMALL_ANSWER_BYTES) return;
    this._options.garbage.passed(addedBytes);
    this._options.garbage.beforeAllocating(addedBytes);
  }

  release(answer: HeldAnswer): void {
    this._reading.delete(answer);
    this._stalled.delete(answer);
    if (this._unread.delete(answer)) this._unreadBytes -= answer.sizeBytes;
    this._heldBytes -= answer.sizeBytes;
    if (answer.sizeBytes > SMALL_ANSWER_BYTES) this._options.garbage.released(answer.sizeBytes);
    answer.sizeBytes = 0;
    this._proceed();
  }

  isTooLong({ sizeBytes }: HeldAnswer): boolean {
    return sizeBytes > ALWAYS_ALLOWED_BYTES && this._heldBytes > MAX_HELD_BYTES;
  }

  /**
   * Resolves when memory for an answer that is being read is reserved, or when the signal is aborted. Resolves with false
   * at once if too many answers wait.
   */
  async reserve(answer: HeldAnswer, totalBytes: number, signal: AbortSignal): Promise<boolean> {
    if (this._hasRoom(answer, totalBytes) || signal.aborted) {
      this.reserveNow(answer, totalBytes);
      return true;
    }
    if (this._waiting.size >= this._options.maxWaiting) {
      this._options.garbage.released(SMALL_ANSWER_BYTES);
      return false;
    }
    await new Promise<void>(proceed => {
      const waiting = { answer, totalBytes, proceed };
      this._waiting.add(waiting);
      signal.addEventListener('abort', () => {
        this._waiting.delete(waiting);
        proceed();
      });
      if (this._closeUnread()) this._check.schedule();
    });
    return true;
  }

  /** The oldest answer waits only for clients to read theirs: answers that are not whole would wait for each other. */
  private _hasRoom(answer: HeldAnswer, totalBytes: number): boolean {
    if (totalBytes <= SMALL_ANSWER_BYTES) return true;
    const [oldest] = this._reading;
    if (answer === oldest && this._unreadBytes === 0) return true;
    const othersBytes = answer === oldest ? this._unreadBytes : this._heldBytes - answer.sizeBytes;
    return othersBytes + totalBytes <= this._options.totalBytes;
  }

  private _proceed(): void {
    for (const waiting of this._waiting) {
      if (!this._hasRoom(waiting.answer, waiting.totalBytes)) continue;
      this._waiting.delete(waiting);
      this.reserveNow(waiting.answer, waiting.totalBytes);
      waiting.proceed();
    }
  }

  /** Closes clients that don't read, the longest first, while others wait. Returns true if some still wait. */
  private _closeUnread(): boolean {
    const beforeMs = this._options.clock.nowMs() - UNREAD_MS;
    for (const [answer, { sinceMs, reader }] of this._unread) {
      if (this._waiting.size === 0 || sinceMs > beforeMs) break;
      this._close(answer, reader);
    }
    return this._waiting.size > 0;
  }

  private _close(answer: HeldAnswer, reader: AnswerReader): void {
    this.release(answer);
    this._options.closed(reader.address);
    reader.close();
  }
}

/** One answer. */
export class HeldAnswer {
  /** Reserved bytes. */
  sizeBytes = 0;
  private readonly _budget: AnswerBudget;
  private _readBytes = 0;

  constructor(budget: AnswerBudget) {
    this._budget = budget;
  }

  /** Waits for room for the whole answer; for its beginning if its length is unknown. Returns false if it must be dropped. */
  async begin(announcedBytes: number | undefined, signal: AbortSignal): Promise<boolean> {
    return this._budget.reserve(this, announcedBytes ?? SMALL_ANSWER_BYTES + 1, signal);
  }

  /** Waits for room for a chunk. */
  async add(bytes: number, signal: AbortSignal): Promise<ChunkDecision> {
    this._readBytes += bytes;
    const hasRoom =
      this._readBytes <= this.sizeBytes || (await this._budget.reserve(this, this._readBytes, signal));
    if (!hasRoom) return 'drop';
    return this._budget.isTooLong(this) ? 'too-long' : 'hold';
  }

  /** Idempotent. */
  release(): void {
    this._budget.release(this);
  }
}
