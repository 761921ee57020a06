/**
 * Types of the peer protocol: call definitions, identities, errors and envelopes.
 */
import type * as z from 'zod';

/** The server validates requests and the client replies against these schemas. */
export interface CallDefinition<Q, A> {
  readonly name: string;
  readonly request: z.ZodType<Q>;
  readonly reply: z.ZodType<A>;
}

export function defineCall<Q, A>(
  name: string,
  request: z.ZodType<Q>,
  reply: z.ZodType<A>,
): CallDefinition<Q, A> {
  return { name, request, reply };
}

/** Identity of a peer, authenticated in the handshake. */
export interface PeerIdentity {
  readonly hostId: string;
  readonly incarnation: string;
  readonly domain: string;
  readonly programVersion: string;
}

/** The peer may have executed the call, except after `not-sent`. */
export type CallError =
  | { readonly kind: 'not-sent'; readonly text: string }
  | { readonly kind: 'timed-out' }
  | { readonly kind: 'broken'; readonly text: string }
  | { readonly kind: 'refused'; readonly text: string };

/** A message on a connection: a call, its reply or its refusal. */
export type Envelope =
  | {
      readonly t: 'call';
      readonly id: number;
      readonly name: string;
      readonly body: unknown;
      readonly trace: string | undefined;
    }
  | { readonly t: 'reply'; readonly id: number; readonly body: unknown }
  | { readonly t: 'refusal'; readonly id: number; readonly text: string };
