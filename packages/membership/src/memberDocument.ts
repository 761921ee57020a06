/**
 * What the platform's membership list says of one failure domain. The list lags; it is one source of
 * evidence among others.
 */
import * as z from 'zod';

const MAX_NAME = 63;
const name = z.string().min(1).max(MAX_NAME);

/** A host of the system, with the address that peers call. */
export const hostEntrySchema = z
  .strictObject({ id: name, domain: name, peerAddress: z.string(), state: z.enum(['live', 'leaving']) })
  .readonly();
export type HostEntry = z.infer<typeof hostEntrySchema>;

/** What an endpoint is: an engine that generates, or a plain service. */
export const endpointKinds = ['engine', 'service'] as const;

export const endpointEntrySchema = z
  .strictObject({
    id: name,
    domain: name,
    pool: name,
    kind: z.enum(endpointKinds),
    url: z.string().max(200),
    slots: z.number().int().min(1),
    checksFencing: z.boolean(),
    state: z.enum(['live', 'leaving']),
  })
  .readonly();
export type EndpointEntry = z.infer<typeof endpointEntrySchema>;

export const memberDocumentSchema = z
  .strictObject({
    domain: name,
    revision: z.number().int().min(0),
    hosts: z.array(hostEntrySchema).readonly(),
    endpoints: z.array(endpointEntrySchema).readonly(),
  })
  .readonly();
export type MemberDocument = z.infer<typeof memberDocumentSchema>;
