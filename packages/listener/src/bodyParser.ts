/**
 * Receives request bodies for fastify within the limits on clients. Bodies are not parsed here: service calls are passed on
 * unchanged, all others are validated by schemas.
 */
import type http from 'node:http';
import { RequestBody, type BodyFailure } from '@fuchsiahitch/intake';
import type { ClientLimit, ClientLimits } from '@fuchsiahitch/limits';

/** An error that fastify answers with its status. */
class BodyError extends Error {
  readonly statusCode: number;

  constructor(failure: BodyFailure, statusCode: number) {
    super(`body not received: ${failure}`);
    this.statusCode = statusCode;
  }
}

const REFUSALS: Readonly<
  Record<Exclude<BodyFailure, 'left'>, { readonly status: number; readonly limit: ClientLimit }>
> = {
  'too-large': { status: 413, limit: 'body-size' },
  'no-memory': { status: 503, limit: 'body-memory' },
  stalled: { status: 408, limit: 'body-stalled' },
  timeout: { status: 408, limit: 'body-timeout' },
};

export class BodyParser {
  private readonly _limits: ClientLimits;
  private readonly _maxBytes: number;
  private readonly _bodies = new WeakMap<http.IncomingMessage, RequestBody>();

  constructor(limits: ClientLimits, maxBytes: number) {
    this._limits = limits;
    this._maxBytes = maxBytes;
  }

  /** Resolves with the whole body, which is held until `release`. Throws an error with the status of the refusal. */
  async parse(request: http.IncomingMessage): Promise<Buffer> {
    const body = new RequestBody(request, this._limits, this._maxBytes);
    this._bodies.set(request, body);
    const { socket } = request;
    socket.once('close', () => body.release());
    const result = await body.read();
    if (typeof result !== 'string') return result;
    body.discard();
    if (result === 'left') throw new BodyError(result, 400);
    const { status, limit } = REFUSALS[result];
    this._limits.report.refused(limit, socket.remoteAddress ?? '');
    throw new BodyError(result, status);
  }

  /** Releases the body of a request that was answered. */
  release(request: http.IncomingMessage): void {
    this._bodies.get(request)?.release();
  }
}
