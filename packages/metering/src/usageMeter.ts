/**
 * Counts the requests that endpoints began for this host, by client account and window.
 */
import { windowAt, windowEndMs } from './usageWindow.js';
import type { HostWindow } from './usageMessages.js';

export interface UsageMeterOptions {
  readonly windowMs: number;
  /** Undelivered counts are retained for this time after their window, then dropped. */
  readonly keepMs: number;
}

/** Metering of one request that was sent to an endpoint. */
export interface MeteredRequest {
  /** `didBegin`: whether the endpoint ran the request, as far as this host can tell. */
  ended(didBegin: boolean): void;
}

/** A request that cannot be assigned to a window while the clock offset is unknown. */
interface UndatedRequest {
  readonly accountName: string;
  /** Monotonic time. */
  readonly atMs: number;
}

/** Number of empty windows reported after the last request, so that the reporter does not wait for this host. */
const IDLE_WINDOWS = 2;
const MAX_UNDATED = 20_000;
/** Bound on the difference of true time between hosts. */
const CLOCK_ERROR_MS = 100;

export class UsageMeter {
  private readonly _options: UsageMeterOptions;
  private readonly _windows = new Map<number, Map<string, number>>();
  private readonly _final = new Set<number>();
  private _undatedRequests: UndatedRequest[] = [];
  /** True time minus monotonic time; undefined while it is not known. */
  private _offsetMs: number | undefined;
  private _lastWindow = -Infinity;
  private _decidedUpTo = -Infinity;
  private _nextRequestId = 0;
  private readonly _inFlightSinceMs = new Map<number, number>();
  private _version = 0;
  private _reportedVersion = 0;

  constructor(options: UsageMeterOptions) {
    this._options = options;
  }

  /** Starts metering a request that is sent at the monotonic time `nowMs`. */
  sent(accountName: string, nowMs: number): MeteredRequest {
    const id = this._nextRequestId;
    this._nextRequestId += 1;
    this._inFlightSinceMs.set(id, nowMs);
    return {
      ended: didBegin => {
        if (this._inFlightSinceMs.delete(id) && didBegin) this._count({ accountName, atMs: nowMs });
      },
    };
  }

  /** `offsetMs`: true time minus monotonic time. */
  setClockOffset(offsetMs: number): void {
    this._offsetMs = offsetMs;
    const undated = this._undatedRequests;
    this._undatedRequests = [];
    for (const request of undated) this._count(request);
  }

  /** Called after a pause of the process or a change of its wall clock. */
  clearClockOffset(): void {
    this._offsetMs = undefined;
  }

  hasClockOffset(): boolean {
    return this._offsetMs !== undefined;
  }

  /** Returns true if counts have not been delivered to the reporter. */
  hasUnreported(): boolean {
    return this._undatedRequests.length > 0 || this._version > this._reportedVersion;
  }

  /** Windows to send to the reporter; `told` must be called when it has received them. */
  nextUpdate(nowMs: number): { readonly windows: readonly HostWindow[]; readonly told: () => void } {
    const version = this._version;
    const windows: HostWindow[] = [];
    for (const window of this._due(nowMs)) {
      if (this._final.has(window)) continue;
      const counts = Object.fromEntries(this._windows.get(window) ?? []);
      const isFinal = this._isFinal(window, nowMs);
      if (isFinal || this._windows.has(window)) windows.push({ window, counts, isFinal });
    }
    return {
      windows,
      told: () => {
        this._reportedVersion = Math.max(this._reportedVersion, version);
        for (const { window, isFinal } of windows) if (isFinal) this._final.add(window);
      },
    };
  }

  /** Monotonic time at which the next window becomes final; undefined if no window is to be sent. */
  nextFinalMs(nowMs: number): number | undefined {
    const offsetMs = this._offsetMs;
    const [first] = this._due(nowMs).filter(window => !this._final.has(window));
    if (offsetMs === undefined || first === undefined) return undefined;
    return windowEndMs(first, this._options.windowMs) + CLOCK_ERROR_MS - offsetMs;
  }

  /** Schedules all counts for sending to a new reporter. */
  reporterChanged(): void {
    this._final.clear();
    if (this._windows.size > 0) this._version += 1;
  }

  /** Drops the counts of decided windows, up to and including this one. */
  markDecided(upTo: number): void {
    this._decidedUpTo = Math.max(this._decidedUpTo, upTo);
    for (const window of this._windows.keys()) if (window <= upTo) this._windows.delete(window);
    for (const window of this._final) if (window <= upTo) this._final.delete(window);
  }

  /** Removes and returns counts that are too old for any report. */
  takeExpired(nowMs: number): readonly HostWindow[] {
    if (this._offsetMs === undefined) return [];
    const lost: HostWindow[] = [];
    for (const [window, counts] of this._windows) {
      const ageMs = nowMs + this._offsetMs - windowEndMs(window, this._options.windowMs);
      if (ageMs <= this._options.keepMs) continue;
      this._windows.delete(window);
      this._final.delete(window);
      lost.push({ window, counts: Object.fromEntries(counts), isFinal: true });
    }
    return lost;
  }

  /** Windows with counts, and the empty ones that follow the last request. */
  private _due(nowMs: number): readonly number[] {
    if (this._offsetMs === undefined) return [];
    const current = windowAt(nowMs + this._offsetMs, this._options.windowMs);
    const due = new Set(this._windows.keys());
    for (let window = this._lastWindow + 1; window <= this._lastWindow + IDLE_WINDOWS; window++)
      if (window <= current && window > this._decidedUpTo) due.add(window);
    return [...due].sort((a, b) => a - b);
  }

  private _isFinal(window: number, nowMs: number): boolean {
    if (this._offsetMs === undefined) return false;
    const endMs = windowEndMs(window, this._options.windowMs) - this._offsetMs;
    if (nowMs < endMs + CLOCK_ERROR_MS) return false;
    return ![...this._inFlightSinceMs.values()].some(startedMs => startedMs < endMs);
  }

  private _count(request: UndatedRequest): void {
    if (this._offsetMs === undefined) {
      if (this._undatedRequests.length < MAX_UNDATED) this._undatedRequests.push(request);
      return;
    }
    const window = windowAt(request.atMs + this._offsetMs, this._options.windowMs);
    const counts = this._windows.get(window) ?? new Map<string, number>();
    counts.set(request.accountName, (counts.get(request.accountName) ?? 0) + 1);
    this._windows.set(window, counts);
    this._final.delete(window);
    this._lastWindow = Math.max(this._lastWindow, window);
    this._version += 1;
  }
}
