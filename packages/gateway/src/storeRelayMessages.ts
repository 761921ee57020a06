/**
 * Messages between hosts for relayed store calls and shared watches.
 */
import { defineCall } from '@fuchsiahitch/protocol';
import * as z from 'zod';

const nonNegativeInteger = z.number().int().min(0);

const compareSchema = z.strictObject({ key: z.string(), version: nonNegativeInteger }).readonly();
const writeSchema = z.discriminatedUnion('kind', [
  z
    .strictObject({
      kind: z.literal('put'),
      key: z.string(),
      value: z.string(),
      leaseId: z.string().optional(),
    })
    .readonly(),
  z.strictObject({ kind: z.literal('delete'), key: z.string() }).readonly(),
  z.strictObject({ kind: z.literal('delete-prefix'), prefix: z.string() }).readonly(),
]);

const timeoutMs = z.number().min(0);

export const storeRequestSchema = z.discriminatedUnion('call', [
  z.strictObject({ call: z.literal('get'), key: z.string(), timeoutMs }),
  z.strictObject({ call: z.literal('snapshot'), prefix: z.string(), timeoutMs }),
  z.strictObject({
    call: z.literal('changes'),
    prefix: z.string(),
    afterRevision: nonNegativeInteger,
    waitMs: z.number(),
    timeoutMs,
  }),
  z.strictObject({
    call: z.literal('transact'),
    compares: z.array(compareSchema).readonly(),
    writes: z.array(writeSchema).readonly(),
    timeoutMs,
  }),
  z.strictObject({ call: z.literal('grantLease'), ttlMs: z.number(), timeoutMs }),
  z.strictObject({ call: z.literal('keepLease'), leaseId: z.string(), timeoutMs }),
  z.strictObject({ call: z.literal('endLease'), leaseId: z.string(), timeoutMs }),
]);
export type StoreRequest = z.infer<typeof storeRequestSchema>;

/** Result of the store call; the type of the value depends on the call. */
export const storeReplySchema = z.discriminatedUnion('ok', [
  z.strictObject({ ok: z.literal(true), value: z.unknown() }),
  z.strictObject({
    ok: z.literal(false),
    error: z.enum(['not-done', 'unknown', 'over-budget', 'compacted']),
  }),
]);
export type StoreReply = z.infer<typeof storeReplySchema>;

export const storeRelayCall = defineCall('storeRelay', storeRequestSchema, storeReplySchema);

/** Checks that a host responds, and whether it reaches the store. */
export const reachCall = defineCall(
  'reach',
  z.strictObject({}).readonly(),
  z.strictObject({ isStoreReachable: z.boolean() }).readonly(),
);

/** Store revisions by prefix. */
export type Revisions = Readonly<Record<string, number>>;

/** Requests the changes under each prefix after its revision from the host that watches the store for a domain. */
export const followRequestSchema = z
  .strictObject({ after: z.record(z.string(), nonNegativeInteger).readonly(), waitMs: z.number() })
  .readonly();
export type FollowRequest = z.infer<typeof followRequestSchema>;

const watchEventSchema = z
  .strictObject({ key: z.string(), value: z.string().optional(), version: nonNegativeInteger })
  .transform(event => ({ ...event, value: event.value }))
  .readonly();
/** `ageMs`: time since the state that the watching host's view shows; absent from hosts of earlier versions. */
const changesSchema = z
  .object({
    events: z.array(watchEventSchema).readonly(),
    revision: nonNegativeInteger,
    ageMs: z.number().min(0).optional(),
  })
  .readonly();
export type FollowedChanges = z.infer<typeof changesSchema>;

/** `not-watching`: the host follows another host, its view is stale, or it no longer retains the requested changes. */
export const followReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('changes'),
    changes: z.record(z.string(), changesSchema).readonly(),
    /** How long the watching host waited for changes before it answered; absent from hosts of earlier versions. */
    heldMs: z.number().min(0).optional(),
  }),
  z.object({ kind: z.literal('not-watching') }),
]);
export type FollowReply = z.infer<typeof followReplySchema>;

export const followCall = defineCall('followPrefixes', followRequestSchema, followReplySchema);
