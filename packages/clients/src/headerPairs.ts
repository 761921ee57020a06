/**
 * HTTP headers as name-value pairs.
 */

/** A header's name and value, in the sender's spelling. */
export type HeaderPair = readonly [name: string, value: string];

/** Headers of a single connection (RFC 9110, section 7.6.1) and of the body's framing. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** Converts a flat list of alternating names and values, as in `IncomingMessage.rawHeaders`. */
export function toHeaderPairs(flat: readonly string[]): readonly HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) pairs.push([flat[i] ?? '', flat[i + 1] ?? '']);
  return pairs;
}

/** Returns the first value of a header. `name` is in lower case. */
export function headerValue(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([key]) => key.toLowerCase() === name)?.[1];
}

/** Removes hop-by-hop headers, those listed by `Connection`, and the excluded ones (in lower case). */
export function endToEndHeaders(
  headers: readonly HeaderPair[],
  excluded: readonly string[] = [],
): HeaderPair[] {
  const connectionOptions = (headerValue(headers, 'connection') ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  const dropped = new Set([...HOP_BY_HOP_HEADERS, ...connectionOptions, ...excluded]);
  return headers.filter(([name]) => !dropped.has(name.toLowerCase()));
}

/** Removes all occurrences of the dropped headers. Names are in lower case. */
export function withoutHeaders(headers: readonly HeaderPair[], dropped: readonly string[]): HeaderPair[] {
  return headers.filter(([name]) => !dropped.includes(name.toLowerCase()));
}

/** Returns undefined for a header that is absent or not a finite number. */
export function parseNumber(text: string | undefined): number | undefined {
  const value = Number(text);
  return text === undefined || text === '' || !Number.isFinite(value) ? undefined : value;
}
