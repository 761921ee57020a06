/**
 * Messages between hosts about batches.
 */
import * as z from 'zod';
import { generatedEventSchema } from './itemProgress.js';
import { batchSchema, itemResultSchema, ownerSchema } from './model.js';

const count = z.number().int().min(0);

export const batchReadSchema = z
  .strictObject({ batchId: z.string(), after: count, waitMs: z.number().min(0) })
  .readonly();

/** `not-owner`: the host does not run the batch. `unsure`: it may have lost the claim and cannot reach the store. */
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

export const itemEventsSchema = z
  .strictObject({
    itemId: z.string(),
    events: z.array(generatedEventSchema).readonly(),
    /** The number of events of the complete text; absent while it is incomplete. */
    wholeEvents: count.optional(),
  })
  .readonly();
export type ItemEvents = z.infer<typeof itemEventsSchema>;

/** Asks another host to adopt a batch whose owner is shutting down or appears to have terminated. */
export const batchAdoptSchema = z
  .strictObject({
    batchId: z.string(),
    from: ownerSchema,
    /** True if sent by the owner. Otherwise the owner may be alive and is probed first. */
    isGivenUp: z.boolean(),
    unfinished: z.array(itemEventsSchema).readonly(),
  })
  .readonly();
export type BatchAdopt = z.infer<typeof batchAdoptSchema>;

export const batchAdoptReplySchema = z.strictObject({ isAdopted: z.boolean() }).readonly();

/** A weight version that an endpoint reported or was ordered to load, sent ahead of its next heartbeat. */
export const endpointVersionSchema = z
  .strictObject({
    endpointId: z.string(),
    /** Start time of the endpoint's process; the version does not apply to its other processes. */
    startWallMs: z.number(),
    model: z.string(),
    version: count,
  })
  .readonly();
export type EndpointVersion = z.infer<typeof endpointVersionSchema>;

/** Paces of endpoints that a host measured recently. */
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

/** Asks the owner of a batch whether it still runs it. */
export const batchRunsSchema = z.strictObject({ batchId: z.string() }).readonly();

/** `isRun`: the host runs the batch, confirmed by the store within the claim's lease. */
export const batchRunsReplySchema = z.strictObject({ isRun: z.boolean() }).readonly();

export const batchEndSchema = z.strictObject({ batchId: z.string() }).readonly();

export const batchEndReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('ended') }),
  z.strictObject({ kind: z.literal('not-owner') }),
  z.strictObject({ kind: z.literal('unsure') }),
]);
export type BatchEndReply = z.infer<typeof batchEndReplySchema>;

/** Asks the home host of a batch's trainer to accept and own the batch. */
export const batchSubmitSchema = z.strictObject({ batch: batchSchema, leftMs: z.number().min(0) }).readonly();

/** `declined`: the host has not written anything and will not. `unknown`: the batch may have been accepted. */
export const batchSubmitReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('accepted') }),
  z.strictObject({ kind: z.literal('declined'), reason: z.string() }),
  z.strictObject({ kind: z.literal('not-run'), reason: z.string(), retryAfterMs: z.number().min(0) }),
  z.strictObject({ kind: z.literal('unknown') }),
]);
export type BatchSubmitReply = z.infer<typeof batchSubmitReplySchema>;

/** The work of one step of a model, announced by the owner of its batch. */
export const modelDemandSchema = z
  .strictObject({
    pool: z.string(),
    model: z.string(),
    batchId: z.string(),
    items: count,
    /** Sum of the trainer's estimates of output tokens. */
    expectedTokens: z.number().min(0),
    /** Events generated for the batch; absent until the batch has ended. */
    events: count.optional(),
  })
  .readonly();
export type ModelDemandUpdate = z.infer<typeof modelDemandSchema>;
