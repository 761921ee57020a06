/**
 * Acknowledges an operator's request to drain a storage host.
 *
 * All durable data is in the platform's store, so a storage host has nothing to drain: the request is completed at
 * once.
 */
import { Deadline, sleep, type Clock } from '@fuchsiahitch/base';
import type { RevisionedStore, WatchEvent } from '@fuchsiahitch/clients';
import type { Logger } from '@fuchsiahitch/telemetry';

const CALL_TIMEOUT_MS = 1500;
/**
 * Bounds the time until an unresponsive connection is detected. A watch takes far fewer calls than polling every two
 * seconds, and answers earlier.
 */
const WATCH_WAIT_MS = 15_000;
const RETRY_MS = 500;

/** Keys of the operator's request for a host and of its acknowledgement, and the value that acknowledges it. */
export interface RetirementRecord {
  readonly requestKey: string;
  readonly statusKey: string;
  readonly completedValue: string;
}

export class Retirement {
  private readonly _record: RetirementRecord;
  private readonly _store: RevisionedStore;
  private readonly _clock: Clock;
  private readonly _log: Logger;
  private readonly _acknowledged = new Set<number>();

  constructor(record: RetirementRecord, store: RevisionedStore, clock: Clock, log: Logger) {
    this._record = record;
    this._store = store;
    this._clock = clock;
    this._log = log;
  }

  /** Acknowledges requests until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._watch(signal);
      await sleep(this._clock, RETRY_MS, signal);
    }
  }

  /** Reads the request and watches for further ones, until a call fails. */
  private async _watch(signal: AbortSignal): Promise<void> {
    const found = await this._store.snapshot(this._record.requestKey, this._deadline());
    if (!found.ok) return;
    if (!(await this._acknowledgeAll(found.value.items))) return;
    let { revision } = found.value;
    while (!signal.aborted) {
      const deadline = Deadline.after(this._clock, WATCH_WAIT_MS + CALL_TIMEOUT_MS);
      const changes = await this._store.changes(this._record.requestKey, revision, WATCH_WAIT_MS, deadline);
      if (!changes.ok) return;
      if (!(await this._acknowledgeAll(changes.value.events))) return;
      ({ revision } = changes.value);
    }
  }

  private async _acknowledgeAll(requests: readonly WatchEvent[]): Promise<boolean> {
    for (const { key, value, version } of requests) {
      // The prefix also matches the keys of hosts with longer names.
      if (key !== this._record.requestKey || value === undefined || this._acknowledged.has(version)) continue;
      if (!(await this._acknowledge(version))) return false;
    }
    return true;
  }

  private async _acknowledge(version: number): Promise<boolean> {
    const { statusKey, completedValue } = this._record;
    const put = { kind: 'put', key: statusKey, value: completedValue } as const;
    const result = await this._store.transact([], [put], this._deadline());
    this._log.info('retirement acknowledgement', {
      outcome: result.ok ? 'completed' : result.error,
      requestRevision: version,
    });
    if (result.ok) this._acknowledged.add(version);
    return result.ok;
  }

  private _deadline(): Deadline {
    return Deadline.after(this._clock, CALL_TIMEOUT_MS);
  }
}
