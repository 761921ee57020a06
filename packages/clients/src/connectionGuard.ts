/**
 * Ends a connection whose bytes bring no response forward: bytes that nobody asked for, or a head, a trailer or interim
 * responses without end. The HTTP client bounds the fields of each head only, and would read on until the time limit of
 * the request.
 */
import type { Socket } from 'node:net';
import { errors, type buildConnector } from 'undici';

/** Several heads of the largest size, and more than a connection reads ahead of a paused body. */
const MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024;

export class ConnectionGuard {
  private readonly _onRejected: () => void;
  private _socket: Socket | undefined;
  private _isWaiting = false;
  /** The socket's count of received bytes at the last progress. */
  private _bytesAtProgress = 0;

  /** `onRejected`: called when the guard ends a connection. */
  constructor(onRejected: () => void) {
    this._onRejected = onRejected;
  }

  /** Watches each socket before the HTTP client reads from it. */
  connector(connect: buildConnector.connector): buildConnector.connector {
    return (options, callback) => {
      connect(options, (...args) => {
        const [, socket] = args;
        if (socket) this._watch(socket);
        callback(...args);
      });
    };
  }

  /** A request was written, and its response is expected. */
  requestWritten(): void {
    this._isWaiting = true;
    this.progressed();
  }

  /** A part of the response was received: its final head, or data of its body. */
  progressed(): void {
    this._bytesAtProgress = this._socket?.bytesRead ?? 0;
  }

  /** The response is complete. Until the next request nothing is expected. */
  responseEnded(): void {
    this._isWaiting = false;
    this.progressed();
  }

  private _watch(socket: Socket): void {
    this._socket = socket;
    this._isWaiting = false;
    this._bytesAtProgress = 0;
    socket.on('readable', () => this._check(socket));
  }

  private _check(socket: Socket): void {
    const maxBytes = this._isWaiting ? MAX_BYTES_WITHOUT_PROGRESS : 0;
    if (socket.destroyed || socket.bytesRead - this._bytesAtProgress <= maxBytes) return;
    this._onRejected();
    const text = this._isWaiting ? 'bytes without end that are no response' : 'bytes that nobody asked for';
    socket.destroy(new errors.SocketError(text));
  }
}
