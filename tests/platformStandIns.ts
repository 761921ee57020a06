/**
 * Stand-ins for the platform's store and for an endpoint, over sockets.
 */
import http from 'node:http';
import net from 'node:net';
import { SystemClock } from '@fuchsiahitch/base';
import type { Write } from '@fuchsiahitch/clients';
import { FakeStore } from './fakeStore.js';

interface TransactionBody {
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  readonly put: readonly { readonly key: string; readonly value: string; readonly lease: number }[];
  readonly remove: readonly string[];
}

const POLL_MS = 5;

/** A server with the HTTP interface of the platform's store. */
export class StoreStandIn {
  readonly data = new FakeStore(new SystemClock());
  /** If set, every call fails with this status. */
  failWithStatus: number | undefined;
  /** If set, calls are read but never answered. */
  isUnresponsive = false;
  /** If set, the next transaction is executed, but its connection is reset instead of answered. */
  dropNextResponse = false;
  pageSize = 500;
  readonly paths: string[] = [];
  private readonly _server = http.createServer((request, response) => void this._handle(request, response));
  private readonly _sockets = new Set<net.Socket>();

  async listen(): Promise<string> {
    this._server.on('connection', socket => {
      this._sockets.add(socket);
      socket.on('close', () => this._sockets.delete(socket));
    });
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve));
    return addressOf(this._server);
  }

  async close(): Promise<void> {
    for (const socket of this._sockets) socket.destroy();
    await new Promise<void>(resolve => this._server.close(() => resolve()));
  }

  private async _handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    const url = new URL(request.url ?? '/', 'http://store');
    this.paths.push(`${request.method ?? ''} ${url.pathname}`);
    if (this.isUnresponsive) return;
    if (this.failWithStatus !== undefined) {
      send(response, this.failWithStatus, undefined);
      return;
    }
    await this._dispatch(request.method ?? '', url, body, response);
  }

  private async _dispatch(
    method: string,
    url: URL,
    body: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const call = `${method} ${url.pathname.split('/').slice(0, 3).join('/')}`;
    const id = url.pathname.split('/')[3] ?? '';
    switch (call) {
      case 'GET /v1/kv-key': {
        this._get(url.searchParams.get('key') ?? '', response);
        return;
      }
      case 'GET /v1/kv-range': {
        this._range(url, response);
        return;
      }
      case 'GET /v1/kv-watch':
        return this._watch(url, response);
      case 'POST /v1/kv-txn': {
        this._transact(JSON.parse(body) as TransactionBody, response);
        return;
      }
      case 'POST /v1/kv-lease': {
        const { ttl_ms } = JSON.parse(body) as { ttl_ms: number };
        send(response, 200, { lease: Number(this.data.grant(ttl_ms)), ttl_ms });
        return;
      }
      case 'POST /v1/kv-keep': {
        send(response, this.data.keep(id) ? 200 : 404, { ttl_ms: 1000 });
        return;
      }
      case 'DELETE /v1/kv-lease-end':
        this.data.end(id);
        {
          send(response, 200, {});
          return;
        }
      default: {
        send(response, 400, { error: call });
        return;
      }
    }
  }

  private _get(key: string, response: http.ServerResponse): void {
    const item = this.data.read(key);
    if (!item) return send(response, 404, {});
    send(response, 200, toWire(item));
  }

  private _range(url: URL, response: http.ServerResponse): void {
    const { items, revision } = this.data.snapshot(url.searchParams.get('prefix') ?? '');
    const after = url.searchParams.get('after') ?? '';
    const rest = items.filter(item => item.key > after);
    const page = rest.slice(0, this.pageSize).map(toWire);
    send(response, 200, { items: page, has_more: rest.length > page.length, store_revision: revision });
  }

  private async _watch(url: URL, response: http.ServerResponse): Promise<void> {
    const endMs = performance.now() + Number(url.searchParams.get('wait_ms'));
    for (;;) {
      const changes = this.data.eventsAfter(
        url.searchParams.get('prefix') ?? '',
        Number(url.searchParams.get('after')),
      );
      if (changes === 'compacted') {
        send(response, 410, {});
        return;
      }
      if (changes.events.length > 0 || performance.now() >= endMs) {
        const events = changes.events.map(({ key, value, version }) =>
          value === undefined ? { key, revision: version, deleted: true } : toWire({ key, value, version }),
        );
        send(response, 200, { events, store_revision: changes.revision });
        return;
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  private _transact(body: TransactionBody, response: http.ServerResponse): void {
    const compares = body.expected.map(({ key, revision }) => ({ key, version: revision }));
    const puts = body.put.map(({ key, value, lease }): Write => {
      const text = Buffer.from(value, 'base64').toString();
      return { kind: 'put', key, value: text, ...(lease > 0 ? { leaseId: String(lease) } : {}) };
    });
    const removes = body.remove.map((key): Write => ({ kind: 'delete', key }));
    const result = this.data.transact(compares, [...puts, ...removes]);
    if (this.dropNextResponse) {
      this.dropNextResponse = false;
      response.socket?.resetAndDestroy();
      return;
    }
    if (result.succeeded) return send(response, 200, { revision: result.version });
    const items = body.expected.map(({ key }) => this.data.read(key)).filter(item => item !== undefined);
    send(response, 412, { items: items.map(toWire) });
  }
}

function toWire(item: { readonly key: string; readonly value: string; readonly version: number }): unknown {
  const value = Buffer.from(item.value).toString('base64');
  return { key: item.key, value, revision: item.version, created: item.version, lease: 0 };
}

function send(response: http.ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(body === undefined ? '' : JSON.stringify(body));
}

function addressOf(server: net.Server): string {
  const bound = server.address();
  return typeof bound === 'object' && bound ? `127.0.0.1:${bound.port}` : '';
}

/** A request as received. */
export interface WireRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Writes the raw bytes of a response, which may be missing, truncated or followed by others. */
export type WireHandler = (request: WireRequest, socket: net.Socket) => void;

/** An endpoint whose responses a test controls byte by byte. */
export class WireServer {
  readonly requests: WireRequest[] = [];
  connections = 0;
  /** Number of closed connections. */
  closed = 0;
  answer: WireHandler = (request, socket) => void socket.write(validResponse(request, 'whole'));
  private readonly _sockets = new Set<net.Socket>();
  private readonly _server = net.createServer(socket => this._accept(socket));

  async listen(): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve));
    return addressOf(this._server);
  }

  async close(): Promise<void> {
    for (const socket of this._sockets) socket.destroy();
    await new Promise<void>(resolve => this._server.close(() => resolve()));
  }

  private _accept(socket: net.Socket): void {
    this.connections += 1;
    this._sockets.add(socket);
    let bytes = Buffer.alloc(0);
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk]);
      for (let read = readRequest(bytes); read; read = readRequest(bytes)) {
        bytes = bytes.subarray(read.sizeBytes);
        this.requests.push(read.request);
        this.answer(read.request, socket);
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.closed += 1;
      this._sockets.delete(socket);
    });
  }
}

