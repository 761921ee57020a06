/** Schemas of the platform's membership list of one failure domain. The list may be out of date. */
import * as z from 'zod';

const MAX_NAME_LENGTH = 63;
const name = z.string().min(1).max(MAX_NAME_LENGTH);

export const hostEntrySchema = z
  .strictObject({ id: name, domain: name, peerAddress: z.string(), state: z.enum(['live', 'leaving']) })
  .readonly();
export type HostEntry = z.infer<typeof hostEntrySchema>;

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
