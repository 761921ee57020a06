/**
 * Reading and discarding of response bodies, bounded in bytes: a faulty server may send them without end.
 */
import type { Dispatcher } from 'undici';
import { timeoutAfterPendingIo } from './timeoutAfterPendingIo.js';

/** A longer body is not worth keeping its connection for. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const MAX_DISCARD_MS = 1000;

/** The body is longer than any valid one. Its connection is closed. */
export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`the response body is longer than ${maxBytes} bytes`);
  }
}

/** Passes a body on. Throws if it breaks off or is longer than `maxBytes`; its connection is closed then. */
export async function* boundedBody(body: AsyncIterable<Buffer>, maxBytes: number): AsyncGenerator<Buffer> {
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) throw new BodyTooLargeError(maxBytes);
    yield chunk;
  }
}

/** Reads a whole body, and throws as `boundedBody` does. */
export async function readBody(body: AsyncIterable<Buffer>, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of boundedBody(body, maxBytes)) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Like `readBody`; also throws if the body is not JSON. */
export async function readJson(body: AsyncIterable<Buffer>, maxBytes: number): Promise<unknown> {
  const bytes = await readBody(body, maxBytes);
  return JSON.parse(bytes.toString('utf8')) as unknown;
}

/**
 * Lets a body end in the background, so that its connection can be reused. Closes the connection if it does not end
 * soon.
 */
export function discardBody(body: Dispatcher.ResponseData['body']): void {
  const signal = timeoutAfterPendingIo(MAX_DISCARD_MS);
  body.dump({ limit: MAX_DISCARDED_BYTES, signal }).catch(() => {
    // The time is over, and the connection is closed.
  });
}

/** Closes the connection of an unread body. Without an error listener on the body, the process would exit. */
export function closeBody(body: Dispatcher.ResponseData['body']): void {
  body.on('error', () => undefined);
  body.destroy();
}
