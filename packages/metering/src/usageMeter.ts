/**
 * Counts the requests of this host that endpoints began to run, by client account and window.
 */
import { windowAt, windowEndMs } from './usageWindow.js';
import type { HostWindow } from './usageMessages.js';

export interface UsageMeterOptions {
  readonly windowMs: number;
  /** Counts that were not delivered are dropped this long after the end of their window. */
  readonly keepMs: number;
}

/** A request that was sent to an endpoint. */
export interface MeteredRequest {
  /** Counts the request if `didBegin`: the endpoint began to run it, as far as this host can tell. */
  ended(didBegin: boolean): void;
}

/** A request that has no window yet, because the clock offset is unknown. */
interface UndatedRequest {
  readonly accountName: string;
  /** Monotonic time. */
  readonly atMs: number;
}

/** The number of empty windows sent after the last request, so that the reporter does not wait for this host. */
const IDLE_WINDOWS = 2;
const MAX_UNDATED = 20_000;
/** The maximum difference between the estimates of true time on two hosts. */
const CLOCK_ERROR_MS = 100;

export class UsageMeter {
  private readonly _options: UsageMeterOptions;
  private readonly _countsByWindow = new Map<number, Map<string, number>>();
  /** Final windows that the reporter has received. */
  private readonly _finalWindows = new Set<number>();
  private _undatedRequests: UndatedRequest[] = [];
  /** True time minus monotonic time, undefined while unknown. */
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

  /** Forgets the clock offset, after a pause of the process or a change of its wall clock. */
  clearClockOffset(): void {
    this._offsetMs = undefined;
  }

  hasClockOffset(): boolean {
    return this._offsetMs !== undefined;
  }

  /** Returns true if the reporter has not received all counts. */
  hasUnreported(): boolean {
    return this._undatedRequests.length > 0 || this._version > this._reportedVersion;
  }

  /** Returns the windows to send to the reporter. Call `told` once the reporter has received them. */
  nextUpdate(nowMs: number): { readonly windows: readonly HostWindow[]; readonly told: () => void } {
    const version = this._version;
    const windows: HostWindow[] = [];
    for (const window of this._windowsToReport(nowMs)) {
      if (this._finalWindows.has(window)) continue;
      const counts = Object.fromEntries(this._countsByWindow.get(window) ?? []);
      const isFinal = this._isFinal(window, nowMs);
      if (isFinal || this._countsByWindow.has(window)) windows.push({ window, counts, isFinal });
    }
    return {
      windows,
      told: () => {
        this._reportedVersion = Math.max(this._reportedVersion, version);
        for (const { window, isFinal } of windows) if (isFinal) this._finalWindows.add(window);
      },
    };
  }

  /** Returns the monotonic time at which the next window becomes final, undefined if there is none to send. */
  nextFinalMs(nowMs: number): number | undefined {
    const offsetMs = this._offsetMs;
    const [first] = this._windowsToReport(nowMs).filter(window => !this._finalWindows.has(window));
    if (offsetMs === undefined || first === undefined) return undefined;
    return windowEndMs(first, this._options.windowMs) + CLOCK_ERROR_MS - offsetMs;
  }

  /** Schedules all counts to be sent again, to a new reporter. */
  reporterChanged(): void {
    this._finalWindows.clear();
    if (this._countsByWindow.size > 0) this._version += 1;
  }

  /** Drops the counts of decided windows, up to and including `upTo`. */
  markDecided(upTo: number): void {
    this._decidedUpTo = Math.max(this._decidedUpTo, upTo);
    for (const window of this._countsByWindow.keys()) if (window <= upTo) this._countsByWindow.delete(window);
    for (const window of this._finalWindows) if (window <= upTo) this._finalWindows.delete(window);
  }

  /** Removes and returns counts that are too old for any report. */
  takeExpired(nowMs: number): readonly HostWindow[] {
    if (this._offsetMs === undefined) return [];
    const expired: HostWindow[] = [];
    for (const [window, counts] of this._countsByWindow) {
      const ageMs = nowMs + this._offsetMs - windowEndMs(window, this._options.windowMs);
      if (ageMs <= this._options.keepMs) continue;
      this._countsByWindow.delete(window);
      this._finalWindows.delete(window);
      expired.push({ window, counts: Object.fromEntries(counts), isFinal: true });
    }
    return expired;
  }

  /** Returns the windows with counts and the empty ones that follow the last request, in order. */
  private _windowsToReport(nowMs: number): readonly number[] {
    if (this._offsetMs === undefined) return [];
    const current = windowAt(nowMs + this._offsetMs, this._options.windowMs);
    const due = new Set(this._countsByWindow.keys());
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
    const counts = this._countsByWindow.get(window) ?? new Map<string, number>();
    counts.set(request.accountName, (counts.get(request.accountName) ?? 0) + 1);
    this._countsByWindow.set(window, counts);
    this._finalWindows.delete(window);
    this._lastWindow = Math.max(this._lastWindow, window);
    this._version += 1;
  }
}
