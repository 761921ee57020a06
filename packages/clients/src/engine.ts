/**
 * Client interface of model engines: streamed generation, load reports and weight orders.
 */
import type { Deadline } from '@fuchsiahitch/base';

/** With `resumeText` the engine continues after tokens that were already generated. */
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

/** Tokens of a stream, with the weight version that the engine reports for them. */
export interface GenerationChunk {
  readonly text: string;
  readonly tokens: number;
  readonly version: number | undefined;
}

/** `not-run`: nothing was sent, or the engine refused. `broken`: the stream ended early. `cancelled`: by the signal. */
export type GenerationResult =
  | { readonly kind: 'done'; readonly tokens: number; readonly finishReason: string }
  | {
      readonly kind: 'not-run';
      /** No connection was established. */
      readonly isUnreachable: boolean;
      readonly isLeaving: boolean;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'failed'; readonly status: number }
  | { readonly kind: 'broken' }
  | { readonly kind: 'cancelled' };

/** An engine's load report. It may be stale. */
export interface EngineReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly version: number;
  readonly startId: string;
  readonly isLeaving: boolean;
}

/** `unknown`: no answer; the reported version shows whether the order was executed. */
export type OrderAnswer = 'accepted' | 'failed' | 'fenced' | 'unknown';

export interface EngineClient {
  /** `onChunks` receives the chunks of one read, in order. The next read waits for its promise. */
  generate(
    request: GenerationRequest,
    onChunks: (chunks: readonly GenerationChunk[]) => Promise<void> | void,
    signal: AbortSignal,
  ): Promise<GenerationResult>;
  /** Returns undefined if the engine does not answer with a valid report. */
  report(url: string, deadline: Deadline): Promise<EngineReport | undefined>;
  order(url: string, version: number, token: number, deadline: Deadline): Promise<OrderAnswer>;
}
