/**
 * Staleness is checked at each delivery against the version in the trainer's call, because a sample that was fresh when
 * its chunk was sealed can be stale when the chunk is requested again.
 */
import type { Span } from './model.js';

export interface StalenessBound {
  readonly stalenessVersions: number;
  readonly stalenessMs: number;
}

export function isFresh(
  spans: readonly Span[],
  ageMs: number,
  trainerVersion: number,
  bound: StalenessBound,
): boolean {
  const oldest = Math.min(...spans.map(span => span.version));
  return trainerVersion - oldest <= bound.stalenessVersions && ageMs <= bound.stalenessMs;
}
