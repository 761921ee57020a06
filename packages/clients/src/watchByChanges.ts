/**
 * A watch implemented by long polling.
 */
import { Deadline, SystemClock } from '@fuchsiahitch/base';
import type { RevisionedStore, WatchEnd, WatchEvent } from './keyValueStore.js';

const LONG_POLL_MS = 5000;
/** Time beyond the poll duration after which the connection counts as unresponsive. */
const REPLY_MARGIN_MS = 1000;

/** Reports changes under a prefix until the signal is aborted or the store fails. */
export async function watchByChanges(
  store: RevisionedStore,
  prefix: string,
  onEvents: (events: readonly WatchEvent[]) => void,
  signal: AbortSignal,
): Promise<WatchEnd> {
  const clock = new SystemClock();
  const deadline = (): Deadline => Deadline.after(clock, LONG_POLL_MS + REPLY_MARGIN_MS);
  const start = await store.snapshot(prefix, deadline());
  if (!start.ok) return 'failed';
  let { revision } = start.value;
  while (!signal.aborted) {
    const changes = await store.changes(prefix, revision, LONG_POLL_MS, deadline());
    if (!changes.ok) return changes.error === 'compacted' ? 'compacted' : 'failed';
    if (changes.value.events.length > 0) onEvents(changes.value.events);
    ({ revision } = changes.value);
  }
  return 'closed';
}
