/**
 * A trainer that merely asks again: opens steps, takes chunks by cursor, counts what it got.
 */
import { request } from 'undici';
import {
  openReplySchema,
  takeReplySchema,
  type OpenReply,
  type Sample,
  type StepSpec,
  type TakeReply,
} from '@fuchsiahitch/steps';
import { pause } from './faults.js';

const RETRY_MS = 100;
const TIMEOUT_MS = 10_000;

export interface TrainerOptions {
  /** Trainers' listeners of entry hosts; each call goes to the next, as a balancer does. */
  readonly urls: readonly string[];
  readonly trainerVersion: () => number;
  readonly maxSamples: number;
  /** True for a trainer that sends the slots it holds. */
  readonly sendsHeld: boolean;
  readonly stepTimeoutMs: number;
}

/** What one step brought. */
export interface StepReport {
  readonly samples: readonly Sample[];
  readonly failedGroups: number;
  readonly isOver: boolean;
  readonly durationMs: number;
  readonly calls: number;
  readonly failedCalls: number;
  /** The trainer's version when each sample was handed over. */
  readonly versionsBehind: readonly number[];
}

export class Trainer {
  private readonly _options: TrainerOptions;
  private _next = 0;
  private _calls = 0;
  private _broken = 0;

  constructor(options: TrainerOptions) {
    this._options = options;
  }

  /** Runs one step to its end, or until the time is up. */
  async runStep(spec: StepSpec): Promise<StepReport> {
    const startMs = performance.now();
    this._calls = 0;
    this._broken = 0;
    const isLate = (): boolean => performance.now() - startMs > this._options.stepTimeoutMs;
    const samples: Sample[] = [];
    const versionsBehind: number[] = [];
    let generation = 0;
    let cursor = 0;
    let end: TakeReply | undefined;
    await this._open(spec, isLate);
    while (!end && !isLate()) {
      const version = this._options.trainerVersion();
      const reply = await this._take(spec, { cursor, generation, version, samples });
      if (!reply || reply.kind === 'wait') {
        await pause(reply ? Math.min(RETRY_MS, reply.retryAfterMs) : RETRY_MS);
      } else if (reply.kind === 'chunk') {
        samples.push(...reply.samples);
        versionsBehind.push(...reply.samples.map(sample => version - oldestOf(sample)));
        cursor += 1;
        generation = reply.generation;
      } else {
        end = reply;
      }
    }
    return {
      samples,
      failedGroups: end?.kind === 'over' ? end.failedGroups.length : 0,
      isOver: end?.kind === 'over',
      durationMs: performance.now() - startMs,
      calls: this._calls,
      failedCalls: this._broken,
      versionsBehind,
    };
  }

  /** Announces new weights. */
  async announce(pool: string, version: number): Promise<boolean> {
    return (await this._post('/v1/weights', { pool, version })) !== undefined;
  }

  private async _open(spec: StepSpec, isLate: () => boolean): Promise<void> {
    while (!isLate()) {
      const parsed = openReplySchema.safeParse(await this._post('/v1/steps', spec));
      const reply: OpenReply | undefined = parsed.success ? parsed.data : undefined;
      if (reply && reply.kind !== 'try-later') return;
      await pause(RETRY_MS);
    }
  }

  private async _take(
    spec: StepSpec,
    at: {
      readonly cursor: number;
      readonly generation: number;
      readonly version: number;
      readonly samples: readonly Sample[];
    },
  ): Promise<TakeReply | undefined> {
    const held = at.samples.map(sample => ({ from: sample.slot, to: sample.slot + 1 }));
    const body = {
      key: `${spec.trainer}/${spec.step}`,
      cursor: at.cursor,
      generation: at.generation,
      trainerVersion: at.version,
      maxSamples: this._options.maxSamples,
      ...(this._options.sendsHeld ? { held } : {}),
    };
    const parsed = takeReplySchema.safeParse(await this._post('/v1/steps/take', body));
    return parsed.success ? parsed.data : undefined;
  }

  /** One call to the next host; undefined when it broke or was refused. */
  private async _post(path: string, body: unknown): Promise<unknown> {
    const { urls } = this._options;
    const url = urls[this._next++ % urls.length] ?? '';
    this._calls += 1;
    try {
      const response = await request(`${url}${path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const text = await response.body.text();
      return response.statusCode === 200 ? (JSON.parse(text) as unknown) : undefined;
    } catch {
      this._broken += 1;
      return undefined;
    }
  }
}

function oldestOf(sample: Sample): number {
  return Math.min(...sample.spans.map(span => span.version));
}
