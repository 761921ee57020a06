/**
 * The records of a batch in the store, and how they are read back.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import * as z from 'zod';
import { itemEventsSchema, type ItemEvents } from './batchMessages.js';
import { batchSchema, itemResultSchema, ownerSchema, type Batch, type ItemResult } from './model.js';

/** Who runs a batch, and whether it has ended. */
export const claimSchema = z
  .strictObject({
    owner: ownerSchema,
    isEnded: z.boolean(),
    /** How many items the batch has. */
    items: z.number().int().min(0),
    /** How many records the submitted batch takes. */
    parts: z.number().int().min(1),
    /** Wall time of acceptance: tells when the records may be removed, with a generous margin. */
    acceptedWallMs: z.number(),
    /** How often the batch changed hands. */
    takeovers: z.number().int().min(0),
  })
  .readonly();
export type Claim = z.infer<typeof claimSchema>;

/** An owner tells the other hosts of its claim: `revision` is that of the record. */
export const claimUpdateSchema = z
  .strictObject({ batchId: z.string(), claim: claimSchema, revision: z.number().int().min(0) })
  .readonly();
export type ClaimUpdate = z.infer<typeof claimUpdateSchema>;

const resultListSchema = z.array(itemResultSchema).readonly();

/** The batch of a step. */
const stepRecordSchema = z.strictObject({ batchId: z.string(), step: z.number() }).readonly();
export type StepRecord = z.infer<typeof stepRecordSchema>;

const progressListSchema = z.array(itemEventsSchema).readonly();

/**
 * The longest record in UTF-16 units. The store takes values of a million bytes or so; a unit takes at most
 * three bytes in UTF-8, so that a third of it fits whatever the text.
 */
export const MAX_RECORD_UNITS = 330_000;

/** A record that does not fit its schema: written by another version, or damaged. */
export interface RecordError {
  readonly kind: 'bad-record';
  readonly key: string;
}

export function readClaim(key: string, text: string): Result<Claim, RecordError> {
  return parse(key, text, claimSchema);
}

export function readResults(key: string, text: string): Result<readonly ItemResult[], RecordError> {
  return parse(key, text, resultListSchema);
}

export function readStep(key: string, text: string): Result<StepRecord, RecordError> {
  return parse(key, text, stepRecordSchema);
}

export function readProgress(key: string, text: string): Result<readonly ItemEvents[], RecordError> {
  return parse(key, text, progressListSchema);
}

/** The batch as texts that each fit one record. */
export function splitBatch(batch: Batch): readonly string[] {
  const text = JSON.stringify(batch);
  const parts: string[] = [];
  for (let at = 0; at < text.length; at += MAX_RECORD_UNITS)
    parts.push(text.slice(at, at + MAX_RECORD_UNITS));
  return parts;
}

export function joinBatch(key: string, parts: readonly string[]): Result<Batch, RecordError> {
  return parse(key, parts.join(''), batchSchema);
}

/** How many of the results fit one record, at least one. */
export function countFitting(results: readonly ItemResult[]): number {
  let units = 0;
  let count = 0;
  for (const result of results) {
    // Quotes and line feeds are written with a backslash: twice the text is a safe bound.
    units += 2 * result.text.length + 200;
    if (count > 0 && units > MAX_RECORD_UNITS) break;
    count += 1;
  }
  return count;
}

function parse<T>(key: string, text: string, schema: z.ZodType<T>): Result<T, RecordError> {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err({ kind: 'bad-record', key });
  } catch {
    return err({ kind: 'bad-record', key });
  }
}
