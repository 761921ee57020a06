/**
 * Accepts edits of teams that race one another, by compare-and-swap on the store.
 */
import { err, type Result } from '@fuchsiahitch/base';
import { newErrors, type Finding } from './check.js';
import { applyEdit, hasEdit, type Edit, type EditRefusal } from './edit.js';
import type { RuleDocument } from './model.js';
import type { NumberedEdit } from './ruleHistory.js';

/** The rules as the store has them. `headVersion` is what the next write compares with. */
export interface StoredRules {
  readonly document: RuleDocument;
  readonly headVersion: number;
  /** Edits since the last snapshot, oldest first. */
  readonly edits: readonly NumberedEdit[];
}

/** `conflict`: another edit came first. `unknown`: sent, and no answer came. `unavailable`: not written. */
export type RuleStoreError = 'conflict' | 'unknown' | 'unavailable' | 'too-large';

export interface RuleStore {
  load(): Promise<Result<StoredRules, RuleStoreError>>;
  /** Writes the document that the edit made, if the head still has the given version. */
  append(headVersion: number, document: RuleDocument, edit: Edit): Promise<Result<undefined, RuleStoreError>>;
  /** Puts a whole document back, if the head still has the given version. */
  restore(headVersion: number, document: RuleDocument): Promise<Result<undefined, RuleStoreError>>;
}

/** How an edit ended, told truthfully. `unknown` is resolved by sending the same edit again. */
export type EditOutcome =
  | { readonly kind: 'accepted'; readonly revision: number; readonly document: RuleDocument }
  | { readonly kind: 'refused'; readonly refusal: EditRefusal }
  | { readonly kind: 'unsound'; readonly findings: readonly Finding[] }
  | {
      readonly kind: 'not-accepted';
      readonly reason: 'store-unavailable' | 'too-many-conflicts' | 'too-large';
    }
  | { readonly kind: 'unknown' };

const MAX_TRIES = 8;

export class RuleEditor {
  private readonly _store: RuleStore;
  private readonly _inForce: () => RuleDocument;

  /** `inForce`: the document of this host, to notice a store that fell behind it. */
  constructor(store: RuleStore, inForce: () => RuleDocument) {
    this._store = store;
    this._inForce = inForce;
  }

  /** Accepts an edit once, however often it is sent and whatever answers are lost. */
  async submit(edit: Edit): Promise<EditOutcome> {
    let mayBeWritten = false;
    for (let i = 0; i < MAX_TRIES; i++) {
      const stored = await this.loadRepaired();
      if (!stored.ok) return unreadable(mayBeWritten, stored.error);
      const step = await this._tryOnce(stored.value, edit);
      if (step === 'unknown') mayBeWritten = true;
      else if (step !== 'again') return step;
    }
    return mayBeWritten ? { kind: 'unknown' } : { kind: 'not-accepted', reason: 'too-many-conflicts' };
  }

  /**
   * Reads the store, and brings it up to date first when it was restored from an older copy: what this host
   * has in force is put back, with any edit on top that the restored store accepted meanwhile.
   */
  async loadRepaired(): Promise<Result<StoredRules, RuleStoreError>> {
    for (let i = 0; i < MAX_TRIES; i++) {
      const stored = await this._store.load();
      if (!stored.ok || stored.value.document.revision >= this._inForce().revision) return stored;
      const repaired = mergeEdits(this._inForce(), stored.value.edits);
      await this._store.restore(stored.value.headVersion, repaired);
    }
    return err('unavailable');
  }

  private async _tryOnce(stored: StoredRules, edit: Edit): Promise<EditOutcome | 'again' | 'unknown'> {
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

/** The document with every edit on top that it does not have yet and that still stands. */
export function mergeEdits(document: RuleDocument, edits: readonly NumberedEdit[]): RuleDocument {
  let merged = document;
  for (const { edit } of edits) {
    const applied = applyEdit(merged, edit);
    if (applied.ok) merged = applied.value;
  }
  return merged;
}

function unreadable(mayBeWritten: boolean, error: RuleStoreError): EditOutcome {
  if (mayBeWritten) return { kind: 'unknown' };
  return { kind: 'not-accepted', reason: error === 'too-large' ? 'too-large' : 'store-unavailable' };
}
