// Stand-ins of servers: a plain service with slots and a short queue, whose bytes a test controls.
import { Buffer } from 'node:buffer';
import net from 'node:net';
import { setTimeout } from 'node:timers';

/** Reads requests from a channel, one after the other. */
class RequestReader {
  _bytes = Buffer.alloc(0);

  push(bytes) {
    this._bytes = Buffer.concat([this._bytes, bytes]);
  }

  /** Returns the next whole request, or undefined. */
  next() {
    const end = this._bytes.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const [first, ...lines] = this._bytes.subarray(0, end).toString('latin1').split('\r\n');
    const [method, target] = first.split(' ');
    const headers = {};
    for (const line of lines) {
      const at = line.indexOf(':');
      headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
    }
    const sizeBytes = end + 4 + Number(headers['content-length'] ?? 0);
    if (this._bytes.length < sizeBytes) return undefined;
    const body = this._bytes.subarray(end + 4, sizeBytes);
    this._bytes = this._bytes.subarray(sizeBytes);
    return { method, target, headers, body };
  }
}

export function answerOf(request, status, { headers = [], body = '' } = {}) {
  const id = request.headers['request-id'];
  return [
    `HTTP/1.1 ${status}`,
    ...(id === undefined ? [] : [`Request-Id: ${id}`]),
    ...headers,
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
}

/** A server: registers itself in the store, and hands each whole request to `onRequest(request, channel)`. */
export class Server {
  _channels = new Set();

  constructor(id, service, store, { zone = 'tekapo', slots = 6, models = [] } = {}) {
    Object.assign(this, { id, service, zone, slots, models });
    this._store = store;
    this._sequence = 0;
    this.state = 'ready';
  }

  async listen(ip, port = 0) {
    this._server = net.createServer(socket => this._accept(socket));
    await new Promise(resolve => this._server.listen(port, ip, resolve));
    this.address = `${ip}:${this._server.address().port}`;
    this._beat();
  }

  _beat() {
    this._sequence += 1;
    const { service, address, zone, slots, state, models } = this;
    const entry = { service, address, zone, version: 'v1', slots, state, cold_left_ms: 0, models };
    this._store.write(`servers/${this.id}`, JSON.stringify({ ...entry, seq: this._sequence }));
    this._timer = setTimeout(() => this._beat(), 1200);
  }

  /** Writes the entry at once, as it has changed. */
  announce() {
    this._timer.close();
    this._beat();
  }

  _accept(socket) {
    const reader = new RequestReader();
    const channel = { socket };
    this._channels.add(channel);
    socket.setNoDelay(true);
    socket.on('data', bytes => {
      reader.push(bytes);
      for (let request = reader.next(); request; request = reader.next()) this.onRequest(request, channel);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this._channels.delete(channel);
      channel.isClosed = true;
      channel.onClose?.();
    });
  }

  /** The process ends: channels are reset, nobody listens, and no entry is written any more. */
  crash() {
    this._timer.close();
    this._server.close();
    for (const { socket } of this._channels) socket.resetAndDestroy();
  }

  close() {
    this._timer?.close();
    this._server?.close();
    for (const { socket } of this._channels) socket.destroy();
  }
}
