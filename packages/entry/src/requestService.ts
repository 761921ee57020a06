/**
 * Runs customer requests: evaluates the rules once per request, executes non-repeatable requests at most once, and
 * returns a complete answer or an explicit outcome.
 */
import { Deadline, digest, sleep } from '@fuchsiahitch/base';
import type {
  EngineClient,
  GenerationChunk,
  GenerationResult,
  ServiceClient,
  ServiceResult,
} from '@fuchsiahitch/clients';
import {
  backoffMs,
  RequestRun,
  RetryBudget,
  type StoredAnswer,
  type RequestOutcome,
  type QueuePriority,
} from '@fuchsiahitch/requests';
import type { Decision, RequestFacts, RequestKind } from '@fuchsiahitch/rules';
import { effectiveReserve, type Dispatcher, type DispatchResult } from './dispatcher.js';
import type { CallableEndpoint, EndpointService } from './endpointService.js';
import type { HostContext } from './hostContext.js';
import type { KeyService } from './keyService.js';
import type { RulesService } from './rulesService.js';

export interface CallerRequest {
  readonly kind: RequestKind;
  readonly pool: string;
  readonly caller: string;
  readonly house: string;
  readonly priority: 'high' | 'normal' | 'low';
  readonly timeoutMs: number;
  /** The idempotency key. */
  readonly key: string | undefined;
  /** The caller's `traceparent` header. */
  readonly trace: string | undefined;
  /** Aborted when the caller disconnects. */
  readonly left: AbortSignal;
  readonly work: CallerWork;
}

/** What a request asks an endpoint to do. */
export type CallerWork =
  | {
      readonly kind: 'completion';
      readonly prompt: string;
      readonly maxTokens: number;
      readonly onChunks: (chunks: readonly GenerationChunk[]) => Promise<void> | void;
    }
  | {
      readonly kind: 'service';
      readonly method: string;
      readonly path: string;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: Buffer | undefined;
    };

/** The outcome of a request with its answer, if there is one. */
export interface CallerAnswer {
  readonly outcome: RequestOutcome;
  readonly revision: number;
  readonly ruleId: string | undefined;
  /** The complete answer of a service, or the one stored under the idempotency key. */
  readonly answer: StoredAnswer | undefined;
  readonly ruleText: string | undefined;
}

const RETRY_SHARE = 0.1;
const RETRY_BURST = 20;
const DEFAULT_RETRIES = 2;
const BACKOFF_BASE_MS = 25;
const BACKOFF_MAX_MS = 500;
const PREFIX_LENGTH = 64;
const FINISH_TIMEOUT_MS = 5000;
const SERVER_ERROR = 500;
const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** How one attempt ended. `again` and `again-after-pause` permit a retry. */
type AttemptEnd = 'ended' | 'again' | 'again-after-pause';

export class RequestService {
  private readonly _context: HostContext;
  private readonly _rules: RulesService;
  private readonly _keys: KeyService;
  private readonly _endpoints: EndpointService;
  private readonly _dispatcher: Dispatcher;
  private readonly _engines: EngineClient;
  private readonly _services: ServiceClient;
  private readonly _retryBudget = new RetryBudget(RETRY_SHARE, RETRY_BURST);
  private _inFlight = 0;
  private _isRefusingNew = false;

  constructor(
    context: HostContext,
    parts: {
      readonly rules: RulesService;
      readonly keys: KeyService;
      readonly endpoints: EndpointService;
      readonly dispatcher: Dispatcher;
      readonly engines: EngineClient;
      readonly services: ServiceClient;
    },
  ) {
    this._context = context;
    this._rules = parts.rules;
    this._keys = parts.keys;
    this._endpoints = parts.endpoints;
    this._dispatcher = parts.dispatcher;
    this._engines = parts.engines;
    this._services = parts.services;
  }

  inFlight(): number {
    return this._inFlight;
  }

  /** Refuses new requests, in the last phase of a shutdown. */
  refuseNew(): void {
    this._isRefusingNew = true;
  }

  async run(request: CallerRequest): Promise<CallerAnswer> {
    const startMs = this._context.clock.nowMs();
    const callerSpan = this._context.tracing.startSpan('caller', request.trace);
    this._inFlight += 1;
    try {
      const answer = await this._decideAndRun({ ...request, trace: callerSpan.traceparent });
      this._context.metrics.requests.inc({ kind: request.kind, outcome: answer.outcome.kind });
      const seconds = (this._context.clock.nowMs() - startMs) / 1000;
      this._context.metrics.latency.observe({ kind: request.kind }, seconds);
      callerSpan.end({ outcome: answer.outcome.kind, revision: answer.revision });
      return answer;
    } finally {
      this._inFlight -= 1;
    }
  }

