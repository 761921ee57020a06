/**
 * Extracts the reason for a failed attempt, for the log.
 */

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
