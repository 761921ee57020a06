/**
 * How long an endpoint may be silent before its item goes on elsewhere.
 *
 * What goes wrong with one fixed time: an endpoint that loses its power tells nobody, and each of its items stands still
 * for that time; a trainer's step often waits for one of them. Going on elsewhere costs the reading of the prompt, some
 * 35 ms, so that a mistaken move is cheap where another endpoint has a place, and useless where none has. Therefore two
 * times: after the short one an item leaves for a free place, after the long one in any case.
 */

export interface IdleTimeouts {
  /** From here on an item leaves if a place is free elsewhere. */
  readonly suspectMs: number;
  /** From here on it leaves in any case. */
  readonly abandonMs: number;
}

/** Before the first event an item may wait behind the prompts of others: a whole batch takes some 150 ms to read. */
const FIRST_EVENT_TIMEOUTS: IdleTimeouts = { suspectMs: 700, abandonMs: 2500 };
const ABANDON_MS = 1200;
/** Events come evenly, at 37 to 40 ms on engines that are well; so many are missed before the endpoint is suspect. */
const SUSPECT_MISSED_EVENTS = 8;
/** A garbage collection or a burst of prompts may cost some 150 ms: twice that and more. Chosen, not measured. */
const MIN_SUSPECT_MS = 350;

/** `paceMs`: the time between two events at the endpoint, undefined before any was seen. */
export function idleTimeouts(hasEvents: boolean, paceMs: number | undefined): IdleTimeouts {
  if (!hasEvents) return FIRST_EVENT_TIMEOUTS;
  if (paceMs === undefined) return { suspectMs: ABANDON_MS, abandonMs: ABANDON_MS };
  const suspectMs = Math.min(ABANDON_MS, Math.max(MIN_SUSPECT_MS, SUSPECT_MISSED_EVENTS * paceMs));
  return { suspectMs, abandonMs: ABANDON_MS };
}
