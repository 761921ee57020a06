/**
 * Steps, groups, slots and samples.
 *
 * A step asks for a number of samples for each of its groups of prompts. A slot is one place in a group; it
 * is filled by exactly one sample. A sample has an identifier of its own, so that a second attempt at a slot
 * is another sample and never mistaken for the first.
 */
import * as z from 'zod';

const MAX_NAME = 63;
const MAX_PROMPT = 20_000;
const MAX_GROUPS = 8192;
const MAX_SAMPLES_A_GROUP = 256;
/** The most samples of one step. */
export const MAX_SAMPLES_PER_STEP = 65_536;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9:.-]*$/, 'not a lower-case name')
  .max(MAX_NAME);

export const groupSpecSchema = z
  .strictObject({
    prompt: z.string().min(1).max(MAX_PROMPT),
    samples: z.number().int().min(1).max(MAX_SAMPLES_A_GROUP),
    /** A guess of the length, in tokens: longer ones are begun first. */
    expectedTokens: z.number().int().min(0).default(0),
  })
  .readonly();

/** What a trainer asks for. */
export const stepSpecSchema = z
  .strictObject({
    trainer: name,
    step: z.number().int().min(0),
    house: name,
    pool: name,
    groups: z.array(groupSpecSchema).min(1).max(MAX_GROUPS).readonly(),
    maxTokens: z.number().int().min(1).max(1_000_000),
    /** A sample is too old when its oldest tokens are this many weight versions behind the trainer. */
    stalenessVersions: z.number().int().min(0).max(1000),
    /** A sample is too old this long after its generation was assigned. */
    stalenessMs: z.number().int().min(1000),
    /** The step ends this long after it was opened; groups that are not whole by then are reported. */
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

/** Consecutive tokens that one weight version produced. */
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
    /** Time since its generation began at the worker. */
    ageMs: z.number().min(0),
  })
  .readonly();
export type Sample = z.infer<typeof sampleSchema>;

/** The name of a step across the fleet. */
export function stepKey(trainer: string, step: number): string {
  return `${trainer}/${step}`;
}
