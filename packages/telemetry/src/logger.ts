/**
 * Structured logging to standard output, one JSON object per line, through roarr.
 */
import './enableRoarr.js';
import { ROARR, Roarr } from 'roarr';

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof logLevels)[number];

/** Additional fields of a line. Names carry their unit as a suffix. */
export type LogDetails = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
  debug(message: string, details?: LogDetails): void;
  info(message: string, details?: LogDetails): void;
  warn(message: string, details?: LogDetails): void;
  error(message: string, details?: LogDetails): void;
}

const LEVEL_ORDER: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };
/** About 2,000 lines. Lines are dropped beyond this, so that a stalled log collector does not exhaust the memory. */
const MAX_PENDING_BYTES = 512 * 1024;
/** Sustained rate. Limits the processor time that logging takes on a small host. */
const LINES_PER_SECOND = 300;
const BURST_LINES = 2000;
const MS_PER_SECOND = 1000;

export interface LogSink {
  write(text: string): void;
  /** Bytes accepted but not yet consumed by the reader. */
  pendingBytes(): number;
}

const standardOutput: LogSink = {
  write: text => void process.stdout.write(text),
  pendingBytes: () => process.stdout.writableLength,
};

export interface WriterLimits {
  readonly maxPendingBytes: number;
  readonly linesPerSecond: number;
  readonly burstLines: number;
}

/** Writes to the sink. Drops and counts lines above the rate limit or while too many bytes are pending. */
export class BoundedWriter {
  private readonly _sink: LogSink;
  private readonly _limits: WriterLimits;
  private readonly _nowMs: () => number;
  private _availableLines: number;
  private _refilledMs: number;
  private _dropped = 0;

  constructor(sink: LogSink, limits: WriterLimits, nowMs: () => number) {
    this._sink = sink;
    this._limits = limits;
    this._nowMs = nowMs;
    this._availableLines = limits.burstLines;
    this._refilledMs = nowMs();
  }

  /** Returns the number of lines dropped since the last one was written. */
  dropped(): number {
    return this._dropped;
  }

  write(line: string): void {
    this._refill();
    if (this._availableLines < 1 || this._sink.pendingBytes() > this._limits.maxPendingBytes) {
      this._dropped += 1;
      return;
    }
    this._availableLines -= 1;
    if (this._dropped > 0) this._sink.write(`{"message":"log lines dropped","lines":${this._dropped}}\n`);
    this._dropped = 0;
    this._sink.write(`${line}\n`);
  }

  private _refill(): void {
    const nowMs = this._nowMs();
    const addedLines = ((nowMs - this._refilledMs) / MS_PER_SECOND) * this._limits.linesPerSecond;
    this._availableLines = Math.min(this._limits.burstLines, this._availableLines + addedLines);
    this._refilledMs = nowMs;
  }
}

/** Identifies the process; added to each line. */
export interface LogOrigin {
  readonly program: string;
  readonly hostId: string;
  readonly domain: string;
}

/** Writes lines of the given level and above to standard output. */
export class RoarrLogger implements Logger {
  private readonly _threshold: number;
  private readonly _roarr: typeof Roarr;

  constructor(level: LogLevel, origin: LogOrigin) {
    this._threshold = LEVEL_ORDER[level];
    this._roarr = Roarr.child({ ...origin });
    const limits = {
      maxPendingBytes: MAX_PENDING_BYTES,
      linesPerSecond: LINES_PER_SECOND,
      burstLines: BURST_LINES,
    };
    const writer = new BoundedWriter(standardOutput, limits, () => performance.now());
    ROARR.write = line => writer.write(line);
  }

  debug(message: string, details: LogDetails = {}): void {
    if (this._threshold <= LEVEL_ORDER.debug) this._roarr.debug(details, message);
  }

  info(message: string, details: LogDetails = {}): void {
    if (this._threshold <= LEVEL_ORDER.info) this._roarr.info(details, message);
  }

  warn(message: string, details: LogDetails = {}): void {
    if (this._threshold <= LEVEL_ORDER.warn) this._roarr.warn(details, message);
  }

  error(message: string, details: LogDetails = {}): void {
    this._roarr.error(details, message);
  }
}
