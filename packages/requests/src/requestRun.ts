/**
 * State machine of one request: sending and abandoning exclude each other, so that a request reported as not run is
 * never sent afterwards.
 */
import { invariant } from '@fuchsiahitch/base';
import type { NotRunReason, RequestOutcome, UnknownReason } from './outcome.js';

/** From `sent` on, a request counts as not run only with proof. */
export type RequestPhase = 'waiting' | 'sent' | 'answering' | 'ended';

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

/** Drops and counts events of attempts other than the current one. */
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

  /** The number of events that arrived late or out of order. */
  droppedEvents(): number {
    return this._dropped;
  }

  /** Returns the attempt's number, or undefined if the request is not waiting. */
  send(): number | undefined {
    if (this._phase !== 'waiting') return undefined;
    this._phase = 'sent';
    this._attempt += 1;
    return this._attempt;
  }

  /** Nothing was written, or the endpoint refused the request before running it. */
  provenNotRun(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase !== 'sent') return this._dropEvent();
    this._phase = 'waiting';
    return true;
  }

  /** The connection broke and the request may have run, but is retryable. */
  brokenRetryable(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase === 'ended') return this._dropEvent();
    this._mayHaveRun = true;
    this._phase = 'waiting';
    return true;
  }

  /** The answer's head arrived. Returns false if it must be dropped. */
  answerStarted(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase !== 'sent') return this._dropEvent();
    this._phase = 'answering';
    return true;
  }

  /** The complete answer arrived. */
  answered(attempt: number, status: number, isFailure: boolean): boolean {
    if (!this._isCurrent(attempt) || this._phase !== 'answering') return this._dropEvent();
    this._end(isFailure ? { kind: 'failed', status } : { kind: 'completed', status });
    return true;
  }

  /** The connection broke and the request is not retryable. */
  broken(attempt: number): boolean {
    if (!this._isCurrent(attempt) || this._phase === 'ended') return this._dropEvent();
    this._mayHaveRun = true;
    this._end(this._unknown('connection-lost'));
    return true;
  }

  /** Ends the request early: `not-run` if provably no attempt ran, `unknown` otherwise. */
  abandon(cause: AbandonCause): RequestOutcome {
    if (this._outcome) return this._outcome;
    const isProvenNotRun = this._phase === 'waiting' && !this._mayHaveRun;
    return this._end(
      isProvenNotRun ? this._notRun(NOT_RUN_REASONS[cause]) : this._unknown(UNKNOWN_REASONS[cause]),
    );
  }

  /** Ends a waiting request, as `unknown` if an earlier attempt may have run. */
  refuse(reason: NotRunReason): RequestOutcome {
    if (this._outcome) return this._outcome;
    invariant(this._phase === 'waiting', 'only a waiting request can be refused');
    return this._end(this._mayHaveRun ? this._unknown('connection-lost') : this._notRun(reason));
  }

  /** Ends a waiting request whose key was not granted. */
  endUnknown(reason: UnknownReason): RequestOutcome {
    if (this._outcome) return this._outcome;
    return this._end(this._unknown(reason));
  }

  /** Ends a waiting request with the stored answer of an earlier request with the same key. */
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
