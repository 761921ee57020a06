/**
 * Receives the body of a caller's request within the limits on all clients.
 *
 * Chunks are taken from the moment at which the request arrives: those that waited in the request's stream would each cost
 * hundreds of times their size. Of a large body only the beginning is received until its request is known to need it.
 */
import type http from 'node:http';
import {
  BodyBuffer,
  ReadPace,
  SMALL_BODY_BYTES,
  type BodyEnd,
  type BodyReservation,
  type ClientLimits,
} from '@fuchsiahitch/limits';

/** Why a body was not received: over the size limit, no memory, ended by the host, or the caller left. */
export type BodyFailure = 'too-large' | 'no-memory' | 'left' | BodyEnd;
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
  private readonly _reservation: BodyReservation | undefined;
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
    this._body = new BodyBuffer(this._announcedBytes, maxBytes);
    if (this._announcedBytes === 0) this._result = NO_BODY;
    else if (this.isTooLarge()) this._result = 'too-large';
    else this._reservation = this._reserve();
    if (this._announcedBytes !== 0) this._receive();
  }

  isTooLarge(): boolean {
    return (this._announcedBytes ?? 0) > this._maxBytes;
  }

  /** True for a body that may be large: what can be answered without it should be. */
  isLarge(): boolean {
    return (this._announcedBytes ?? Infinity) > SMALL_BODY_BYTES;
  }

  /** Resolves with the whole body. */
  async read(): Promise<BodyResult> {
    this._isWanted = true;
    if (this._result !== undefined) return this._result;
    this._resume();
    return new Promise(resolve => {
      this._settled = resolve;
    });
  }

  /** Drops the body and what still arrives of it: unread bytes would reset the connection under the answer. */
  discard(): void {
    this._finish('left');
    this._resume();
  }

  release(): void {
    if (!this._reservation) return;
    const { sizeBytes } = this._reservation;
    if (sizeBytes > SMALL_BODY_BYTES) this._limits.garbage.released(sizeBytes);
    this._reservation.release();
  }

  private _reserve(): BodyReservation | undefined {
    const sizeBytes = this._body.capacityBytes();
    const reservation = this._limits.bodies.reserve(sizeBytes, reason => this._finish(reason));
    if (!reservation) this._result = 'no-memory';
    return reservation;
  }

  private _receive(): void {
    const { _request: request, _limits: limits } = this;
    request.on('data', (chunk: Buffer) => {
      limits.turns.read(this._pace, chunk.length);
      if (this.isLarge()) limits.garbage.passed(chunk.length);
      if (this._result === undefined) this._add(chunk);
    });
    request.on('end', () => {
      this._pace.end();
      if (this._result !== undefined) return;
      this._reservation?.complete();
      this._finish(this._body.whole());
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
    if (capacityBytes > this._body.capacityBytes()) {
      this._limits.garbage.beforeAllocating(capacityBytes);
      if (!this._reservation?.resize(capacityBytes)) return this._finish('no-memory');
    }
    this._body.add(chunk);
    this._reservation?.received(chunk.length);
    if (!this._isWanted && this._body.sizeBytes() >= SMALL_BODY_BYTES) this._request.socket.pause();
  }

  private _resume(): void {
    const { socket } = this._request;
    if (socket.isPaused()) socket.resume();
  }

  private _finish(result: BodyResult): void {
    if (this._result !== undefined) return;
    this._result = result;
    if (typeof result === 'string') {
      this.release();
      this._body.drop();
    }
    // The body may have become complete in the read after which its connection was paused.
    this._resume();
    this._settled?.(result);
  }
}

/** The announced length; undefined if the body is chunked. A request without either header has no body. */
function announcedBytesOf({ headers }: http.IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
