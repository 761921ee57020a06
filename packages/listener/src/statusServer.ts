/**
 * Serves readiness to a load balancer and metrics to operators.
 *
 * Readiness is requested once a second and metrics rarely or never. Readiness is therefore answered by Node's HTTP
 * server. The metrics application is loaded on the first request for it, which keeps startup time and memory low.
 */
import http from 'node:http';
import { listenAt, messageOf, type Clock } from '@fuchsiahitch/base';
import { ServerConnections, SocketConnection } from '@fuchsiahitch/intake';
import type { ConnectionEnd } from '@fuchsiahitch/limits';
import type { Logger } from '@fuchsiahitch/telemetry';
import type { Registry } from 'prom-client';
import type { RequestHandler } from './listener.js';

const HTTP_OK = 200;
const HTTP_FAILED = 500;
const HTTP_METHOD_NOT_ALLOWED = 405;
const HTTP_UNAVAILABLE = 503;

/** A probe or a scrape is a short request. */
const SERVER_OPTIONS: http.ServerOptions = {
  maxHeaderSize: 16_384,
  headersTimeout: 10_000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1000,
};
/** Unfinished heads of all connections, which are few. */
const MAX_HEAD_BYTES = 1_000_000;
const READ_METHODS: readonly (string | undefined)[] = ['GET', 'HEAD'];

export interface ProcessStatus {
  /** The path that the load balancer polls. */
  readonly readinessPath: string;
  isReady(): boolean;
  readonly registry: Registry;
  readonly log: Logger;
  readonly clock: Clock;
  /** Open connections of all listeners together. */
  readonly maxConnections: number;
  /** Told the address of a client whose connection was closed for a newer one. */
  readonly closedForOthers: (client: string) => void;
}

export class StatusServer {
  private readonly _status: ProcessStatus;
  private readonly _servers: http.Server[] = [];
  private readonly _connections: ServerConnections;
  private _application: Promise<RequestHandler> | undefined;

  constructor(status: ProcessStatus) {
    this._status = status;
    const limit = {
      clock: status.clock,
      maxConnections: status.maxConnections,
      maxHeadBytes: MAX_HEAD_BYTES,
      closed: (_reason: ConnectionEnd, { address }: SocketConnection) => status.closedForOthers(address),
    };
    this._connections = new ServerConnections(limit, socket => new SocketConnection(socket));
  }

  /** Listens at another address and resolves with the bound address, including the port chosen for port 0. */
  async listen(address: string): Promise<string> {
    const server = http.createServer(SERVER_OPTIONS, (request, response) => this._handle(request, response));
    this._connections.watch(server);
    this._servers.push(server);
    return listenAt(server, address);
  }

  async close(): Promise<void> {
    await Promise.all(this._servers.map(server => new Promise(resolve => server.close(resolve))));
  }

  private _handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (!READ_METHODS.includes(request.method)) {
      // Closes the connection, so that a body is not read.
      response.writeHead(HTTP_METHOD_NOT_ALLOWED, { Connection: 'close' }).end();
      return;
    }
    if (request.method === 'GET' && request.url === this._status.readinessPath) {
      response.writeHead(this._status.isReady() ? HTTP_OK : HTTP_UNAVAILABLE).end();
      return;
    }
    void this._forwardToApplication(request, response);
  }

  private async _forwardToApplication(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    try {
      this._application ??= loadApplication(this._status.registry);
      const handle = await this._application;
      handle(request, response);
    } catch (thrown) {
      // Retry loading on the next request.
      this._application = undefined;
      this._status.log.error('serving metrics failed', { reason: messageOf(thrown) });
      response.writeHead(HTTP_FAILED).end();
    }
  }
}

async function loadApplication(registry: Registry): Promise<RequestHandler> {
  const { metricsApplication } = await import('./metricsApplication.js');
  return metricsApplication(registry);
}
