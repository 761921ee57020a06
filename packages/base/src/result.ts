/** Results as values: expected failures are part of the type, and only violated invariants throw. */

export interface Ok<T> {
  readonly ok: true;
  readonly value: T;
}

export interface Err<E> {
  readonly ok: false;
  readonly error: E;
}

export type Result<T, E> = Ok<T> | Err<E>;

export function ok<T>(value: T): Ok<T> {
  return { ok: true, value };
}

export function err<E>(error: E): Err<E> {
  return { ok: false, error };
}

/** Throws if a condition that the code relies on does not hold. A failure is a defect in the program. */
export function invariant(condition: boolean, text: string): asserts condition {
  if (!condition) throw new Error(`invariant violated: ${text}`);
}

export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
