/**
 * Takes a caller's request in: decides by its head whether it is served, and receives its body within the limits on clients.
 */
import type { Access, Credential } from '@fuchsiahitch/accounts';
import type { Clock } from '@fuchsiahitch/base';
import type { BodyFailure } from '@fuchsiahitch/intake';
import type { ClientLimits } from '@fuchsiahitch/limits';
import type { ForwardOutcome } from './callerRequest.js';
import type { AccessResult, ConfigurationService } from './configurationService.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { HttpExchange } from './httpExchange.js';

const MS_PER_SECOND = 1000;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TIMEOUT = 408;
const HTTP_TOO_LARGE = 413;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_LATE = 504;

const NO_CONFIGURATION_RETRY_MS = 500;
/** The load balancer probes readiness once a second and removes a host after two failures. */
export const ISOLATED_RETRY_MS = 2000;
/** A body that makes no progress gives way within a second. */
export const NO_MEMORY_RETRY_MS = 1000;
/** Too many requests in process mean that the host is far behind. */
const TOO_MANY_RETRY_MS = 1000;
/** The load balancer sends new connections for this long after a host reports that it isn't ready. */
export const BALANCER_DRAIN_MS = 3200;
/** Other hosts serve the request at once. */
const LEAVING_RETRY_MS = 100;
/** How often a host that is shutting down looks for bodies that make no progress. */
const STALLED_CHECK_MS = 250;

const LIMIT_OF_FAILURE = {
  'too-large': 'body-size',
  'no-memory': 'body-memory',
  stalled: 'body-stalled',
  timeout: 'body-timeout',
} as const;

/** What is done with a request, as far as its head tells. `run` takes the body. */
export type RequestPlan =
  | { readonly kind: 'serve'; readonly run: (body: Buffer) => Promise<void> }
  | { readonly kind: 'refuse'; readonly answer: () => void };

export type RequestDetails = Readonly<Record<string, string | number | undefined>>;

/** An exchange whose protocol has a refusal that promises that the request has not run and never will. */
export interface IntakeExchange extends HttpExchange {
  refuse(retryAfterMs: number): void;
  credential(): Credential;
  /** How long the caller waits; undefined if it doesn't say. */
  waitMs(): number | undefined;
}

/** The time for which a host that shuts down takes requests. */
interface Leaving {
  readonly sinceMs: number;
  readonly endMs: number;
}

export interface RequestIntakeOptions<T extends IntakeExchange> {
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  readonly clientLimits: ClientLimits;
  readonly configuration: ConfigurationService;
  readonly log: (exchange: T, outcome: string, details: RequestDetails) => void;
}

export class RequestIntake<T extends IntakeExchange> {
  private readonly _options: RequestIntakeOptions<T>;
  private readonly _unanswered = new Set<T>();
  private _leaving: Leaving | undefined;

  constructor(options: RequestIntakeOptions<T>) {
    this._options = options;
  }

  /** Serves a request as `plan` decides, which is asked again when a large body has arrived. */
  async serve(exchange: T, maxHeaderBytes: number, plan: () => RequestPlan): Promise<void> {
    this._unanswered.add(exchange);
    try {
      await this._serve(exchange, maxHeaderBytes, plan);
    } finally {
      this._unanswered.delete(exchange);
    }
  }

  private async _serve(exchange: T, maxHeaderBytes: number, plan: () => RequestPlan): Promise<void> {
    const { clientLimits, clock } = this._options;
    if (this._isTooLate(exchange)) {
      exchange.cutShort(clock);
      this.refuse(exchange, 'the host is shutting down', LEAVING_RETRY_MS);
      return;
    }
    if (exchange.headerBytes() > maxHeaderBytes) {
      clientLimits.report.refused('head-size', exchange.clientAddress());
      exchange.cutShort(clock);
      exchange.answer(HTTP_HEADERS_TOO_LARGE);
      return;
    }
    if (exchange.body.isLarge() && !exchange.body.isTooLarge()) {
      const early = plan();
      if (early.kind === 'refuse') {
        exchange.cutShort(clock);
        early.answer();
        return;
      }
    }
    const body = await exchange.body.read();
    if (typeof body === 'string') {
      this._answerFailure(exchange, body);
      return;
    }
    // Anew, as the configuration may have changed while the body arrived.
    const planned = plan();
    if (planned.kind === 'refuse') planned.answer();
    else await planned.run(body);
  }

