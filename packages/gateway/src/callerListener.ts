/**
 * The HTTP server that callers connect to, with the limits that the configuration sets.
 *
 * It stands on Node's own server and not on fastify, which answers content types, methods and paths that it doesn't know with
 * errors of its own: here every request is passed on as it came, unless the configuration has no place for it.
 */
import http from 'node:http';
import { listenAt, messageOf } from '@fuchsiahitch/base';
import type { Logger } from '@fuchsiahitch/telemetry';
import type { CallerLimits } from './ports.js';

/** Before a configuration is known: as much as any is likely to allow. */
export const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Node reads no more header bytes than this, whatever the configuration allows later. */
const NODE_MAX_HEADER_BYTES = 262_144;
/** Our side keeps an idle connection this much longer than it says, so that a request in time never meets its end. */
const KEEP_ALIVE_SLACK_MS = 2000;
const CONNECTION_CHECK_INTERVAL_MS = 500;

/** A request as it came in. */
export interface IncomingRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Aborted when the caller has gone before its answer was written. */
  readonly left: AbortSignal;
}

export interface CallerListenerOptions {
  readonly address: string;
  readonly log: Logger;
  readonly limits: () => CallerLimits | undefined;
  readonly serve: (arrival: IncomingRequest) => Promise<void>;
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

  /** Starts to listen; resolves with the address, which tells the port when 0 was asked. */
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
    const left = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) left.abort();
    });
    try {
      await this._options.serve({ request, response, left: left.signal });
    } catch (thrown) {
      // A defect: the caller must not wait for an answer that nobody writes any more.
      this._options.log.error('request handler failed', { error: messageOf(thrown) });
      response.destroy();
    }
  }

  private _applyLimits(): void {
    const limits = this._options.limits() ?? DEFAULT_LIMITS;
    this._server.headersTimeout = limits.headerTimeoutMs;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_SLACK_MS;
  }
}
