/**
 * Timeout that expires only after pending I/O was read.
 *
 * After an event loop stall, timers run before I/O. With a plain timeout, a call whose response has already arrived would
 * fail with an unknown outcome; repeated store writes then cost a host its lease.
 */

/** Returns a signal that aborts after the delay and one more I/O poll. The timer is unreferenced. */
export function timeoutAfterPendingIo(delayMs: number): AbortSignal {
  const abort = new AbortController();
  const abortCall = (): void => {
    abort.abort(new DOMException('the call timed out', 'TimeoutError'));
  };
  const timer = setTimeout(() => setImmediate(abortCall), delayMs);
  timer.unref();
  return abort.signal;
}
