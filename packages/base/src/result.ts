/**
 * Outcomes as values: what can go wrong is part of the type, and only broken invariants throw.
 */

/** A success that carries a value. */
export interface Ok<T> {
  readonly ok: true;
  readonly value: T;
}

/** A failure that carries a tagged error. */
export interface Err<E> {
  readonly ok: false;
  readonly error: E;
}

/** Either a value or a tagged error. */
export type Result<T, E> = Ok<T> | Err<E>;

export function ok<T>(value: T): Ok<T> {
  return { ok: true, value };
}

export function err<E>(error: E): Err<E> {
  return { ok: false, error };
}

/** Throws when a condition that the code relies on does not hold: a defect, never an event of operation. */
export function invariant(condition: boolean, text: string): asserts condition {
  if (!condition) throw new Error(`broken invariant: ${text}`);
}

/** The text of anything that was thrown. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
