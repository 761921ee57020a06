/**
 * Which hosts of a failure domain read from the platform for all the others, so that calls to it grow with
 * the number of domains and not of hosts.
 */
import { rendezvous } from '@fuchsiahitch/base';

/** Two: while one is being replaced the other still hears of every change. */
export const WATCHERS_PER_DOMAIN = 2;

/** The hosts that watch `topic`. Hosts whose views differ may both watch for a while; that costs calls only. */
export function watchersOf(topic: string, liveIds: readonly string[]): readonly string[] {
  return rendezvous(topic, liveIds).slice(0, WATCHERS_PER_DOMAIN);
}

export function isWatcher(topic: string, hostId: string, liveIds: readonly string[]): boolean {
  return watchersOf(topic, liveIds).includes(hostId);
}
