/**
 * A scoring service that counts how often it scored each sample.
 */
import { hash32 } from '@fuchsiahitch/base';
import * as z from 'zod';
import { StandIn } from './standIn.js';

const scoreSchema = z.object({ sample_id: z.string(), prompt: z.string(), text: z.string() });
const SCORE_LEVELS = 1000;

export class ScorerStandIn extends StandIn {
  private readonly _scores = new Map<string, number>();
  private readonly _scoreCounts = new Map<string, number>();

  constructor() {
    super();
    this.server.post('/score', (request, reply) => {
      const { sample_id: sampleId, text } = scoreSchema.parse(request.body);
      const score = (hash32(text) % SCORE_LEVELS) / SCORE_LEVELS;
      this._scoreCounts.set(sampleId, (this._scoreCounts.get(sampleId) ?? 0) + 1);
      this._scores.set(sampleId, score);
      if (this.faults.consume('loseAnswers')) {
        reply.raw.socket?.destroy();
        return reply;
      }
      return reply.send({ score });
    });
    this.server.get('/score/:id', (request, reply) => {
      const { id } = z.object({ id: z.string() }).parse(request.params);
      const score = this._scores.get(id);
      return score === undefined ? reply.status(404).send({}) : reply.send({ score });
    });
    this.server.get('/runs', () => Object.fromEntries(this._scoreCounts));
  }

  /** Number of times each sample was scored. */
  get scoreCounts(): ReadonlyMap<string, number> {
    return this._scoreCounts;
  }
}
