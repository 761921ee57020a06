/**
 * A trainer that opens steps, fetches chunks by cursor and retries failed calls.
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

const RETRY_DELAY_MS = 100;
const TIMEOUT_MS = 10_000;

export interface TrainerOptions {
  /** Trainer listeners of the entry hosts, called in round-robin order. */
  readonly urls: readonly string[];
  readonly trainerVersion: () => number;
  readonly maxSamples: number;
  /** Whether the trainer reports the slots whose samples it has received. */
  readonly reportsHeldSlots: boolean;
  readonly stepTimeoutMs: number;
}

/** Result of one step. */
export interface StepReport {
  readonly samples: readonly Sample[];
  readonly failedGroups: number;
  readonly isOver: boolean;
  readonly durationMs: number;
  readonly calls: number;
  readonly failedCalls: number;
  /** For each sample, the trainer's version at delivery minus the oldest version of the sample's tokens. */
  readonly versionsBehind: readonly number[];
}

export class Trainer {
  private readonly _options: TrainerOptions;
  private _nextUrl = 0;
  private _calls = 0;
  private _failedCalls = 0;

  constructor(options: TrainerOptions) {
    this._options = options;
  }

  /** Runs one step until it ends or `stepTimeoutMs` has passed. */
  async runStep(spec: StepSpec): Promise<StepReport> {
    const startMs = performance.now();
    this._calls = 0;
    this._failedCalls = 0;
    const hasTimedOut = (): boolean => performance.now() - startMs > this._options.stepTimeoutMs;
    const samples: Sample[] = [];
    const versionsBehind: number[] = [];
    let generation = 0;
    let cursor = 0;
    let end: TakeReply | undefined;
    await this._open(spec, hasTimedOut);
    while (!end && !hasTimedOut()) {
      const version = this._options.trainerVersion();
      const reply = await this._take(spec, { cursor, generation, version, samples });
      if (!reply || reply.kind === 'wait') {
        await pause(reply ? Math.min(RETRY_DELAY_MS, reply.retryAfterMs) : RETRY_DELAY_MS);
      } else if (reply.kind === 'chunk') {
        samples.push(...reply.samples);
        versionsBehind.push(...reply.samples.map(sample => version - oldestVersion(sample)));
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
      failedCalls: this._failedCalls,
      versionsBehind,
    };
  }

  /** Announces new weights. Returns whether the host accepted the call. */
  async announce(pool: string, version: number): Promise<boolean> {
    return (await this._post('/v1/weights', { pool, version })) !== undefined;
  }

  private async _open(spec: StepSpec, hasTimedOut: () => boolean): Promise<void> {
    while (!hasTimedOut()) {
      const parsed = openReplySchema.safeParse(await this._post('/v1/steps', spec));
      const reply: OpenReply | undefined = parsed.success ? parsed.data : undefined;
      if (reply && reply.kind !== 'try-later') return;
      await pause(RETRY_DELAY_MS);
    }
  }

  private async _take(
    spec: StepSpec,
    position: {
      readonly cursor: number;
      readonly generation: number;
      readonly version: number;
      readonly samples: readonly Sample[];
    },
  ): Promise<TakeReply | undefined> {
    const held = position.samples.map(sample => ({ from: sample.slot, to: sample.slot + 1 }));
    const body = {
      key: `${spec.trainer}/${spec.step}`,
      cursor: position.cursor,
      generation: position.generation,
      trainerVersion: position.version,
      maxSamples: this._options.maxSamples,
      ...(this._options.reportsHeldSlots ? { held } : {}),
    };
    const parsed = takeReplySchema.safeParse(await this._post('/v1/steps/take', body));
    return parsed.success ? parsed.data : undefined;
  }

  /** Calls the next host in round-robin order. Returns undefined if the connection failed or the status was not 200. */
  private async _post(path: string, body: unknown): Promise<unknown> {
    const { urls } = this._options;
    const url = urls[this._nextUrl++ % urls.length] ?? '';
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
      this._failedCalls += 1;
      return undefined;
    }
  }
}

function oldestVersion(sample: Sample): number {
  return Math.min(...sample.spans.map(span => span.version));
}
