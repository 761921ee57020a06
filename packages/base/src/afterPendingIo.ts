/**
 * Waits that end by time, but not before the event loop has read what has arrived.
 *
 * What goes wrong with a plain timer: a process that is held up runs the timers that fell due before it reads, so that its
 * own delay counts as the silence of others. One notices it as calls that time out though their replies have come, on hosts
 * that have too little processor time. A wait that lets the loop read first decides by what has arrived.
 */
import type { CancelTimer, Clock } from './clock.js';

/** A timer that runs later than this ran on a late loop. As for the silence of endpoints: about one event's time. */
const LATE_MS = 50;
/** What a late loop waits more, as for the silence of endpoints: what it wrote late may not be answered yet. */
const GRACE_MS = 100;

/**
 * Calls `decide` after `delayMs`, when the loop has read once more. Where the loop is late it gets `GRACE_MS` more, and
 * reads again after that. Cancelling is possible until `decide` is called.
 */
export function afterPendingIo(clock: Clock, delayMs: number, decide: () => void): CancelTimer {
  const dueMs = clock.nowMs() + delayMs;
  let cancel = clock.after(delayMs, () => {
    const isLate = clock.nowMs() - dueMs > LATE_MS;
    cancel = onceRead(() => {
      if (!isLate) return decide();
      cancel = clock.after(GRACE_MS, () => {
        cancel = onceRead(decide);
      });
    });
  });
  return () => cancel();
}

/** Resolves when the loop has read once more: what has arrived by now is known then. */
export async function pendingIoRead(): Promise<void> {
  await new Promise<void>(resolve => onceRead(resolve));
}

function onceRead(run: () => void): CancelTimer {
  const reading = setImmediate(run);
  return () => clearImmediate(reading);
}
