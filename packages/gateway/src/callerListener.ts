/**
 * The HTTP server for callers, with the limits set by the configuration.
 *
 * Uses Node's HTTP server instead of fastify, which would answer unknown content types, methods and paths itself; here
 * they are passed on to the handler.
 */
import http from 'node:http';
import { listenAt, messageOf } from '@fuchsiahitch/base';
import { RequestBody } from '@fuchsiahitch/intake';
import type { ClientLimits } from '@fuchsiahitch/limits';
import type { Logger } from '@fuchsiahitch/telemetry';
import type { CallerLimits } from './ports.js';

/** Permissive limits for the time before a configuration is loaded. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Enforced by Node, whatever the configuration allows. */
const NODE_MAX_HEADER_BYTES = 262_144;
/** Added to the configured idle timeout, so that the server does not close a connection just as a request arrives. */
const KEEP_ALIVE_SLACK_MS = 2000;
const CONNECTION_CHECK_INTERVAL_MS = 500;

export interface IncomingRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Aborted when the caller disconnects before its answer is complete. */
  readonly left: AbortSignal;
  readonly body: RequestBody;
  /** On the clock of `performance.now()`. */
  readonly arrivedMs: number;
}

export interface CallerListenerOptions {
  readonly address: string;
  readonly log: Logger;
  readonly clientLimits: ClientLimits;
  readonly limits: () => CallerLimits | undefined;
  readonly handle: (incoming: IncomingRequest) => Promise<void>;
}

export class CallerListener {
  private readonly _options: CallerListenerOptions;
  private readonly _server: http.Server;

  constructor(options: CallerListenerOptions) {
    this._options = options;
    this._server = http.createServer({
      maxHeaderSize: NODE_MAX_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    });
    this._server.on('request', (request, response) => void this._handle(request, response));
    this._server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
    });
    this._applyLimits();
  }

  /** Starts listening and resolves with the bound address, including the port chosen for port 0. */
  async listen(): Promise<string> {
    return listenAt(this._server, this._options.address);
  }

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this._server.close(() => resolve());
      this._server.closeIdleConnections();
    });
  }

  private async _handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    this._applyLimits();
    const { maxBodyBytes } = this._options.limits() ?? DEFAULT_CALLER_LIMITS;
    const body = new RequestBody(request, this._options.clientLimits, maxBodyBytes);
    const disconnect = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) disconnect.abort();
    });
    try {
      await this._options.handle({
        request,
        response,
        body,
        left: disconnect.signal,
        arrivedMs: performance.now(),
      });
    } catch (thrown) {
      // Close the connection so that the caller does not wait for an answer.
      this._options.log.error('request handler failed', { error: messageOf(thrown) });
      response.destroy();
    } finally {
      body.release();
    }
  }

  private _applyLimits(): void {
    const limits = this._options.limits() ?? DEFAULT_CALLER_LIMITS;
    this._server.headersTimeout = limits.headerTimeoutMs;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_SLACK_MS;
  }
}
