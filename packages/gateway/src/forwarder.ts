/**
 * Forwards a caller's request to an endpoint.
 *
 * An idempotent request is retried on another endpoint after any failure, and hedged when the first endpoint is slow.
 * Any other request is retried only after proof that it did not run. No other layer retries, so that a route's limit
 * applies to all attempts.
 */
import { Deadline, messageOf } from '@fuchsiahitch/base';
import {
  EndpointPicker,
  FairAdmission,
  RetryBudget,
  type PickRequest,
  type PoisonVerdict,
} from '@fuchsiahitch/requests';
import { AnswerBuffer, type AnswerBudget } from '@fuchsiahitch/limits';
import type { MeteredRequest } from '@fuchsiahitch/metering';
import type { Route } from '@fuchsiahitch/rules';
import { otherAnsweredId, reasonOf } from './attemptReason.js';
import {
  RETRY_AFTER_MS,
  requestTimeoutMs,
  type RequestAttemptEnd,
  type RequestAttemptDetails,
  type CallerRequest,
  type ForwardOutcome,
  type StreamSink,
} from './callerRequest.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { EndpointSend, type SendKind } from './endpointSend.js';
import { ForwardedRequest } from './forwardedRequest.js';
import type { GatewayContext } from './gatewayContext.js';
import type { PoisonGuard } from './poisonGuard.js';
import type {
  EndpointAnswer,
  EndpointCall,
  EndpointClient,
  EndpointReply,
  NotRunReason,
  WriteGuard,
} from './ports.js';

/** How an attempt ended, as logged; for a stream, the head of its answer. */
type LoggedOutcome = RequestAttemptEnd | EndpointReply;

/** How one attempt at a stream ended. `not-sent`: another endpoint may be tried. */
type StreamEnd = ForwardOutcome | { readonly kind: 'not-sent'; readonly reason: NotRunReason };

interface StreamAttempt {
  readonly deadline: Deadline;
  /** One-based attempt number. */
  readonly number: number;
}

/** Limits hedged requests to a share of all requests, so that hedging never doubles the load. */
const HEDGE_BUDGET = { share: 0.2, burst: 10 };
/**
 * Share of an endpoint's slots that background requests leave to callers. A batch that ends requests many scores within
 * a second, more than the slots of an endpoint.
 */
const CALLER_RESERVED_SHARE = 0.5;
/** Retry delay for requests that exceed their account's fair share. */
const OVERLOAD_RETRY_MS = 500;
const WEIGHT_RESOLUTION = 1000;
const FIRST_SERVER_ERROR_STATUS = 500;
const FIRST_ERROR_STATUS = 400;

/** Meters requests that endpoints start, by account. */
export interface RequestMeter {
  sent(accountName: string): MeteredRequest;
}

export class Forwarder {
  private readonly _context: GatewayContext;
  private readonly _endpoints: EndpointDirectory;
  private readonly _client: EndpointClient;
  private readonly _picker: EndpointPicker;
  private readonly _poison: PoisonGuard;
  private readonly _meter: RequestMeter | undefined;
  private readonly _admissions = new Map<string, FairAdmission>();
  private readonly _answers: AnswerBudget;
  private readonly _hedgeBudget = new RetryBudget(HEDGE_BUDGET.share, HEDGE_BUDGET.burst);

  constructor(
    context: GatewayContext,
    endpoints: EndpointDirectory,
    client: EndpointClient,
    poison: PoisonGuard,
    answers: AnswerBudget,
    meter?: RequestMeter,
  ) {
    this._answers = answers;
    this._context = context;
    this._endpoints = endpoints;
    this._client = client;
    this._poison = poison;
    this._meter = meter;
    this._picker = new EndpointPicker(context.random);
  }

