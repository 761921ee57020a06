/**
 * Typed calls: a name, the schema of what is sent and the schema of what comes back. Client and server
 * are thin around these definitions, and both check what they read.
 */
import type * as z from 'zod';

/** A call that has one reply. */
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

/** Who is at the other end of a connection, as proved at the handshake. */
export interface PeerIdentity {
  readonly hostId: string;
  readonly incarnation: string;
  readonly domain: string;
  readonly programVersion: string;
}

/** Why a call has no reply. `not-sent` proves that the peer did not act; the others prove nothing. */
export type CallError =
  | { readonly kind: 'not-sent'; readonly text: string }
  | { readonly kind: 'timed-out' }
  | { readonly kind: 'broken'; readonly text: string }
  | { readonly kind: 'refused'; readonly text: string };

/** What travels: a call, its reply, or a refusal of it. */
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
