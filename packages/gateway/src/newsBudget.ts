/**
 * Time budget of news from the store: from the store's acknowledgement of a change to its last effect on a request.
 *
 * | part                                                                     | until, at the latest      |
 * | ------------------------------------------------------------------------ | ------------------------- |
 * | regular answer of the watch, also on hosts that follow another one's     | `intervalMs`              |
 * | without it, the host asks the store itself                               | `askAgeMs`                |
 * | without an answer, it asks again on another connection, or through a peer | `askAgeMs + questionMs`   |
 * | a request may still be written on this view; later it waits for an answer | `maxAgeMs`                |
 * | the request arrives                                                      | the bound                 |
 *
 * The parts add up to the bound. A view's age counts from the state of the store that it shows, so the parts before a
 * decision need not be added up at each step.
 */
export interface NewsBudget {
  /** Time between two regular answers of the store. */
  readonly intervalMs: number;
  /** Age of the view at which a host asks the store itself. */
  readonly askAgeMs: number;
  /** Time after which an unanswered question is asked again. */
  readonly questionMs: number;
  /** Age of the view up to which requests are decided on it. */
  readonly maxAgeMs: number;
}

/** The bound of the users' platform. */
const DEFAULT_BOUND_MS = 2000;
/** Time from the write of a request to its arrival. */
const MAX_ARRIVAL_MS = 250;
const ARRIVAL_SHARE = 1 / 8;
/** A slow store answers within this time. */
const MAX_QUESTION_MS = 300;
const QUESTION_SHARE = 0.15;
/** A shorter interval would only cost calls. */
const MAX_INTERVAL_MS = 1000;
/** An answer that is late by less does not cost another call. */
const INTERVAL_SLACK_SHARE = 0.13;

/** `boundMs`: from the acknowledgement of a change until it must be in effect. */
export function newsBudget(boundMs: number = DEFAULT_BOUND_MS): NewsBudget {
  const questionMs = Math.min(MAX_QUESTION_MS, boundMs * QUESTION_SHARE);
  const maxAgeMs = boundMs - Math.min(MAX_ARRIVAL_MS, boundMs * ARRIVAL_SHARE);
  const askAgeMs = maxAgeMs - 2 * questionMs;
  const intervalMs = Math.min(MAX_INTERVAL_MS, askAgeMs * (1 - INTERVAL_SLACK_SHARE));
  return { intervalMs, askAgeMs, questionMs, maxAgeMs };
}

/** Lease keys have no bound of their own: hosts that end are known after their leases. */
export const LIVE_BUDGET: NewsBudget = {
  intervalMs: 4000,
  askAgeMs: 4600,
  questionMs: MAX_QUESTION_MS,
  maxAgeMs: Infinity,
};
