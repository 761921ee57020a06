/**
 * Store prefixes that every host watches, with their timing.
 */
import { LIVE_PREFIX } from './hostDirectory.js';
import { LIVE_BUDGET, type NewsBudget } from './newsBudget.js';
import type { RecordDecoder, RecordKeys } from './ports.js';
import type { WatchedPrefix } from './watchFeed.js';

const LIVE_SPACING_MS = 250;
/** During rolling replacements endpoints change several times a second; one call an interval reads all changes. */
const ENDPOINT_SPACING_SHARE = 0.95;

/** `budget`: of the configuration and the endpoints. */
export function watchedPrefixes(
  keys: RecordKeys,
  decoder: RecordDecoder,
  budget: NewsBudget,
): readonly WatchedPrefix[] {
  const significantPart = (value: string): string => decoder.endpointWithoutHeartbeat(value);
  const endpointSpacingMs = budget.intervalMs * ENDPOINT_SPACING_SHARE;
  return [
    { prefix: keys.operatorPrefix, budget, spacingMs: 0 },
    { prefix: keys.endpointPrefix, budget, spacingMs: endpointSpacingMs, significantPart },
    { prefix: LIVE_PREFIX, budget: LIVE_BUDGET, spacingMs: LIVE_SPACING_MS },
  ];
}
