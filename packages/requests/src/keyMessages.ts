/** Messages about idempotency keys between hosts. */
import * as z from 'zod';

const MAX_KEY_LENGTH = 255;
const keySchema = z.string().min(1).max(MAX_KEY_LENGTH);

/** A small answer stored for resends. */
export const storedAnswerSchema = z
  .strictObject({ status: z.number().int(), contentType: z.string(), body: z.string() })
  .readonly();
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** `released` removes the record: the request provably did not run. */
export const keyStates = ['preparing', 'granted', 'finished', 'released'] as const;

export const keyRecordSchema = z
  .strictObject({
    key: keySchema,
    fingerprint: z.string(),
    attemptId: z.string(),
    state: z.enum(keyStates),
    answer: storedAnswerSchema.optional(),
    /** Sequence number in this slot: an older change never overwrites a newer one. */
    change: z.number().int(),
    ageMs: z.number().min(0),
  })
  .readonly();
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** Asks the owner of a key for permission to run. */
export const claimSchema = z
  .strictObject({
    key: keySchema,
    fingerprint: z.string(),
    attemptId: z.string(),
    domains: z.string(),
    waitMs: z.number().min(0),
    /** True if a host of the home domain already forwarded the claim. */
    relayed: z.boolean(),
  })
  .readonly();
export type Claim = z.infer<typeof claimSchema>;

/** Only `granted` permits a run, and only of the requesting attempt. */
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

/** Reports the end of a granted attempt to the owner. */
export const finishSchema = z
  .strictObject({
    key: keySchema,
    attemptId: z.string(),
    /** `released`: it provably did not run. `finished`: it ran or may have run. */
    end: z.enum(['released', 'finished']),
    answer: storedAnswerSchema.optional(),
    relayed: z.boolean(),
  })
  .readonly();
export type Finish = z.infer<typeof finishSchema>;
export const finishReplySchema = z.strictObject({ accepted: z.boolean() }).readonly();

const slot = z.number().int().min(0);
const epoch = z.number().int().min(0);

/** The owner's change of one record, sent to the copy before the change takes effect. */
export const copyRecordSchema = z.strictObject({ slot, epoch, record: keyRecordSchema }).readonly();
export type CopyRecord = z.infer<typeof copyRecordSchema>;
export const acceptedSchema = z.strictObject({ accepted: z.boolean() }).readonly();
export type Accepted = z.infer<typeof acceptedSchema>;

/** All records of a slot, sent by its owner to a new copy. */
export const syncSlotSchema = z
  .strictObject({ slot, epoch, records: z.array(keyRecordSchema).readonly(), lostForMs: z.number().min(0) })
  .readonly();
export type SyncSlot = z.infer<typeof syncSlotSchema>;

/** Fences an earlier holder from epochs below `epoch` and requests its records. */
export const fenceSlotSchema = z.strictObject({ slot, epoch, holder: z.string() }).readonly();
export type FenceSlot = z.infer<typeof fenceSlotSchema>;

/**
 * `holds`: the records are complete for `completeEpoch`. `gone`: the holder's process ended and another one replied.
 * `later-epoch`: the holder has already promised a later epoch.
 */
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