  private async _decideAndRun(request: CallerRequest): Promise<CallerAnswer> {
    const decision = this._rules.evaluator().decide(this._factsOf(request));
    const { action, revision, ruleId } = decision;
    const pool = action.pool ?? request.pool;
    const run = new RequestRun(this._dispatcher.retryAfterMs(pool));
    const base = { revision, ruleId, answer: undefined, ruleText: undefined };
    if (action.refuse !== undefined) {
      return { ...base, outcome: run.refuse('refused-by-rule'), ruleText: action.refuse };
    }
    if (this._isRefusingNew) return { ...base, outcome: run.refuse('shutting-down') };
    const running = new RunningRequest(
      request,
      decision,
      run,
      Deadline.after(this._context.clock, request.timeoutMs),
    );
    if (request.key === undefined) return { ...base, ...(await this._runAttempts(running, pool)) };
    return { ...base, ...(await this._runKeyed(running, pool, request.key)) };
  }

  /** Runs a request with an idempotency key after claiming the key from its owner. */
  private async _runKeyed(running: RunningRequest, pool: string, key: string): Promise<RunResult> {
    const { run, deadline, request } = running;
    const attemptId = this._context.random.id();
    const claimSpan = this._context.tracing.startSpan('peer', request.trace);
    const claim = await this._keys.client.claim(key, fingerprintOf(request), attemptId, deadline);
    claimSpan.end({ claim: claim.kind });
    switch (claim.kind) {
      case 'granted': {
        const result = await this._runAttempts(running, pool);
        const isReleased = result.outcome.kind === 'not-run';
        const answer = result.answer ? { answer: result.answer } : {};
        const finish = { key, attemptId, end: isReleased ? 'released' : 'finished', ...answer } as const;
        const notified = this._keys.client.finish(
          finish,
          Deadline.after(this._context.clock, FINISH_TIMEOUT_MS),
        );
        // A caller may resend immediately after `not run`, so release the key before answering.
        if (isReleased) await notified;
        return result;
      }
      case 'answered':
        return { outcome: run.endWithStoredAnswer(claim.answer.status), answer: claim.answer };
      case 'unknown':
        return { outcome: run.endUnknown(claim.reason), answer: undefined };
      case 'unreachable':
      case 'wrong-owner':
        return { outcome: run.endUnknown('key-owner-unreachable'), answer: undefined };
      case 'conflict':
        return { outcome: run.refuse('bad-request'), answer: undefined };
    }
  }

  private async _runAttempts(running: RunningRequest, pool: string): Promise<RunResult> {
    this._retryBudget.requestStarted();
    const { run, request, deadline } = running;
    const onCallerLeft = (): void => running.cancel('caller-left');
    request.left.addEventListener('abort', onCallerLeft);
    const cancelTimer = this._context.clock.after(deadline.remainingMs(), () => running.cancel('deadline'));
    try {
      while (!run.outcome()) await this._runAttempt(running, pool);
    } finally {
      cancelTimer();
      request.left.removeEventListener('abort', onCallerLeft);
    }
    return { outcome: run.outcome() ?? run.refuse('too-late'), answer: running.answer };
  }

  private async _runAttempt(running: RunningRequest, pool: string): Promise<void> {
    let attempt: number | undefined;
    const begin = (): boolean => {
      attempt = running.run.send();
      return attempt !== undefined;
    };
    const dispatched = await this._dispatcher.acquire(
      this._dispatchRequest(running, pool),
      begin,
      running.signal,
    );
    if (dispatched.kind !== 'acquired' || attempt === undefined) {
      this._handleNotDispatched(running, dispatched);
      return;
    }
    const endpointSpan = this._context.tracing.startSpan('endpoint', running.request.trace);
    const end = await this._send(running, dispatched.endpoint, attempt, endpointSpan.traceparent);
    endpointSpan.end({ endpoint: dispatched.endpoint.id, attempt, end });
    if (end === 'ended') return;
    running.attempts += 1;
    running.tried.add(dispatched.endpoint.id);
    // Once all endpoints have been tried, each may be tried again.
    if (this._endpoints.pool(pool).every(endpoint => running.tried.has(endpoint.id))) running.tried.clear();
    await this._prepareRetry(running, pool, end);
  }

