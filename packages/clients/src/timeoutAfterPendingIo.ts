/**
 * Timeout that expires only after pending I/O was read. After an event loop stall, timers run before I/O, so a plain
 * timeout would fail calls whose response has already arrived.
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
