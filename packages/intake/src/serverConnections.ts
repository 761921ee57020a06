/**
 * The connections of HTTP servers, within one limit. A new connection takes the place of the one that has been idle for
 * longest.
 */
import type http from 'node:http';
import type net from 'node:net';
import { ConnectionLimit, type ConnectionLimitOptions } from '@fuchsiahitch/limits';
import { SocketConnection } from './socketConnection.js';

export class ServerConnections<T extends SocketConnection = SocketConnection> {
  private readonly _limit: ConnectionLimit<T>;
  private readonly _create: (socket: net.Socket) => T;
  private readonly _bySocket = new Map<net.Socket, T>();

  constructor(options: ConnectionLimitOptions<T>, create: (socket: net.Socket) => T) {
    this._limit = new ConnectionLimit(options);
    this._create = create;
  }

  /** Must be called before the server listens. */
  watch(server: http.Server): void {
    server.on('connection', socket => this._accept(socket));
    server.on('request', (request, response) => this._receive(request, response));
  }

  /** The connection of a request; undefined if it was closed meanwhile. */
  of({ socket }: http.IncomingMessage): T | undefined {
    return this._bySocket.get(socket);
  }

  private _accept(socket: net.Socket): void {
    const connection = this._create(socket);
    this._bySocket.set(socket, connection);
    socket.once('close', () => {
      this._bySocket.delete(socket);
      this._limit.remove(connection);
    });
    this._limit.add(connection);
  }

  private _receive(request: http.IncomingMessage, response: http.ServerResponse): void {
    const connection = this.of(request);
    if (!connection) return;
    this._limit.requestBegan(connection);
    response.once('close', () => this._limit.requestEnded(connection));
  }
}
