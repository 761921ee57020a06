/**
 * Why an attempt at an endpoint did not succeed, for the log.
 */

/** An end of an attempt: a refusal has a reason of a few, a broken connection its error's text. */
interface AttemptFailure {
  readonly kind: string;
  readonly reason?: string;
  readonly text?: string;
}

/** Undefined for an end that needs none. */
export function reasonOf({ reason, text }: AttemptFailure): string | undefined {
  return reason ?? text;
}
