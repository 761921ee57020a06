/**
 * A weight store that limits the number of loads per second.
 */
import { StandIn } from './standIn.js';

const MS_PER_SECOND = 1000;

export class WeightStoreStandIn extends StandIn {
  private readonly _loadsPerSecond: number;
  private _recentLoadsMs: number[] = [];
  private _refused = 0;

  constructor(loadsPerSecond: number) {
    super();
    this._loadsPerSecond = loadsPerSecond;
    this.server.post('/load', (_request, reply) => {
      const nowMs = performance.now();
      this._recentLoadsMs = this._recentLoadsMs.filter(atMs => nowMs - atMs < MS_PER_SECOND);
      if (this._recentLoadsMs.length >= this._loadsPerSecond) {
        this._refused += 1;
        return reply.status(429).send({ error: 'over the rate' });
      }
      this._recentLoadsMs.push(nowMs);
      return reply.send({});
    });
    this.server.get('/counts', () => ({ refused: this._refused }));
  }

  /** Number of refused loads. */
  get refused(): number {
    return this._refused;
  }
}
