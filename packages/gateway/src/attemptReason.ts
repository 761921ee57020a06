/**
 * Extracts the reason for a failed attempt, and the request that its answer names, for the log.
 */
import type { AnswerOrigin } from './ports.js';

/** `reason`: of a refusal, from a fixed set. `text`: the error of a broken connection. */
interface AttemptFailure {
  readonly kind: string;
  readonly reason?: string;
  readonly text?: string;
}

/** Returns undefined for an end without a reason. */
export function reasonOf({ reason, text }: AttemptFailure): string | undefined {
  return reason ?? text;
}

/** Returns the request that the answer names, unless it is the attempt's own one. */
export function otherAnsweredId(
  end: { readonly kind: string } & AnswerOrigin,
  requestId: string,
): string | undefined {
  return end.answeredId === requestId ? undefined : end.answeredId;
}
