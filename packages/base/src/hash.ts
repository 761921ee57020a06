/**
 * Deterministic hashing: all hosts map keys to slots, and names to responsible hosts, alike.
 */
import { createHash } from 'node:crypto';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
const STRONG_DIGEST_HEX_DIGITS = 32;

export function hash32(text: string): number {
  return hasher.h32(text);
}

/** Returns a 64-bit hash in hexadecimal. Not collision-resistant: see `strongDigest`. */
export function digest(text: string): string {
  return hasher.h64ToString(text);
}

/**
 * Returns a 128-bit digest of a list of parts, in hexadecimal. Collision-resistant: use it where a caller could
 * benefit from impersonating another.
 */
export function strongDigest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    const bytes = typeof part === 'string' ? Buffer.from(part) : part;
    // The length prefix makes the boundaries between parts unambiguous.
    hash.update(`${bytes.length}:`);
    hash.update(bytes);
  }
  return hash.digest('hex').slice(0, STRONG_DIGEST_HEX_DIGITS);
}

/**
 * Rendezvous hashing: returns the candidates sorted by their weight for `name`, highest first. When a candidate
 * is removed, only the names assigned to it move.
 */
export function rendezvous(name: string, candidates: readonly string[]): readonly string[] {
  const weighed = candidates.map(id => ({ id, weight: hasher.h32(`${name}\n${id}`) }));
  weighed.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighed.map(entry => entry.id);
}
