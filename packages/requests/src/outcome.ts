/**
 * How a request ends. Exactly one of four outcomes, each with a stated meaning to the caller
 * (docs/design/callers-interface.md).
 */

/** Why a request certainly did not run. */
export type NotRunReason =
  | 'refused-by-rule'
  | 'queue-full'
  | 'too-late'
  | 'no-endpoint'
  | 'endpoint-refused'
  | 'shutting-down'
  | 'caller-left'
  | 'bad-request';

/** Why nobody can say whether the request ran, or its answer is no longer held. */
export type UnknownReason =
  | 'connection-lost'
  | 'no-answer-in-time'
  | 'first-still-running'
  | 'answer-not-kept'
  | 'key-records-lost'
  | 'key-unsettled'
  | 'key-owner-unreachable'
  | 'caller-left';

/** The end of a request. Times are in milliseconds. */
export type RequestOutcome =
  | { readonly kind: 'completed'; readonly status: number }
  | { readonly kind: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs: number }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason; readonly retryAfterMs: number }
  | { readonly kind: 'failed'; readonly status: number };

export type OutcomeKind = RequestOutcome['kind'];

/** The header that tells the outcome to the caller. */
export const OUTCOME_HEADER = 'fuchsiahitch-outcome';
/** The header that tells the reason of an outcome that is not `completed`. */
export const REASON_HEADER = 'fuchsiahitch-reason';

const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
const FORBIDDEN = 403;
const BAD_REQUEST = 400;

/** The HTTP status of an outcome when no part of an endpoint's answer was passed on. */
export function statusOf(outcome: RequestOutcome): number {
  switch (outcome.kind) {
    case 'completed':
    case 'failed':
      return outcome.status;
    case 'unknown':
      return GATEWAY_TIMEOUT;
    case 'not-run':
      if (outcome.reason === 'refused-by-rule') return FORBIDDEN;
      return outcome.reason === 'bad-request' ? BAD_REQUEST : SERVICE_UNAVAILABLE;
  }
}
