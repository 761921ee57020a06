/**
 * What the reports of usage leave in the store: the content of each window, decided once and before it is first sent, and how
 * far all is reported.
 *
 * Without the first, a reporter that dies between sending and the answer is followed by one that knows less or more, and the
 * platform gets two bills for one window.
 */
import { Deadline, err, ok, type Result } from '@fuchsiahitch/base';
import { ROOT } from '@fuchsiahitch/batches';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import {
  decodeProcessUsages,
  decodeUsageReport,
  type ProcessUsage,
  type UsageReport,
} from '@fuchsiahitch/metering';
import type { GatewayContext } from './gatewayContext.js';

const PREFIX = `${ROOT}usage/`;
const SETTLED_KEY = `${PREFIX}settled`;
const TOLD_KEY = `${PREFIX}told`;
const DECIDED_PREFIX = `${PREFIX}decided/`;
const CALL_TIMEOUT_MS = 1000;

/** How far the reports are. */
export interface UsageProgress {
  /** Windows up to this one are reported or given up; undefined before the first. */
  readonly settledUpTo: number | undefined;
  /** The revision of that record; 0 before the first. */
  readonly revision: number;
  /** Contents that are decided and not settled. */
  readonly decided: readonly UsageReport[];
  /** What hosts had told the reporter before. */
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
    const told = records.value.find(record => record.key === TOLD_KEY);
    return ok({
      settledUpTo,
      revision: settled?.version ?? 0,
      decided,
      told: told ? decodeProcessUsages(told.value) : [],
    });
  }

  /**
   * Decides a window's content, as long as reports have not gone on since `revision`; another decision that came first stands,
   * and is what comes back. Without the second condition a write that is carried out late decides a settled window anew.
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
    const done = await this._store.transact(compares, [put], this._deadline());
    if (!done.ok) return err('out-of-reach');
    if (done.value.succeeded) return ok(report);
    const stored = await this._store.get(key, this._deadline());
    if (!stored.ok) return err('out-of-reach');
    const first = stored.value ? decodeUsageReport(stored.value.value) : undefined;
    return first ? ok(first) : err('progressed');
  }

  /**
   * Keeps what hosts have told and no report has yet, for a successor: what the reporter counted itself, and what hosts told
   * that ended since, nobody can tell again. False if it could not be written.
   */
  async storePending(text: string, revision: number): Promise<boolean> {
    const compares = [{ key: SETTLED_KEY, version: revision }];
    const put = { kind: 'put', key: TOLD_KEY, value: text } as const;
    const done = await this._store.transact(compares, [put], this._deadline());
    return done.ok && done.value.succeeded;
  }

  /** Notes that all up to the window is done; `revision` is 0 for the first note ever. `progressed`: another reporter has noted something since. */
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
