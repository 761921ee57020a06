/**
 * Bounds the connections of a server. A new connection takes the place of the one that has been idle for longest.
 */
import type http from 'node:http';
import type net from 'node:net';
import { ConnectionLimit, type ConnectionLimitOptions, type LimitedConnection } from '@fuchsiahitch/limits';

/** A connection about which nothing but its socket is known. */
export class SocketConnection implements LimitedConnection {
  private readonly _socket: net.Socket;

  constructor(socket: net.Socket) {
    this._socket = socket;
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
}

/** The connections of HTTP servers that share one limit. */
export class ServerConnections {
  private readonly _limit: ConnectionLimit<SocketConnection>;
  private readonly _bySocket = new Map<net.Socket, SocketConnection>();

  constructor(options: ConnectionLimitOptions<SocketConnection>) {
    this._limit = new ConnectionLimit(options);
  }

  /** Must be called before the server listens. */
  watch(server: http.Server): void {
    server.on('connection', socket => this._accept(socket));
    server.on('request', (request, response) => this._receive(request, response));
  }

  private _accept(socket: net.Socket): void {
    const connection = new SocketConnection(socket);
    this._bySocket.set(socket, connection);
    socket.once('close', () => {
      this._bySocket.delete(socket);
      this._limit.remove(connection);
    });
    this._limit.add(connection);
  }

  private _receive({ socket }: http.IncomingMessage, response: http.ServerResponse): void {
    const connection = this._bySocket.get(socket);
    if (!connection) return;
    this._limit.requestBegan(connection);
    response.once('close', () => this._limit.requestEnded(connection));
  }
}
