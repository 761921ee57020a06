/**
 * Collects the usage counts of all hosts at the host that reports them.
 */
import type { HostWindow, ProcessUsage } from './usageMessages.js';
import { totalOf, type UsageCounts } from './usageWindow.js';

/** The report of a window waits for each process that counted requests within this many preceding windows. */
const ACTIVE_WINDOWS = 2;

/** One process of a host. */
export interface UsageSource {
  readonly hostId: string;
  readonly incarnation: string;
}

interface SourceWindows {
  readonly source: UsageSource;
  readonly windows: Map<number, HostWindow>;
  /** Windows with requests, including recently decided ones. */
  readonly busy: Set<number>;
}

export class UsageLedger {
  private readonly _sources = new Map<string, SourceWindows>();

  /** Records the usage of a process. Counts of a window replace earlier counts of the same window. */
  told({ hostId, incarnation, windows }: ProcessUsage): void {
    const key = `${hostId}\n${incarnation}`;
    const entry: SourceWindows = this._sources.get(key) ?? {
      source: { hostId, incarnation },
      windows: new Map(),
      busy: new Set(),
    };
    this._sources.set(key, entry);
    for (const received of windows) {
      if (isOlder(received, entry.windows.get(received.window))) continue;
      entry.windows.set(received.window, received);
      if (totalOf(received.counts) > 0) entry.busy.add(received.window);
    }
  }

  /** Returns the counts of a window, summed over all processes and ordered by account. */
  countsOf(window: number): UsageCounts {
    const sums = new Map<string, number>();
    for (const { windows } of this._sources.values())
      for (const [name, count] of Object.entries(windows.get(window)?.counts ?? {}))
        sums.set(name, (sums.get(name) ?? 0) + count);
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Returns the recently active processes that have not marked the window as final. */
  missing(window: number): readonly UsageSource[] {
    return [...this._sources.values()]
      .filter(entry => wasRecentlyBusy(entry, window))
      .filter(entry => entry.windows.get(window)?.isFinal !== true)
      .map(entry => entry.source);
  }

  /** Returns the usage of undecided windows, by process. */
  undecided(): readonly ProcessUsage[] {
    return [...this._sources.values()]
      .filter(({ windows }) => windows.size > 0)
      .map(({ source, windows }) => ({ ...source, windows: [...windows.values()] }));
  }

  /** Drops the usage of decided windows, up to and including `upTo`. */
  dropThrough(upTo: number): void {
    for (const [key, entry] of this._sources) {
      for (const window of entry.windows.keys()) if (window <= upTo) entry.windows.delete(window);
      for (const window of entry.busy) if (window < upTo - ACTIVE_WINDOWS) entry.busy.delete(window);
      if (entry.busy.size === 0) this._sources.delete(key);
    }
  }
}

/** Detects messages that arrive out of order. Counts only grow, so a lower total is older. */
function isOlder(received: HostWindow, known: HostWindow | undefined): boolean {
  return known !== undefined && totalOf(received.counts) < totalOf(known.counts);
}

function wasRecentlyBusy({ busy }: SourceWindows, window: number): boolean {
  return [...busy].some(known => known <= window && known >= window - ACTIVE_WINDOWS);
}
