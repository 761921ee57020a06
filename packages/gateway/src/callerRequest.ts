/**
 * A request of a caller on its way to an endpoint, and how it and its attempts end.
 */
import type { Route } from '@fuchsiahitch/rules';
import type { HeaderPair, NotRunReason } from './ports.js';

/** A request of a caller, read whole. */
export interface CallerRequest {
  readonly id: string;
  /** What tells callers apart: the client account or, where none is known, the credential that was brought; empty for neither. */
  readonly caller: string;
  /** The client account that endpoints are told; undefined where the request is nobody's. */
  readonly accountName?: string | undefined;
  /** False once the caller may no longer send such a request: asked before each send. Absent where nothing can change that. */
  readonly isStillAuthorized?: () => boolean;
  readonly host: string;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer | undefined;
  /** How long the caller waits, from its arrival; undefined if it did not say. */
  readonly waitMs: number | undefined;
  /** The caller's trace context, by the W3C recommendation; undefined when it has none. */
  readonly trace?: string | undefined;
  /** True for work of the product's own that may wait: it leaves places of each endpoint to callers. */
  readonly isBackground?: boolean;
}

/** An answer as it is passed on. */
export interface CompleteAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer;
  readonly proof: string | undefined;
}

/** Takes a stream piece by piece; `write` resolves when the caller keeps up. */
export interface StreamSink {
  begin(status: number, headers: readonly HeaderPair[]): void;
  write(chunk: Buffer): Promise<void>;
  end(): void;
  /** Breaks the answer off in a way that can't be taken for its end. */
  abort(): void;
}

/**
 * How a request ended. `not-run` is a promise, and so is `rejected`: no endpoint ran it or will. `failures`: endpoints that
 * answered it with a failure of their own.
 */
export type ForwardOutcome =
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer; readonly failures: number }
  | { readonly kind: 'streamed' }
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number }
  /** The caller may no longer send it. No endpoint ran it or will. */
  | { readonly kind: 'denied' }
  /** The request is at fault: no endpoint is given it, and it is of no use to bring it again. */
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: 'broken' | 'late' }
  | { readonly kind: 'caller-left' };

/** How one attempt ended. */
export type RequestAttemptEnd =
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer; readonly isFailure: boolean }
  | { readonly kind: 'not-run'; readonly reason: NotRunReason }
  | { readonly kind: 'broken'; readonly text: string }
  | { readonly kind: 'cancelled' };

/** What the log tells of an attempt beside its end. */
export interface RequestAttemptDetails {
  /** Sends of the request so far, this one included. */
  readonly number: number;
  readonly tookMs: number;
  /** The time that the request had when it was sent. */
  readonly leftMs: number;
}

/** Without a word of the caller or the route a request may take this long. */
const DEFAULT_TIMEOUT_MS = 30_000;
/** When every endpoint is full, a place comes free within a few requests' time. */
export const RETRY_AFTER_MS = 300;
/** The time that a request has: what its caller waits and what its route allows, whichever is less. */
export function requestTimeoutMs(request: CallerRequest, route: Route): number {
  const routeMs = route.timeoutMs > 0 ? route.timeoutMs : DEFAULT_TIMEOUT_MS;
  return Math.min(request.waitMs ?? routeMs, routeMs);
}
