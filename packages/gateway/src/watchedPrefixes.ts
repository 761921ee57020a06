/**
 * Store prefixes that every host watches, with their timing.
 *
 * Configuration changes and leaving endpoints must reach all hosts within two seconds, even if the watching host of a
 * domain fails: its followers detect that after `validMs` and one request. Host failures are detected only after a
 * two-second lease, so a longer delay is acceptable for them.
 */
import { LIVE_PREFIX } from './hostDirectory.js';
import type { RecordDecoder, RecordKeys } from './ports.js';
import type { WatchedPrefix } from './watchFeed.js';

/**
 * A wait of one second costs each domain one call per second and prefix. `validMs` covers the wait of a watch and up to
 * 0.4 s until a slow store answers.
 */
const URGENT = { waitMs: 1000, validMs: 1400 };
/** Host leases are renewed every 0.6 s by other calls, which detect an unresponsive store earlier. */
const HOSTS = { waitMs: 4000, validMs: 5500, spacingMs: 250 };
/** During rolling replacements endpoints change several times a second; one call per second reads all changes. */
const ENDPOINT_SPACING_MS = 900;

export function watchedPrefixes(keys: RecordKeys, decoder: RecordDecoder): readonly WatchedPrefix[] {
  const significantPart = (value: string): string => decoder.endpointWithoutHeartbeat(value);
  return [
    { prefix: keys.operatorPrefix, ...URGENT, spacingMs: 0 },
    { prefix: keys.endpointPrefix, ...URGENT, spacingMs: ENDPOINT_SPACING_MS, significantPart },
    { prefix: LIVE_PREFIX, ...HOSTS },
  ];
}
