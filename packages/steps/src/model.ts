/**
 * Steps, groups, slots and samples.
 *
 * A step requests a number of samples for the prompt of each of its groups. A slot is one position in a group and
 * is filled by exactly one sample. Each attempt at a slot has its own sample identifier.
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
    /** The estimated length in tokens. Longer groups are started first. */
    expectedTokens: z.number().int().min(0).default(0),
  })
  .readonly();

/** A trainer's request for a step. */
export const stepSpecSchema = z
  .strictObject({
    trainer: name,
    step: z.number().int().min(0),
    house: name,
    pool: name,
    groups: z.array(groupSpecSchema).min(1).max(MAX_GROUPS).readonly(),
    maxTokens: z.number().int().min(1).max(1_000_000),
    /** The maximum number of weight versions by which a sample's oldest tokens may lag behind the trainer. */
    stalenessVersions: z.number().int().min(0).max(1000),
    /** The maximum age of a sample since its generation was assigned. */
    stalenessMs: z.number().int().min(1000),
    /** The time from the opening of the step until it ends. Groups that are incomplete by then are reported. */
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

/** A finished and scored sample. */
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

/** Returns the fleet-wide key of a step. */
export function stepKey(trainer: string, step: number): string {
  return `${trainer}/${step}`;
}