  private _handleNotDispatched(running: RunningRequest, result: DispatchResult): void {
    switch (result.kind) {
      case 'queue-full':
      case 'no-endpoint':
        running.run.refuse(result.kind);
        return;
      case 'too-late':
        running.cancel('deadline');
        return;
      case 'left':
      case 'acquired':
        running.cancel('caller-left');
    }
  }

  /** Waits before a retry where needed, or refuses the request if the rule's limit or the retry budget is exhausted. */
  private async _prepareRetry(running: RunningRequest, pool: string, end: AttemptEnd): Promise<void> {
    const allowed = running.decision.action.retries ?? DEFAULT_RETRIES;
    const isAllowed = running.attempts <= allowed && this._retryBudget.take();
    if (!isAllowed) {
      running.run.refuse('endpoint-refused');
      return;
    }
    this._context.metrics.retries.inc({ pool });
    if (end === 'again') return;
    const pauseMs = backoffMs(BACKOFF_BASE_MS, BACKOFF_MAX_MS, running.attempts, n =>
      this._context.random.below(n),
    );
    await sleep(this._context.clock, Math.min(pauseMs, running.deadline.remainingMs()), running.signal);
  }

  private async _send(
    running: RunningRequest,
    endpoint: CallableEndpoint,
    attempt: number,
    trace: string | undefined,
  ): Promise<AttemptEnd> {
    const { work: callerWork } = running.request;
    const end =
      callerWork.kind === 'completion'
        ? await this._generate(running, callerWork, endpoint, attempt, trace)
        : await this._callService(running, callerWork, endpoint, attempt, trace);
    this._context.metrics.attempts.inc({ pool: endpoint.pool, end });
    return end;
  }

  private async _generate(
    running: RunningRequest,
    completion: Extract<CallerWork, { kind: 'completion' }>,
    endpoint: CallableEndpoint,
    attempt: number,
    trace: string | undefined,
  ): Promise<AttemptEnd> {
    const { run } = running;
    const generation = {
      url: endpoint.url,
      requestId: this._context.random.id(),
      prompt: completion.prompt,
      maxTokens: completion.maxTokens,
      priority: 'high' as const,
      resumeText: running.text,
      resumeTokens: running.tokens,
      trace,
    };
    const onChunks = async (chunks: readonly GenerationChunk[]): Promise<void> => {
      if (run.phase() === 'sent') run.answerStarted(attempt);
      if (run.phase() !== 'answering') return;
      for (const chunk of chunks) {
        running.text += chunk.text;
        running.tokens += chunk.tokens;
      }
      await completion.onChunks(chunks);
    };
    const end = await this._engines.generate(generation, onChunks, running.signal);
    this._releaseEndpoint(endpoint, end);
    switch (end.kind) {
      case 'done':
        if (run.phase() === 'sent') run.answerStarted(attempt);
        run.answered(attempt, 200, false);
        this._context.metrics.tokens.inc({ kind: 'customer' }, end.tokens);
        return 'ended';
      case 'not-run':
        if (end.isLeaving) this._endpoints.markLeaving(endpoint.id);
        run.provenNotRun(attempt);
        return 'again';
      case 'failed':
        if (end.status >= SERVER_ERROR) return this._handleBroken(running, attempt, true);
        if (run.phase() === 'sent') run.answerStarted(attempt);
        run.answered(attempt, end.status, true);
        return 'ended';
      case 'broken':
        // A generation has no side effects, so another endpoint can resume it after the tokens already sent.
        return this._handleBroken(running, attempt, true);
      case 'cancelled':
        return 'ended';
    }
  }

  private async _callService(
    running: RunningRequest,
    serviceCall: Extract<CallerWork, { kind: 'service' }>,
    endpoint: CallableEndpoint,
    attempt: number,
    trace: string | undefined,
  ): Promise<AttemptEnd> {
    const { run } = running;
    const headers = { ...serviceCall.headers, ...(trace === undefined ? {} : { traceparent: trace }) };
    const call = {
      url: endpoint.url,
      method: serviceCall.method,
      path: serviceCall.path,
      headers,
      body: serviceCall.body,
    };
    const end = await this._services.call(call, () => run.answerStarted(attempt), running.signal);
    this._releaseEndpoint(endpoint, end);
    switch (end.kind) {
      case 'answered':
        this._serviceAnswered(running, endpoint, attempt, end);
        return 'ended';
      case 'not-run':
        if (end.isLeaving) this._endpoints.markLeaving(endpoint.id);
        run.provenNotRun(attempt);
        return 'again';
      case 'broken':
        return this._handleBroken(running, attempt, REPEATABLE_METHODS.has(serviceCall.method));
      case 'cancelled':
        return 'ended';
    }
  }

