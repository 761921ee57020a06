/**
 * The records of a batch in the store.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import * as z from 'zod';
import { itemEventsSchema, type ItemEvents } from './batchMessages.js';
import { batchSchema, itemResultSchema, ownerSchema, type Batch, type ItemResult } from './model.js';

export const claimSchema = z
  .strictObject({
    owner: ownerSchema,
    isEnded: z.boolean(),
    /** The number of items. */
    items: z.number().int().min(0),
    /** The number of records of the submitted batch. */
    parts: z.number().int().min(1),
    /** Wall time of the acceptance. Records are removed some time after it. */
    acceptedWallMs: z.number(),
    takeovers: z.number().int().min(0),
  })
  .readonly();
export type Claim = z.infer<typeof claimSchema>;

/** Announces an owner's claim to the other hosts. `revision` is the claim record's. */
export const claimUpdateSchema = z
  .strictObject({ batchId: z.string(), claim: claimSchema, revision: z.number().int().min(0) })
  .readonly();
export type ClaimUpdate = z.infer<typeof claimUpdateSchema>;

const resultListSchema = z.array(itemResultSchema).readonly();

/** Maps a step to its batch. */
const stepRecordSchema = z.strictObject({ batchId: z.string(), step: z.number() }).readonly();
export type StepRecord = z.infer<typeof stepRecordSchema>;

const progressListSchema = z.array(itemEventsSchema).readonly();

/** In UTF-16 units, of at most three bytes in UTF-8. The store accepts values of about a million bytes. */
export const MAX_RECORD_UNITS = 330_000;

/** A record that does not match its schema: written by another version or damaged. */
export interface RecordError {
  readonly kind: 'bad-record';
  readonly key: string;
}

export function parseClaim(key: string, text: string): Result<Claim, RecordError> {
  return parseRecord(key, text, claimSchema);
}

export function parseResults(key: string, text: string): Result<readonly ItemResult[], RecordError> {
  return parseRecord(key, text, resultListSchema);
}

export function parseStep(key: string, text: string): Result<StepRecord, RecordError> {
  return parseRecord(key, text, stepRecordSchema);
}

export function parseProgress(key: string, text: string): Result<readonly ItemEvents[], RecordError> {
  return parseRecord(key, text, progressListSchema);
}

/** Memory of an item besides its texts. */
const ITEM_BYTES = 200;

/** The memory that a batch takes as submitted. */
export function batchSizeBytes({ items }: Batch): number {
  let sizeBytes = 0;
  for (const { bodyBase64, path, headers, scoring } of items) {
    sizeBytes += ITEM_BYTES + bodyBase64.length + path.length + (scoring?.bodyBase64.length ?? 0);
    for (const [name, value] of Object.entries(headers)) sizeBytes += name.length + value.length;
  }
  return sizeBytes;
}

/** Serializes the batch into parts that each fit one record. */
export function splitBatch(batch: Batch): readonly string[] {
  const text = JSON.stringify(batch);
  const parts: string[] = [];
  for (let at = 0; at < text.length; at += MAX_RECORD_UNITS)
    parts.push(text.slice(at, at + MAX_RECORD_UNITS));
  return parts;
}

export function joinBatch(key: string, parts: readonly string[]): Result<Batch, RecordError> {
  return parseRecord(key, parts.join(''), batchSchema);
}

/** Returns how many of the first results fit one record; at least one if there are any. */
export function countFitting(results: readonly ItemResult[]): number {
  let units = 0;
  let count = 0;
  for (const result of results) {
    // JSON escapes quotes and line feeds, which at most doubles a typical text.
    units += 2 * result.text.length + 200;
    if (count > 0 && units > MAX_RECORD_UNITS) break;
    count += 1;
  }
  return count;
}

function parseRecord<T>(key: string, text: string, schema: z.ZodType<T>): Result<T, RecordError> {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err({ kind: 'bad-record', key });
  } catch {
    return err({ kind: 'bad-record', key });
  }
}
