/**
 * Idle timeouts of an item's stream, after which the item is resumed at another endpoint.
 *
 * An endpoint that loses power does not announce it, and a step often waits for one of the items that ran there.
 *
 * A needless move costs little if another endpoint has a free slot: the prompt's prefill. After the first timeout the
 * item therefore moves only if a slot is free, after the second in any case.
 */

export interface IdleTimeouts {
  /** The item moves if another endpoint has a free slot. */
  readonly suspectMs: number;
  /** The attempt is abandoned in any case. */
  readonly abandonMs: number;
}

/** The first event may be delayed by the prefill of other prompts, which takes about 150 ms for a whole batch. */
const FIRST_EVENT_TIMEOUTS: IdleTimeouts = { suspectMs: 700, abandonMs: 2500 };
const ABANDON_MS = 1200;
/** The number of missed events after which the endpoint is suspect. */
const SUSPECT_MISSED_EVENTS = 8;
/** More than twice an ordinary pause: garbage collection or a burst of prompts takes about 150 ms. */
const MIN_SUSPECT_MS = 350;

/** `paceMs`: the time between two events at the endpoint; undefined while not measured. */
export function idleTimeouts(hasEvents: boolean, paceMs: number | undefined): IdleTimeouts {
  if (!hasEvents) return FIRST_EVENT_TIMEOUTS;
  if (paceMs === undefined) return { suspectMs: ABANDON_MS, abandonMs: ABANDON_MS };
  const suspectMs = Math.min(ABANDON_MS, Math.max(MIN_SUSPECT_MS, SUSPECT_MISSED_EVENTS * paceMs));
  return { suspectMs, abandonMs: ABANDON_MS };
}
