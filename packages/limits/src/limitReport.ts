/**
 * Tells operators which limit refused clients: a counter, and at most one line a second for each limit.
 */
import type { Clock } from '@fuchsiahitch/base';

/** The limits on clients, by the names that metrics and log lines give them. */
export type ClientLimit =
  | 'body-size'
  | 'body-memory'
  | 'body-stalled'
  | 'body-timeout'
  | 'head-size'
  | 'head-memory'
  | 'connections'
  | 'requests'
  | 'answer-memory'
  | 'answer-unread'
  | 'batch-memory'
  | 'open-batches'
  | 'status-connections';

export interface LimitLine {
  readonly limit: ClientLimit;
  /** Refusals since the last line of this limit, this one included. */
  readonly refusals: number;
  /** The address of the client that was refused last. */
  readonly client: string;
}

const LINE_INTERVAL_MS = 1000;

export class LimitReport {
  private readonly _clock: Clock;
  private readonly _count: (limit: ClientLimit) => void;
  private readonly _write: (line: LimitLine) => void;
  private readonly _pending = new Map<ClientLimit, { refusals: number; client: string }>();

  constructor(clock: Clock, count: (limit: ClientLimit) => void, write: (line: LimitLine) => void) {
    this._clock = clock;
    this._count = count;
    this._write = write;
  }

  refused(limit: ClientLimit, client: string): void {
    this._count(limit);
    const pending = this._pending.get(limit);
    if (pending) {
      pending.refusals += 1;
      pending.client = client;
      return;
    }
    this._writeLine({ limit, refusals: 1, client });
  }

  private _flush(limit: ClientLimit): void {
    const pending = this._pending.get(limit);
    this._pending.delete(limit);
    if (!pending || pending.refusals === 0) return;
    this._writeLine({ limit, refusals: pending.refusals, client: pending.client });
  }

  /** Writes a line, and gathers the refusals until the next one. */
  private _writeLine(line: LimitLine): void {
    const { limit, client } = line;
    this._write(line);
    this._pending.set(limit, { refusals: 0, client });
    this._clock.after(LINE_INTERVAL_MS, () => this._flush(limit));
  }
}
