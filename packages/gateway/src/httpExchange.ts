/**
 * An HTTP request and its answer, independent of any platform protocol.
 */
import type http from 'node:http';
import type { Clock } from '@fuchsiahitch/base';
import { toHeaderPairs, headerValue } from '@fuchsiahitch/clients';
import { lingerAtClose, type RequestBody } from '@fuchsiahitch/intake';
import type { AnswerBudget, AnswerReader } from '@fuchsiahitch/limits';
import type { IncomingRequest } from './callerConnection.js';
import type { HeaderPair } from './ports.js';
import { StreamReply } from './streamReply.js';

const LAST_SUCCESS_STATUS = 299;
const FIRST_SUCCESS_STATUS = 200;
const NO_CONTENT_STATUS = 204;
/** Colon, space, CR and LF of a header line. */
const HEADER_EXTRA_BYTES = 4;

export class HttpExchange {
  readonly response: http.ServerResponse;
  readonly body: RequestBody;
  /** All request headers as received, including duplicates. */
  readonly headerPairs: readonly HeaderPair[];
  private readonly _request: http.IncomingMessage;
  private readonly _isLeaving: () => boolean;
  private readonly _arrivedMs: number;
  private readonly _answers: AnswerBudget;
  private _isCutShort = false;

  /** `isLeaving`: whether the answer must close the connection, so that the caller reconnects to another host. */
  constructor(
    { request, response, body, arrivedMs }: IncomingRequest,
    isLeaving: () => boolean,
    answers: AnswerBudget,
  ) {
    this._request = request;
    this.response = response;
    this._isLeaving = isLeaving;
    this._answers = answers;
    this.body = body;
    this._arrivedMs = arrivedMs;
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

  /** All values of a header in the order received. `name` must be lower case. */
  headerValues(name: string): readonly string[] {
    return this.headerPairs.filter(([key]) => key.toLowerCase() === name).map(([, value]) => value);
  }

  host(): string {
    const [host = ''] = (this.header('host') ?? '').split(':');
    return host;
  }

  elapsedMs(): number {
    return performance.now() - this._arrivedMs;
  }

  headerBytes(): number {
    return this.headerPairs.reduce(
      (sum, [name, value]) => sum + name.length + value.length + HEADER_EXTRA_BYTES,
      0,
    );
  }

  clientAddress(): string {
    return this._request.socket.remoteAddress ?? '';
  }

  /** The request is answered before its end: the connection ends after the answer, and what still arrives is dropped. */
  cutShort(clock: Clock): void {
    if (this._request.complete) return;
    this._isCutShort = true;
    lingerAtClose(this._request.socket, clock);
    this.body.discard();
  }

  /** Flattens the headers for `writeHead` and adds those that the connection needs. */
  headers(pairs: readonly HeaderPair[]): readonly string[] {
    const isLast = this._isCutShort || this._isLeaving();
    const close: readonly HeaderPair[] = isLast ? [['Connection', 'close']] : [];
    return [...pairs, ...close].flat();
  }

  streamReply(): StreamReply {
    return new StreamReply(
      this.response,
      pairs => this.headers(pairs),
      () => this._answers.stall(this._reader()),
    );
  }

  answer(status: number, pairs: readonly HeaderPair[] = [], body: Buffer = Buffer.alloc(0)): void {
    if (this.response.destroyed || this.response.headersSent) return;
    const allPairs: HeaderPair[] = [...pairs];
    if (hasBody(status)) allPairs.push(['Content-Length', String(body.length)]);
    this.response.writeHead(status, [...this.headers(allPairs)]);
    if (body.length > 0) {
      const held = this._answers.deliver(body.length, this._reader());
      this.response.once('close', () => held.release());
    }
    this.response.end(body);
  }

  answerJson(text: string): void {
    this.answer(FIRST_SUCCESS_STATUS, [['Content-Type', 'application/json']], Buffer.from(text));
  }

  private _reader(): AnswerReader {
    return { address: this.clientAddress(), close: () => this.response.destroy() };
  }
}

function hasBody(status: number): boolean {
  return status > LAST_SUCCESS_STATUS || (status >= FIRST_SUCCESS_STATUS && status !== NO_CONTENT_STATUS);
}
