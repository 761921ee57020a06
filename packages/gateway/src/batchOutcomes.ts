/**
 * Outcomes of a trainer's calls about its batches.
 */
import type { ResultPage } from '@fuchsiahitch/batches';
import type { ClientLimit } from '@fuchsiahitch/limits';

export type SubmitOutcome =
  | { readonly kind: 'accepted' }
  /** The batch was not accepted: none of its items will run. */
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      readonly retryAfterMs: number;
      /** The limit on clients that refused it. */
      readonly limit?: ClientLimit;
    }
  /** The store did not answer: the batch may have been accepted. */
  | { readonly kind: 'unknown' };

/** `unsure`: neither the owner nor the store could confirm an answer. */
export type ReadOutcome =
  | { readonly kind: 'page'; readonly page: ResultPage }
  | { readonly kind: 'no-batch' }
  | { readonly kind: 'unsure' };

export type ItemOutcome =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'no-item' }
  | { readonly kind: 'unsure' };

export type EndOutcome = 'ended' | 'no-batch' | 'unsure';
