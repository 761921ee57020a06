/**
 * Store records of the usage reports: the content of each window and the progress of the reports.
 *
 * The content of a window is decided and stored before it is first sent, so that a successor of a failed reporter sends
 * the same content again. Otherwise the platform could receive two different reports of one window.
 */
import { Deadline, err, ok, type Result } from '@fuchsiahitch/base';
import { KEY_ROOT } from '@fuchsiahitch/batches';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import {
  decodeProcessUsages,
  decodeUsageReport,
  type ProcessUsage,
  type UsageReport,
} from '@fuchsiahitch/metering';
import type { GatewayContext } from './gatewayContext.js';

const PREFIX = `${KEY_ROOT}usage/`;
const SETTLED_KEY = `${PREFIX}settled`;
const TOLD_KEY = `${PREFIX}told`;
const DECIDED_PREFIX = `${PREFIX}decided/`;
const CALL_TIMEOUT_MS = 1000;

export interface UsageProgress {
  /** Last window that was reported or skipped; undefined before the first. */
  readonly settledUpTo: number | undefined;
  /** Revision of that record; 0 before the first. */
  readonly revision: number;
  /** Reports that are decided and not settled. */
  readonly decided: readonly UsageReport[];
  /** Undecided usage that the previous reporter had received. */
  readonly told: readonly ProcessUsage[];
}

export class UsageRecords {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;

  constructor(context: GatewayContext, store: RevisionedStore) {
    this._context = context;
    this._store = store;
  }

  async read(): Promise<Result<UsageProgress, 'out-of-reach'>> {
    const records = await this._store.list(PREFIX, this._deadline());
    if (!records.ok) return err('out-of-reach');
    const settled = records.value.find(record => record.key === SETTLED_KEY);
    const decided = records.value
      .filter(record => record.key.startsWith(DECIDED_PREFIX))
      .map(record => decodeUsageReport(record.value))
      .filter(report => report !== undefined);
    const settledUpTo = settled ? Number(settled.value) : undefined;
    const pending = records.value.find(record => record.key === TOLD_KEY);
    return ok({
      settledUpTo,
      revision: settled?.version ?? 0,
      decided,
      told: pending ? decodeProcessUsages(pending.value) : [],
    });
  }

  /**
   * Decides the content of a window if the progress is still at `revision`; returns the earlier decision if there is
   * one. The check of the revision prevents a delayed write from deciding a settled window again.
   */
  async decide(
    report: UsageReport,
    revision: number,
  ): Promise<Result<UsageReport, 'progressed' | 'out-of-reach'>> {
    const key = decidedKey(report.window);
    const compares = [
      { key, version: 0 },
      { key: SETTLED_KEY, version: revision },
    ];
    const put = { kind: 'put', key, value: JSON.stringify(report) } as const;
    const result = await this._store.transact(compares, [put], this._deadline());
    if (!result.ok) return err('out-of-reach');
    if (result.value.succeeded) return ok(report);
    const stored = await this._store.get(key, this._deadline());
    if (!stored.ok) return err('out-of-reach');
    const first = stored.value ? decodeUsageReport(stored.value.value) : undefined;
    return first ? ok(first) : err('progressed');
  }

  /**
   * Stores undecided usage for a successor, since terminated processes and this one cannot resend theirs. Returns false
   * if it could not be written.
   */
  async storePending(text: string, revision: number): Promise<boolean> {
    const compares = [{ key: SETTLED_KEY, version: revision }];
    const put = { kind: 'put', key: TOLD_KEY, value: text } as const;
    const done = await this._store.transact(compares, [put], this._deadline());
    return done.ok && done.value.succeeded;
  }

  /** Stores the progress; `revision` is 0 for the first record. `progressed`: another reporter stored it since. */
  async settle(window: number, revision: number): Promise<Result<number, 'progressed' | 'out-of-reach'>> {
    const compares = [{ key: SETTLED_KEY, version: revision }];
    const writes = [
      { kind: 'put', key: SETTLED_KEY, value: String(window) },
      { kind: 'delete', key: decidedKey(window) },
    ] as const;
    const done = await this._store.transact(compares, writes, this._deadline());
    if (!done.ok) return err('out-of-reach');
    return done.value.succeeded ? ok(done.value.version) : err('progressed');
  }

  private _deadline(): Deadline {
    return Deadline.after(this._context.clock, CALL_TIMEOUT_MS);
  }
}

function decidedKey(window: number): string {
  return `${DECIDED_PREFIX}${window}`;
}