  /** Forwards a request whose answer is buffered completely before it is returned. */
  async forward(request: CallerRequest, route: Route, disconnected: AbortSignal): Promise<ForwardOutcome> {
    this._hedgeBudget.requestStarted();
    const span = this._context.tracing.startSpan('caller', request.trace);
    const traced = { ...request, trace: span.traceparent };
    const outcome = await this._withFairAdmission(traced, route, () =>
      this._withPoisonCheck(traced, route, async admitted =>
        new ForwardedRequest(this._context, this, this._poison, traced, admitted, disconnected).run(),
      ),
    );
    span.end({ requestId: request.id, outcome: outcome.kind });
    return outcome;
  }

  /** Forwards a request whose answer is streamed. It is retried only after proof that it did not run. */
  async stream(
    request: CallerRequest,
    route: Route,
    sink: StreamSink,
    disconnected: AbortSignal,
  ): Promise<ForwardOutcome> {
    const span = this._context.tracing.startSpan('caller', request.trace);
    const traced = { ...request, trace: span.traceparent };
    const outcome = await this._withFairAdmission(traced, route, () =>
      this._withPoisonCheck(traced, route, admitted => this._runStream(traced, admitted, sink, disconnected)),
    );
    span.end({ requestId: request.id, outcome: outcome.kind });
    return outcome;
  }

  /** Runs a request unless the endpoints are full and its account has used up its fair share. */
  private async _withFairAdmission(
    request: CallerRequest,
    route: Route,
    run: () => Promise<ForwardOutcome>,
  ): Promise<ForwardOutcome> {
    const { id: requestId, accountName, isBackground = false } = request;
    if (accountName === undefined || isBackground) return run();
    const admission = this._admissionOf(route);
    if (!admission.admit(accountName, this._context.clock.nowMs())) {
      this._context.log.info('request exceeds fair share', { requestId, account: accountName });
      return {
        kind: 'not-run',
        reason: 'account exceeds its fair share of full endpoints',
        retryAfterMs: OVERLOAD_RETRY_MS,
      };
    }
    const outcome = await run();
    admission.ended(outcome.kind === 'not-run');
    return outcome;
  }

  /** Admission is tracked separately for each set of pools. */
  private _admissionOf(route: Route): FairAdmission {
    const pools = route.pools.map(({ pool }) => pool).join(' ');
    const admission = this._admissions.get(pools) ?? new FairAdmission();
    this._admissions.set(pools, admission);
    return admission;
  }

  /** Runs a request unless it is a suspected poison request, and records the outcome for the other hosts. */
  private async _withPoisonCheck(
    request: CallerRequest,
    route: Route,
    run: (route: Route) => Promise<ForwardOutcome>,
  ): Promise<ForwardOutcome> {
    const verdict = await this._poison.admit(request);
    if (verdict.kind === 'held' || verdict.kind === 'condemned') this._logWithheld(request, verdict);
    switch (verdict.kind) {
      case 'free':
        return this._recordOutcome(request, await run(route));
      case 'trial': {
        const outcome = await run({ ...route, maxAttempts: 1 });
        if (outcome.kind === 'not-run' || outcome.kind === 'denied')
          this._poison.abandonTrial(request, verdict.number);
        return this._recordOutcome(request, outcome);
      }
      case 'held':
        return {
          kind: 'not-run',
          reason: 'held: endpoints terminated while running it',
          retryAfterMs: verdict.remainingMs,
        };
      case 'condemned':
        return { kind: 'rejected', reason: 'poison request: endpoints terminate while running it' };
    }
  }

  private _logWithheld(request: CallerRequest, verdict: PoisonVerdict): void {
    this._context.metrics.poison.inc({ event: verdict.kind });
    this._context.log.info('poison request withheld', {
      requestId: request.id,
      verdict: verdict.kind,
      leftMs: verdict.kind === 'held' ? Math.round(verdict.remainingMs) : undefined,
      ...this._poison.detailsOf(request),
    });
  }

  private _recordOutcome(request: CallerRequest, outcome: ForwardOutcome): ForwardOutcome {
    if (outcome.kind !== 'answered') this._poison.recordUnanswered(request);
    return outcome;
  }

