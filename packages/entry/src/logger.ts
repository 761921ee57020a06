/**
 * Structured logs: one JSON line each, through roarr.
 */
import './roarrSwitch.js';
import { ROARR, Roarr } from 'roarr';
import type { logLevels } from './entrySettings.js';

export type LogLevel = (typeof logLevels)[number];

/** Details of a line. Fields carry their unit as a suffix. */
export type LogDetails = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
  debug(text: string, details?: LogDetails): void;
  info(text: string, details?: LogDetails): void;
  warn(text: string, details?: LogDetails): void;
  error(text: string, details?: LogDetails): void;
}

const ORDER: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };

/** Writes to standard output the lines of the level and above. */
export class RoarrLogger implements Logger {
  private readonly _lowest: number;
  private readonly _roarr: typeof Roarr;

  constructor(level: LogLevel, host: { readonly hostId: string; readonly domain: string }) {
    this._lowest = ORDER[level];
    this._roarr = Roarr.child({ program: 'fuchsiahitch-entry', ...host });
    ROARR.write = line => process.stdout.write(`${line}\n`);
  }

  debug(text: string, details: LogDetails = {}): void {
    if (this._lowest <= ORDER.debug) this._roarr.debug(details, text);
  }

  info(text: string, details: LogDetails = {}): void {
    if (this._lowest <= ORDER.info) this._roarr.info(details, text);
  }

  warn(text: string, details: LogDetails = {}): void {
    if (this._lowest <= ORDER.warn) this._roarr.warn(details, text);
  }

  error(text: string, details: LogDetails = {}): void {
    this._roarr.error(details, text);
  }
}
