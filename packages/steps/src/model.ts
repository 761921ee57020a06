/**
 * A step requests a number of samples for the prompt of each of its groups. A slot is one position in a group and
 * is filled by exactly one sample. Each attempt at a slot has its own sample identifier, so that a later attempt is not
 * mistaken for an earlier one.
 */
import * as z from 'zod';

const MAX_NAME_LENGTH = 63;
const MAX_PROMPT_LENGTH = 20_000;
const MAX_GROUPS = 8192;
const MAX_SAMPLES_PER_GROUP = 256;
export const MAX_SAMPLES_PER_STEP = 65_536;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9:.-]*$/, 'not a lower-case name')
  .max(MAX_NAME_LENGTH);

export const groupSpecSchema = z
  .strictObject({
    prompt: z.string().min(1).max(MAX_PROMPT_LENGTH),
    samples: z.number().int().min(1).max(MAX_SAMPLES_PER_GROUP),
    /** The estimated length of a sample. Longer groups are started first. */
    expectedTokens: z.number().int().min(0).default(0),
  })
  .readonly();

export const stepSpecSchema = z
  .strictObject({
    trainer: name,
    step: z.number().int().min(0),
    house: name,
    pool: name,
    groups: z.array(groupSpecSchema).min(1).max(MAX_GROUPS).readonly(),
    maxTokens: z.number().int().min(1).max(1_000_000),
    /** The number of weight versions by which a sample's oldest tokens may lag behind the trainer. */
    stalenessVersions: z.number().int().min(0).max(1000),
    /** The maximum age of a sample, measured from the assignment of its slot. */
    stalenessMs: z.number().int().min(1000),
    /** The maximum duration of the step. Incomplete groups are reported as failed. */
    deadlineMs: z.number().int().min(1000),
  })
  .readonly()
  .refine(
    spec => countSamples(spec.groups) <= MAX_SAMPLES_PER_STEP,
    `more than ${MAX_SAMPLES_PER_STEP} samples`,
  );
export type StepSpec = z.infer<typeof stepSpecSchema>;

function countSamples(groups: readonly { readonly samples: number }[]): number {
  return groups.reduce((sum, group) => sum + group.samples, 0);
}

/** Consecutive tokens that were produced by one weight version. */
export const spanSchema = z
  .strictObject({ version: z.number().int().min(0), tokens: z.number().int().min(1) })
  .readonly();
export type Span = z.infer<typeof spanSchema>;

export const sampleSchema = z
  .strictObject({
    sampleId: z.string(),
    slot: z.number().int().min(0),
    text: z.string(),
    spans: z.array(spanSchema).min(1).readonly(),
    score: z.number(),
    /** The time since its generation started at the worker. */
    ageMs: z.number().min(0),
  })
  .readonly();
export type Sample = z.infer<typeof sampleSchema>;

export function stepKey(trainer: string, step: number): string {
  return `${trainer}/${step}`;
}
