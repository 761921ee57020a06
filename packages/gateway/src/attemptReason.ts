/**
 * Extracts the reason of a failed attempt for the log.
 */

/** A refusal has a `reason` from a fixed set, a broken connection the `text` of its error. */
interface AttemptFailure {
  readonly kind: string;
  readonly reason?: string;
  readonly text?: string;
}

/** Returns undefined for an end without a reason. */
export function reasonOf({ reason, text }: AttemptFailure): string | undefined {
  return reason ?? text;
}