  private async _runStream(
    request: CallerRequest,
    route: Route,
    sink: StreamSink,
    disconnected: AbortSignal,
  ): Promise<ForwardOutcome> {
    const deadline = Deadline.after(this._context.clock, requestTimeoutMs(request, route));
    const tried = new Set<string>();
    let unconnectedCount = 0;
    for (let attempt = 0; attempt - unconnectedCount < route.maxAttempts && !deadline.isOver(); attempt++) {
      if (!isSendAllowed(request)) return { kind: 'denied' };
      const endpoint = this.chooseEndpoint(route, tried);
      if (!endpoint) break;
      tried.add(endpoint.id);
      const span = this._context.tracing.startSpan('endpoint', request.trace);
      const end = await this._attemptStream(
        request,
        endpoint,
        { deadline, number: attempt + 1 },
        sink,
        disconnected,
      );
      span.end({ requestId: request.id, endpointId: endpoint.id, end: end.kind });
      if (end.kind !== 'not-sent') return end;
      if (isUnsent(end.reason)) unconnectedCount += 1;
      // The endpoint may still be the right one: if it is leaving, it is not chosen again.
      if (end.reason === 'withheld') tried.delete(endpoint.id);
    }
    return { kind: 'not-run', reason: 'no endpoint accepted it', retryAfterMs: RETRY_AFTER_MS };
  }

  tryTakeHedge(): boolean {
    return this._hedgeBudget.take();
  }

  /** Chooses the endpoint for an attempt; if all are at their limit, the one with the least expected time. */
  chooseEndpoint(route: Route, tried: ReadonlySet<string>, isBackground = false): Endpoint | undefined {
    const pool = this._drawPool(route);
    const endpoints = preferReachable(this._endpoints.inPool(pool), tried).filter(
      endpoint => !isBackground || hasBackgroundCapacity(endpoint),
    );
    const request: PickRequest = {
      pool,
      ownDomain: this._context.domain,
      domains: [],
      isRollout: isBackground,
      reserve: 0,
      prefix: '',
      version: '',
      tried,
    };
    const picked = this._picker.pick(endpoints, request);
    if (picked) return this._endpoints.get(picked.id);
    if (isBackground) return undefined;
    return fastest(endpoints.filter(endpoint => !endpoint.isLeaving && !tried.has(endpoint.id)));
  }

  /** Called when an endpoint was chosen for a send. */
  decideSend(kind: SendKind, request: CallerRequest, endpoint: Endpoint): EndpointSend {
    const isWanted = (): boolean => isSendAllowed(request);
    return new EndpointSend(this._context, { kind, endpoint, authority: this._endpoints, isWanted });
  }

  /** Runs one attempt until its answer is complete. */
  async attempt(
    request: CallerRequest,
    endpoint: Endpoint,
    send: EndpointSend,
    leftMs: number,
    signal: AbortSignal,
  ): Promise<RequestAttemptEnd> {
    const isBackground = request.isBackground ?? false;
    endpoint.stats.began(isBackground);
    endpoint.limit.recordUsage(endpoint.stats.inFlight());
    const span = this._context.tracing.startSpan('endpoint', request.trace);
    const metered = this._startMetering(request);
    const call = toCall(request, endpoint, send, leftMs);
    const end = await send.attempt(() => this._exchange(call, endpoint, signal));
    metered?.ended(end.kind !== 'not-run');
    span.end({ requestId: request.id, endpointId: endpoint.id, end: end.kind });
    const isFailure = end.kind === 'broken' || (end.kind === 'answered' && end.isFailure);
    if (end.kind === 'cancelled') endpoint.stats.cancelled(isBackground);
    else endpoint.stats.ended(isBackground, isFailure);
    this._context.metrics.attempts.inc({ kind: 'request', end: end.kind });
    return end;
  }

