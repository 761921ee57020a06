/**
 * A batch: many generations that a trainer submits at once, that are kept until they are done, and whose
 * results are read by position.
 */
import * as z from 'zod';

/** The request that asks for the score of an item's text. It may be repeated; the service knows the text by itself. */
export const scoreRequestSchema = z
  .strictObject({
    id: z.string(),
    /** Host name and path: they decide by the rules where the request goes, as they do for a caller's. */
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
    /** The path of the request that runs the item, with its query. */
    path: z.string(),
    /** Headers of that request, as the trainer gave them. */
    headers: z.record(z.string(), z.string()).readonly(),
    /** The request's body, in base64. */
    bodyBase64: z.string(),
    /** Prompt tokens and the maximum of output tokens together. */
    tokens: z.number().min(0),
    /** The trainer's estimate of output tokens: right at the median, often far off. 0 for none. */
    expectedTokens: z.number().min(0),
    /** Items of one group share their prompt, and count for the trainer only when all are listed. */
    group: z.string(),
    /** Names the part of the prompt that other items share; empty for none. */
    promptKey: z.string(),
    /** Asks for the score of the whole text; absent for an item that is listed without one. */
    scoring: scoreRequestSchema.optional(),
  })
  .readonly();
export type BatchItem = z.infer<typeof batchItemSchema>;

export const batchSchema = z
  .strictObject({
    id: z.string(),
    /** The client account whose batch it is; absent for a batch that anybody may submit. */
    accountName: z.string().optional(),
    /** The host name of the route; with an item's path it decides where the item runs. */
    host: z.string(),
    /** The trainer's step; undefined for a batch that belongs to none. */
    step: z.number().optional(),
    /** The model whose weights generate; empty for whichever the endpoint has. */
    model: z.string(),
    /** The oldest weight version that may generate a token of this batch. */
    minVersion: z.number(),
    /** Whole groups that the trainer waits for. */
    groupsWanted: z.number(),
    items: z.array(batchItemSchema).readonly(),
  })
  .readonly();
export type Batch = z.infer<typeof batchSchema>;

/** What became of one item. `terminated`: given up, with the text that there was. */
export const itemResultSchema = z
  .strictObject({
    id: z.string(),
    state: z.enum(['completed', 'terminated']),
    text: z.string(),
    /** Every weight version that generated a part of the text, in the order of their use. */
    versions: z.array(z.number()).readonly(),
    /** The scoring service's proof of origin on its answer, which trainers take for the score. */
    score: z.string().optional(),
  })
  .readonly();
export type ItemResult = z.infer<typeof itemResultSchema>;

/** One process of a host, and where its peers reach it. */
export const ownerFields = { hostId: z.string(), incarnation: z.string(), address: z.string() } as const;
export const ownerSchema = z.strictObject(ownerFields).readonly();
export type Owner = z.infer<typeof ownerSchema>;

export function isSameOwner(a: Owner, b: Owner): boolean {
  return a.hostId === b.hostId && a.incarnation === b.incarnation;
}
