/**
 * The outcome of a request: exactly one of four, each with a documented meaning to the caller
 * (docs/design/callers-interface.md).
 */

/** Why a request provably did not run. */
export type NotRunReason =
  | 'refused-by-rule'
  | 'queue-full'
  | 'too-late'
  | 'no-endpoint'
  | 'endpoint-refused'
  | 'shutting-down'
  | 'caller-left'
  | 'bad-request';

/** Why it is unknown whether the request ran, or why its answer is unavailable. */
export type UnknownReason =
  | 'connection-lost'
  | 'no-answer-in-time'
  | 'first-still-running'
  | 'answer-not-kept'
  | 'key-records-lost'
  | 'key-unsettled'
  | 'key-owner-unreachable'
  | 'caller-left';

export type RequestOutcome =
  | { readonly kind: 'completed'; readonly status: number }
  | { readonly kind: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs: number }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason; readonly retryAfterMs: number }
  | { readonly kind: 'failed'; readonly status: number };

export type OutcomeKind = RequestOutcome['kind'];

export const OUTCOME_HEADER = 'fuchsiahitch-outcome';
/** Sent for outcomes other than `completed`. */
export const REASON_HEADER = 'fuchsiahitch-reason';

const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
const FORBIDDEN = 403;
const BAD_REQUEST = 400;

/** The HTTP status if no part of an endpoint's answer was forwarded. */
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
