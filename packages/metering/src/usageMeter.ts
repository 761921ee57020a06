/**
 * What this host saw endpoints begin, by client account and window.
 */
import { windowAt, windowEndMs } from './usageWindow.js';
import type { HostWindow } from './usageMessages.js';

export interface UsageMeterOptions {
  readonly windowMs: number;
  /** Counts that nobody has taken are kept this long after their window, and are lost then. */
  readonly keepMs: number;
}

/** A request on its way to an endpoint. */
export interface MeteredRequest {
  /** `didBegin`: whether the endpoint ran it, as far as this host can tell. */
  ended(didBegin: boolean): void;
}

/** A request that began before this host knew what time it was. */
interface UndatedRequest {
  readonly accountName: string;
  /** Monotonic time. */
  readonly atMs: number;
}

/** After its last request a host says of so many windows that there was nothing, so that nobody waits for it. */
const IDLE_WINDOWS = 2;
const MAX_UNDATED = 20_000;
/** Hosts agree on true time to within this: a window is not over for all a moment earlier. */
const CLOCK_ERROR_MS = 100;

export class UsageMeter {
  private readonly _options: UsageMeterOptions;
  private readonly _windows = new Map<number, Map<string, number>>();
  private readonly _final = new Set<number>();
  private _undatedRequests: UndatedRequest[] = [];
  /** True time less monotonic time; undefined while it is not known. */
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

  /** A request of an account is sent at the monotonic time `nowMs`. */
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

  /** What time it truly is has become known: true time less monotonic time. */
  setClockOffset(offsetMs: number): void {
    this._offsetMs = offsetMs;
    const undated = this._undatedRequests;
    this._undatedRequests = [];
    for (const began of undated) this._count(began);
  }

  /** This process stood still, or its clock was set: what time it is must be learnt anew. */
  clearClockOffset(): void {
    this._offsetMs = undefined;
  }

  hasClockOffset(): boolean {
    return this._offsetMs !== undefined;
  }

  /** True if something was counted that nobody was told yet. */
  hasUnreported(): boolean {
    return this._undatedRequests.length > 0 || this._version > this._reportedVersion;
  }

  /** What a reporter must know. `told` is called once it has taken that. */
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

  /** The next monotonic time at which a window becomes final for whoever reports; undefined while there is none to tell. */
  nextFinalMs(nowMs: number): number | undefined {
    const offsetMs = this._offsetMs;
    const [first] = this._due(nowMs).filter(window => !this._final.has(window));
    if (offsetMs === undefined || first === undefined) return undefined;
    return windowEndMs(first, this._options.windowMs) + CLOCK_ERROR_MS - offsetMs;
  }

  /** A new reporter knows nothing: everything is told again. */
  reporterChanged(): void {
    this._final.clear();
    if (this._windows.size > 0) this._version += 1;
  }

  /** Windows up to this one are decided. */
  markDecided(upTo: number): void {
    this._decidedUpTo = Math.max(this._decidedUpTo, upTo);
    for (const window of this._windows.keys()) if (window <= upTo) this._windows.delete(window);
    for (const window of this._final) if (window <= upTo) this._final.delete(window);
  }

  /** Counts that are too old for any report; they are forgotten. */
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

  /** Windows that a reporter has to hear of: those with counts, and the empty ones just after them. */
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

  private _count(began: UndatedRequest): void {
    if (this._offsetMs === undefined) {
      if (this._undatedRequests.length < MAX_UNDATED) this._undatedRequests.push(began);
      return;
    }
    const window = windowAt(began.atMs + this._offsetMs, this._options.windowMs);
    const counts = this._windows.get(window) ?? new Map<string, number>();
    counts.set(began.accountName, (counts.get(began.accountName) ?? 0) + 1);
    this._windows.set(window, counts);
    this._final.delete(window);
    this._lastWindow = Math.max(this._lastWindow, window);
    this._version += 1;
  }
}
