/**
 * Model engines: generation as a stream, load reports, weight orders.
 */
import type { Deadline } from '@fuchsiahitch/base';

/** A generation to run. With `resumeText` the engine goes on after tokens that were already made. */
export interface GenerationRequest {
  readonly url: string;
  readonly requestId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: 'high' | 'normal' | 'low';
  readonly resumeText: string;
  readonly resumeTokens: number;
  readonly trace: string | undefined;
}

/** Some tokens of a stream, with the weight version that the engine states for them. */
export interface GenerationChunk {
  readonly text: string;
  readonly tokens: number;
  readonly version: number | undefined;
}

/**
 * How a generation ended. `not-run`: proved, nothing was written or the engine refused. `broken`: the stream
 * ended early. `cancelled`: this side gave it up.
 */
export type GenerationResult =
  | { readonly kind: 'done'; readonly tokens: number; readonly finishReason: string }
  | {
      readonly kind: 'not-run';
      /** No connection was made. */
      readonly isUnreachable: boolean;
      readonly isLeaving: boolean;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'failed'; readonly status: number }
  | { readonly kind: 'broken' }
  | { readonly kind: 'cancelled' };

/** What an engine reports of itself. The report lags. */
export interface EngineReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly version: number;
  readonly startId: string;
  readonly isLeaving: boolean;
}

/** How an order was answered. `unknown`: no answer; reading the version back decides. */
export type OrderAnswer = 'accepted' | 'failed' | 'fenced' | 'unknown';

export interface EngineClient {
  /** `onChunks` gets all that one read brought, in order; the next read waits for its promise. */
  generate(
    request: GenerationRequest,
    onChunks: (chunks: readonly GenerationChunk[]) => Promise<void> | void,
    signal: AbortSignal,
  ): Promise<GenerationResult>;
  report(url: string, deadline: Deadline): Promise<EngineReport | undefined>;
  order(url: string, version: number, token: number, deadline: Deadline): Promise<OrderAnswer>;
}
