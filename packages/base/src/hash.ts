/**
 * Hashing that every host computes alike: keys to slots, and names to the hosts responsible for them.
 */
import { createHash } from 'node:crypto';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
/** Hexadecimal digits of 128 bits. */
const STRONG_DIGEST_LENGTH = 32;

/** A 32-bit hash of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** A 64-bit hash of a text, in hexadecimal: tells bodies and documents apart. */
export function digest(text: string): string {
  return hasher.h64ToString(text);
}

/**
 * A 128-bit digest of parts in their order, in hexadecimal. Nobody can make two lists of parts that share it: use it where a
 * caller could gain by passing for another.
 */
export function strongDigest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    const bytes = typeof part === 'string' ? Buffer.from(part) : part;
    // With its length before it, no part can pass for the end of another.
    hash.update(`${bytes.length}:`);
    hash.update(bytes);
  }
  return hash.digest('hex').slice(0, STRONG_DIGEST_LENGTH);
}

/**
 * Rendezvous order: the candidates sorted by their weight for `name`, highest first. When a candidate
 * leaves, only the names that it held move.
 */
export function rendezvous(name: string, candidates: readonly string[]): readonly string[] {
  const weighed = candidates.map(id => ({ id, weight: hasher.h32(`${name}\n${id}`) }));
  weighed.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighed.map(entry => entry.id);
}
