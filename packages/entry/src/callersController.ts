/**
 * HTTP controller for callers: completions and calls to plain services.
 */
import { All, Controller, Inject, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Access } from '@fuchsiahitch/accounts';
import { OUTCOME_HEADER, REASON_HEADER, statusOf } from '@fuchsiahitch/requests';
import { CallerAccounts, credentialOf } from './callerAccounts.js';
import {
  callerHeadersSchema,
  validate,
  completionSchema,
  readJson,
  type CallerHeaders,
} from './callerInput.js';
import { Metrics } from './metrics.js';
import { reasonOf, RequestService, type CallerAnswer, type CallerRequest } from './requestService.js';

/** The revision of the rules under which the request was decided. */
const REVISION_HEADER = 'fuchsiahitch-rules-revision';
const CALLER_HEADER = 'fuchsiahitch-caller';
const UNAUTHORIZED = 401;
const MS_PER_SECOND = 1000;
const SERVICE_PREFIX = '/svc/';
/** Headers that apply to one connection only, or that this host sets itself. */
const NON_FORWARDED_HEADERS = new Set([
  'host',
  'connection',
  'content-length',
  'transfer-encoding',
  'keep-alive',
  'expect',
]);

@Controller()
export class CallersController {
  constructor(
    @Inject(RequestService) private readonly _requests: RequestService,
    @Inject(Metrics) private readonly _metrics: Metrics,
    @Inject(CallerAccounts) private readonly _accounts: CallerAccounts,
  ) {}

  @Post('/v1/completions')
  async complete(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const headers = validate(request.headers, callerHeadersSchema);
    const body = readJson(request.body, completionSchema);
    if (!headers.ok) {
      this._rejectBadRequest(reply, headers.error);
      return;
    }
    const access = this._checkAccess(reply, headers.value);
    if (!access) return;
    if (!body.ok) {
      this._rejectBadRequest(reply, body.error);
      return;
    }
    const { model, prompt, max_tokens: maxTokens, stream } = body.value;
    const output = stream ? new StreamedCompletion(reply) : new BufferedCompletion();
    const work = { kind: 'completion', prompt, maxTokens, onChunks: output.onChunks } as const;
    const answer = await this._requests.run({
      ...toCallerRequest(reply, model, headers.value, access),
      kind: 'completion',
      work,
    });
    output.finish(reply, answer);
  }

  @All('/svc/*')
  async serve(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const headers = validate(request.headers, callerHeadersSchema);
    if (!headers.ok) {
      this._rejectBadRequest(reply, headers.error);
      return;
    }
    const access = this._checkAccess(reply, headers.value);
    if (!access) return;
    const poolAndPath = request.url.slice(SERVICE_PREFIX.length);
    const slash = poolAndPath.indexOf('/');
    if (slash <= 0) {
      this._rejectBadRequest(reply, 'expected /svc/POOL/PATH');
      return;
    }
    const pool = poolAndPath.slice(0, slash);
    const body = Buffer.isBuffer(request.body) && request.body.length > 0 ? request.body : undefined;
    const forwarded = Object.entries(request.headers).filter(([name]) => !NON_FORWARDED_HEADERS.has(name));
    const accountHeaders = accountHeadersFor(access);
    const work = {
      kind: 'service',
      method: request.method,
      path: poolAndPath.slice(slash),
      headers: { ...withoutCredential(forwarded, access), ...accountHeaders },
      body,
    } as const;
    const answer = await this._requests.run({
      ...toCallerRequest(reply, pool, headers.value, access),
      kind: 'service',
      work,
    });
    sendComplete(reply, answer);
  }

  /** Returns the caller's access, or sends a 401 and returns undefined. */
  private _checkAccess(reply: FastifyReply, headers: CallerHeaders): Access | undefined {
    const access = this._accounts.access(credentialOf(headers.authorization));
    if (access.kind !== 'denied') return access;
    void reply
      .status(UNAUTHORIZED)
      .header(OUTCOME_HEADER, 'not-run')
      .header(REASON_HEADER, access.reason)
      .header('www-authenticate', 'Bearer')
      .send({ error: access.reason });
    return undefined;
  }

  private _rejectBadRequest(reply: FastifyReply, text: string): void {
    this._metrics.badInput.inc({ listener: 'callers' });
    void reply
      .status(400)
      .header(OUTCOME_HEADER, 'not-run')
      .header(REASON_HEADER, 'bad-request')
      .send({ error: text });
  }
}

/** Returns the header that names the caller's account to a service. */
function accountHeadersFor(access: Access): Readonly<Record<string, string>> {
  return access.kind === 'granted' ? { [CALLER_HEADER]: access.accountName } : {};
}

