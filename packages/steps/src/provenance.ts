/**
 * Records which weight versions produced a sample. Uses only the versions in the engine's stream, because an
 * ordered swap can fail, or complete in the middle of a sample.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import type { Span } from './model.js';

/** Samples without provable provenance are not handed over. */
export type ProvenanceError = 'no-version-on-a-chunk' | 'no-tokens' | 'token-count-differs';

/** Records the spans of a sample across all engines that generated parts of it. */
export class SpanRecorder {
  private readonly _spans: { version: number; tokens: number }[] = [];
  private _isProvable = true;

  /** Adds the tokens of a chunk. `version` is undefined if the engine did not state it. */
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

  /** Returns the spans if every token has a version and the total equals the engine's count. */
  finish(engineTokens: number): Result<readonly Span[], ProvenanceError> {
    if (!this._isProvable) return err('no-version-on-a-chunk');
    if (this._spans.length === 0) return err('no-tokens');
    if (this.tokens() !== engineTokens) return err('token-count-differs');
    return ok(this._spans.map(span => ({ ...span })));
  }
}
