/**
 * A watch made of repeated questions for changes.
 */
import { Deadline, SystemClock } from '@fuchsiahitch/base';
import type { RevisionedStore, WatchEnd, WatchEvent } from './keyValueStore.js';

const WAIT_MS = 5000;
/** Beyond the question's own wait: after it the connection is taken for silent. */
const SLACK_MS = 1000;

/** Reports changes under a prefix until the signal is aborted or the store fails. */
export async function watchByChanges(
  store: RevisionedStore,
  prefix: string,
  onEvents: (events: readonly WatchEvent[]) => void,
  signal: AbortSignal,
): Promise<WatchEnd> {
  const clock = new SystemClock();
  const deadline = (): Deadline => Deadline.after(clock, WAIT_MS + SLACK_MS);
  const start = await store.snapshot(prefix, deadline());
  if (!start.ok) return 'failed';
  let { revision } = start.value;
  while (!signal.aborted) {
    const changes = await store.changes(prefix, revision, WAIT_MS, deadline());
    if (!changes.ok) return changes.error === 'compacted' ? 'compacted' : 'failed';
    if (changes.value.events.length > 0) onEvents(changes.value.events);
    ({ revision } = changes.value);
  }
  return 'closed';
}