/** Removes the caller's credential, unless accounts are disabled and the service may check it itself. */
function withoutCredential(
  headers: readonly (readonly [string, unknown])[],
  access: Access,
): Readonly<Record<string, string>> {
  const allowed = headers.filter(([name]) => access.kind === 'unmanaged' || name !== 'authorization');
  return Object.fromEntries(allowed.map(([name, value]) => [name, String(value)]));
}

function toCallerRequest(
  reply: FastifyReply,
  pool: string,
  headers: CallerHeaders,
  access: Access,
): Omit<CallerRequest, 'kind' | 'work'> {
  const left = new AbortController();
  reply.raw.on('close', () => {
    if (!reply.raw.writableFinished) left.abort();
  });
  return {
    pool,
    caller: access.kind === 'granted' ? access.accountName : headers['fuchsiahitch-caller'],
    house: headers['fuchsiahitch-house'],
    priority: headers['fuchsiahitch-priority'],
    timeoutMs: headers['fuchsiahitch-timeout-ms'],
    key: headers['idempotency-key'],
    trace: headers.traceparent,
    left: left.signal,
  };
}

function outcomeHeaders(answer: CallerAnswer): Record<string, string> {
  const { outcome } = answer;
  const headers: Record<string, string> = {
    [OUTCOME_HEADER]: outcome.kind,
    [REVISION_HEADER]: String(answer.revision),
  };
  if (outcome.kind !== 'completed' && outcome.kind !== 'failed') {
    headers[REASON_HEADER] = reasonOf(outcome);
    headers['retry-after'] = String(Math.ceil(outcome.retryAfterMs / MS_PER_SECOND));
  }
  return headers;
}

function sendComplete(reply: FastifyReply, answer: CallerAnswer): void {
  void reply.status(answer.answer?.status ?? statusOf(answer.outcome)).headers(outcomeHeaders(answer));
  if (answer.answer) void reply.header('content-type', answer.answer.contentType).send(answer.answer.body);
  else void reply.send({ outcome: answer.outcome.kind, reason: answer.ruleText ?? reasonOf(answer.outcome) });
}

interface Chunk {
  readonly text: string;
  readonly tokens: number;
  readonly version: number | undefined;
}

/** Buffers a completion and sends it as one response. */
class BufferedCompletion {
  private _text = '';
  private _tokens = 0;
  private readonly _versions = new Set<number>();

  readonly onChunks = (chunks: readonly Chunk[]): void => {
    for (const chunk of chunks) {
      this._text += chunk.text;
      this._tokens += chunk.tokens;
      if (chunk.version !== undefined) this._versions.add(chunk.version);
    }
  };

  finish(reply: FastifyReply, answer: CallerAnswer): void {
    if (answer.outcome.kind !== 'completed') {
      sendComplete(reply, answer);
      return;
    }
    void reply
      .status(answer.outcome.status)
      .headers(outcomeHeaders(answer))
      .send({
        choices: [{ index: 0, text: this._text, finish_reason: 'stop' }],
        usage: { completion_tokens: this._tokens },
        weight_versions: [...this._versions],
      });
  }
}

/**
 * Streams a completion to the caller as server-sent events. A slow caller pauses the engine's stream, so that this host
 * buffers no more than the socket does.
 */
class StreamedCompletion {
  private readonly _reply: FastifyReply;
  private _hasStarted = false;

  constructor(reply: FastifyReply) {
    this._reply = reply;
  }

  readonly onChunks = async (chunks: readonly Chunk[]): Promise<void> => {
    this._writeHead();
    let text = '';
    for (const chunk of chunks) {
      const event = {
        choices: [{ index: 0, text: chunk.text }],
        tokens: chunk.tokens,
        weight_version: chunk.version,
      };
      text += `data: ${JSON.stringify(event)}\n\n`;
    }
    const { raw } = this._reply;
    if (raw.write(text) || raw.destroyed) return;
    await new Promise<void>(resolve => {
      raw.once('drain', resolve);
      raw.once('close', resolve);
    });
  };

  finish(reply: FastifyReply, answer: CallerAnswer): void {
    if (!this._hasStarted && answer.outcome.kind !== 'completed') {
      sendComplete(reply, answer);
      return;
    }
    this._writeHead();
    const { outcome } = answer;
    const last = {
      choices: [],
      outcome: outcome.kind,
      reason: reasonOf(outcome),
      rules_revision: answer.revision,
    };
    const { raw } = this._reply;
    raw.write(`data: ${JSON.stringify(last)}\n\n`);
    // Sent only after a complete answer, so that callers can detect truncation.
    if (outcome.kind === 'completed') raw.write('data: [DONE]\n\n');
    raw.end();
  }

  private _writeHead(): void {
    if (this._hasStarted) return;
    this._hasStarted = true;
    this._reply.hijack();
    this._reply.raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
  }
}
