/**
 * Runs the attempts of one forwarded request until its outcome is decided.
 */
import { afterPendingIo, Deadline, type CancelTimer } from '@fuchsiahitch/base';
import type { Route } from '@fuchsiahitch/rules';
import {
  RETRY_AFTER_MS,
  requestTimeoutMs,
  type RequestAttemptEnd,
  type CallerRequest,
  type ForwardOutcome,
  type CompleteAnswer,
} from './callerRequest.js';
import type { Endpoint } from './endpoint.js';
import { isSendAllowed, isUnsent, type Forwarder } from './forwarder.js';
import type { GatewayContext } from './gatewayContext.js';
import type { PoisonGuard } from './poisonGuard.js';

/** Share of the route's target latency after which an unanswered idempotent request is hedged. */
const HEDGE_SHARE = 0.6;
const MIN_HEDGE_MS = 30;

/** A forwarded request and its attempts, of which at most two run at a time. */
export class ForwardedRequest {
  private readonly _context: GatewayContext;
  private readonly _forwarder: Forwarder;
  private readonly _poison: PoisonGuard;
  private readonly _request: CallerRequest;
  private readonly _route: Route;
  private readonly _disconnected: AbortSignal;
  private readonly _deadline: Deadline;
  private readonly _abortController = new AbortController();
  private readonly _triedEndpointIds = new Set<string>();
  private readonly _pendingAttemptEnds: RequestAttemptEnd[] = [];
  private _wake: (() => void) | undefined;
  private _runningCount = 0;
  private _sentCount = 0;
  /** Attempts that no endpoint received. */
  private _unconnectedCount = 0;
  private _mayHaveRun = false;
  private _failureAnswer: CompleteAnswer | undefined;
  private _failureCount = 0;
  private _isDenied = false;

  constructor(
    context: GatewayContext,
    forwarder: Forwarder,
    poison: PoisonGuard,
    request: CallerRequest,
    route: Route,
    left: AbortSignal,
  ) {
    this._context = context;
    this._forwarder = forwarder;
    this._poison = poison;
    this._request = request;
    this._route = route;
    this._disconnected = left;
    this._deadline = Deadline.after(context.clock, requestTimeoutMs(request, route));
  }

  async run(): Promise<ForwardOutcome> {
    const wake = (): void => this._wake?.();
    const cancels = [this._context.clock.after(this._deadline.remainingMs(), wake), this._armHedge()];
    this._disconnected.addEventListener('abort', wake);
    const outcome = await this._waitForOutcome();
    this._disconnected.removeEventListener('abort', wake);
    for (const cancel of cancels) cancel();
    // Aborts attempts that still run: the outcome is decided.
    this._abortController.abort();
    return outcome;
  }

  private async _waitForOutcome(): Promise<ForwardOutcome> {
    this._startAttempt();
    for (;;) {
      const end = this._pendingAttemptEnds.shift();
      const outcome = end ? this._handleAttemptEnd(end) : this._terminalOutcome();
      if (outcome) return outcome;
      if (!end) await this._waitForWake();
    }
  }

  private async _waitForWake(): Promise<void> {
    await new Promise<void>(resolve => {
      this._wake = resolve;
    });
    this._wake = undefined;
  }

  /** Sends the request to another endpoint, if the route allows another attempt and an endpoint is available. */
  private _startAttempt(): boolean {
    // Refused connections do not count as attempts: a pool with two terminated endpoints may still have a live one.
    const sent = this._sentCount - this._unconnectedCount;
    if (!isSendAllowed(this._request)) return this._deny();
    if (sent >= this._route.maxAttempts || this._deadline.isOver()) return false;
    // A request that crashed an endpoint in an earlier attempt is not sent to the next one.
    if (sent > 0 && this._poison.verdict(this._request).kind !== 'free') return false;
    const endpoint = this._forwarder.chooseEndpoint(
      this._route,
      this._triedEndpointIds,
      this._request.isBackground,
    );
    if (!endpoint) return false;
    this._triedEndpointIds.add(endpoint.id);
    this._sentCount += 1;
    this._runningCount += 1;
    void this._runAttempt(endpoint);
    return true;
  }

  private _deny(): false {
    this._isDenied = true;
    return false;
  }

  private async _runAttempt(endpoint: Endpoint): Promise<void> {
    const attempt = this._sentCount;
    const leftMs = this._deadline.remainingMs();
    const startedMs = this._context.clock.nowMs();
    const send = this._forwarder.decideSend('request', this._request, endpoint);
    const { signal } = this._abortController;
    const end = await this._forwarder.attempt(this._request, endpoint, send, leftMs, signal);
    const tookMs = this._context.clock.nowMs() - startedMs;
    if (end.kind === 'broken') await this._poison.recordBroken(this._request, endpoint);
    if (end.kind === 'answered') this._poison.answered(this._request);
    // The endpoint may still be the right one: if it is leaving, it is not chosen again.
    if (end.kind === 'not-run' && end.reason === 'withheld') this._triedEndpointIds.delete(endpoint.id);
    this._runningCount -= 1;
    this._pendingAttemptEnds.push(end);
    this._wake?.();
    this._forwarder.logAttempt(this._request, endpoint, end, { number: attempt, tookMs, leftMs, send });
  }

  private _handleAttemptEnd(end: RequestAttemptEnd): ForwardOutcome | undefined {
    const isRetryable = this._route.run === 'idempotent';
    if (end.kind === 'answered' && end.isFailure) this._failureCount += 1;
    if (end.kind === 'answered' && !(end.isFailure && isRetryable)) return this._toAnswered(end.answer);
    if (end.kind === 'answered') this._failureAnswer = end.answer;
    // Another endpoint's answer would not be held either.
    if (end.kind === 'dropped') return { kind: 'unknown', reason: 'dropped' };
    if (end.kind !== 'not-run') this._mayHaveRun = true;
    else if (isUnsent(end.reason)) this._unconnectedCount += 1;
    if (end.kind === 'not-run' || isRetryable) this._startAttempt();
    if (this._runningCount > 0 || this._pendingAttemptEnds.length > 0) return undefined;
    if (this._failureAnswer) return this._toAnswered(this._failureAnswer);
    if (this._mayHaveRun) return { kind: 'unknown', reason: 'broken' };
    if (this._isDenied) return { kind: 'denied' };
    return { kind: 'not-run', reason: 'refused by every endpoint', retryAfterMs: RETRY_AFTER_MS };
  }

  private _toAnswered(answer: CompleteAnswer): ForwardOutcome {
    return { kind: 'answered', answer, failures: this._failureCount };
  }

  /** The outcome when no attempt runs, the deadline has passed, or the caller has disconnected. */
  private _terminalOutcome(): ForwardOutcome | undefined {
    if (this._disconnected.aborted) return { kind: 'caller-left' };
    if (this._runningCount === 0 && this._isDenied) return { kind: 'denied' };
    if (this._runningCount === 0)
      return { kind: 'not-run', reason: 'no endpoint available', retryAfterMs: RETRY_AFTER_MS };
    return this._deadline.isOver() ? { kind: 'unknown', reason: 'late' } : undefined;
  }

  private _armHedge(): CancelTimer {
    if (this._route.run !== 'idempotent') return () => undefined;
    const afterMs = Math.max(MIN_HEDGE_MS, this._route.targetMs * HEDGE_SHARE);
    // Pending I/O is read first: under event loop lag the answer may already have arrived. `_startAttempt` checks the
    // deadline again.
    return afterPendingIo(this._context.clock, afterMs, () => {
      if (this._runningCount === 1 && this._forwarder.tryTakeHedge()) this._startAttempt();
    });
  }
}