  logAttempt(
    request: CallerRequest,
    endpoint: Endpoint,
    end: LoggedOutcome,
    details: RequestAttemptDetails,
  ): void {
    this._context.log.info('request attempt', {
      requestId: request.id,
      endpointId: endpoint.id,
      attempt: details.number,
      end: end.kind,
      reason: reasonOf(end),
      answeredId: otherAnsweredId(end, request.id),
      status: end.kind === 'answered' ? end.answer.status : undefined,
      // Identifies repeats of the same request under other identifiers. Only for broken attempts, as hashing is costly.
      fingerprint: end.kind === 'broken' ? this._poison.detailsOf(request).fingerprint : undefined,
      tookMs: Math.round(details.tookMs),
      leftMs: Math.round(details.leftMs),
      ...details.send.details(),
    });
  }

  private async _exchange(
    call: EndpointCall,
    endpoint: Endpoint,
    signal: AbortSignal,
  ): Promise<RequestAttemptEnd> {
    const reply = await this._client.send(call, signal);
    if (reply.kind === 'not-run') {
      if (reply.reason === 'refused') endpoint.limit.refused();
      markIfUnreachable(endpoint, reply.reason);
      if (reply.load) endpoint.recordLoad(reply.load);
      return { kind: 'not-run', reason: reply.reason, answeredId: reply.answeredId };
    }
    if (reply.kind !== 'answered') return reply;
    return this._readCompleteAnswer(endpoint, reply.answer, signal);
  }

  private async _readCompleteAnswer(
    endpoint: Endpoint,
    answer: EndpointAnswer,
    signal: AbortSignal,
  ): Promise<RequestAttemptEnd> {
    recordAnswer(endpoint, answer);
    const held = this._answers.read();
    const buffer = new AnswerBuffer(answer.announcedBytes);
    let body: Buffer;
    try {
      if (!(await held.begin(answer.announcedBytes, signal))) return { kind: 'dropped' };
      for await (const chunk of answer.body) {
        buffer.add(chunk);
        const decision = await held.add(chunk.length, signal);
        if (decision === 'drop') return { kind: 'dropped' };
        if (decision === 'too-long') return { kind: 'broken', text: 'the answer is too long to be buffered' };
      }
      body = buffer.whole();
    } catch (thrown) {
      if (signal.aborted) return { kind: 'cancelled' };
      // A truncated answer is discarded: whether the request ran is unknown.
      return { kind: 'broken', text: messageOf(thrown) };
    } finally {
      held.release();
    }
    const isSuccess = answer.status < FIRST_ERROR_STATUS;
    // Without the endpoint's proof the answer may have been altered or come from elsewhere.
    if (isSuccess && answer.proof === undefined)
      return { kind: 'broken', text: 'success response carries no proof of origin' };
    const { status, headers, proof } = answer;
    const complete = { status, headers, body, proof };
    return { kind: 'answered', answer: complete, isFailure: answer.status >= FIRST_SERVER_ERROR_STATUS };
  }

  private async _attemptStream(
    request: CallerRequest,
    endpoint: Endpoint,
    { deadline, number }: StreamAttempt,
    sink: StreamSink,
    disconnected: AbortSignal,
  ): Promise<StreamEnd> {
    endpoint.stats.began(false);
    const startedMs = this._context.clock.nowMs();
    const leftMs = deadline.remainingMs();
    const metered = this._startMetering(request);
    const send = this.decideSend('stream', request, endpoint);
    const call = toCall(request, endpoint, send, leftMs);
    const reply = await send.attempt(() => this._client.send(call, disconnected));
    metered?.ended(reply.kind !== 'not-run');
    const tookMs = this._context.clock.nowMs() - startedMs;
    this.logAttempt(request, endpoint, reply, { number, tookMs, leftMs, send });
    if (reply.kind === 'broken') await this._poison.recordBroken(request, endpoint);
    if (reply.kind !== 'answered') {
      endpoint.stats.ended(false, reply.kind === 'broken');
      if (reply.kind === 'not-run') {
        markIfUnreachable(endpoint, reply.reason);
        return { kind: 'not-sent', reason: reply.reason };
      }
      return reply.kind === 'cancelled' ? { kind: 'caller-left' } : { kind: 'unknown', reason: 'broken' };
    }
    recordAnswer(endpoint, reply.answer);
    sink.begin(reply.answer.status, reply.answer.headers);
    try {
      for await (const chunk of reply.answer.body) await sink.write(chunk);
      sink.end();
      endpoint.stats.ended(false, false);
      this._poison.answered(request);
    } catch {
      // Aborting shows the caller that the stream is incomplete.
      sink.abort();
      endpoint.stats.ended(false, !disconnected.aborted);
      if (!disconnected.aborted) await this._poison.recordBroken(request, endpoint);
    }
    return { kind: 'streamed' };
  }

