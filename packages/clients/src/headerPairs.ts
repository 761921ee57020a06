/**
 * Headers as pairs, in the spelling and order of their sender.
 */

/** A header's name and value, in the spelling and order of the sender. */
export type HeaderPair = readonly [name: string, value: string];

/** Headers that concern one connection only, by HTTP/1.1; names in lower case. */
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

/** Pairs of a flat list of names and values, as HTTP libraries give them. */
export function toHeaderPairs(flat: readonly string[]): readonly HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) pairs.push([flat[i] ?? '', flat[i + 1] ?? '']);
  return pairs;
}

/** The first value of a header, by its name in lower case. */
export function headerValue(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([key]) => key.toLowerCase() === name)?.[1];
}

/** The headers that are passed on: without those that concern one connection, nor those that it names. */
export function endToEndHeaders(
  headers: readonly HeaderPair[],
  excluded: readonly string[] = [],
): HeaderPair[] {
  const named = (headerValue(headers, 'connection') ?? '').split(',').map(name => name.trim().toLowerCase());
  const dropped = new Set([...HOP_BY_HOP_HEADERS, ...named, ...excluded]);
  return headers.filter(([name]) => !dropped.has(name.toLowerCase()));
}

/** The headers without those of these names, given in lower case, however often they stand there. */
export function withoutHeaders(headers: readonly HeaderPair[], dropped: readonly string[]): HeaderPair[] {
  return headers.filter(([name]) => !dropped.includes(name.toLowerCase()));
}

/** A number in a header; undefined if there is none. */
export function parseNumber(text: string | undefined): number | undefined {
  const value = Number(text);
  return text === undefined || text === '' || !Number.isFinite(value) ? undefined : value;
}
