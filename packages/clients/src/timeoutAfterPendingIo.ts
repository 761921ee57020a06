/**
 * Gives a call up when its time is over, but not before the event loop has read what has arrived by then.
 *
 * What goes wrong with a plain time-out: a process that is held up runs its timers before it reads, so that a call whose
 * answer has come counts as one without an answer. One notices it as writes that the store has done and that are taken for
 * unknown, in a process that has too little processor time; it repeats them, and loses its lease.
 */

/** Aborted so long from now, after one more reading. Does not keep a process alive. */
export function timeoutAfterPendingIo(delayMs: number): AbortSignal {
  const abort = new AbortController();
  const giveUp = (): void => {
    abort.abort(new DOMException('the time of the call is over', 'TimeoutError'));
  };
  const timer = setTimeout(() => setImmediate(giveUp), delayMs);
  timer.unref();
  return abort.signal;
}
