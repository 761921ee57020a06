/**
 * What every host must know of the store, and how soon.
 *
 * A new configuration and a leaving endpoint must be known everywhere within two seconds, also where the host that watches for
 * its domain falls silent, or the store falls silent to it, at that moment: its neighbours notice within `validMs` and the time
 * of one question, and watch by themselves. A wait of a second costs each domain a call a second for either. Hosts hear of each
 * other's end by the end of a lease of two seconds, after which 0.25 s more are small.
 */
import { LIVE_PREFIX } from './hostDirectory.js';
import type { RecordDecoder, RecordKeys } from './ports.js';
import type { WatchedPrefix } from './watchFeed.js';

/** A watch waits a second, and its answer takes up to 0.4 s where the store is slow. */
const URGENT = { waitMs: 1000, validMs: 1400 };
/** A live host says so every 0.6 s by another call, so that a silent store is noticed there first. */
const HOSTS = { waitMs: 4000, validMs: 5500, spacingMs: 250 };
/** Endpoints that are replaced in turn change several times a second: one call a second reads what all of them wrote. */
const ENDPOINT_SPACING_MS = 900;

export function watchedPrefixes(keys: RecordKeys, decoder: RecordDecoder): readonly WatchedPrefix[] {
  const newsOf = (value: string): string => decoder.endpointWithoutHeartbeat(value);
  return [
    { prefix: keys.operatorPrefix, ...URGENT, spacingMs: 0 },
    { prefix: keys.endpointPrefix, ...URGENT, spacingMs: ENDPOINT_SPACING_MS, newsOf },
    { prefix: LIVE_PREFIX, ...HOSTS },
  ];
}
