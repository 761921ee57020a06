/**
 * What the owner of a step keeps in the platform's key-value service: who owns it, what was asked for, and
 * one manifest for each sealed chunk. Calls grow with chunks, not with samples.
 */
import * as z from 'zod';
import type { Result } from '@fuchsiahitch/base';
import type { StepSpec } from './model.js';
import { stepSpecSchema } from './model.js';

/** Who owns a step. Each change of owner raises the epoch, which fences the former one. */
export const stepHeadSchema = z
  .strictObject({
    owner: z.string(),
    epoch: z.number().int().min(1),
    state: z.enum(['open', 'closed', 'abandoned']),
    /** Groups that ended without samples, once the step is closed. */
    failedGroups: z
      .array(z.strictObject({ group: z.number().int(), reason: z.string() }).readonly())
      .readonly(),
  })
  .readonly();
export type StepHead = z.infer<typeof stepHeadSchema>;

const manifestEntrySchema = z.strictObject({ slot: z.number().int(), sampleId: z.string() }).readonly();
export type ManifestEntry = z.infer<typeof manifestEntrySchema>;

/** The samples of one chunk in one generation. A generation replaces the last one when samples went stale. */
export const manifestSchema = z
  .strictObject({ generation: z.number().int().min(1), entries: z.array(manifestEntrySchema).readonly() })
  .readonly();
export type Manifest = z.infer<typeof manifestSchema>;

/** All generations of a chunk: the trainer's receipt says which one it holds. */
export const chunkSchema = z
  .strictObject({ chunk: z.number().int().min(0), generations: z.array(manifestSchema).min(1).readonly() })
  .readonly();
export type Chunk = z.infer<typeof chunkSchema>;

export const storedStepSchema = z
  .strictObject({ head: stepHeadSchema, spec: stepSpecSchema, chunks: z.array(chunkSchema).readonly() })
  .readonly();

/** A step as it stands in the store. `headVersion` is what a fenced write compares with. */
export interface StoredStep {
  readonly head: StepHead;
  readonly headVersion: number;
  readonly spec: StepSpec;
  readonly chunks: readonly Chunk[];
}

/** `fenced`: another host owns the step now. `unavailable`: nobody knows whether the write took effect. */
export type StepStoreError = 'fenced' | 'unavailable' | 'too-large';

/** The store, as the owner of a step needs it. */
export interface StepStore {
  load(key: string): Promise<Result<StoredStep | undefined, StepStoreError>>;
  /** Creates a step if it is absent; the version of its head. */
  create(key: string, head: StepHead, spec: StepSpec): Promise<Result<number, StepStoreError>>;
  /** Replaces the head if its version is still the given one; the new version. */
  replaceHead(key: string, headVersion: number, head: StepHead): Promise<Result<number, StepStoreError>>;
  /** Writes a chunk if the head's version is still the given one. */
  writeChunk(key: string, headVersion: number, chunk: Chunk): Promise<Result<undefined, StepStoreError>>;
  /** Ends a step: its chunks and prompts are removed, the head stays to answer late calls. */
  close(key: string, headVersion: number, head: StepHead): Promise<Result<undefined, StepStoreError>>;
}
