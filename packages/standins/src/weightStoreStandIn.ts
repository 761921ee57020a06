/**
 * The weight store: allows a number of loads a second and refuses the others.
 */
import { StandIn } from './standIn.js';

const MS_A_SECOND = 1000;

export class WeightStoreStandIn extends StandIn {
  private readonly _loadsPerSecond: number;
  private _recentMs: number[] = [];
  private _refused = 0;

  constructor(loadsPerSecond: number) {
    super();
    this._loadsPerSecond = loadsPerSecond;
    this.server.post('/load', (_request, reply) => {
      const nowMs = performance.now();
      this._recentMs = this._recentMs.filter(atMs => nowMs - atMs < MS_A_SECOND);
      if (this._recentMs.length >= this._loadsPerSecond) {
        this._refused += 1;
        return reply.status(429).send({ error: 'over the rate' });
      }
      this._recentMs.push(nowMs);
      return reply.send({});
    });
    this.server.get('/counts', () => ({ refused: this._refused }));
  }

  get refused(): number {
    return this._refused;
  }
}
