/**
 * The active rules of a host, whose revision never decreases: a document is accepted only if its revision is
 * higher, and an edit only if it is the next one. Otherwise a watch that skips a revision, a store restored from an
 * older copy, or an outdated peer could reactivate old rules.
 */
import { applyEdit, type Edit } from './edit.js';
import { EMPTY_DOCUMENT, type RuleDocument } from './model.js';

export interface NumberedEdit {
  readonly revision: number;
  readonly edit: Edit;
}

/** `taken`: accepted. `old`: not newer than the active rules. `gap`: the complete document is needed. */
export type OfferResult = 'taken' | 'old' | 'gap';

/** Recent edits that are retained to update peers without sending the complete document. */
const MAX_RECENT_EDITS = 256;

export class RuleHistory {
  private _document: RuleDocument = EMPTY_DOCUMENT;
  private _recent: NumberedEdit[] = [];

  document(): RuleDocument {
    return this._document;
  }

  revision(): number {
    return this._document.revision;
  }

  offerDocument(document: RuleDocument): OfferResult {
    if (document.revision <= this._document.revision) return 'old';
    this._document = document;
    this._recent = [];
    return 'taken';
  }

  offerEdit(numbered: NumberedEdit): OfferResult {
    if (numbered.revision <= this._document.revision) return 'old';
    if (numbered.revision !== this._document.revision + 1) return 'gap';
    const applied = applyEdit(this._document, numbered.edit);
    // The edit was accepted for this revision, so a refusal means that this host's document differs.
    if (!applied.ok || applied.value.revision !== numbered.revision) return 'gap';
    this._document = applied.value;
    this._recent = [...this._recent, numbered].slice(-MAX_RECENT_EDITS);
    return 'taken';
  }

  /** Returns the edits after a revision, or undefined if they are no longer retained. */
  editsAfter(revision: number): readonly NumberedEdit[] | undefined {
    const edits = this._recent.filter(numbered => numbered.revision > revision);
    const isComplete = edits.length === this._document.revision - revision;
    return isComplete ? edits : undefined;
  }
}
