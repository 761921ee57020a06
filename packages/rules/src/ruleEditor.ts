/**
 * Accepts concurrent edits by compare-and-swap on the store.
 */
import { err, type Result } from '@fuchsiahitch/base';
import { newErrors, type Finding } from './check.js';
import { applyEdit, hasEdit, type Edit, type EditRefusal } from './edit.js';
import type { RuleDocument } from './model.js';
import type { NumberedEdit } from './ruleHistory.js';

/** The stored rules. The next write compares against `headVersion`. */
export interface StoredRules {
  readonly document: RuleDocument;
  readonly headVersion: number;
  /** Edits since the last snapshot, oldest first. */
  readonly edits: readonly NumberedEdit[];
}

/**
 * `conflict`: another edit was written first. `unknown`: the write was sent but not answered.
 * `unavailable`: nothing was written.
 */
export type RuleStoreError = 'conflict' | 'unknown' | 'unavailable' | 'too-large';

export interface RuleStore {
  load(): Promise<Result<StoredRules, RuleStoreError>>;
  /** Writes an edit and the resulting document if the head still has the given version. */
  append(headVersion: number, document: RuleDocument, edit: Edit): Promise<Result<undefined, RuleStoreError>>;
  /** Writes back a complete document if the head still has the given version. */
  restore(headVersion: number, document: RuleDocument): Promise<Result<undefined, RuleStoreError>>;
}

/** The outcome of an edit. To resolve `unknown`, submit the same edit again. */
export type EditOutcome =
  | { readonly kind: 'accepted'; readonly revision: number; readonly document: RuleDocument }
  | { readonly kind: 'refused'; readonly refusal: EditRefusal }
  | { readonly kind: 'unsound'; readonly findings: readonly Finding[] }
  | {
      readonly kind: 'not-accepted';
      readonly reason: 'store-unavailable' | 'too-many-conflicts' | 'too-large';
    }
  | { readonly kind: 'unknown' };

const MAX_ATTEMPTS = 8;

export class RuleEditor {
  private readonly _store: RuleStore;
  private readonly _activeDocument: () => RuleDocument;

  /** `activeDocument`: returns the active document of this host, to detect a store that has an older revision. */
  constructor(store: RuleStore, activeDocument: () => RuleDocument) {
    this._store = store;
    this._activeDocument = activeDocument;
  }

  /** Applies an edit exactly once, even if it is submitted repeatedly or responses are lost. */
  async submit(edit: Edit): Promise<EditOutcome> {
    let mayBeWritten = false;
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const stored = await this.loadRepaired();
      if (!stored.ok) return loadFailure(mayBeWritten, stored.error);
      const step = await this._attempt(stored.value, edit);
      if (step === 'unknown') mayBeWritten = true;
      else if (step !== 'again') return step;
    }
    return mayBeWritten ? { kind: 'unknown' } : { kind: 'not-accepted', reason: 'too-many-conflicts' };
  }

  /**
   * Reads the store. If the store was restored from a backup, first writes back the active document of this
   * host, with the edits that the restored store accepted meanwhile.
   */
  async loadRepaired(): Promise<Result<StoredRules, RuleStoreError>> {
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const stored = await this._store.load();
      if (!stored.ok || stored.value.document.revision >= this._activeDocument().revision) return stored;
      const repaired = mergeEdits(this._activeDocument(), stored.value.edits);
      await this._store.restore(stored.value.headVersion, repaired);
    }
    return err('unavailable');
  }

  private async _attempt(stored: StoredRules, edit: Edit): Promise<EditOutcome | 'again' | 'unknown'> {
    const { document } = stored;
    if (hasEdit(document, edit.id)) return { kind: 'accepted', revision: document.revision, document };
    const applied = applyEdit(document, edit);
    if (!applied.ok) return { kind: 'refused', refusal: applied.error };
    const findings = newErrors(document.rules, applied.value.rules);
    if (findings.length > 0) return { kind: 'unsound', findings };
    const written = await this._store.append(stored.headVersion, applied.value, edit);
    if (written.ok) return { kind: 'accepted', revision: applied.value.revision, document: applied.value };
    switch (written.error) {
      case 'conflict':
        return 'again';
      case 'unknown':
        return 'unknown';
      case 'unavailable':
        return { kind: 'not-accepted', reason: 'store-unavailable' };
      case 'too-large':
        return { kind: 'not-accepted', reason: 'too-large' };
    }
  }
}

/** Applies all edits that the document does not have yet and that do not conflict with it. */
export function mergeEdits(document: RuleDocument, edits: readonly NumberedEdit[]): RuleDocument {
  let merged = document;
  for (const { edit } of edits) {
    const applied = applyEdit(merged, edit);
    if (applied.ok) merged = applied.value;
  }
  return merged;
}

function loadFailure(mayBeWritten: boolean, error: RuleStoreError): EditOutcome {
  if (mayBeWritten) return { kind: 'unknown' };
  return { kind: 'not-accepted', reason: error === 'too-large' ? 'too-large' : 'store-unavailable' };
}
