/**
 * Messages about idempotency keys between hosts.
 */
import * as z from 'zod';

const MAX_KEY = 255;
const keySchema = z.string().min(1).max(MAX_KEY);

/** An answer that is kept for resends. Only small ones are. */
export const storedAnswerSchema = z
  .strictObject({ status: z.number().int(), contentType: z.string(), body: z.string() })
  .readonly();
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** What is known of a key. `released` erases it: the request was proved not to have run. */
export const keyStates = ['preparing', 'granted', 'finished', 'released'] as const;

export const keyRecordSchema = z
  .strictObject({
    key: keySchema,
    fingerprint: z.string(),
    attemptId: z.string(),
    state: z.enum(keyStates),
    answer: storedAnswerSchema.optional(),
    /** Grows with every change that the owner makes in this slot: an older change never overwrites. */
    change: z.number().int(),
    ageMs: z.number().min(0),
  })
  .readonly();
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** Asks the owner of a key for leave to run its request. */
export const claimSchema = z
  .strictObject({
    key: keySchema,
    fingerprint: z.string(),
    attemptId: z.string(),
    domains: z.string(),
    waitMs: z.number().min(0),
    /** True once a host of the home domain passed the claim on; it is not passed on again. */
    relayed: z.boolean(),
  })
  .readonly();
export type Claim = z.infer<typeof claimSchema>;

/** What the owner says. Only `granted` allows a run, and only of the attempt that asked. */
export const claimReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('granted') }),
  z.strictObject({ kind: z.literal('answered'), answer: storedAnswerSchema }),
  z.strictObject({
    kind: z.literal('unknown'),
    reason: z.enum(['first-still-running', 'answer-not-kept', 'key-records-lost', 'key-unsettled']),
  }),
  z.strictObject({ kind: z.literal('conflict') }),
  z.strictObject({ kind: z.literal('wrong-owner') }),
]);
export type ClaimReply = Readonly<z.infer<typeof claimReplySchema>>;

/** Tells the owner how a granted attempt ended. */
export const finishSchema = z
  .strictObject({
    key: keySchema,
    attemptId: z.string(),
    /** `released`: proved not run. `finished`: it ran, or may have. */
    end: z.enum(['released', 'finished']),
    answer: storedAnswerSchema.optional(),
    relayed: z.boolean(),
  })
  .readonly();
export type Finish = z.infer<typeof finishSchema>;
export const finishReplySchema = z.strictObject({ accepted: z.boolean() }).readonly();

const slot = z.number().int().min(0);
const epoch = z.number().int().min(0);

/** The owner's change of one record, sent to the copy before the change counts. */
export const copyRecordSchema = z.strictObject({ slot, epoch, record: keyRecordSchema }).readonly();
export type CopyRecord = z.infer<typeof copyRecordSchema>;
export const acceptedSchema = z.strictObject({ accepted: z.boolean() }).readonly();
export type Accepted = z.infer<typeof acceptedSchema>;

/** Everything that a slot's owner knows, sent to a new copy. */
export const syncSlotSchema = z
  .strictObject({ slot, epoch, records: z.array(keyRecordSchema).readonly(), lostForMs: z.number().min(0) })
  .readonly();
export type SyncSlot = z.infer<typeof syncSlotSchema>;

/** Asks an earlier holder to take no more part below `epoch`, and for what it holds. */
export const fenceSlotSchema = z.strictObject({ slot, epoch, holder: z.string() }).readonly();
export type FenceSlot = z.infer<typeof fenceSlotSchema>;

/** `holds` only if the holder's records are whole for `completeEpoch`; another process answers `gone`. */
export const fenceReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('holds'),
    completeEpoch: epoch,
    records: z.array(keyRecordSchema).readonly(),
    lostForMs: z.number().min(0),
  }),
  z.strictObject({ kind: z.literal('gone') }),
  z.strictObject({ kind: z.literal('later-epoch') }),
]);
export type FenceReply = Readonly<z.infer<typeof fenceReplySchema>>;
