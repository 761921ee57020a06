/**
 * Faults that a stand-in takes by request: `POST /faults` with a JSON body replaces the faults in force.
 */
import type { FastifyInstance } from 'fastify';
import * as z from 'zod';

export const faultsSchema = z
  .strictObject({
    /** No call is answered: connections are cut. */
    isDown: z.boolean().default(false),
    /** Each call is answered this much later. */
    delayMs: z.number().int().min(0).default(0),
    /** This many calls take effect, and their answers are lost. */
    loseAnswers: z.number().int().min(0).default(0),
    /** Watches stay open and report nothing. */
    areWatchesSilent: z.boolean().default(false),
    /** This many weight loads fail. */
    failSwaps: z.number().int().min(0).default(0),
    /** Weight loads end without a word and without effect. */
    areSwapsIgnored: z.boolean().default(false),
    /** Every call is answered at once with this status; 0 for none. */
    failStatus: z.number().int().min(0).max(599).default(0),
    /** Streams break after this many tokens; 0 for never. */
    breakAfterTokens: z.number().int().min(0).default(0),
    /** This many requests are refused before they run, as a busy endpoint does. */
    refuse: z.number().int().min(0).default(0),
  })
  .readonly();
export type Faults = z.infer<typeof faultsSchema>;

/** The faults of one stand-in. */
export class FaultControl {
  private _faults: Faults = faultsSchema.parse({});

  get current(): Faults {
    return this._faults;
  }

  set(faults: Partial<Faults>): void {
    this._faults = faultsSchema.parse(faults);
  }

  /** Uses up one of a counted fault. */
  consume(kind: 'loseAnswers' | 'failSwaps' | 'refuse'): boolean {
    if (this._faults[kind] === 0) return false;
    this._faults = { ...this._faults, [kind]: this._faults[kind] - 1 };
    return true;
  }

  /** Serves `POST /faults`, and applies the faults that concern every call. */
  install(server: FastifyInstance): void {
    server.post('/faults', (request, reply) => {
      const parsed = faultsSchema.safeParse(request.body);
      if (!parsed.success) return reply.status(400).send({ error: parsed.error.message });
      this._faults = parsed.data;
      return reply.send(this._faults);
    });
    server.addHook('onRequest', async (request, reply) => {
      if (request.url === '/faults') return;
      if (this._faults.isDown) request.raw.socket.destroy();
      else if (this._faults.failStatus > 0)
        await reply.status(this._faults.failStatus).send({ error: 'fault' });
      else if (this._faults.delayMs > 0) await pause(this._faults.delayMs);
    });
  }
}

/** Waits in real time: a stand-in plays the part of something outside. */
export async function pause(durationMs: number): Promise<void> {
  await new Promise<void>(resolve => setTimeout(resolve, durationMs));
}
