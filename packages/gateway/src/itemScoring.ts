/**
 * Asks for the scores of a batch's whole texts.
 *
 * A request for a score goes by the rules, limits and retries of a caller's request, and leaves places of each endpoint
 * to callers. It may be repeated, so that no answer but a whole success counts, and a broken or late one is asked for
 * again elsewhere. It is never sent before its text is whole: the ledger gives out whole texts only.
 */
import { setMaxListeners } from 'node:events';
import type { BatchItem, BatchLedger, ScoreRequest } from '@fuchsiahitch/batches';
import type { Route } from '@fuchsiahitch/rules';
import type { ConfigurationService } from './configurationService.js';
import type { CallerRequest, ForwardOutcome } from './callerRequest.js';
import type { Forwarder } from './forwarder.js';
import type { GatewayContext } from './gatewayContext.js';
import { ItemPauses } from './itemPauses.js';
import type { EndpointClient } from './ports.js';

export interface ScoringPorts {
  readonly configuration: ConfigurationService;
  readonly client: EndpointClient;
  readonly forwarder: Forwarder;
}

/**
 * How a request for a score ended. `failed`: scoring services answered so often with a failure of their own.
 * `not-scored` says nothing about the text.
 */
export type ScoreEnd =
  | { readonly kind: 'scored'; readonly score: string }
  | { readonly kind: 'failed'; readonly failures: number; readonly status: number }
  | { readonly kind: 'not-scored'; readonly reason: string };

const FIRST_SUCCESS = 200;
const LAST_SUCCESS = 299;
const SERVER_ERROR = 500;
/**
 * A score takes some 43 ms, and up to 220: one that is not there by then is asked for anew, at endpoints that were not
 * tried. Trainers read their results twice a second.
 */
const SCORE_TIMEOUT_MS = 1000;

export class ItemScoring {
  private readonly _context: GatewayContext;
  private readonly _ports: ScoringPorts;
  private readonly _ledger: BatchLedger;
  private readonly _maxItemFailures: number;
  private readonly _ended: () => void;
  private _asking = newAborter();
  /** True if something was asked for since the last interruption. */
  private _isAsking = false;
  private _isStopped = false;
  private readonly _pauses: ItemPauses;

  /** `maxItemFailures`: the failures after which the route of the items lets one go. `ended`: a result is there. */
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
    this._ended = ended;
    this._pauses = new ItemPauses(context, ledger.batch.id, 'scoring');
  }

  /** Asks for every score that is missing and not paused. */
  run(): void {
    if (this._isStopped) return;
    for (const item of this._pauses.ready(this._ledger.unscored())) {
      if (!item.scoring) continue;
      this._isAsking = true;
      this._ledger.beginScoring(item.id);
      void this._score(item, item.scoring);
    }
  }

  /** Drops what is being asked for: endpoints stop when their connections close. */
  stop(): void {
    this._isStopped = true;
    this._asking.abort();
  }

  /** As `stop`, for the time being: `run` asks again. */
  interrupt(): void {
    if (this._isStopped || !this._isAsking) return;
    this._isAsking = false;
    this._asking.abort();
    this._asking = newAborter();
  }

  private async _score(item: BatchItem, request: ScoreRequest): Promise<void> {
    const startedMs = this._context.clock.nowMs();
    const { signal } = this._asking;
    const routed = this._ports.configuration.route(request.host, request.path);
    const end: ScoreEnd =
      routed.kind === 'routed'
        ? await this._ask(request, routed.route, signal)
        : { kind: 'not-scored', reason: 'no route' };
    if (this._isStopped) return;
    if (signal.aborted) {
      this._ledger.scoringInterrupted(item.id);
      return;
    }
    this._log(item, request, end, this._context.clock.nowMs() - startedMs);
    const maxFailures = routed.kind === 'routed' ? routed.route.maxAttempts : 1;
    this._settle(item.id, end, Math.max(maxFailures, this._maxItemFailures));
  }

  private async _ask(request: ScoreRequest, route: Route, signal: AbortSignal): Promise<ScoreEnd> {
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

  private _settle(itemId: string, end: ScoreEnd, maxFailures: number): void {
    switch (end.kind) {
      case 'scored':
        this._ledger.scored(itemId, end.score);
        break;
      case 'failed':
        this._ledger.scoringFailed(itemId, end.failures, maxFailures);
        break;
      case 'not-scored':
        this._ledger.scoringInterrupted(itemId);
        this._pauses.tried(itemId);
        return;
    }
    this._ended();
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
      events: this._ledger.progress(item.id).lastEvent(),
      tookMs: Math.round(tookMs),
    });
  }
}

/** Each request that is under way listens: a batch has as many as items end at a time. */
function newAborter(): AbortController {
  const aborter = new AbortController();
  setMaxListeners(0, aborter.signal);
  return aborter;
}

/** What an answer to a request for a score says. Only a whole success with its proof of origin is a score. */
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
