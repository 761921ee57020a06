/**
 * A client's connection, as the limit on connections sees it.
 */
import type net from 'node:net';
import type { LimitedConnection } from '@fuchsiahitch/limits';

export class SocketConnection implements LimitedConnection {
  protected readonly socket: net.Socket;

  constructor(socket: net.Socket) {
    this.socket = socket;
  }

  get address(): string {
    return this.socket.remoteAddress ?? '';
  }

  receivedBytes(): number {
    return this.socket.bytesRead;
  }

  close(): void {
    this.socket.destroy();
  }
}
