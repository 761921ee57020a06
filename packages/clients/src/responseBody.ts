/**
 * Reading of whole response bodies, bounded in bytes: a faulty server may send them without end.
 */

/** The body is longer than any valid one. Its connection is closed. */
export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`the response body is longer than ${maxBytes} bytes`);
  }
}

/** Throws if the body breaks off or is longer than `maxBytes`; its connection is closed then. */
export async function readBody(body: AsyncIterable<Buffer>, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) throw new BodyTooLargeError(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Like `readBody`; also throws if the body is not JSON. */
export async function readJson(body: AsyncIterable<Buffer>, maxBytes: number): Promise<unknown> {
  const bytes = await readBody(body, maxBytes);
  return JSON.parse(bytes.toString('utf8')) as unknown;
}
