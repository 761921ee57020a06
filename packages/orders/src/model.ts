/**
 * Orders that set the weight version of endpoints. They are idempotent and carry the fencing token of the lease under
 * which they were given.
 */
import * as z from 'zod';

/** The requested version of a pool. A target never replaces one with a higher `sequence`. */
export const weightTargetSchema = z
  .strictObject({
    pool: z.string().min(1).max(63),
    version: z.number().int().min(0),
    sequence: z.number().int().min(1),
    /** The share of the pool that receives the version; below 1 for a staged rollout. */
    share: z.number().min(0).max(1),
  })
  .readonly();
export type WeightTarget = z.infer<typeof weightTargetSchema>;

/** An order to one endpoint. `token` is the fencing token. */
export interface WeightOrder {
  readonly endpointId: string;
  readonly version: number;
  readonly token: number;
}

/** The version that an endpoint reports. */
export interface ReadBack {
  readonly version: number;
  readonly startId: string;
}

/** The result of an order as seen by its sender. */
export type OrderResult = 'accepted' | 'failed' | 'fenced' | 'unknown';
