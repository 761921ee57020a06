/**
 * What hosts ask the owner of a batch.
 */
import * as z from 'zod';
import { generatedEventSchema } from './itemProgress.js';
import { itemResultSchema, ownerSchema } from './model.js';

const count = z.number().int().min(0);

export const batchReadSchema = z
  .strictObject({ batchId: z.string(), after: count, waitMs: z.number().min(0) })
  .readonly();

/** `not-owner`: the host does not run the batch. `unsure`: it may have lost it and cannot ask the store. */
export const batchReadReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('page'),
    total: count,
    results: z.array(itemResultSchema).readonly(),
    next: count,
  }),
  z.strictObject({ kind: z.literal('not-owner') }),
  z.strictObject({ kind: z.literal('unsure') }),
]);
export type BatchReadReply = z.infer<typeof batchReadReplySchema>;

export const batchItemReadSchema = z.strictObject({ batchId: z.string(), itemId: z.string() }).readonly();

export const batchItemReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('body'), bodyBase64: z.string() }),
  z.strictObject({ kind: z.literal('no-item') }),
  z.strictObject({ kind: z.literal('not-owner') }),
]);
export type BatchItemReply = z.infer<typeof batchItemReplySchema>;

/** What was generated of one item. */
export const itemEventsSchema = z
  .strictObject({
    itemId: z.string(),
    events: z.array(generatedEventSchema).readonly(),
    /** How many events the whole text has; absent while its end is not known. */
    wholeEvents: count.optional(),
  })
  .readonly();
export type ItemEvents = z.infer<typeof itemEventsSchema>;

/**
 * Asks another host to go on with a batch: its owner shuts down, and gives what it had of the items; or its owner was
 * seen to be gone.
 */
export const batchAdoptSchema = z
  .strictObject({
    batchId: z.string(),
    from: ownerSchema,
    /** True if the owner itself asks. If not, it may live after all, and is asked first. */
    isGivenUp: z.boolean(),
    unfinished: z.array(itemEventsSchema).readonly(),
  })
  .readonly();
export type BatchAdopt = z.infer<typeof batchAdoptSchema>;

export const batchAdoptReplySchema = z.strictObject({ isAdopted: z.boolean() }).readonly();

/**
 * An endpoint and a weight version that it was seen with, or was ordered to load: tells hosts at once what its next
 * heartbeat would tell them later.
 */
export const endpointVersionSchema = z
  .strictObject({
    endpointId: z.string(),
    /** The endpoint's start that it is true of. */
    startWallMs: z.number(),
    model: z.string(),
    version: count,
  })
  .readonly();
export type EndpointVersion = z.infer<typeof endpointVersionSchema>;

/** How quick a host has found endpoints to be, a moment ago. */
export const pacesSeenSchema = z
  .strictObject({
    paces: z
      .array(
        z
          .strictObject({ endpointId: z.string(), startWallMs: z.number(), paceMs: z.number().positive() })
          .readonly(),
      )
      .max(2000)
      .readonly(),
  })
  .readonly();
export type PacesSeen = z.infer<typeof pacesSeenSchema>;

/** Asks a host that owns a batch whether it lives and runs it. */
export const batchRunsSchema = z.strictObject({ batchId: z.string() }).readonly();

/** `isRun`: the host runs the batch, and the store has confirmed that within the lease of the claim. */
export const batchRunsReplySchema = z.strictObject({ isRun: z.boolean() }).readonly();

export const batchEndSchema = z.strictObject({ batchId: z.string() }).readonly();

export const batchEndReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('ended') }),
  z.strictObject({ kind: z.literal('not-owner') }),
  z.strictObject({ kind: z.literal('unsure') }),
]);
export type BatchEndReply = z.infer<typeof batchEndReplySchema>;
