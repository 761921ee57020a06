/**
 * A batch: items to generate that a trainer submits together, stored until they are done. Results are read by position.
 */
import * as z from 'zod';

/** The idempotent request for the score of an item's text. The scoring service obtains the text itself. */
export const scoreRequestSchema = z
  .strictObject({
    id: z.string(),
    /** Host name and path determine the route, as for callers. */
    host: z.string(),
    path: z.string(),
    /** The request's body, in base64. */
    bodyBase64: z.string(),
  })
  .readonly();
export type ScoreRequest = z.infer<typeof scoreRequestSchema>;

/** One generation of a batch. */
export const batchItemSchema = z
  .strictObject({
    id: z.string(),
    /** Path and query of the request that runs the item. */
    path: z.string(),
    /** Headers of that request, unchanged from the trainer. */
    headers: z.record(z.string(), z.string()).readonly(),
    /** The request's body, in base64. */
    bodyBase64: z.string(),
    /** The sum of prompt tokens and maximum output tokens. */
    tokens: z.number().min(0),
    /** The trainer's rough estimate of output tokens; 0 for none. */
    expectedTokens: z.number().min(0),
    /** Items of a group share their prompt and are useful to the trainer only when all are listed. */
    group: z.string(),
    /** Identifies the part of the prompt that is shared with other items; empty for none. */
    promptKey: z.string(),
    /** Requests the score of the complete text; absent for items without a score. */
    scoring: scoreRequestSchema.optional(),
  })
  .readonly();
export type BatchItem = z.infer<typeof batchItemSchema>;

export const batchSchema = z
  .strictObject({
    id: z.string(),
    /** The client account that owns the batch; absent if submission needs no account. */
    accountName: z.string().optional(),
    /** Determines the route together with an item's path. */
    host: z.string(),
    /** The trainer's step; undefined for a batch without a step. */
    step: z.number().optional(),
    /** Empty if any model that the endpoint has loaded will do. */
    model: z.string(),
    /** The oldest weight version allowed for any token of this batch. */
    minVersion: z.number(),
    /** The number of complete groups that the trainer waits for. */
    groupsWanted: z.number(),
    items: z.array(batchItemSchema).readonly(),
  })
  .readonly();
export type Batch = z.infer<typeof batchSchema>;

/** `terminated`: the item was abandoned; the text may be partial. */
export const itemResultSchema = z
  .strictObject({
    id: z.string(),
    state: z.enum(['completed', 'terminated']),
    text: z.string(),
    /** The weight versions of the text, in the order of their first use. */
    versions: z.array(z.number()).readonly(),
    /** The proof of origin on the scoring service's answer, which trainers use as the score. */
    score: z.string().optional(),
  })
  .readonly();
export type ItemResult = z.infer<typeof itemResultSchema>;

/** One process of a host and its address for peers. */
export const ownerFields = { hostId: z.string(), incarnation: z.string(), address: z.string() } as const;
export const ownerSchema = z.strictObject(ownerFields).readonly();
export type Owner = z.infer<typeof ownerSchema>;

export function isSameOwner(a: Owner, b: Owner): boolean {
  return a.hostId === b.hostId && a.incarnation === b.incarnation;
}
