/**
 * Client for services that score samples. Scores are stored by sample, so that a lost response can be looked up.
 */
import type { Deadline } from '@fuchsiahitch/base';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import { isNotSentError } from './httpTools.js';
import { readBody } from './responseBody.js';

export interface ScoreRequest {
  readonly sampleId: string;
  readonly prompt: string;
  readonly text: string;
}

/** `not-scored`: no score exists. `unknown`: one may exist. */
export type ScoreResult =
  | { readonly kind: 'scored'; readonly score: number }
  | { readonly kind: 'not-scored' }
  | { readonly kind: 'unknown' };

export interface Scorer {
  score(sample: ScoreRequest, deadline: Deadline): Promise<ScoreResult>;
  /** Looks up the score of a sample whose response was lost. */
  find(sampleId: string, deadline: Deadline): Promise<ScoreResult>;
}

const OK_STATUS = 200;
const MAX_SCORE_BYTES = 64 * 1024;
const NOT_FOUND = 404;
const scoreSchema = z.object({ score: z.number() });

export class HttpScorer implements Scorer {
  private readonly _url: string;
  private readonly _agent: Dispatcher;

  constructor(url: string, agent: Dispatcher) {
    this._url = url;
    this._agent = agent;
  }

  async score(sample: ScoreRequest, deadline: Deadline): Promise<ScoreResult> {
    const body = JSON.stringify({ sample_id: sample.sampleId, prompt: sample.prompt, text: sample.text });
    return this._request('POST', '/score', body, deadline);
  }

  async find(sampleId: string, deadline: Deadline): Promise<ScoreResult> {
    return this._request('GET', `/score/${encodeURIComponent(sampleId)}`, null, deadline);
  }

  private async _request(
    method: 'GET' | 'POST',
    path: string,
    body: string | null,
    deadline: Deadline,
  ): Promise<ScoreResult> {
    try {
      const response = await request(`${this._url}${path}`, {
        method,
        body,
        headers: { 'content-type': 'application/json' },
        dispatcher: this._agent,
        signal: AbortSignal.timeout(Math.ceil(deadline.remainingMs())),
      });
      const text = (await readBody(response.body, MAX_SCORE_BYTES)).toString('utf8');
      if (response.statusCode === NOT_FOUND) return { kind: 'not-scored' };
      if (response.statusCode !== OK_STATUS) return { kind: 'unknown' };
      const parsed = scoreSchema.safeParse(JSON.parse(text));
      return parsed.success ? { kind: 'scored', score: parsed.data.score } : { kind: 'unknown' };
    } catch (thrown) {
      return isNotSentError(thrown) && method === 'POST' ? { kind: 'not-scored' } : { kind: 'unknown' };
    }
  }
}
