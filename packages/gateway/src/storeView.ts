/**
 * How current a host's view of a store prefix is, and how it learned of a change.
 */
import { Instant, type Clock } from '@fuchsiahitch/base';

/**
 * How a host received changes:
 * - `watch`: from its own watch of the store.
 * - `follow`: from the host that watches the store for its failure domain.
 * - `read`: by a complete read of the prefix.
 */
export type ViewSource = 'watch' | 'follow' | 'read';

/** A view contains every change that the store acknowledged before `asOf`. */
export interface ViewState {
  readonly asOf: Instant;
  readonly source: ViewSource;
}

/** Describes how a host learned of a change. */
export interface ChangeOrigin {
  readonly source: ViewSource;
  /** The store's revision of the change, or of the complete read that showed it. */
  readonly revision: number;
  /** Upper bound on the time since the store acknowledged the change; Infinity if the previous view is unknown. */
  readonly maxDelayMs: number;
}

/**
 * The state that the answer to a watch shows. A store that found no change within the wait has answered after it, so the
 * view is current up to the end of the wait.
 */
export function watchedAsOf(clock: Clock, began: Instant, waitMs: number, hasChanges: boolean): Instant {
  const waitEnd = began.plus(waitMs);
  const hasWaited = !waitEnd.isAfter(Instant.now(clock));
  return hasWaited && !hasChanges ? waitEnd : began;
}
