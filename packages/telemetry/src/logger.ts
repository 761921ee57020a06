/**
 * Structured logs: one JSON line each, through roarr, to standard output.
 */
import './enableRoarr.js';
import { ROARR, Roarr } from 'roarr';

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof logLevels)[number];

/** Details of a line. Fields carry their unit as a suffix. */
export type LogDetails = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
  debug(text: string, details?: LogDetails): void;
  info(text: string, details?: LogDetails): void;
  warn(text: string, details?: LogDetails): void;
  error(text: string, details?: LogDetails): void;
}

const LEVEL_ORDER: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };
/**
 * Bytes that may wait for the reader of standard output: about 2,000 lines. Beyond it lines are dropped and
 * counted, because a log collector that stalls must not fill the memory of the process.
 */
const MAX_PENDING_BYTES = 512 * 1024;
/** Lines a second in the long run, and at once after a quiet time: about 1% of a small host's core. */
const LINES_PER_SECOND = 300;
const BURST_LINES = 2000;
const MS_PER_SECOND = 1000;

/** Where lines go. */
export interface LogSink {
  write(text: string): void;
  /** Bytes accepted and not yet taken by the reader. */
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

/** Writes to the sink. Drops and counts lines over the rate, and while the sink's reader does not keep up. */
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

  /** Lines dropped since the last one that was written. */
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
    const gained = ((nowMs - this._refilledMs) / MS_PER_SECOND) * this._limits.linesPerSecond;
    this._availableLines = Math.min(this._limits.burstLines, this._availableLines + gained);
    this._refilledMs = nowMs;
  }
}

/** Names the process in each of its lines. */
export interface LogOrigin {
  readonly program: string;
  readonly hostId: string;
  readonly domain: string;
}

/** Writes to standard output the lines of the level and above. */
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

  debug(text: string, details: LogDetails = {}): void {
    if (this._threshold <= LEVEL_ORDER.debug) this._roarr.debug(details, text);
  }

  info(text: string, details: LogDetails = {}): void {
    if (this._threshold <= LEVEL_ORDER.info) this._roarr.info(details, text);
  }

  warn(text: string, details: LogDetails = {}): void {
    if (this._threshold <= LEVEL_ORDER.warn) this._roarr.warn(details, text);
  }

  error(text: string, details: LogDetails = {}): void {
    this._roarr.error(details, text);
  }
}
