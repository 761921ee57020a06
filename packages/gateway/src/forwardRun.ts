/**
 * One request with its attempts, up to the outcome that its caller is told.
 */
import { afterReading, Deadline, type CancelTimer } from '@fuchsiahitch/base';
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
import { isSendAllowed, type Forwarder } from './forwarder.js';
import type { GatewayContext } from './gatewayContext.js';
import type { PoisonGuard } from './poisonGuard.js';

/** An idempotent request is sent to a second endpoint after this share of its target, if still unanswered. */
const HEDGE_SHARE = 0.6;
const MIN_HEDGE_MS = 30;

/** One request with its attempts, of which two may run at a time. */
export class ForwardRun {
  private readonly _context: GatewayContext;
  private readonly _forwarder: Forwarder;
  private readonly _poison: PoisonGuard;
  private readonly _request: CallerRequest;
  private readonly _route: Route;
  private readonly _left: AbortSignal;
  private readonly _deadline: Deadline;
  private readonly _stop = new AbortController();
  private readonly _tried = new Set<string>();
  private readonly _events: RequestAttemptEnd[] = [];
  private _wake: (() => void) | undefined;
  private _running = 0;
  private _sent = 0;
  /** Sends for which no connection was made: they reached no endpoint. */
  private _unmade = 0;
  private _mayHaveRun = false;
  private _failure: CompleteAnswer | undefined;
  private _failures = 0;
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
    this._left = left;
    this._deadline = Deadline.after(context.clock, requestTimeoutMs(request, route));
  }

  async run(): Promise<ForwardOutcome> {
    const wake = (): void => this._wake?.();
    const cancels = [this._context.clock.after(this._deadline.leftMs(), wake), this._armHedge()];
    this._left.addEventListener('abort', wake);
    const outcome = await this._decide();
    this._left.removeEventListener('abort', wake);
    for (const cancel of cancels) cancel();
    // Whatever still runs is told to stop: its caller has the answer, or is gone.
    this._stop.abort();
    return outcome;
  }

  private async _decide(): Promise<ForwardOutcome> {
    this._start();
    for (;;) {
      const end = this._events.shift();
      const outcome = end ? this._take(end) : this._givenUp();
      if (outcome) return outcome;
      if (!end) await this._nextEvent();
    }
  }

  private async _nextEvent(): Promise<void> {
    await new Promise<void>(resolve => {
      this._wake = resolve;
    });
    this._wake = undefined;
  }

  /** Sends the request to one more endpoint, if its route allows another and there is one. */
  private _start(): boolean {
    // Where connections that nobody took count as sends, a request is refused after two endpoints that have ended, though
    // a third one of its pool lives.
    const sent = this._sent - this._unmade;
    if (!isSendAllowed(this._request)) return this._deny();
    if (sent >= this._route.maxAttempts || this._deadline.isOver()) return false;
    // What ended the endpoints that ran it would end the next one, and with it all that others have there.
    if (sent > 0 && this._poison.verdict(this._request).kind !== 'free') return false;
    const endpoint = this._forwarder.chooseEndpoint(this._route, this._tried, this._request.isBackground);
    if (!endpoint) return false;
    this._tried.add(endpoint.id);
    this._sent += 1;
    this._running += 1;
    void this._attempt(endpoint);
    return true;
  }

  private _deny(): false {
    this._isDenied = true;
    return false;
  }

  private async _attempt(endpoint: Endpoint): Promise<void> {
    const attempt = this._sent;
    const leftMs = this._deadline.leftMs();
    const startedMs = this._context.clock.nowMs();
    const end = await this._forwarder.attempt(this._request, endpoint, leftMs, this._stop.signal);
    const tookMs = this._context.clock.nowMs() - startedMs;
    if (end.kind === 'broken') await this._poison.recordBroken(this._request, endpoint);
    if (end.kind === 'answered') this._poison.answered(this._request);
    this._running -= 1;
    this._events.push(end);
    this._wake?.();
    this._forwarder.logAttempt(this._request, endpoint, end, { number: attempt, tookMs, leftMs });
  }

  private _take(end: RequestAttemptEnd): ForwardOutcome | undefined {
    const mayRepeat = this._route.run === 'idempotent';
    if (end.kind === 'answered' && end.isFailure) this._failures += 1;
    if (end.kind === 'answered' && !(end.isFailure && mayRepeat)) return this._answered(end.answer);
    if (end.kind === 'answered') this._failure = end.answer;
    if (end.kind !== 'not-run') this._mayHaveRun = true;
    else if (end.reason === 'unreachable') this._unmade += 1;
    if (end.kind === 'not-run' || mayRepeat) this._start();
    if (this._running > 0 || this._events.length > 0) return undefined;
    if (this._failure) return this._answered(this._failure);
    if (this._mayHaveRun) return { kind: 'unknown', reason: 'broken' };
    if (this._isDenied) return { kind: 'denied' };
    return { kind: 'not-run', reason: 'every endpoint refused it', retryAfterMs: RETRY_AFTER_MS };
  }

  private _answered(answer: CompleteAnswer): ForwardOutcome {
    return { kind: 'answered', answer, failures: this._failures };
  }

  /** The end of a request that waits for nothing, whose time is up, or whose caller is gone. */
  private _givenUp(): ForwardOutcome | undefined {
    if (this._left.aborted) return { kind: 'caller-left' };
    if (this._running === 0 && this._isDenied) return { kind: 'denied' };
    if (this._running === 0) return { kind: 'not-run', reason: 'no endpoint', retryAfterMs: RETRY_AFTER_MS };
    return this._deadline.isOver() ? { kind: 'unknown', reason: 'late' } : undefined;
  }

  private _armHedge(): CancelTimer {
    if (this._route.run !== 'idempotent') return () => undefined;
    const afterMs = Math.max(MIN_HEDGE_MS, this._route.targetMs * HEDGE_SHARE);
    // A late loop that sent before it read would send what is answered already, and be later still. What falls due only
    // after the deadline by that is not sent: `_start` looks at the time.
    return afterReading(this._context.clock, afterMs, () => {
      if (this._running === 1 && this._forwarder.tryTakeHedge()) this._start();
    });
  }
}
