/**
 * Client for engines with a completions API and server-sent events.
 */
import type { Deadline } from '@fuchsiahitch/base';
import { createParser } from 'eventsource-parser';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import type {
  EngineClient,
  EngineReport,
  GenerationChunk,
  GenerationResult,
  GenerationRequest,
  OrderAnswer,
} from './engine.js';
import {
  firstHeaderValue,
  isNotSentError,
  LEAVING_HEADER,
  NOT_RUN_HEADER,
  retryAfterMsOf,
} from './httpTools.js';
import { discardBody, readBody, readJson } from './responseBody.js';

const OK_STATUS = 200;
const CONFLICT = 409;
const SERVER_ERROR = 500;
const FINAL_EVENT = '[DONE]';
const MAX_REPORT_BYTES = 64 * 1024;
/** An event holds some tokens. */
const MAX_EVENT_BYTES = 1024 * 1024;

const eventSchema = z.object({
  choices: z
    .array(z.object({ text: z.string().default(''), finish_reason: z.string().nullish() }))
    .default([]),
  weight_version: z.number().int().optional(),
  tokens: z.number().int().default(1),
  usage: z.object({ completion_tokens: z.number().int() }).optional(),
});

const reportSchema = z.object({
  in_flight: z.number(),
  queued: z.number(),
  weight_version: z.number().int(),
  start_id: z.string(),
  leaving: z.boolean(),
});

export class HttpEngineClient implements EngineClient {
  private readonly _agent: Dispatcher;

  constructor(agent: Dispatcher) {
    this._agent = agent;
  }

  async generate(
    generation: GenerationRequest,
    onChunks: (chunks: readonly GenerationChunk[]) => Promise<void> | void,
    signal: AbortSignal,
  ): Promise<GenerationResult> {
    let response: Dispatcher.ResponseData;
    try {
      response = await this._send(generation, signal);
    } catch (thrown) {
      if (isNotSentError(thrown))
        return { kind: 'not-run', isUnreachable: true, isLeaving: false, retryAfterMs: 0 };
      return signal.aborted ? { kind: 'cancelled' } : { kind: 'broken' };
    }
    if (response.statusCode !== OK_STATUS) return refusalOf(response);
    try {
      return await readStream(response.body, onChunks, signal);
    } catch {
      return signal.aborted ? { kind: 'cancelled' } : { kind: 'broken' };
    }
  }

  async report(url: string, deadline: Deadline): Promise<EngineReport | undefined> {
    try {
      const signal = AbortSignal.timeout(Math.ceil(deadline.remainingMs()));
      const response = await request(`${url}/load`, { dispatcher: this._agent, signal });
      const parsed = reportSchema.safeParse(await readJson(response.body, MAX_REPORT_BYTES));
      if (!parsed.success) return undefined;
      const { in_flight, queued, weight_version, start_id, leaving } = parsed.data;
      return { inFlight: in_flight, queued, version: weight_version, startId: start_id, isLeaving: leaving };
    } catch {
      return undefined;
    }
  }

  async order(url: string, version: number, token: number, deadline: Deadline): Promise<OrderAnswer> {
    try {
      const response = await request(`${url}/orders`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ version, token }),
        dispatcher: this._agent,
        signal: AbortSignal.timeout(Math.ceil(deadline.remainingMs())),
      });
      await readBody(response.body, MAX_REPORT_BYTES);
      if (response.statusCode < SERVER_ERROR && response.statusCode !== CONFLICT) return 'accepted';
      return response.statusCode === CONFLICT ? 'fenced' : 'failed';
    } catch (thrown) {
      return isNotSentError(thrown) ? 'failed' : 'unknown';
    }
  }

  private async _send(generation: GenerationRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const { prompt, maxTokens, priority, requestId, resumeText, resumeTokens, trace } = generation;
    const body = {
      prompt,
      max_tokens: maxTokens,
      stream: true,
      priority,
      request_id: requestId,
      ...(resumeTokens > 0 ? { resume_text: resumeText, resume_tokens: resumeTokens } : {}),
    };
    return request(`${generation.url}/v1/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...(trace === undefined ? {} : { traceparent: trace }) },
      body: JSON.stringify(body),
      dispatcher: this._agent,
      signal,
    });
  }
}

function refusalOf(response: Dispatcher.ResponseData): GenerationResult {
  const isNotRun = firstHeaderValue(response.headers, NOT_RUN_HEADER) !== '';
  const isLeaving = firstHeaderValue(response.headers, LEAVING_HEADER) !== '';
  const retryAfterMs = retryAfterMsOf(response.headers);
  discardBody(response.body);
  if (isNotRun) return { kind: 'not-run', isUnreachable: false, isLeaving, retryAfterMs };
  return { kind: 'failed', status: response.statusCode };
}

/** Returns `broken` for a stream that ends without the final event. */
async function readStream(
  body: AsyncIterable<Buffer>,
  onChunks: (chunks: readonly GenerationChunk[]) => Promise<void> | void,
  signal: AbortSignal,
): Promise<GenerationResult> {
  const pendingEvents: string[] = [];
  const parser = createParser({ onEvent: event => pendingEvents.push(event.data) });
  const decoder = new TextDecoder();
  let tokens = 0;
  let finishReason = '';
  let bytesSinceEvent = 0;
  for await (const bytes of body) {
    if (signal.aborted) return { kind: 'cancelled' };
    bytesSinceEvent += bytes.length;
    parser.feed(decoder.decode(bytes, { stream: true }));
    if (pendingEvents.length > 0) bytesSinceEvent = 0;
    if (bytesSinceEvent > MAX_EVENT_BYTES) return { kind: 'broken' };
    const chunks: GenerationChunk[] = [];
    let isDone = false;
    for (const data of pendingEvents.splice(0)) {
      if (data === FINAL_EVENT) {
        isDone = true;
        break;
      }
      const event = eventSchema.parse(JSON.parse(data));
      const [choice] = event.choices;
      if (event.usage) tokens = event.usage.completion_tokens;
      if (choice?.finish_reason) finishReason = choice.finish_reason;
      if (choice && choice.text !== '') {
        chunks.push({ text: choice.text, tokens: event.tokens, version: event.weight_version });
      }
    }
    // One call per read instead of per token.
    if (chunks.length > 0) await onChunks(chunks);
    if (isDone) return { kind: 'done', tokens, finishReason };
  }
  return { kind: 'broken' };
}