  private _serviceAnswered(
    running: RunningRequest,
    endpoint: CallableEndpoint,
    attempt: number,
    end: Extract<ServiceResult, { kind: 'answered' }>,
  ): void {
    if (end.isLeaving) this._endpoints.markLeaving(endpoint.id);
    if (!running.run.answered(attempt, end.status, end.status >= SERVER_ERROR)) return;
    running.answer = { status: end.status, contentType: end.contentType, body: end.body.toString('utf8') };
  }

  private _handleBroken(running: RunningRequest, attempt: number, isRepeatable: boolean): AttemptEnd {
    if (isRepeatable && running.run.brokenRetryable(attempt)) return 'again-after-pause';
    running.run.broken(attempt);
    return 'ended';
  }

  private _releaseEndpoint(endpoint: CallableEndpoint, end: GenerationResult | ServiceResult): void {
    if (end.kind === 'cancelled') this._dispatcher.cancelled(endpoint, false);
    else this._dispatcher.ended(endpoint, false, isEndpointFault(end));
    if (end.kind === 'not-run' && !end.isUnreachable) endpoint.limit.refused();
  }

  private _dispatchRequest(running: RunningRequest, pool: string): Parameters<Dispatcher['acquire']>[0] {
    const { action } = running.decision;
    const payload = running.request.work;
    return {
      pool,
      ownDomain: this._context.domain,
      domains: action.domains ?? [],
      isRollout: false,
      reserve: effectiveReserve(action.reserve),
      prefix: payload.kind === 'completion' ? payload.prompt.slice(0, PREFIX_LENGTH) : '',
      version: action.pinVersion ?? '',
      tried: running.tried,
      queuePriority: queuePriorityOf(action.priority ?? running.request.priority),
      deadline: running.deadline,
    };
  }

  private _factsOf(request: CallerRequest): RequestFacts {
    const { kind, caller, house, pool, priority } = request;
    return { kind, caller, house, pool, priority, domain: this._context.domain, version: '' };
  }
}

interface RunResult {
  readonly outcome: RequestOutcome;
  readonly answer: StoredAnswer | undefined;
}

/** The mutable state of a request in progress. */
class RunningRequest {
  readonly request: CallerRequest;
  readonly decision: Decision;
  readonly run: RequestRun;
  readonly deadline: Deadline;
  readonly tried = new Set<string>();
  attempts = 0;
  text = '';
  tokens = 0;
  answer: StoredAnswer | undefined;
  private readonly _stop = new AbortController();

  constructor(request: CallerRequest, decision: Decision, run: RequestRun, deadline: Deadline) {
    this.request = request;
    this.decision = decision;
    this.run = run;
    this.deadline = deadline;
  }

  get signal(): AbortSignal {
    return this._stop.signal;
  }

  /** Ends the request in its state machine, then aborts the attempt in progress. */
  cancel(cause: 'deadline' | 'caller-left'): void {
    this.run.abandon(cause);
    this._stop.abort();
  }
}

function queuePriorityOf(priority: 'high' | 'normal' | 'low'): QueuePriority {
  if (priority === 'high') return 'customer-high';
  return priority === 'normal' ? 'customer' : 'customer-low';
}

/** True if an attempt counts against the endpoint's health. A refusal for lack of capacity does not. */
function isEndpointFault(end: GenerationResult | ServiceResult): boolean {
  if (end.kind === 'answered' || end.kind === 'failed') return end.status >= SERVER_ERROR;
  return end.kind === 'broken' || (end.kind === 'not-run' && end.isUnreachable);
}

/** Identifies the content of a request, to detect the reuse of a key for a different request. */
function fingerprintOf(request: CallerRequest): string {
  const { work } = request;
  const text =
    work.kind === 'completion'
      ? `${request.pool}\n${work.maxTokens}\n${work.prompt}`
      : `${request.pool}\n${work.method}\n${work.path}\n${work.body?.toString('base64') ?? ''}`;
  return digest(text);
}

/** Returns the value of the reason header, empty for outcomes without a reason. */
export function reasonOf(outcome: RequestOutcome): string {
  return outcome.kind === 'not-run' || outcome.kind === 'unknown' ? outcome.reason : '';
}
