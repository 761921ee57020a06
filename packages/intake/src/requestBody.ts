/**
 * Receives the body of a caller's request within the limits on all clients.
 *
 * Chunks are taken from the moment at which the request arrives: those that waited in the request's stream would each cost
 * hundreds of times their size. Of a large body only the beginning is received until its request is known to need it.
 */
import type http from 'node:http';
import { BodyBuffer, ReadPace, type ClientLimits } from '@fuchsiahitch/limits';

/** Why a body was not received: over the size limit, or the caller left. */
export type BodyFailure = 'too-large' | 'left';
/** What is received before the request is known to need its body. */
const FIRST_BYTES = 65_536;
type BodyResult = Buffer | BodyFailure;

const NO_BODY = Buffer.alloc(0);

export class RequestBody {
  private readonly _request: http.IncomingMessage;
  private readonly _limits: ClientLimits;
  private readonly _maxBytes: number;
  /** Undefined for a body of unknown length. */
  private readonly _announcedBytes: number | undefined;
  private readonly _pace: ReadPace;
  private readonly _body: BodyBuffer;
  private _result: BodyResult | undefined;
  private _settled: ((result: BodyResult) => void) | undefined;
  private _isWanted = false;

  /** Must be created when the request arrives. `release` must be called when the request has ended. */
  constructor(request: http.IncomingMessage, limits: ClientLimits, maxBytes: number) {
    this._request = request;
    this._limits = limits;
    this._maxBytes = maxBytes;
    this._announcedBytes = announcedBytesOf(request);
    this._pace = new ReadPace(request.socket);
    const announcedBytes = this._announcedBytes && Math.min(this._announcedBytes, maxBytes);
    this._body = new BodyBuffer(announcedBytes, maxBytes);
    if (this._announcedBytes === 0) this._result = NO_BODY;
    if (this._announcedBytes !== 0) this._receive();
  }

  /** Resolves with the whole body. */
  async read(): Promise<BodyResult> {
    this._isWanted = true;
    if (this._result !== undefined) return this._result;
    if (this._request.socket.isPaused()) this._request.socket.resume();
    return new Promise(resolve => {
      this._settled = resolve;
    });
  }

  /** Drops the body and what still arrives of it: unread bytes would reset the connection under the answer. */
  discard(): void {
    this._finish('left');
    if (this._request.socket.isPaused()) this._request.socket.resume();
  }

  release(): void {
    this._body.drop();
  }

  private _receive(): void {
    const { _request: request, _limits: limits } = this;
    request.on('data', (chunk: Buffer) => {
      limits.turns.read(this._pace, chunk.length);
      if (this._result === undefined) this._add(chunk);
    });
    request.on('end', () => {
      this._pace.end();
      if (this._result === undefined) this._finish(this._body.whole());
    });
    // Without a listener, the error of a caller that left would end the process.
    request.on('error', () => undefined);
    request.on('close', () => {
      this._pace.end();
      this._finish('left');
    });
  }

  private _add(chunk: Buffer): void {
    const capacityBytes = this._body.capacityWith(chunk.length);
    if (capacityBytes > this._maxBytes) return this._finish('too-large');
    this._body.add(chunk);
    if (!this._isWanted && this._body.sizeBytes() >= FIRST_BYTES) this._request.socket.pause();
  }

  private _finish(result: BodyResult): void {
    if (this._result !== undefined) return;
    this._result = result;
    if (typeof result === 'string') this._body.drop();
    this._settled?.(result);
  }
}

/** The announced length; undefined if the body is chunked. A request without either header has no body. */
function announcedBytesOf({ headers }: http.IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
