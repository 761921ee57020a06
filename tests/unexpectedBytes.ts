/**
 * Bytes that a faulty endpoint sends where a response is expected.
 */

import type { WireRequest } from './platformStandIns.js';

/** Stands for the identifier of the request that waits. */
const OWN_ID = '{id}';

/** The bytes as they are sent where the response to `received` is expected. */
export function bytesAheadOf(received: WireRequest, bytes: string): string {
  return bytes.replaceAll(OWN_ID, received.headers['request-id'] ?? '');
}

/** Heads of interim responses (RFC 9110, section 15.2), which a client skips. */
export const INTERIM_HEADS = [
  'HTTP/1.1 103 Early Hints\r\n\r\n',
  'HTTP/1.1 102 Processing\r\nX: 1\r\n\r\n',
  'HTTP/1.1 199 Unknown\r\nRequest-Id: other\r\n\r\n',
  `HTTP/1.1 103 Early Hints\r\nRequest-Id: ${OWN_ID}\r\n\r\n`,
] as const;

/** Bytes that are no response, or begin one that nobody asked for. */
export const INVALID_BYTES = [
  'HTTP/1.1 099 Below\r\n\r\n',
  'HTTP/1.1 000 Zero\r\n\r\n',
  `HTTP/1.1 000 Zero\r\nRequest-Id: ${OWN_ID}\r\nServer-Stamp: proof\r\nContent-Length: 5\r\n\r\nwhole`,
  `HTTP/1.1 000 Zero\r\nRequest-Id: ${OWN_ID}\r\nServer-Stamp: proof\r\nContent-Length: 0\r\n\r\n`,
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n',
  'HTTP/1.1 204 No Content\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
  'HTTP/2.0 200 OK\r\n\r\n',
  'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
  'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
  'HTTP/1.1 20',
  'HTTP/1.1 200 OK\r\nBad Name: 1\r\n\r\n',
  'HTTP/1.1 200 OK\r\nX: \0\r\n\r\n',
  '\0\0\0\0\0\0\0\0',
  'this is no response',
] as const;