function readRequest(
  bytes: Buffer,
): { readonly request: WireRequest; readonly sizeBytes: number } | undefined {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [first = '', ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
  const [method = '', target = ''] = first.split(' ');
  const headers = Object.fromEntries(
    lines.map(line => {
      const separator = line.indexOf(':');
      return [line.slice(0, separator).toLowerCase(), line.slice(separator + 1).trim()];
    }),
  ) as Record<string, string>;
  const lengthBytes = Number(headers['content-length'] ?? 0);
  const sizeBytes = headEnd + 4 + lengthBytes;
  if (bytes.length < sizeBytes) return undefined;
  return { request: { method, target, headers, body: bytes.subarray(headEnd + 4, sizeBytes) }, sizeBytes };
}

/** A complete response with the endpoint's proof. */
export function validResponse(
  request: WireRequest,
  body: string,
  status = '200 OK',
  extra: readonly string[] = [],
): string {
  const id = request.headers['request-id'];
  return [
    `HTTP/1.1 ${status}`,
    ...(id === undefined ? [] : [`Request-Id: ${id}`]),
    'Server-Stamp: proof',
    `Content-Length: ${Buffer.byteLength(body)}`,
    ...extra,
    '',
    body,
  ].join('\r\n');
}

/** The headers of a chunked event stream with a weight version. */
export function streamHead(request: WireRequest, version: number): string {
  return [
    'HTTP/1.1 200 OK',
    `Request-Id: ${request.headers['request-id'] ?? ''}`,
    'Server-Stamp: proof',
    `Weight-Versions: ${version}`,
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    '',
    '',
  ].join('\r\n');
}

export function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

export const LAST_CHUNK = '0\r\n\r\n';