  /** Meters billable requests. Background requests, such as scores, and requests without an account are not billed. */
  private _startMetering({ accountName, isBackground = false }: CallerRequest): MeteredRequest | undefined {
    return accountName === undefined || isBackground ? undefined : this._meter?.sent(accountName);
  }

  private _drawPool(route: Route): string {
    const total = route.pools.reduce((sum, share) => sum + share.weight, 0);
    let draw =
      this._context.random.below(Math.max(1, Math.round(total * WEIGHT_RESOLUTION))) / WEIGHT_RESOLUTION;
    for (const share of route.pools) {
      draw -= share.weight;
      if (draw < 0) return share.pool;
    }
    return route.pools[0]?.pool ?? '';
  }
}

/** False once the caller is no longer authorized to send the request. */
export function isSendAllowed(request: CallerRequest): boolean {
  return request.isStillAuthorized?.() ?? true;
}

/** True while the endpoint's estimated load leaves the callers' share of its slots free. */
function hasBackgroundCapacity(endpoint: Endpoint): boolean {
  return endpoint.stats.estimatedLoad() < Math.max(1, endpoint.info().slots * (1 - CALLER_RESERVED_SHARE));
}

function toCall(request: CallerRequest, endpoint: Endpoint, guard: WriteGuard, leftMs: number): EndpointCall {
  const { accountName, method, target, headers, body } = request;
  return { guard, endpoint: endpoint.info(), accountName, method, target, headers, body, leftMs };
}

/** A refusal comes from the endpoint itself, and a withheld request says nothing about its address. */
function markIfUnreachable(endpoint: Endpoint, reason: NotRunReason): void {
  if (reason === 'unreachable' || reason === 'other-instance') endpoint.markUnreachable();
}

/** True if no endpoint received the attempt, so that it does not count against the route's limit. */
export function isUnsent(reason: NotRunReason): boolean {
  return reason === 'unreachable' || reason === 'withheld';
}

function recordAnswer(endpoint: Endpoint, answer: EndpointAnswer): void {
  if (answer.load) {
    endpoint.recordLoad(answer.load);
    endpoint.limit.onLoadReport(answer.load.waiting, answer.load.running);
  }
  if (answer.isLeaving) endpoint.markLeaving();
}

/** Drops endpoints that were recently unreachable, unless no other endpoint is left to try. */
function preferReachable(endpoints: readonly Endpoint[], tried: ReadonlySet<string>): readonly Endpoint[] {
  const preferred = endpoints.filter(endpoint => !endpoint.isUnreachable());
  return preferred.some(endpoint => !endpoint.isLeaving && !tried.has(endpoint.id)) ? preferred : endpoints;
}

/** The endpoint with the least expected time; the least loaded one where no percentage is reported. */
function fastest(endpoints: readonly Endpoint[]): Endpoint | undefined {
  let found: Endpoint | undefined;
  for (const endpoint of endpoints)
    if (!found || endpoint.stats.expectedTime() < found.stats.expectedTime()) found = endpoint;
  return found;
}
