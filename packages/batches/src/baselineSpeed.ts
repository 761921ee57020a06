/**
 * Baseline speed of endpoints: the duration of their work, in percent of the normal one, without other load.
 *
 * The percentage that an endpoint reports changes many times a second with the other processes of its machine, which
 * only slow it down. The lowest of several reports is therefore the speed of the endpoint itself.
 */
import { median } from './median.js';

/** How long a report counts. Bounds the effect of a low percentage after the endpoint itself has become slower. */
const WINDOW_MS = 10_000;
/** Reports are combined into slots of this duration, so that memory does not grow with the number of reports. */
const SLOT_MS = 500;

interface WindowSlot {
  readonly startMs: number;
  lowest: number;
}

/** The lowest percentage reported within the window. */
export class BaselineSpeed {
  private readonly _slots: WindowSlot[] = [];

  add(percent: number, nowMs: number): void {
    this._dropOld(nowMs);
    const last = this._slots.at(-1);
    if (last && nowMs - last.startMs < SLOT_MS) last.lowest = Math.min(last.lowest, percent);
    else this._slots.push({ startMs: nowMs, lowest: percent });
  }

  /** Undefined without a report within the window. */
  percent(nowMs: number): number | undefined {
    this._dropOld(nowMs);
    return this._slots.length === 0 ? undefined : Math.min(...this._slots.map(slot => slot.lowest));
  }

  private _dropOld(nowMs: number): void {
    while (this._slots[0] && nowMs - this._slots[0].startMs >= WINDOW_MS) this._slots.shift();
  }
}

/** What is known about the speed of an endpoint. */
export interface EndpointSpeed {
  readonly id: string;
  /** The measured time between two events. */
  readonly paceMs: number | undefined;
  readonly baselinePercent: number | undefined;
}

/**
 * Returns the pace of each endpoint of a pool: the measured one, otherwise an estimate from the paces of the others in
 * proportion to the baselines. Endpoints without either are omitted. Addresses the start of a step, when an owner has
 * measured only some endpoints and would place its longest items at slow ones.
 */
export function knownPaces(speeds: readonly EndpointSpeed[]): ReadonlyMap<string, number> {
  const perPercentMs = medianPacePerPercentMs(speeds);
  const paces = new Map<string, number>();
  for (const { id, paceMs, baselinePercent } of speeds) {
    const isEstimable = perPercentMs !== undefined && baselinePercent !== undefined;
    const knownMs = paceMs ?? (isEstimable ? perPercentMs * baselinePercent : undefined);
    if (knownMs !== undefined) paces.set(id, knownMs);
  }
  return paces;
}

/** The median, because single measured paces include the load of other processes. */
function medianPacePerPercentMs(speeds: readonly EndpointSpeed[]): number | undefined {
  const ratios: number[] = [];
  for (const { paceMs, baselinePercent } of speeds)
    if (paceMs !== undefined && baselinePercent !== undefined) ratios.push(paceMs / baselinePercent);
  return median(ratios);
}
