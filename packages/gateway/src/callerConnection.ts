/**
 * One connection of a caller.
 */
import type http from 'node:http';
import type net from 'node:net';
import type { LimitedConnection } from '@fuchsiahitch/limits';
import type { RequestBody } from '@fuchsiahitch/intake';

export interface IncomingRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Aborted when the caller disconnects before its answer is complete. */
  readonly left: AbortSignal;
  readonly body: RequestBody;
  /** On the clock of `performance.now()`. */
  readonly arrivedMs: number;
}

export class CallerConnection implements LimitedConnection {
  private readonly _socket: net.Socket;
  /** Answers a request. */
  private readonly _handle: (incoming: IncomingRequest) => Promise<void>;

  constructor(socket: net.Socket, handle: (incoming: IncomingRequest) => Promise<void>) {
    this._socket = socket;
    this._handle = handle;
  }

  get address(): string {
    return this._socket.remoteAddress ?? '';
  }

  receivedBytes(): number {
    return this._socket.bytesRead;
  }

  close(): void {
    this._socket.destroy();
  }

  /** Handles a request. Resolves when it is answered and the answer is delivered. */
  async received(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: RequestBody,
  ): Promise<void> {
    const disconnect = new AbortController();
    const closed = new Promise<void>(resolve => {
      response.once('close', () => {
        if (!response.writableFinished) disconnect.abort();
        resolve();
      });
    });
    await this._handle({ request, response, body, left: disconnect.signal, arrivedMs: performance.now() });
    await closed;
  }
}
