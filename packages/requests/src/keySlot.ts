/** The records of one slot at one host, as owner or as copy. */
import type { Clock } from '@fuchsiahitch/base';
import type { StoredAnswer, KeyRecord } from './keyMessages.js';

/** The time from the last change of a key until its record is removed. Resends must arrive within it. */
export const KEY_RETENTION_MS = 600_000;
/** Larger answers are not stored; their resends receive `unknown`. */
export const MAX_STORED_ANSWER_BYTES = 16 * 1024;

/** A stored record. Its form in messages is `KeyRecord`. */
export interface SlotRecord {
  readonly key: string;
  readonly fingerprint: string;
  readonly attemptId: string;
  state: 'preparing' | 'granted' | 'finished';
  answer: StoredAnswer | undefined;
  change: number;
  changedMs: number;
}

export class KeySlot {
  private readonly _clock: Clock;
  private readonly _records = new Map<string, SlotRecord>();
  private _lastChange = 0;
  private _recordsLostUntilMs = 0;
  /** This host accepts no changes of earlier epochs. */
  promisedEpoch = 0;
  /** The epoch for which the records are complete; 0 for none. */
  completeEpoch = 0;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  find(key: string): SlotRecord | undefined {
    const record = this._records.get(key);
    if (!record || this._clock.nowMs() - record.changedMs <= KEY_RETENTION_MS) return record;
    this._records.delete(key);
    return undefined;
  }

  /** Adds a record that is not confirmed by the copy yet. */
  prepare(key: string, fingerprint: string, attemptId: string): SlotRecord {
    const record: SlotRecord = {
      key,
      fingerprint,
      attemptId,
      state: 'preparing',
      answer: undefined,
      change: 0,
      changedMs: 0,
    };
    this._touch(record);
    this._records.set(key, record);
    return record;
  }

  finish(record: SlotRecord, answer: StoredAnswer | undefined): void {
    record.state = 'finished';
    record.answer = answer;
    this._touch(record);
  }

  /** Removes a record unless its key has a newer one. */
  remove(record: SlotRecord): void {
    if (this._records.get(record.key) === record) this._records.delete(record.key);
  }

  nextChange(): number {
    this._lastChange += 1;
    return this._lastChange;
  }

  /** Merges a record of another holder; the newer change wins. */
  merge(record: KeyRecord): void {
    this._lastChange = Math.max(this._lastChange, record.change);
    const existing = this._records.get(record.key);
    if (existing && existing.change > record.change) return;
    if (record.state === 'released') {
      this._records.delete(record.key);
      return;
    }
    const { key, fingerprint, attemptId, answer, change } = record;
    // A record still in preparation may have been granted meanwhile; treat it as granted.
    const state = record.state === 'finished' ? 'finished' : 'granted';
    const changedMs = this._clock.nowMs() - record.ageMs;
    this._records.set(key, { key, fingerprint, attemptId, state, answer, change, changedMs });
  }

  replace(records: readonly KeyRecord[], lostForMs: number): void {
    this._records.clear();
    for (const record of records) this.merge(record);
    this.markRecordsLost(lostForMs);
  }

  /** For `durationMs`, treats keys without a record as possibly granted before. */
  markRecordsLost(durationMs: number): void {
    if (durationMs > 0)
      this._recordsLostUntilMs = Math.max(this._recordsLostUntilMs, this._clock.nowMs() + durationMs);
  }

  lostForMs(): number {
    return Math.max(0, this._recordsLostUntilMs - this._clock.nowMs());
  }

  unexpiredRecords(): readonly KeyRecord[] {
    const records: KeyRecord[] = [];
    for (const key of [...this._records.keys()]) {
      const record = this.find(key);
      if (record) records.push(this.toRecord(record));
    }
    return records;
  }

  size(): number {
    return this._records.size;
  }

  toRecord(record: SlotRecord): KeyRecord {
    const { key, fingerprint, attemptId, state, answer, change } = record;
    const ageMs = this._clock.nowMs() - record.changedMs;
    return { key, fingerprint, attemptId, state, change, ageMs, ...(answer ? { answer } : {}) };
  }

  private _touch(record: SlotRecord): void {
    record.change = this.nextChange();
    record.changedMs = this._clock.nowMs();
  }
}
