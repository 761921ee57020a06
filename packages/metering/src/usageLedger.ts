/**
 * What all hosts have told of their counts, at the host that reports usage.
 */
import type { HostWindow, ProcessUsage } from './usageMessages.js';
import { totalOf, type UsageCounts } from './usageWindow.js';

/** A host that told something in one of so many windows before is waited for. */
const ACTIVE_WINDOWS = 2;

/** One process of a host. */
export interface UsageSource {
  readonly hostId: string;
  readonly incarnation: string;
}

interface SourceWindows {
  readonly source: UsageSource;
  readonly windows: Map<number, HostWindow>;
  /** Windows in which it counted something, also some that are decided. */
  readonly busy: Set<number>;
}

export class UsageLedger {
  private readonly _sources = new Map<string, SourceWindows>();

  /** Takes in what a host tells; what it told of a window before is replaced by what has grown since. */
  told({ hostId, incarnation, windows }: ProcessUsage): void {
    const key = `${hostId}\n${incarnation}`;
    const entry: SourceWindows = this._sources.get(key) ?? {
      source: { hostId, incarnation },
      windows: new Map(),
      busy: new Set(),
    };
    this._sources.set(key, entry);
    for (const told of windows) {
      if (isOlder(told, entry.windows.get(told.window))) continue;
      entry.windows.set(told.window, told);
      if (totalOf(told.counts) > 0) entry.busy.add(told.window);
    }
  }

  /** The counts of all hosts together, their accounts in order. */
  countsOf(window: number): UsageCounts {
    const sums = new Map<string, number>();
    for (const { windows } of this._sources.values())
      for (const [name, count] of Object.entries(windows.get(window)?.counts ?? {}))
        sums.set(name, (sums.get(name) ?? 0) + count);
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** The processes that were busy just before, and have not said that they counted the window to its end. */
  missing(window: number): readonly UsageSource[] {
    return [...this._sources.values()]
      .filter(entry => wasRecentlyBusy(entry, window))
      .filter(entry => entry.windows.get(window)?.isFinal !== true)
      .map(entry => entry.source);
  }

  /** What is not decided yet, as hosts told it. */
  undecided(): readonly ProcessUsage[] {
    return [...this._sources.values()]
      .filter(({ windows }) => windows.size > 0)
      .map(({ source: teller, windows }) => ({ ...teller, windows: [...windows.values()] }));
  }

  /** Windows up to this one are decided, and what was told of them is needed no more. */
  dropThrough(upTo: number): void {
    for (const [key, entry] of this._sources) {
      for (const window of entry.windows.keys()) if (window <= upTo) entry.windows.delete(window);
      for (const window of entry.busy) if (window < upTo - ACTIVE_WINDOWS) entry.busy.delete(window);
      if (entry.busy.size === 0) this._sources.delete(key);
    }
  }
}

/** True for a word that another has overtaken: counts only grow. */
function isOlder(told: HostWindow, known: HostWindow | undefined): boolean {
  return known !== undefined && totalOf(told.counts) < totalOf(known.counts);
}

function wasRecentlyBusy({ busy }: SourceWindows, window: number): boolean {
  return [...busy].some(known => known <= window && known >= window - ACTIVE_WINDOWS);
}
