/**
 * A model engine that streams tokens with their weight versions, reports its load with a delay, and loads weights.
 */
import type { FastifyReply, FastifyRequest } from 'fastify';
import { hash32 } from '@fuchsiahitch/base';
import * as z from 'zod';
import { pause } from './faults.js';
import { StandIn } from './standIn.js';

const completionSchema = z.object({
  prompt: z.string(),
  max_tokens: z.number().int(),
  priority: z.enum(['high', 'normal', 'low']).default('normal'),
  resume_text: z.string().default(''),
  resume_tokens: z.number().int().default(0),
});
const orderSchema = z.object({ version: z.number().int(), token: z.number() });

export interface EngineOptions {
  readonly id: string;
  /** Number of concurrent generations. Others are queued, high priority first. */
  readonly slots: number;
  /** Milliseconds per token. */
  readonly tokenMs: number;
  readonly meanTokens: number;
  /** Duration of a weight load. */
  readonly swapMs: number;
  /** Minimum age of the reported load. */
  readonly reportLagMs: number;
  /** Whether orders with a stale fencing token are refused. */
  readonly checksFencing: boolean;
  /** URL of the weight store that must permit each load; empty for none. */
  readonly weightStoreUrl: string;
}

export const engineDefaults: EngineOptions = {
  id: 'engine',
  slots: 8,
  tokenMs: 5,
  meanTokens: 20,
  swapMs: 300,
  reportLagMs: 500,
  checksFencing: true,
  weightStoreUrl: '',
};

interface LoadSample {
  readonly in_flight: number;
  readonly queued: number;
}

interface QueuedGeneration {
  readonly isHighPriority: boolean;
  readonly start: () => void;
}

const VOCABULARY = ['sky', 'star', 'night', 'moon', 'quest', 'forge', 'tale', 'wind', 'river', 'stone'];
const LONG_ANSWER_INTERVAL = 10;
const LONG_ANSWER_FACTOR = 5;

/** Returns the number of tokens of an answer. Deterministic; one prompt in ten has an answer five times as long. */
export function answerLength(prompt: string, meanTokens: number, maxTokens: number): number {
  const hash = hash32(prompt);
  const isLong = hash % LONG_ANSWER_INTERVAL === 0;
  const length = 1 + (hash32(`${prompt}/length`) % (2 * meanTokens));
  return Math.min(maxTokens, isLong ? LONG_ANSWER_FACTOR * length : length);
}

/** Returns token `index` of an answer. Deterministic, so that tests can detect duplicated and missing tokens. */
export function answerToken(prompt: string, index: number): string {
  return `${VOCABULARY[hash32(`${prompt}/${index}`) % VOCABULARY.length] ?? ''}${index} `;
}

export class EngineStandIn extends StandIn {
  readonly startId = String(Date.now() + Math.random());
  private readonly _options: EngineOptions;
  private readonly _queue: QueuedGeneration[] = [];
  private readonly _loadSamples: LoadSample[] = [];
  private _runningCount = 0;
  private _version = 1;
  private _highestFencingToken = 0;
  private _isLeaving = false;
  private _isSwapping = false;
  private _completions = 0;

  constructor(options: Partial<EngineOptions> = {}) {
    super();
    this._options = { ...engineDefaults, ...options };
    this.server.post('/v1/completions', (request, reply) => this._complete(request, reply));
    this.server.get('/load', () => this._report());
    this.server.post('/orders', (request, reply) => this._order(request, reply));
    this.server.post('/leave', () => {
      this.leave();
      return {};
    });
    this.repeat(Math.max(10, this._options.reportLagMs), () => this._sampleLoad());
  }

  get version(): number {
    return this._version;
  }

  /** Number of completions started. */
  get completions(): number {
    return this._completions;
  }

  /** Drains the engine: running completions continue, new ones are refused. */
  leave(): void {
    this._isLeaving = true;
  }

