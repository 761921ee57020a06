/**
 * Fault injection for stand-ins. `POST /faults` with a JSON body replaces the active faults.
 */
import type { FastifyInstance } from 'fastify';
import * as z from 'zod';

export const faultsSchema = z
  .strictObject({
    /** Closes the connection of every call. */
    isDown: z.boolean().default(false),
    /** Delays every call. */
    delayMs: z.number().int().min(0).default(0),
    /** Number of calls that take effect but get no response. */
    loseAnswers: z.number().int().min(0).default(0),
    /** Keeps watches open without sending events. */
    areWatchesSilent: z.boolean().default(false),
    /** Number of weight loads that fail. */
    failSwaps: z.number().int().min(0).default(0),
    /** Accepts weight loads without executing them. */
    areSwapsIgnored: z.boolean().default(false),
    /** Answers every call with this status; 0 for none. */
    failStatus: z.number().int().min(0).max(599).default(0),
    /** Breaks streams after this many tokens; 0 for never. */
    breakAfterTokens: z.number().int().min(0).default(0),
    /** Number of requests refused before execution, as by a busy endpoint. */
    refuse: z.number().int().min(0).default(0),
  })
  .readonly();
export type Faults = z.infer<typeof faultsSchema>;

export class FaultControl {
  private _faults: Faults = faultsSchema.parse({});

  get current(): Faults {
    return this._faults;
  }

  set(faults: Partial<Faults>): void {
    this._faults = faultsSchema.parse(faults);
  }

  /** Consumes one occurrence of a counted fault. Returns false if none remains. */
  consume(kind: 'loseAnswers' | 'failSwaps' | 'refuse'): boolean {
    if (this._faults[kind] === 0) return false;
    this._faults = { ...this._faults, [kind]: this._faults[kind] - 1 };
    return true;
  }

  /** Serves `POST /faults` and applies the faults that affect every call. */
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

/** Waits in real time; stand-ins do not use the virtual clock. */
export async function pause(durationMs: number): Promise<void> {
  await new Promise<void>(resolve => setTimeout(resolve, durationMs));
}
