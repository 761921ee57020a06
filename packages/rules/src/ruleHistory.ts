/**
 * The rules that one host has in force: they only move forward.
 *
 * What goes wrong without it: a watch that skips a revision, a store restored from an older copy, or a peer
 * that lags puts an older rule back in force. One sees a host's revision fall. Here a document is taken only
 * if its revision is higher, and an edit only if it is the very next one.
 */
import { applyEdit, type Edit } from './edit.js';
import { EMPTY_DOCUMENT, type RuleDocument } from './model.js';

/** An accepted edit with the revision that it made. */
export interface NumberedEdit {
  readonly revision: number;
  readonly edit: Edit;
}

/** What became of something that was offered. `gap`: the whole document is needed. */
export type OfferResult = 'taken' | 'old' | 'gap';

/** Edits that are kept to bring peers up to date without sending the whole document. */
const KEPT_FOR_PEERS = 256;

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
    // The edit was accepted on the same document, so a refusal means that this host's differs.
    if (!applied.ok || applied.value.revision !== numbered.revision) return 'gap';
    this._document = applied.value;
    this._recent = [...this._recent, numbered].slice(-KEPT_FOR_PEERS);
    return 'taken';
  }

  /** The edits after a revision, or undefined when they are no longer kept. */
  editsAfter(revision: number): readonly NumberedEdit[] | undefined {
    const edits = this._recent.filter(numbered => numbered.revision > revision);
    const isWhole = edits.length === this._document.revision - revision;
    return isWhole ? edits : undefined;
  }
}