  private async _complete(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const completion = completionSchema.parse(request.body);
    if (completion.prompt.includes('poison')) {
      await reply.status(400).send({ error: 'this prompt cannot be generated' });
      return;
    }
    if (this._isLeaving || this.faults.consume('refuse')) {
      const leaving = this._isLeaving ? { 'x-leaving': '1' } : {};
      await reply
        .status(503)
        .headers({ 'x-not-run': '1', ...leaving })
        .send({ error: 'not taken' });
      return;
    }
    let isClosed = false;
    reply.raw.on('close', () => {
      isClosed = true;
    });
    await this._acquireSlot(completion.priority === 'high');
    this._completions += 1;
    try {
      await this._stream(completion, reply, () => isClosed);
    } finally {
      this._releaseSlot();
    }
  }

  private async _stream(
    completion: z.infer<typeof completionSchema>,
    reply: FastifyReply,
    isClosed: () => boolean,
  ): Promise<void> {
    const { raw } = reply;
    reply.hijack();
    raw.writeHead(200, { 'content-type': 'text/event-stream' });
    const { prompt, max_tokens: maxTokens, resume_tokens: from } = completion;
    const length = answerLength(prompt, this._options.meanTokens, maxTokens);
    const { breakAfterTokens } = this.faults.current;
    for (let i = from; i < length && !isClosed(); i++) {
      while (this._isSwapping && !isClosed()) await pause(this._options.tokenMs);
      await pause(this._options.tokenMs);
      if (breakAfterTokens > 0 && i - from >= breakAfterTokens) {
        raw.destroy();
        return;
      }
      const event = { choices: [{ text: answerToken(prompt, i) }], tokens: 1, weight_version: this._version };
      raw.write(`data: ${JSON.stringify(event)}\n\n`);
    }
    const last = {
      choices: [{ text: '', finish_reason: 'stop' }],
      tokens: 0,
      usage: { completion_tokens: Math.max(length, from) },
    };
    raw.write(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
    raw.end();
  }

  private async _acquireSlot(isHighPriority: boolean): Promise<void> {
    if (this._runningCount < this._options.slots) {
      this._runningCount += 1;
      return;
    }
    await new Promise<void>(resolve => this._queue.push({ isHighPriority, start: resolve }));
  }

  private _releaseSlot(): void {
    const highPriority = this._queue.findIndex(waiting => waiting.isHighPriority);
    const [next] = this._queue.splice(Math.max(0, highPriority), 1);
    if (next) next.start();
    else this._runningCount -= 1;
  }

  private _sampleLoad(): void {
    this._loadSamples.push({ in_flight: this._runningCount, queued: this._queue.length });
    if (this._loadSamples.length > 2) this._loadSamples.shift();
  }

  private _report(): unknown {
    const load = this._loadSamples[0] ?? { in_flight: 0, queued: 0 };
    return { ...load, weight_version: this._version, start_id: this.startId, leaving: this._isLeaving };
  }

  private async _order(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const { version, token } = orderSchema.parse(request.body);
    if (this._options.checksFencing && token < this._highestFencingToken) {
      await reply.status(409).send({ error: 'an order with a later fencing token came before' });
      return;
    }
    this._highestFencingToken = Math.max(this._highestFencingToken, token);
    if (this.faults.consume('failSwaps')) {
      await reply.status(500).send({ error: 'swap failed' });
      return;
    }
    void this._swap(version);
    await reply.status(202).send({});
  }

  private async _swap(version: number): Promise<void> {
    if (this.faults.current.areSwapsIgnored || version === this._version) return;
    if (!(await this._requestLoad())) return;
    this._isSwapping = true;
    await pause(this._options.swapMs);
    this._version = version;
    this._isSwapping = false;
  }

  /** Returns whether the weight store permits a load. Without permission, the load is dropped without an error. */
  private async _requestLoad(): Promise<boolean> {
    if (this._options.weightStoreUrl === '') return true;
    try {
      return (await fetch(`${this._options.weightStoreUrl}/load`, { method: 'POST' })).ok;
    } catch {
      return false;
    }
  }
}
