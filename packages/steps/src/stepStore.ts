/** The stored state of a step. The number of store calls grows with its chunks, not with its samples. */
import * as z from 'zod';
import type { Result } from '@fuchsiahitch/base';
import type { StepSpec } from './model.js';
import { stepSpecSchema } from './model.js';

/** Each change of owner raises the epoch, which fences the former owner. */
export const stepHeadSchema = z
  .strictObject({
    owner: z.string(),
    epoch: z.number().int().min(1),
    state: z.enum(['open', 'closed', 'abandoned']),
    /** Groups that ended without samples. Set when the step is closed. */
    failedGroups: z
      .array(z.strictObject({ group: z.number().int(), reason: z.string() }).readonly())
      .readonly(),
  })
  .readonly();
export type StepHead = z.infer<typeof stepHeadSchema>;

const manifestEntrySchema = z.strictObject({ slot: z.number().int(), sampleId: z.string() }).readonly();
export type ManifestEntry = z.infer<typeof manifestEntrySchema>;

/** One generation of a chunk. A new generation replaces the last one if samples became stale. */
export const manifestSchema = z
  .strictObject({ generation: z.number().int().min(1), entries: z.array(manifestEntrySchema).readonly() })
  .readonly();
export type Manifest = z.infer<typeof manifestSchema>;

/** All generations of a chunk. The trainer's take call states the one that it holds. */
export const chunkSchema = z
  .strictObject({ chunk: z.number().int().min(0), generations: z.array(manifestSchema).min(1).readonly() })
  .readonly();
export type Chunk = z.infer<typeof chunkSchema>;

export const storedStepSchema = z
  .strictObject({ head: stepHeadSchema, spec: stepSpecSchema, chunks: z.array(chunkSchema).readonly() })
  .readonly();

/** Fenced writes compare against `headVersion`. */
export interface StoredStep {
  readonly head: StepHead;
  readonly headVersion: number;
  readonly spec: StepSpec;
  readonly chunks: readonly Chunk[];
}

/** `fenced`: another host owns the step. `unavailable`: the write may or may not have taken effect. */
export type StepStoreError = 'fenced' | 'unavailable' | 'too-large';

export interface StepStore {
  load(key: string): Promise<Result<StoredStep | undefined, StepStoreError>>;
  /** Creates a step if it is absent. Returns the version of its head. */
  create(key: string, head: StepHead, spec: StepSpec): Promise<Result<number, StepStoreError>>;
  /** Replaces the head if its version is unchanged. Returns the new version. */
  replaceHead(key: string, headVersion: number, head: StepHead): Promise<Result<number, StepStoreError>>;
  /** Writes a chunk if the version of the head is unchanged. */
  writeChunk(key: string, headVersion: number, chunk: Chunk): Promise<Result<undefined, StepStoreError>>;
  /** Removes the chunks and prompts of a step. Retains the head to answer late calls. */
  close(key: string, headVersion: number, head: StepHead): Promise<Result<undefined, StepStoreError>>;
}
