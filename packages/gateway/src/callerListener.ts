/**
 * The HTTP server for callers, with the limits set by the configuration.
 *
 * Uses Node's HTTP server instead of fastify, which would answer unknown content types, methods and paths itself; here
 * they are passed on to the handler.
 */
import http from 'node:http';
import type { Duplex } from 'node:stream';
import { listenAt, messageOf, type Clock } from '@fuchsiahitch/base';
import { RequestBody, ServerConnections } from '@fuchsiahitch/intake';
import type { ClientLimits } from '@fuchsiahitch/limits';
import type { Logger } from '@fuchsiahitch/telemetry';
import { CallerConnection, type IncomingRequest } from './callerConnection.js';
import type { CallerLimits } from './ports.js';

/** Permissive limits for the time before a configuration is loaded. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Request line and separators, which Node counts and the configured limit does not. */
const HEADER_SLACK_BYTES = 4096;
/** Added to the configured idle timeout, so that the server does not close a connection just as a request arrives. */
const KEEP_ALIVE_SLACK_MS = 2000;
const CONNECTION_CHECK_INTERVAL_MS = 500;

const MALFORMED = '400 Bad Request';
const PARSE_FAILURES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

export interface CallerListenerOptions {
  readonly address: string;
  readonly log: Logger;
  readonly clock: Clock;
  readonly clientLimits: ClientLimits;
  readonly limits: () => CallerLimits | undefined;
  readonly handle: (incoming: IncomingRequest) => Promise<void>;
  /** Refuses a request without handling it, because there are too many. */
  readonly refuse: (incoming: IncomingRequest) => void;
}

export class CallerListener {
  private readonly _options: CallerListenerOptions;
  private readonly _server: http.Server;
  private readonly _connections: ServerConnections<CallerConnection>;

  constructor(options: CallerListenerOptions) {
    this._options = options;
    const { clientLimits, handle, refuse } = options;
    const { budget, report, requests } = clientLimits;
    const connectionOptions = {
      limit: requests,
      handle: async (incoming: IncomingRequest) => this._handle(handle, incoming),
      refuse,
      overrun: (address: string) => report.refused('requests', address),
    };
    this._connections = new ServerConnections(
      clientLimits.connections(budget.callerConnections),
      socket => new CallerConnection(socket, connectionOptions),
    );
    this._server = http.createServer({
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    });
    this._connections.watch(this._server);
    this._server.on('request', (request, response) => void this._receive(request, response));
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => this._refuse(error, socket));
    this._applyLimits();
  }

  /** Starts listening and resolves with the bound address, including the port chosen for port 0. */
  async listen(): Promise<string> {
    return listenAt(this._server, this._options.address);
  }

  /** Closes idle connections now, and after `flushMs` also those whose request or answer is not complete. */
  async close(flushMs: number): Promise<void> {
    const cancel = this._options.clock.after(flushMs, () => this._server.closeAllConnections());
    await new Promise<void>(resolve => {
      this._server.close(() => resolve());
      this._server.closeIdleConnections();
    });
    cancel();
  }

  private async _receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    this._applyLimits();
    const connection = this._connections.of(request);
    // A read is parsed to its end after its connection was closed: its other requests must not cost more than that.
    if (!connection || request.socket.destroyed) return;
    const { maxBodyBytes } = this._options.limits() ?? DEFAULT_CALLER_LIMITS;
    const body = new RequestBody(request, this._options.clientLimits, maxBodyBytes);
    await connection.received(request, response, body);
  }

  private async _handle(handle: CallerListenerOptions['handle'], incoming: IncomingRequest): Promise<void> {
    try {
      await handle(incoming);
    } catch (thrown) {
      // Close the connection so that the caller does not wait for an answer.
      this._options.log.error('request handler failed', { error: messageOf(thrown) });
      incoming.response.destroy();
    } finally {
      incoming.body.release();
    }
  }

  private _refuse(error: NodeJS.ErrnoException, socket: Duplex): void {
    const status = PARSE_FAILURES[error.code ?? ''] ?? MALFORMED;
    if (status !== MALFORMED) this._options.clientLimits.report.refused('head-size', addressOf(socket));
    if (socket.writable) socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    else socket.destroy();
  }

  /** Node reads each of these for every new connection or request. */
  private _applyLimits(): void {
    const limits = this._options.limits() ?? DEFAULT_CALLER_LIMITS;
    Object.assign(this._server, { maxHeaderSize: limits.maxHeaderBytes + HEADER_SLACK_BYTES });
    this._server.headersTimeout = limits.headerTimeoutMs;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_SLACK_MS;
  }
}

function addressOf(socket: Duplex): string {
  return 'remoteAddress' in socket && typeof socket.remoteAddress === 'string' ? socket.remoteAddress : '';
}