  /** Checks the caller's access, then serves the request for it. */
  withAccess(
    exchange: T,
    isPublic: boolean,
    serve: (access: Access, body: Buffer) => Promise<void>,
  ): RequestPlan {
    const { configuration, log } = this._options;
    const access: AccessResult = configuration.access(exchange.credential(), isPublic);
    if (access.kind === 'unsure')
      return this.refusal(
        exchange,
        'the cached accounts are out of date',
        ISOLATED_RETRY_MS,
        access.revision,
      );
    if (access.kind !== 'denied') return { kind: 'serve', run: async body => serve(access, body) };
    const answer = (): void => {
      log(exchange, 'denied', {
        reason: access.reason,
        account: access.accountName,
        revision: access.revision,
        configurationAgeMs: Math.round(configuration.ageMs()),
      });
      this._options.metrics.requests.inc({ outcome: 'denied' });
      this.deny(exchange);
    };
    return { kind: 'refuse', answer };
  }

  noConfiguration(exchange: T): RequestPlan {
    return this.refusal(exchange, 'no configuration loaded yet', NO_CONFIGURATION_RETRY_MS);
  }

  noRoute(exchange: T, revision: number): RequestPlan {
    const answer = (): void => {
      this._options.log(exchange, 'no-route', { revision, host: exchange.host() });
      exchange.answer(HTTP_NOT_FOUND);
    };
    return { kind: 'refuse', answer };
  }

  refusal(exchange: T, reason: string, retryAfterMs: number, revision?: number): RequestPlan {
    return { kind: 'refuse', answer: () => this.refuse(exchange, reason, retryAfterMs, revision) };
  }

  refuse(exchange: T, reason: string, retryAfterMs: number, revision?: number): void {
    this._options.metrics.requests.inc({ outcome: 'not-run' });
    this._options.log(exchange, 'not-run', { reason, revision });
    exchange.refuse(retryAfterMs);
  }

  /** Counts a request that was forwarded. */
  countForwarded(exchange: T, outcome: ForwardOutcome): void {
    const { metrics, clientLimits } = this._options;
    metrics.requests.inc({ outcome: outcome.kind });
    metrics.latency.observe(exchange.elapsedMs() / MS_PER_SECOND);
    if (outcome.kind === 'unknown' && outcome.reason === 'dropped')
      clientLimits.report.refused('answer-memory', exchange.clientAddress());
  }

  deny(exchange: T): void {
    exchange.answer(HTTP_UNAUTHORIZED, [['WWW-Authenticate', 'Token']]);
  }

  /** Refuses a request of which only the head has been read, because there are too many. */
  refuseOverload(exchange: T): void {
    const { clientLimits, clock } = this._options;
    clientLimits.report.refused('requests', exchange.clientAddress());
    exchange.cutShort(clock);
    exchange.refuse(TOO_MANY_RETRY_MS);
  }

  /**
   * When the load balancer has taken this host out, requests that may last longer than `graceMs` from now are refused.
   * Those that are still in process then are answered.
   */
  startDraining(graceMs: number): void {
    const { clock } = this._options;
    const sinceMs = clock.nowMs();
    this._leaving = { sinceMs, endMs: sinceMs + graceMs };
    this._endStalled();
    clock.after(graceMs, () => this._answerRest());
  }

  /** Answers the requests that are still in process. They may have run. */
  private _answerRest(): void {
    for (const exchange of this._unanswered) {
      this._options.log(exchange, 'unknown', { reason: 'the host has shut down' });
      exchange.cutShort(this._options.clock);
      exchange.answer(HTTP_LATE);
    }
  }

  /** Bodies that make no progress are refused: they would keep the process from ending. */
  private _endStalled(): void {
    const { clientLimits, clock } = this._options;
    clientLimits.bodies.endStalled();
    clock.after(STALLED_CHECK_MS, () => this._endStalled());
  }

  /** True if the host may have ended before the request has. */
  private _isTooLate(exchange: T): boolean {
    if (!this._leaving) return false;
    const nowMs = this._options.clock.nowMs();
    const isExpected = nowMs - this._leaving.sinceMs <= BALANCER_DRAIN_MS;
    return !isExpected && (exchange.waitMs() ?? Infinity) > this._leaving.endMs - nowMs;
  }

  /** Answers a request whose body was not received. It has not run. */
  private _answerFailure(exchange: T, failure: BodyFailure): void {
    if (failure === 'left') return;
    const { clientLimits, clock, metrics, log } = this._options;
    const outcome = failure === 'too-large' ? 'rejected' : 'not-run';
    clientLimits.report.refused(LIMIT_OF_FAILURE[failure], exchange.clientAddress());
    metrics.requests.inc({ outcome });
    log(exchange, outcome, { reason: `body ${failure}` });
    exchange.cutShort(clock);
    if (failure === 'too-large') exchange.answer(HTTP_TOO_LARGE);
    else if (failure === 'no-memory') exchange.refuse(NO_MEMORY_RETRY_MS);
    else exchange.answer(HTTP_TIMEOUT);
  }
}
