/**
 * Selects the hosts of a failure domain that read from the platform on behalf of the others, so that calls
 * to the platform grow with the number of domains instead of hosts.
 */
import { rendezvous } from '@fuchsiahitch/base';

/** Two, so that one still receives every change while the other is being replaced. */
export const WATCHERS_PER_DOMAIN = 2;

/** The hosts that watch `topic`. While views differ, more hosts may watch, which only costs extra calls. */
export function watchersOf(topic: string, liveIds: readonly string[]): readonly string[] {
  return rendezvous(topic, liveIds).slice(0, WATCHERS_PER_DOMAIN);
}

export function isWatcher(topic: string, hostId: string, liveIds: readonly string[]): boolean {
  return watchersOf(topic, liveIds).includes(hostId);
}
