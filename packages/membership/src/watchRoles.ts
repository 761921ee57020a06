/**
 * Selects the hosts of a failure domain that read from the platform on behalf of the others, so that the number of
 * calls grows with the domains, not with the hosts.
 */
import { rendezvous } from '@fuchsiahitch/base';

/** More than one, so that changes are received while one of them is being replaced. */
export const WATCHERS_PER_DOMAIN = 2;

/** Returns the hosts that watch `topic`. While views differ, more hosts may watch, at the cost of extra calls. */
export function watchersOf(topic: string, liveIds: readonly string[]): readonly string[] {
  return rendezvous(topic, liveIds).slice(0, WATCHERS_PER_DOMAIN);
}

export function isWatcher(topic: string, hostId: string, liveIds: readonly string[]): boolean {
  return watchersOf(topic, liveIds).includes(hostId);
}
