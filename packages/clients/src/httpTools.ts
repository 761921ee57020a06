/**
 * What the HTTP adapters share.
 */
import { Agent, type Dispatcher } from 'undici';
import { errorCode } from './etcdStore.js';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 10_000;

/** Errors under which no byte of a request can have reached the other side. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** True if the error proves that the request was never written. Any other leaves it unknown. */
export function isNotSentError(thrown: unknown): boolean {
  return NOT_SENT_CODES.has(errorCode(thrown));
}

/** Connections to endpoints. One request at a time on each: a reset then concerns one request only. */
export function endpointAgent(): Dispatcher {
  return new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** The header by which an endpoint says that it refused a request before running any of it. */
export const NOT_RUN_HEADER = 'x-not-run';
/** The header by which an endpoint says that it leaves. */
export const LEAVING_HEADER = 'x-leaving';
const MS_A_SECOND = 1000;

/** One header as text. */
export function firstHeaderValue(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  name: string,
): string {
  const value = headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}

/** The pause of a `Retry-After` header in seconds, as milliseconds. */
export function retryAfterMsOf(headers: Readonly<Record<string, string | string[] | undefined>>): number {
  const seconds = Number(firstHeaderValue(headers, 'retry-after'));
  return Number.isFinite(seconds) ? Math.max(0, seconds) * MS_A_SECOND : 0;
}
