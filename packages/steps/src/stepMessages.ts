/** Calls of trainers, and messages about steps between hosts. */
import * as z from 'zod';
import { sampleSchema, stepSpecSchema } from './model.js';

const count = z.number().int().min(0);
const key = z.string().min(1).max(130);

/** Opens a step. Idempotent per trainer and step. */
export const openRequestSchema = stepSpecSchema;

export const takeRequestSchema = z
  .strictObject({
    key,
    /** The number of complete chunks that the trainer holds. */
    cursor: count,
    /** The generation of the last chunk that the trainer holds, or 0 for none. */
    generation: count,
    trainerVersion: count,
    maxSamples: z.number().int().min(1).max(4096),
    /** Slots that the trainer holds, as ranges [from, to). If present, chunks are not sealed. */
    held: z
      .array(z.strictObject({ from: count, to: count }).readonly())
      .readonly()
      .optional(),
  })
  .readonly();
export type TakeRequest = z.infer<typeof takeRequestSchema>;

const progressSchema = z
  .strictObject({
    open: count,
    assigned: count,
    ready: count,
    sealed: count,
    delivered: count,
    failed: count,
  })
  .readonly();

export const waitReasons = ['generating', 'store-unavailable', 'owner-moving'] as const;

export const takeReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('chunk'),
    chunk: count,
    generation: count,
    samples: z.array(sampleSchema).readonly(),
    progress: progressSchema,
  }),
  z.strictObject({
    kind: z.literal('wait'),
    reason: z.enum(waitReasons),
    retryAfterMs: count,
    progress: progressSchema,
  }),
  z.strictObject({
    kind: z.literal('over'),
    failedGroups: z.array(z.strictObject({ group: count, reason: z.string() }).readonly()).readonly(),
    progress: progressSchema,
  }),
  z.strictObject({ kind: z.literal('unknown-step') }),
  z.strictObject({ kind: z.literal('abandoned') }),
]);
export type TakeReply = Readonly<z.infer<typeof takeReplySchema>>;

export const openReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('opened'), key, samples: count }),
  z.strictObject({ kind: z.literal('already-open'), key, samples: count }),
  z.strictObject({ kind: z.literal('over'), key }),
  z.strictObject({ kind: z.literal('differs'), key }),
  z.strictObject({ kind: z.literal('try-later'), reason: z.string(), retryAfterMs: count }),
]);
export type OpenReply = Readonly<z.infer<typeof openReplySchema>>;

export const abandonRequestSchema = z.strictObject({ key }).readonly();
export const abandonReplySchema = z.strictObject({ abandoned: z.boolean() }).readonly();
export const progressReplySchema = z
  .strictObject({ known: z.boolean(), progress: progressSchema, hedges: count, duplicates: count })
  .readonly();

export const stepOfferSchema = z
  .strictObject({
    key,
    house: z.string(),
    pool: z.string(),
    owner: z.string(),
    ownerAddress: z.string(),
    /** The owner's epoch. Offers of former owners are ignored. */
    epoch: count,
    share: z.number().min(0).max(1),
    hasWork: z.boolean(),
    isOver: z.boolean(),
    maxTokens: count,
    deadlineInMs: z.number(),
    /** The receiver forwards the offer to the other hosts of its failure domain. */
    passOn: z.boolean(),
  })
  .readonly();
export type StepOffer = z.infer<typeof stepOfferSchema>;

export const workPullSchema = z.strictObject({ key, worker: z.string(), count }).readonly();
export const workPullReplySchema = z
  .strictObject({
    known: z.boolean(),
    batch: count,
    assignments: z
      .array(z.strictObject({ slot: count, sampleId: z.string(), prompt: z.string() }).readonly())
      .readonly(),
  })
  .readonly();

/** Renews the leases of a worker's batches. */
export const workAliveSchema = z
  .strictObject({ key, batches: z.array(count).max(4096).readonly() })
  .readonly();

export const sampleDoneSchema = z.strictObject({ key, worker: z.string(), sample: sampleSchema }).readonly();
export const sampleDoneReplySchema = z
  .strictObject({ verdict: z.enum(['taken', 'duplicate', 'unknown-attempt', 'step-over', 'unknown-step']) })
  .readonly();

/** `endedEngine`: the engine that terminated as it began to generate. */
export const sampleFailedSchema = z
  .strictObject({ key, sampleId: z.string(), isOwnFault: z.boolean(), endedEngine: z.string().optional() })
  .readonly();

/** Requests a page of the samples of a step that a worker retains. */
export const heldSamplesSchema = z.strictObject({ key, from: count }).readonly();
export const heldSamplesReplySchema = z
  .strictObject({ samples: z.array(sampleSchema).readonly(), next: count, hasMore: z.boolean() })
  .readonly();

/** Requests that a peer fetch a second copy of samples that the owner generated itself. */
export const sampleCopyRequestSchema = z.strictObject({ key }).readonly();

export const emptySchema = z.strictObject({}).readonly();
