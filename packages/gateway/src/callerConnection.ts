/**
 * One connection of a caller: the requests on it, in the order in which they arrived.
 */
import type http from 'node:http';
import type net from 'node:net';
import { SocketConnection, type RequestBody } from '@fuchsiahitch/intake';
import { ConnectionRequests, type RequestLimit } from '@fuchsiahitch/limits';

export interface IncomingRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Aborted when the caller disconnects before its answer is complete. */
  readonly left: AbortSignal;
  readonly body: RequestBody;
  /** On the clock of `performance.now()`. */
  readonly arrivedMs: number;
}

export interface CallerConnectionOptions {
  readonly limit: RequestLimit;
  /** Answers the request. */
  readonly handle: (incoming: IncomingRequest) => Promise<void>;
  /** Refuses the request without handling it, because there are too many. */
  readonly refuse: (incoming: IncomingRequest) => void;
  /** Told the caller's address when its connection is closed, because it has sent too many requests ahead. */
  readonly overrun: (address: string) => void;
}

export class CallerConnection extends SocketConnection {
  private readonly _options: CallerConnectionOptions;
  private readonly _requests: ConnectionRequests<IncomingRequest>;
  private readonly _disconnects = new Set<AbortController>();

  constructor(socket: net.Socket, options: CallerConnectionOptions) {
    super(socket);
    this._options = options;
    this._requests = new ConnectionRequests(options.limit);
    socket.once('close', () => this._closed());
  }

  /** Handles a request, now or when earlier ones have ended. Resolves when it is answered and the answer is delivered. */
  async received(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: RequestBody,
  ): Promise<void> {
    const disconnect = new AbortController();
    const incoming = { request, response, body, left: disconnect.signal, arrivedMs: performance.now() };
    this._disconnects.add(disconnect);
    await new Promise<void>(resolve => {
      response.once('close', () => {
        if (!response.writableFinished) disconnect.abort();
        this._disconnects.delete(disconnect);
        resolve();
      });
      disconnect.signal.addEventListener('abort', () => resolve());
      this._decide(incoming);
    });
  }

  private _decide(incoming: IncomingRequest): void {
    switch (this._requests.arrived(incoming)) {
      case 'run':
        void this._run(incoming);
        return;
      case 'wait':
        if (this._requests.isFull()) this.socket.pause();
        return;
      case 'refuse':
        this._options.refuse(incoming);
        incoming.body.release();
        return;
      case 'close':
        incoming.body.release();
        this._options.overrun(this.address);
        this.close();
        return;
    }
  }

  /** Runs the request, then those that wait, one after the other. */
  private async _run(first: IncomingRequest): Promise<void> {
    for (let next: IncomingRequest | undefined = first; next; next = this._requests.ended()) {
      if (!this._requests.isFull() && this.socket.isPaused()) this.socket.resume();
      await this._options.handle(next);
      await delivered(next);
    }
  }

  private _closed(): void {
    for (const { body } of this._requests.closed()) body.release();
    for (const disconnect of this._disconnects) disconnect.abort();
    this._disconnects.clear();
  }
}

/** Resolves when the answer has left the process or never will. */
async function delivered({ response, left }: IncomingRequest): Promise<void> {
  if (response.writableFinished || response.destroyed || left.aborted) return;
  await new Promise<void>(resolve => {
    response.once('close', resolve);
    left.addEventListener('abort', () => resolve());
  });
}
