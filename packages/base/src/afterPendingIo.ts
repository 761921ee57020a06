/**
 * Timeouts that expire only after the event loop has read pending I/O.
 *
 * After a stall, the event loop runs due timers before it reads from sockets. A plain timer would then report a
 * timeout although the reply has already arrived.
 */
import type { CancelTimer, Clock } from './clock.js';

/** A timer that runs later than this indicates event loop lag. */
const LATE_THRESHOLD_MS = 50;
/** Additional wait after event loop lag, for replies to requests that were sent late because of it. */
const GRACE_MS = 100;

/**
 * Calls `decide` after `delayMs`, once the event loop has read pending I/O. If the event loop lags, waits for another
 * `GRACE_MS` and another read.
 */
export function afterPendingIo(clock: Clock, delayMs: number, decide: () => void): CancelTimer {
  const dueMs = clock.nowMs() + delayMs;
  let cancel = clock.after(delayMs, () => {
    const isLate = clock.nowMs() - dueMs > LATE_THRESHOLD_MS;
    cancel = afterNextPoll(() => {
      if (!isLate) return decide();
      cancel = clock.after(GRACE_MS, () => {
        cancel = afterNextPoll(decide);
      });
    });
  });
  return () => cancel();
}

/** Resolves after the event loop has read the I/O that is pending now. */
export async function pendingIoRead(): Promise<void> {
  await new Promise<void>(resolve => afterNextPoll(resolve));
}

function afterNextPoll(callback: () => void): CancelTimer {
  const immediate = setImmediate(callback);
  return () => clearImmediate(immediate);
}
