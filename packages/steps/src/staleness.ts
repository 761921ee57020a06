/**
 * Whether a sample may still be handed over. Decided at each hand-over, against what the trainer says of
 * itself in that very call: a sample that was fresh when it was sealed can be too old when fetched again.
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
