/**
 * Definitions of all calls between entry hosts.
 */
import {
  batchAdoptReplySchema,
  batchAdoptSchema,
  batchEndReplySchema,
  batchEndSchema,
  batchItemReadSchema,
  batchItemReplySchema,
  batchReadReplySchema,
  batchReadSchema,
  endpointVersionSchema,
  batchRunsReplySchema,
  batchRunsSchema,
  batchSubmitReplySchema,
  batchSubmitSchema,
  claimUpdateSchema,
  modelDemandSchema,
  pacesSeenSchema,
} from '@fuchsiahitch/batches';
import { leavingNoticeSchema, memberDocumentSchema, memberUpdateSchema } from '@fuchsiahitch/membership';
import {
  acceptedSchema,
  claimReplySchema,
  claimSchema,
  copyRecordSchema,
  fenceReplySchema,
  fenceSlotSchema,
  finishReplySchema,
  finishSchema,
  slotMapSchema,
  syncSlotSchema,
} from '@fuchsiahitch/requests';
import { documentSchema, editSchema } from '@fuchsiahitch/rules';
import {
  abandonReplySchema,
  abandonRequestSchema,
  emptySchema,
  heldSamplesReplySchema,
  heldSamplesSchema,
  openReplySchema,
  openRequestSchema,
  progressReplySchema,
  sampleDoneReplySchema,
  sampleDoneSchema,
  sampleFailedSchema,
  sampleCopyRequestSchema,
  stepOfferSchema,
  takeReplySchema,
  takeRequestSchema,
  workAliveSchema,
  workPullReplySchema,
  workPullSchema,
} from '@fuchsiahitch/steps';
import * as z from 'zod';
import { defineCall } from './channel.js';

const count = z.number().int().min(0);

/** Gossip between two hosts. A host with a lower revision pulls the newer state. */
export const pingSchema = z
  .strictObject({
    updates: z.array(memberUpdateSchema).max(64).readonly(),
    rulesRevision: count,
    slotMapRevision: count,
    /** Digest of the revisions of all member documents. */
    membersDigest: z.string(),
    leaving: z.array(leavingNoticeSchema).max(256).readonly(),
  })
  .readonly();
export type Ping = z.infer<typeof pingSchema>;

const numberedEditSchema = z.strictObject({ revision: count, edit: editSchema }).readonly();

/** Update for a host with an older rules revision. */
export const rulesPullReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('none') }),
  z.strictObject({ kind: z.literal('edits'), edits: z.array(numberedEditSchema).readonly() }),
  z.strictObject({ kind: z.literal('document'), document: documentSchema }),
]);

export const hostStatusSchema = z
  .strictObject({
    hostId: z.string(),
    domain: z.string(),
    incarnation: z.number(),
    programVersion: z.string(),
    rulesRevision: count,
    slotMapRevision: count,
    slotsOwned: count,
    slotsSettled: count,
    keyRecords: count,
    stepsOwned: count,
    inFlight: count,
    isStoreReachable: z.boolean(),
    isReady: z.boolean(),
  })
  .readonly();
export type HostStatus = z.infer<typeof hostStatusSchema>;

/** A trainer's request, relayed to the step's owner. `hops` bounds loops between hosts that disagree on the owner. */
const relayed = <T extends z.ZodType>(
  request: T,
): z.ZodType<{ readonly hops: number; readonly request: z.infer<T> }> =>
  z.strictObject({ hops: count, request }).readonly() as unknown as z.ZodType<{
    readonly hops: number;
    readonly request: z.infer<T>;
  }>;

export const calls = {
  ping: defineCall('ping', pingSchema, pingSchema),
  pingFor: defineCall(
    'pingFor',
    z.strictObject({ hostId: z.string(), address: z.string() }).readonly(),
    z.strictObject({ isAlive: z.boolean() }).readonly(),
  ),
  join: defineCall(
    'join',
    z.strictObject({ self: memberUpdateSchema }).readonly(),
    z.strictObject({ updates: z.array(memberUpdateSchema).readonly() }).readonly(),
  ),
  hostStatus: defineCall('hostStatus', emptySchema, hostStatusSchema),
  rulesPull: defineCall('rulesPull', z.strictObject({ after: count }).readonly(), rulesPullReplySchema),
  rulesPush: defineCall('rulesPush', numberedEditSchema, z.strictObject({ revision: count }).readonly()),
  slotMapPull: defineCall(
    'slotMapPull',
    emptySchema,
    z.strictObject({ map: slotMapSchema.optional() }).readonly(),
  ),
  membersPull: defineCall(
    'membersPull',
    z.strictObject({ known: z.record(z.string(), count).readonly() }).readonly(),
    z.strictObject({ documents: z.array(memberDocumentSchema).readonly() }).readonly(),
  ),
  leavingPush: defineCall('leavingPush', leavingNoticeSchema, emptySchema),
  claimKey: defineCall('claimKey', claimSchema, claimReplySchema),
  finishKey: defineCall('finishKey', finishSchema, finishReplySchema),
  copyRecord: defineCall('copyRecord', copyRecordSchema, acceptedSchema),
  syncSlot: defineCall('syncSlot', syncSlotSchema, acceptedSchema),
  fenceSlot: defineCall('fenceSlot', fenceSlotSchema, fenceReplySchema),
  stepOpen: defineCall('stepOpen', relayed(openRequestSchema), openReplySchema),
  stepTake: defineCall('stepTake', relayed(takeRequestSchema), takeReplySchema),
  stepAbandon: defineCall('stepAbandon', relayed(abandonRequestSchema), abandonReplySchema),
  stepProgress: defineCall('stepProgress', relayed(abandonRequestSchema), progressReplySchema),
  stepOffer: defineCall('stepOffer', stepOfferSchema, emptySchema),
  workPull: defineCall('workPull', workPullSchema, workPullReplySchema),
  workAlive: defineCall('workAlive', workAliveSchema, emptySchema),
  sampleDone: defineCall('sampleDone', sampleDoneSchema, sampleDoneReplySchema),
  sampleFailed: defineCall('sampleFailed', sampleFailedSchema, emptySchema),
  shelfGrew: defineCall('shelfGrew', sampleCopyRequestSchema, emptySchema),
  batchRead: defineCall('batchRead', batchReadSchema, batchReadReplySchema),
  batchItem: defineCall('batchItem', batchItemReadSchema, batchItemReplySchema),
  versionSeen: defineCall('versionSeen', endpointVersionSchema, emptySchema),
  loadBegan: defineCall('loadBegan', endpointVersionSchema, emptySchema),
  pacesSeen: defineCall('pacesSeen', pacesSeenSchema, emptySchema),
  batchAdopt: defineCall('batchAdopt', batchAdoptSchema, batchAdoptReplySchema),
  batchClaimed: defineCall('batchClaimed', claimUpdateSchema, emptySchema),
  batchRuns: defineCall('batchRuns', batchRunsSchema, batchRunsReplySchema),
  batchEnd: defineCall('batchEnd', batchEndSchema, batchEndReplySchema),
  batchSubmit: defineCall('batchSubmit', batchSubmitSchema, batchSubmitReplySchema),
  modelDemand: defineCall('modelDemand', modelDemandSchema, emptySchema),
  heldSamples: defineCall('heldSamples', heldSamplesSchema, heldSamplesReplySchema),
} as const;
