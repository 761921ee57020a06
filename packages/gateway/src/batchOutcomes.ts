/**
 * Outcomes of a trainer's calls about its batches.
 */
import type { ResultPage } from '@fuchsiahitch/batches';

export type SubmitOutcome =
  | { readonly kind: 'accepted' }
  /** No item of the batch runs, now or later. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly kind: 'unknown' };

export type ReadOutcome =
  | { readonly kind: 'page'; readonly page: ResultPage }
  | { readonly kind: 'no-batch' }
  | { readonly kind: 'unsure' };

export type ItemOutcome =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'no-item' }
  | { readonly kind: 'unsure' };

export type EndOutcome = 'ended' | 'no-batch' | 'unsure';
