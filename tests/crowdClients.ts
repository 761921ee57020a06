/**
 * Clients that don't behave: each sends bytes on a connection of its own and stays, whatever it is answered.
 */
import net from 'node:net';
import { delay, IP, MAX_BODY_BYTES, MAX_HEAD_BYTES } from './crowdHost.js';

const POLL_MS = 100;
/** A crowd that hasn't sent or received anything for this long has arrived. */
const QUIET_MS = 1500;
const MAX_ARRIVAL_MS = 60_000;
/** A client that writes one part at a time gives the others their turn after as many. */
const PARTS_PER_TURN = 8;

/** Sends parts one after the other, at the pace at which they are read. Doesn't read if `isUnread`. */
export class Client {
  private readonly _socket: net.Socket;

  constructor(port: number, parts: Iterable<string | Buffer>, isUnread = false) {
    this._socket = net.connect({ host: IP, port });
    this._socket.on('error', () => this._socket.destroy());
    if (isUnread) this._socket.pause();
    else this._socket.resume();
    void this._send(parts);
  }

  /** Bytes that have moved in either direction. */
  movedBytes(): number {
    return this._socket.bytesWritten - this._socket.writableLength + this._socket.bytesRead;
  }

  leave(): void {
    this._socket.destroy();
  }

  private async _send(parts: Iterable<string | Buffer>): Promise<void> {
    let sent = 0;
    for (const part of parts) {
      if (this._socket.destroyed || !this._socket.writable) return;
      if (!this._socket.write(part)) await this._drained();
      sent += 1;
      if (sent % PARTS_PER_TURN === 0) await new Promise(resolve => setImmediate(resolve));
    }
  }

  private async _drained(): Promise<void> {
    await new Promise<void>(resolve => {
      const settle = (): void => {
        this._socket.off('drain', settle);
        this._socket.off('close', settle);
        resolve();
      };
      this._socket.on('drain', settle);
      this._socket.on('close', settle);
    });
  }
}

/** Waits until no client of the crowd has sent or received anything for a while, or the process has ended. */
export async function arrived(clients: readonly Client[], host: { isAlive(): boolean }): Promise<void> {
  let moved = -1;
  let quietMs = 0;
  for (let ms = 0; ms < MAX_ARRIVAL_MS && quietMs < QUIET_MS && host.isAlive(); ms += POLL_MS) {
    await delay(POLL_MS);
    const now = clients.reduce((sum, client) => sum + client.movedBytes(), 0);
    quietMs = now === moved ? quietMs + POLL_MS : 0;
    moved = now;
  }
}

let requests = 0;

/** The head of a request with the given framing header; the body follows. */
export function head(framing: string, path = '/a/x'): string {
  requests += 1;
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nRequest-Id: c${requests}\r\nDeadline-Ms: 20000\r\n${framing}\r\n\r\n`;
}

const BYTES = Buffer.alloc(MAX_BODY_BYTES, 'x');

/** Sends `sentBytes` of a body of `announcedBytes`, in pieces. */
export function* announced(
  announcedBytes: number,
  sentBytes: number,
  pieceBytes = sentBytes,
  path = '/a/x',
): Generator<string | Buffer> {
  yield head(`Content-Length: ${announcedBytes}`, path);
  for (let at = 0; at < sentBytes; at += pieceBytes)
    yield BYTES.subarray(0, Math.min(pieceBytes, sentBytes - at));
}

/** Sends chunks of `chunkBytes`, `together` of them in one write, and never the last chunk. */
export function* chunked(chunkBytes: number, chunks: number, together = 1): Generator<string | Buffer> {
  yield head('Transfer-Encoding: chunked');
  const one = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`);
  const piece = Buffer.concat(Array.from({ length: together }, () => one));
  for (let i = 0; i < chunks; i += together) yield piece;
}

/** A head without its end: one header, or as many short ones as there is room for. */
export function* unfinishedHead(sizeBytes: number, line: string): Generator<string> {
  const start = 'POST /a/x HTTP/1.1\r\nHost: h\r\n';
  yield start + line.repeat(Math.floor((sizeBytes - start.length) / line.length));
}

export function* pipelined(count: number, path: string): Generator<string> {
  for (let i = 0; i < count; i++) yield head('Content-Length: 0', path);
}

/** A whole submission of a batch with this body. */
export function* submission(body: string): Generator<string> {
  yield head(`Content-Length: ${body.length}`, '/b/x');
  yield body;
}

/** The largest list of this text that a body may have. */
export function listOf(text: string): string {
  const count = Math.floor((MAX_BODY_BYTES - MAX_HEAD_BYTES) / (text.length + 1));
  return `{"items":[${Array.from({ length: count }, () => text).join(',')}]}`;
}

/** A proper batch of items with a body each. */
export function batchOf(items: number, bodyBytes: number): Buffer {
  const body = 'x'.repeat(bodyBytes);
  const list = Array.from({ length: items }, (_, i) => ({ id: `i${i}`, path: '/b/y', body }));
  return Buffer.from(JSON.stringify({ items: list }));
}
