/**
 * Helpers shared by the HTTP clients.
 */
import type { Dispatcher } from 'undici';
import { errorCode } from './etcdStore.js';
import { poolAgent } from './poolAgent.js';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 10_000;

/** Error code of a request that its sender withheld before it was written. */
export const WITHHELD_CODE = 'FUCHSIAHITCH_WITHHELD';
/** Error codes that prove that no byte of the request was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  WITHHELD_CODE,
]);

/** Returns true if the error proves that the request was never sent; otherwise its outcome is unknown. */
export function isNotSentError(thrown: unknown): boolean {
  return NOT_SENT_CODES.has(errorCode(thrown));
}

/** Why a request was certainly not sent; undefined if it may have been. */
export function notSentReason(thrown: unknown): 'unreachable' | 'withheld' | undefined {
  if (!isNotSentError(thrown)) return undefined;
  return errorCode(thrown) === WITHHELD_CODE ? 'withheld' : 'unreachable';
}

/** Returns an agent for endpoints. Without pipelining, a connection reset affects at most one request. */
export function endpointAgent(): Dispatcher {
  return poolAgent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
}

/** Set by an endpoint that refused a request without running it. */
export const NOT_RUN_HEADER = 'x-not-run';
/** Set by an endpoint that is draining. */
export const LEAVING_HEADER = 'x-leaving';
const MS_PER_SECOND = 1000;

/** Returns the header's first value, or an empty string. */
export function firstHeaderValue(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  name: string,
): string {
  const value = headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}

/** Returns the delay of a `Retry-After` header in milliseconds; 0 if absent or invalid. */
export function retryAfterMsOf(headers: Readonly<Record<string, string | string[] | undefined>>): number {
  const seconds = Number(firstHeaderValue(headers, 'retry-after'));
  return Number.isFinite(seconds) ? Math.max(0, seconds) * MS_PER_SECOND : 0;
}
