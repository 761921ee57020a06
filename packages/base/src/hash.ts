/**
 * Hashing that every host computes alike: keys to slots, and names to the hosts responsible for them.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** A 32-bit hash of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** A 64-bit hash of a text, in hexadecimal: tells bodies and documents apart. */
export function digest(text: string): string {
  return hasher.h64ToString(text);
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
