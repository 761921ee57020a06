/**
 * Requests scores for the complete texts of a batch.
 *
 * Score requests follow the rules, limits and retries of caller requests, but leave some slots of each endpoint to
 * callers. They are idempotent, so broken or late requests are repeated at other endpoints.
 */
import { setMaxListeners } from 'node:events';
import type { BatchItem, BatchLedger, ScoreRequest } from '@fuchsiahitch/batches';
import type { Route } from '@fuchsiahitch/rules';
import type { ConfigurationService } from './configurationService.js';
import type { CallerRequest, ForwardOutcome } from './callerRequest.js';
import type { Forwarder } from './forwarder.js';
import type { GatewayContext } from './gatewayContext.js';
import { ItemBackoff } from './itemBackoff.js';
import type { EndpointClient } from './ports.js';

export interface ScoringPorts {
  readonly configuration: ConfigurationService;
  readonly client: EndpointClient;
  readonly forwarder: Forwarder;
}

/** `failed`: scoring services failed on this text `failures` times. `not-scored`: no conclusion about the text. */
export type ScoreEnd =
  | { readonly kind: 'scored'; readonly score: string }
  | { readonly kind: 'failed'; readonly failures: number; readonly status: number }
  | { readonly kind: 'not-scored'; readonly reason: string };

const FIRST_SUCCESS = 200;
const LAST_SUCCESS = 299;
const SERVER_ERROR = 500;
/** Several times the longest usual duration of a score. A late score is requested again. */
const SCORE_TIMEOUT_MS = 1000;

export class ItemScoring {
  private readonly _context: GatewayContext;
  private readonly _ports: ScoringPorts;
  private readonly _ledger: BatchLedger;
  private readonly _maxItemFailures: number;
  private readonly _onResult: () => void;
  private _abort = newAbortController();
  /** True if scores were requested since the last interruption. */
  private _hasRequests = false;
  private _isStopped = false;
  private readonly _backoff: ItemBackoff;

  /** `maxItemFailures`: failures after which the batch's route terminates an item. `ended`: called on each result. */
  constructor(
    context: GatewayContext,
    ports: ScoringPorts,
    ledger: BatchLedger,
    maxItemFailures: number,
    ended: () => void,
  ) {
    this._context = context;
    this._ports = ports;
    this._ledger = ledger;
    this._maxItemFailures = maxItemFailures;
    this._onResult = ended;
    this._backoff = new ItemBackoff(context, ledger.batch.id, 'scoring');
  }

  /** Requests the missing scores, except of items whose retry delay has not passed. */
  run(): void {
    if (this._isStopped) return;
    for (const item of this._backoff.ready(this._ledger.unscored())) {
      if (!item.scoring) continue;
      this._hasRequests = true;
      this._ledger.beginScoring(item.id);
      void this._score(item, item.scoring);
    }
  }

  /** Aborts all requests for good. */
  stop(): void {
    this._isStopped = true;
    this._abort.abort();
  }

  /** Aborts all requests. `run` sends them again. */
  interrupt(): void {
    if (this._isStopped || !this._hasRequests) return;
    this._hasRequests = false;
    this._abort.abort();
    this._abort = newAbortController();
  }

  private async _score(item: BatchItem, request: ScoreRequest): Promise<void> {
    const startedMs = this._context.clock.nowMs();
    const { signal } = this._abort;
    const routed = this._ports.configuration.route(request.host, request.path);
    const end: ScoreEnd =
      routed.kind === 'routed'
        ? await this._request(request, routed.route, signal)
        : { kind: 'not-scored', reason: 'no route' };
    if (this._isStopped) return;
    if (signal.aborted) {
      this._ledger.scoringInterrupted(item.id);
      return;
    }
    this._log(item, request, end, this._context.clock.nowMs() - startedMs);
    const maxFailures = routed.kind === 'routed' ? routed.route.maxAttempts : 1;
    this._applyEnd(item.id, end, Math.max(maxFailures, this._maxItemFailures));
  }

  private async _request(request: ScoreRequest, route: Route, signal: AbortSignal): Promise<ScoreEnd> {
    const call: CallerRequest = {
      id: request.id,
      caller: this._ledger.batch.accountName ?? '',
      accountName: this._ledger.batch.accountName,
      host: request.host,
      method: 'POST',
      target: request.path,
      headers: this._ports.client.internalRequestHeaders(request.id, request.host),
      body: Buffer.from(request.bodyBase64, 'base64'),
      waitMs: SCORE_TIMEOUT_MS,
      isBackground: true,
    };
    const outcome = await this._ports.forwarder.forward(call, { ...route, run: 'idempotent' }, signal);
    return toScoreEnd(outcome);
  }

  private _applyEnd(itemId: string, end: ScoreEnd, maxFailures: number): void {
    switch (end.kind) {
      case 'scored':
        this._ledger.scored(itemId, end.score);
        break;
      case 'failed':
        this._ledger.scoringFailed(itemId, end.failures, maxFailures);
        break;
      case 'not-scored':
        this._ledger.scoringInterrupted(itemId);
        this._backoff.attemptFailed(itemId);
        return;
    }
    this._onResult();
  }

  private _log(item: BatchItem, request: ScoreRequest, end: ScoreEnd, tookMs: number): void {
    const { metrics, log } = this._context;
    metrics.scores.inc({ outcome: end.kind });
    if (end.kind === 'scored') metrics.scoring.observe(tookMs / 1000);
    log.info('item score', {
      batchId: this._ledger.batch.id,
      itemId: item.id,
      requestId: request.id,
      outcome: end.kind,
      reason: 'reason' in end ? end.reason : undefined,
      status: 'status' in end ? end.status : undefined,
      failures: 'failures' in end ? end.failures : undefined,
      events: this._ledger.progress(item.id).lastEventNumber(),
      tookMs: Math.round(tookMs),
    });
  }
}

/** Returns a controller without a listener limit: every request in flight listens to its signal. */
function newAbortController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** Interprets the answer to a score request. Only a complete success with proof of origin is a score. */
export function toScoreEnd(outcome: ForwardOutcome): ScoreEnd {
  if (outcome.kind !== 'answered') {
    const reason = 'reason' in outcome ? outcome.reason : outcome.kind;
    return { kind: 'not-scored', reason };
  }
  const { status, proof } = outcome.answer;
  const isSuccess = status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
  if (isSuccess && proof !== undefined) return { kind: 'scored', score: proof };
  if (status === SERVER_ERROR) return { kind: 'failed', failures: outcome.failures, status };
  return { kind: 'not-scored', reason: `status ${status}` };
}
