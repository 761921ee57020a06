/**
 * Which weight versions produced a sample, only from what the engine's stream says.
 *
 * What goes wrong otherwise: the version that was ordered is written down although the swap failed, or came
 * in the middle of the sample. One would notice only that a trainer learns from ratios that don't fit.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import type { Span } from './model.js';

/** Why a sample has no provable provenance; such a sample is not handed over. */
export type ProvenanceError = 'no-version-on-a-chunk' | 'no-tokens' | 'token-count-differs';

/** Records the spans of one sample, over every engine that continued it. */
export class SpanRecorder {
  private readonly _spans: { version: number; tokens: number }[] = [];
  private _isProvable = true;

  /** Adds tokens of one chunk of the stream. */
  add(version: number | undefined, tokens: number): void {
    if (tokens === 0) return;
    if (version === undefined) {
      this._isProvable = false;
      return;
    }
    const last = this._spans.at(-1);
    if (last?.version === version) last.tokens += tokens;
    else this._spans.push({ version, tokens });
  }

  tokens(): number {
    return this._spans.reduce((sum, span) => sum + span.tokens, 0);
  }

  /** The spans, if every token has its version and their number is the engine's own count. */
  finish(engineTokens: number): Result<readonly Span[], ProvenanceError> {
    if (!this._isProvable) return err('no-version-on-a-chunk');
    if (this._spans.length === 0) return err('no-tokens');
    if (this.tokens() !== engineTokens) return err('token-count-differs');
    return ok(this._spans.map(span => ({ ...span })));
  }
}
