/**
 * Schemas of the handshake messages and envelopes of the peer protocol.
 */
import * as z from 'zod';

const MAX_NAME = 64;
const MAX_TRACE = 128;

const callId = z.number().int().min(0);

export const envelopeSchema = z.discriminatedUnion('t', [
  z.strictObject({
    t: z.literal('call'),
    id: callId,
    name: z.string().max(MAX_NAME),
    body: z.unknown(),
    trace: z.string().max(MAX_TRACE).optional(),
  }),
  z.strictObject({ t: z.literal('reply'), id: callId, body: z.unknown() }),
  z.strictObject({ t: z.literal('refusal'), id: callId, text: z.string() }),
]);

const identityFields = {
  hostId: z.string().min(1).max(MAX_NAME),
  incarnation: z.string().min(1).max(MAX_NAME),
  domain: z.string().min(1).max(MAX_NAME),
  programVersion: z.string().min(1).max(MAX_NAME),
};

/** First frame, sent by the server. */
export const challengeSchema = z.strictObject({ nonce: z.string().length(32) });

/** Second frame, sent by the client: its identity, its nonce, and a proof over the identity and the server's nonce. */
export const helloSchema = z.strictObject({
  ...identityFields,
  nonce: z.string().length(32),
  proof: z.string().length(64),
});

/** Third frame, sent by the server: its identity and a proof over the identity and the client's nonce. */
export const welcomeSchema = z.strictObject({ ...identityFields, proof: z.string().length(64) });
