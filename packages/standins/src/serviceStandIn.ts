/**
 * A plain service for seat holds. Counts executions per idempotency key, so that tests can detect repeated ones.
 */
import type { FastifyReply, FastifyRequest } from 'fastify';
import { pause } from './faults.js';
import { StandIn } from './standIn.js';

export interface ServiceOptions {
  /** Duration of a seat hold request. */
  readonly executionMs: number;
  readonly id: string;
}

export class ServiceStandIn extends StandIn {
  /** Request headers of each lookup. */
  readonly lookups: Readonly<Record<string, unknown>>[] = [];
  private readonly _executionCounts = new Map<string, number>();
  private readonly _options: ServiceOptions;
  private _isLeaving = false;

  constructor(options: Partial<ServiceOptions> = {}) {
    super();
    this._options = { executionMs: 5, id: 'service', ...options };
    this.server.post('/holds', (request, reply) => this._hold(request, reply));
    this.server.get('/listings', request => {
      this.lookups.push(request.headers);
      return { listings: ['dark-sky-tour', 'quest-pack'] };
    });
    this.server.get('/runs', () => Object.fromEntries(this._executionCounts));
    this.server.post('/leave', () => {
      this._isLeaving = true;
      return {};
    });
  }

  /** Number of executions per idempotency key. */
  get executionCounts(): ReadonlyMap<string, number> {
    return this._executionCounts;
  }

  private async _hold(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    if (this._isLeaving || this.faults.consume('refuse')) {
      const leaving = this._isLeaving ? { 'x-leaving': '1' } : {};
      await reply
        .status(503)
        .headers({ 'x-not-run': '1', ...leaving })
        .send({ error: 'not taken' });
      return;
    }
    const key = String(request.headers['idempotency-key'] ?? 'none');
    this._executionCounts.set(key, (this._executionCounts.get(key) ?? 0) + 1);
    await pause(this._options.executionMs);
    if (this.faults.consume('loseAnswers')) {
      reply.raw.socket?.destroy();
      return;
    }
    await reply.send({ hold: key, by: this._options.id });
  }
}
