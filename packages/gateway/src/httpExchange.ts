/**
 * One request over HTTP and its answer, without anything that a platform's protocol names.
 */
import type http from 'node:http';
import { toHeaderPairs, headerValue } from '@fuchsiahitch/clients';
import type { HeaderPair } from './ports.js';

const LAST_SUCCESS = 299;
const FIRST_SUCCESS = 200;
const NO_CONTENT = 204;
/** Colon, space and line end of a header. */
const HEADER_EXTRA_BYTES = 4;

export class HttpExchange {
  readonly response: http.ServerResponse;
  /** All headers of the request as they came, also those that stand twice. */
  readonly headerPairs: readonly HeaderPair[];
  private readonly _request: http.IncomingMessage;
  private readonly _isLeaving: () => boolean;
  private readonly _startedMs = performance.now();

  /** `isLeaving`: whether the answer has to ask the caller to connect anew. */
  constructor(request: http.IncomingMessage, response: http.ServerResponse, isLeaving: () => boolean) {
    this._request = request;
    this.response = response;
    this._isLeaving = isLeaving;
    this.headerPairs = toHeaderPairs(request.rawHeaders);
  }

  method(): string {
    return this._request.method ?? 'GET';
  }

  target(): string {
    return this._request.url ?? '/';
  }

  path(): string {
    const [path = '/'] = this.target().split('?');
    return path;
  }

  query(name: string): string | undefined {
    const at = this.target().indexOf('?');
    if (at < 0) return undefined;
    return new URLSearchParams(this.target().slice(at + 1)).get(name) ?? undefined;
  }

  header(name: string): string | undefined {
    return headerValue(this.headerPairs, name);
  }

  /** Every value of a header, in the order in which they came. */
  headerValues(name: string): readonly string[] {
    return this.headerPairs.filter(([key]) => key.toLowerCase() === name).map(([, value]) => value);
  }

  host(): string {
    const [host = ''] = (this.header('host') ?? '').split(':');
    return host;
  }

  elapsedMs(): number {
    return performance.now() - this._startedMs;
  }

  headerBytes(): number {
    return this.headerPairs.reduce(
      (sum, [name, value]) => sum + name.length + value.length + HEADER_EXTRA_BYTES,
      0,
    );
  }

  async readBody(maxBytes: number): Promise<Buffer | 'too-large' | 'left'> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
      for await (const chunk of this._request as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        if (sizeBytes > maxBytes) return 'too-large';
        chunks.push(chunk);
      }
    } catch {
      // The caller went away in the middle of its own request: there is nobody to answer.
      return 'left';
    }
    return Buffer.concat(chunks);
  }

  /** The headers of an answer with those that this connection needs. */
  headers(pairs: readonly HeaderPair[]): readonly string[] {
    const close: readonly HeaderPair[] = this._isLeaving() ? [['Connection', 'close']] : [];
    return [...pairs, ...close].flat();
  }

  answer(status: number, pairs: readonly HeaderPair[] = [], body: Buffer = Buffer.alloc(0)): void {
    if (this.response.destroyed) return;
    const own: HeaderPair[] = [...pairs];
    if (hasBody(status)) own.push(['Content-Length', String(body.length)]);
    this.response.writeHead(status, [...this.headers(own)]);
    this.response.end(body);
  }

  answerJson(text: string): void {
    this.answer(FIRST_SUCCESS, [['Content-Type', 'application/json']], Buffer.from(text));
  }
}

function hasBody(status: number): boolean {
  return status > LAST_SUCCESS || (status >= FIRST_SUCCESS && status !== NO_CONTENT);
}
