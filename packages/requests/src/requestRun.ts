/**
 * The life of one request, in one state machine.
 *
 * What goes wrong without it: a queued request times out, its caller is told "not run", and the
 * dispatcher's pending turn sends it all the same. One would notice it as a service that counts a run for a
 * request answered "not run". Here leaving the queue and giving up are transitions of the same state, so
 * that whichever comes first excludes the other.
 */
import { invariant } from '@fuchsiahitch/base';
import type { NotRunReason, RequestOutcome, UnknownReason } from './outcome.js';

/** Where a request stands. From `sent` on nobody can claim that it did not run without proof. */
export type RequestPhase = 'waiting' | 'sent' | 'answering' | 'ended';

/** Why a request is given up from the outside. */
export type AbandonCause = 'deadline' | 'caller-left' | 'shutdown';

const NOT_RUN_REASONS: Readonly<Record<AbandonCause, NotRunReason>> = {
  deadline: 'too-late',
  'caller-left': 'caller-left',
  shutdown: 'shutting-down',
};
const UNKNOWN_REASONS: Readonly<Record<AbandonCause, UnknownReason>> = {
  deadline: 'no-answer-in-time',
  'caller-left': 'caller-left',
  shutdown: 'connection-lost',
};

/** The state machine of one request. Events of attempts other than the present one are counted and dropped. */
export class RequestRun {
  private readonly _retryAfterMs: number;
  private _phase: RequestPhase = 'waiting';
  private _attempt = 0;
  private _outcome: RequestOutcome | undefined;
  private _dropped = 0;
  private _mayHaveRun = false;

  constructor(retryAfterMs: number) {
    this._retryAfterMs = retryAfterMs;
  }

  phase(): RequestPhase {
    return this._phase;
  }

  outcome(): RequestOutcome | undefined {
    return this._outcome;
  }

  /** Events that came too late or out of order. */
  droppedEvents(): number {
    return this._dropped;
  }

  /** The move from waiting to sent: the attempt's number, or undefined when the request has ended. */
  send(): number | undefined {
    if (this._phase !== 'waiting') return undefined;
    this._phase = 'sent';
    this._attempt += 1;
    return this._attempt;
  }

  /** Proof that this attempt did not run: nothing was written, or the endpoint refused it before running. */
  provenNotRun(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase !== 'sent') return this._dropEvent();
    this._phase = 'waiting';
    return true;
  }

  /** The attempt broke with nothing proved, and the request may be repeated: it goes back to waiting. */
  brokenRetryable(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase === 'ended') return this._dropEvent();
    this._mayHaveRun = true;
    this._phase = 'waiting';
    return true;
  }

  /** The answer's head arrived. False: it belongs to an earlier attempt or an ended request, drop it. */
  answerStarted(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase !== 'sent') return this._dropEvent();
    this._phase = 'answering';
    return true;
  }

  /** The whole answer arrived. */
  answered(attempt: number, status: number, isFailure: boolean): boolean {
    if (!this._isCurrent(attempt) || this._phase !== 'answering') return this._dropEvent();
    this._end(isFailure ? { kind: 'failed', status } : { kind: 'completed', status });
    return true;
  }

  /** The attempt broke, and the request must not be repeated. */
  broken(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase === 'ended') return this._dropEvent();
    this._mayHaveRun = true;
    this._end(this._unknown('connection-lost'));
    return true;
  }

  /** Ends the request from outside: not run if it was never sent, unknown otherwise. */
  abandon(cause: AbandonCause): RequestOutcome {
    if (this._outcome) return this._outcome;
    const isProven = this._phase === 'waiting' && !this._mayHaveRun;
    return this._end(isProven ? this._notRun(NOT_RUN_REASONS[cause]) : this._unknown(UNKNOWN_REASONS[cause]));
  }

  /** Refuses a request that waits. Once an attempt may have run it ends as unknown instead. */
  refuse(reason: NotRunReason): RequestOutcome {
    if (this._outcome) return this._outcome;
    invariant(this._phase === 'waiting', 'only a waiting request can be refused');
    return this._end(this._mayHaveRun ? this._unknown('connection-lost') : this._notRun(reason));
  }

  /** Ends a waiting request with what the key's owner said of an earlier arrival. */
  endUnknown(reason: UnknownReason): RequestOutcome {
    if (this._outcome) return this._outcome;
    return this._end(this._unknown(reason));
  }

  /** Ends a waiting request with the kept answer of an earlier arrival. */
  endWithStoredAnswer(status: number): RequestOutcome {
    if (this._outcome) return this._outcome;
    return this._end({ kind: 'completed', status });
  }

  private _isCurrent(attempt: number): boolean {
    return attempt === this._attempt;
  }

  private _dropEvent(): false {
    this._dropped += 1;
    return false;
  }

  private _notRun(reason: NotRunReason): RequestOutcome {
    return { kind: 'not-run', reason, retryAfterMs: this._retryAfterMs };
  }

  private _unknown(reason: UnknownReason): RequestOutcome {
    return { kind: 'unknown', reason, retryAfterMs: this._retryAfterMs };
  }

  private _end(outcome: RequestOutcome): RequestOutcome {
    this._phase = 'ended';
    this._outcome = outcome;
    return outcome;
  }
}
