/**
 * A caller's request, its answer, and the outcomes of the request and its attempts.
 */
import type { Route } from '@fuchsiahitch/rules';
import type { EndpointSend } from './endpointSend.js';
import type { AnswerOrigin, HeaderPair, NotRunReason } from './ports.js';

/** A caller's request with its complete body. */
export interface CallerRequest {
  readonly id: string;
  /** Identifies the caller: the client account or, if unknown, the credential presented; empty for neither. */
  readonly caller: string;
  /** The client account passed on to endpoints; undefined if the request has none. */
  readonly accountName?: string | undefined;
  /** Checked before each send, as the caller's access may be revoked. Absent if it cannot change. */
  readonly isStillAuthorized?: () => boolean;
  readonly host: string;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer | undefined;
  /** How long the caller waits from the request's arrival; undefined if not specified. */
  readonly waitMs: number | undefined;
  /** The caller's W3C `traceparent`. */
  readonly trace?: string | undefined;
  /** True for internal, deferrable work, which leaves a share of each endpoint's slots to callers. */
  readonly isBackground?: boolean;
}

/** A completely buffered answer. */
export interface CompleteAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer;
  readonly proof: string | undefined;
}

/** Receives a stream in chunks. `write` resolves when the caller can receive more. */
export interface StreamSink {
  begin(status: number, headers: readonly HeaderPair[]): void;
  write(chunk: Buffer): Promise<void>;
  end(): void;
  /** Closes the connection so that the answer is recognizably incomplete. */
  abort(): void;
}

/**
 * How a request ended. `not-run`, `denied` and `rejected` guarantee that no endpoint ran the request or will run it.
 * `failures` counts the endpoints that answered with a server error.
 */
export type ForwardOutcome =
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer; readonly failures: number }
  | { readonly kind: 'streamed' }
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number }
  /** The caller is no longer authorized. */
  | { readonly kind: 'denied' }
  /** The request itself is at fault and must not be retried. */
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: 'broken' | 'late' | 'dropped' }
  | { readonly kind: 'caller-left' };

export type RequestAttemptEnd =
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer; readonly isFailure: boolean }
  | ({ readonly kind: 'not-run'; readonly reason: NotRunReason } & AnswerOrigin)
  | ({ readonly kind: 'broken'; readonly text: string } & AnswerOrigin)
  /** The endpoint has answered, and there is no memory for its answer. */
  | { readonly kind: 'dropped' }
  | { readonly kind: 'cancelled' };

/** Details of an attempt for its log message. */
export interface RequestAttemptDetails {
  /** One-based attempt number. */
  readonly number: number;
  readonly tookMs: number;
  /** The time left until the request's deadline when it was sent. */
  readonly leftMs: number;
  readonly send: EndpointSend;
}

/** Applies if neither the caller nor the route limits the time. */
const DEFAULT_TIMEOUT_MS = 30_000;
/** When all endpoints are full, a slot becomes free within the duration of a few requests. */
export const RETRY_AFTER_MS = 300;

/** The shorter of the caller's wait time and the route's timeout. */
export function requestTimeoutMs(request: CallerRequest, route: Route): number {
  const routeMs = route.timeoutMs > 0 ? route.timeoutMs : DEFAULT_TIMEOUT_MS;
  return Math.min(request.waitMs ?? routeMs, routeMs);
}
