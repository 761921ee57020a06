/**
 * Headers as pairs, in the spelling and order of their sender.
 */

/** A header's name and value, in the spelling and order of the sender. */
export type HeaderPair = readonly [name: string, value: string];

/** Headers that concern one connection only, by HTTP/1.1; names in lower case. */
const CONNECTION_HEADERS = new Set([
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
export function toPairs(flat: readonly string[]): readonly HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) pairs.push([flat[i] ?? '', flat[i + 1] ?? '']);
  return pairs;
}

/** The first value of a header, by its name in lower case. */
export function valueOf(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([key]) => key.toLowerCase() === name)?.[1];
}

/** The headers that are passed on: without those that concern one connection, nor those that it names. */
export function passedOn(headers: readonly HeaderPair[], without: readonly string[] = []): HeaderPair[] {
  const named = (valueOf(headers, 'connection') ?? '').split(',').map(name => name.trim().toLowerCase());
  const dropped = new Set([...CONNECTION_HEADERS, ...named, ...without]);
  return headers.filter(([name]) => !dropped.has(name.toLowerCase()));
}

/** The headers without those of these names, given in lower case, however often they stand there. */
export function without(headers: readonly HeaderPair[], dropped: readonly string[]): HeaderPair[] {
  return headers.filter(([name]) => !dropped.includes(name.toLowerCase()));
}

/** A number in a header; undefined if there is none. */
export function numberOf(text: string | undefined): number | undefined {
  const value = Number(text);
  return text === undefined || text === '' || !Number.isFinite(value) ? undefined : value;
}
