/**
 * Stores rules in the key-value service as a head, a snapshot and one key per later edit, so that the cost of an edit
 * does not grow with the number of rules.
 */
import { Deadline, err, ok, type Clock, type Result } from '@fuchsiahitch/base';
import type { KeyValueStore, StoredValue, Write } from '@fuchsiahitch/clients';
import {
  applyEdit,
  documentSchema,
  editSchema,
  EMPTY_DOCUMENT,
  type Edit,
  type NumberedEdit,
  type RuleDocument,
  type RuleStore,
  type RuleStoreError,
  type StoredRules,
} from '@fuchsiahitch/rules';

export const RULES_PREFIX = 'rules/';
const HEAD_KEY = 'rules/head';
const SNAPSHOT_KEY = 'rules/snapshot';
const EDITS_PREFIX = 'rules/edits/';
/** In revisions. A snapshot replaces the edits before it. */
const SNAPSHOT_INTERVAL = 32;
const MAX_VALUE_BYTES = 1_000_000;
const CALL_TIMEOUT_MS = 3000;
const REVISION_DIGITS = 12;

export class KeyValueRuleStore implements RuleStore {
  private readonly _store: KeyValueStore;
  private readonly _clock: Clock;

  constructor(store: KeyValueStore, clock: Clock) {
    this._store = store;
    this._clock = clock;
  }

  async load(): Promise<Result<StoredRules, RuleStoreError>> {
    const listed = await this._store.list(RULES_PREFIX, Deadline.after(this._clock, CALL_TIMEOUT_MS));
    if (!listed.ok) return err('unavailable');
    return ok(assemble(listed.value));
  }

  async append(
    headVersion: number,
    document: RuleDocument,
    edit: Edit,
  ): Promise<Result<undefined, RuleStoreError>> {
    const isSnapshot = document.revision % SNAPSHOT_INTERVAL === 0;
    if (isSnapshot) return this.restore(headVersion, document);
    const editKey = EDITS_PREFIX + String(document.revision).padStart(REVISION_DIGITS, '0');
    return this._write(headVersion, [
      { kind: 'put', key: HEAD_KEY, value: String(document.revision) },
      { kind: 'put', key: editKey, value: JSON.stringify(edit) },
    ]);
  }

  async restore(headVersion: number, document: RuleDocument): Promise<Result<undefined, RuleStoreError>> {
    const text = JSON.stringify(document);
    if (Buffer.byteLength(text) > MAX_VALUE_BYTES) return err('too-large');
    return this._write(headVersion, [
      { kind: 'delete-prefix', prefix: EDITS_PREFIX },
      { kind: 'put', key: SNAPSHOT_KEY, value: text },
      { kind: 'put', key: HEAD_KEY, value: String(document.revision) },
    ]);
  }

  private async _write(
    headVersion: number,
    writes: readonly Write[],
  ): Promise<Result<undefined, RuleStoreError>> {
    const deadline = Deadline.after(this._clock, CALL_TIMEOUT_MS);
    const written = await this._store.transact([{ key: HEAD_KEY, version: headVersion }], writes, deadline);
    if (!written.ok) return err(written.error === 'unknown' ? 'unknown' : 'unavailable');
    return written.value.succeeded ? ok(undefined) : err('conflict');
  }
}

/** Builds the current rules by applying the stored edits to the snapshot. */
function assemble(values: readonly StoredValue[]): StoredRules {
  const headVersion = values.find(value => value.key === HEAD_KEY)?.version ?? 0;
  const snapshot = values.find(value => value.key === SNAPSHOT_KEY);
  let document = snapshot ? documentSchema.parse(JSON.parse(snapshot.value)) : EMPTY_DOCUMENT;
  const edits: NumberedEdit[] = [];
  for (const value of values) {
    const numbered = parseEdit(value.key, value.value);
    if (!numbered) continue;
    edits.push(numbered);
    const applied =
      numbered.revision === document.revision + 1 ? applyEdit(document, numbered.edit) : undefined;
    if (applied?.ok) document = applied.value;
  }
  return { document, headVersion, edits };
}

/** Parses the edit stored under a key. Returns undefined for other keys and invalid edits. */
export function parseEdit(key: string, value: string): NumberedEdit | undefined {
  if (!key.startsWith(EDITS_PREFIX)) return undefined;
  const parsed = editSchema.safeParse(JSON.parse(value));
  return parsed.success ? { revision: Number(key.slice(EDITS_PREFIX.length)), edit: parsed.data } : undefined;
}
