/**
 * Orders to endpoints: which weight version an endpoint is to run.
 *
 * Targets are absolute, so that an order that comes twice changes nothing, and each carries the fencing token
 * of the lease under which it was given.
 */
import * as z from 'zod';

/** What operators or trainers want of a pool. Grows by `sequence`; a lower one never replaces a higher. */
export const weightTargetSchema = z
  .strictObject({
    pool: z.string().min(1).max(63),
    version: z.number().int().min(0),
    sequence: z.number().int().min(1),
    /** The share of the pool that gets the version: below 1 for a staged rollout. */
    share: z.number().min(0).max(1),
  })
  .readonly();
export type WeightTarget = z.infer<typeof weightTargetSchema>;

/** An order to one endpoint. */
export interface WeightOrder {
  readonly endpointId: string;
  readonly version: number;
  readonly token: number;
}

/** What an endpoint says it runs. */
export interface ReadBack {
  readonly version: number;
  readonly startId: string;
}

/** How an order ended, as far as the one who gave it knows. */
export type OrderResult = 'accepted' | 'failed' | 'fenced' | 'unknown';
