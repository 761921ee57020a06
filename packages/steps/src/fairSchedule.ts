/**
 * Selects the step that a worker serves next: stride scheduling between houses, earliest deadline first within
 * a house.
 *
 * Usage is charged to houses instead of steps or requests, so that splitting a step gains nothing. Idle houses
 * are skipped, and the others use their share of the engines.
 */

export interface SchedulableStep {
  readonly key: string;
  readonly house: string;
  readonly share: number;
  readonly deadlineInMs: number;
}

const MIN_SHARE = 0.01;

export class FairSchedule {
  private readonly _passes = new Map<string, number>();
  private _virtualTime = 0;

  /** Returns the step to serve next, or undefined if there is none. */
  next<T extends SchedulableStep>(steps: readonly T[]): T | undefined {
    let best: T | undefined;
    for (const step of steps) {
      if (!best || this._isBefore(step, best)) best = step;
    }
    if (best) this._virtualTime = Math.max(this._virtualTime, this._passOf(best.house));
    return best;
  }

  /** Charges a house for tokens that were generated for it. */
  charge(house: string, share: number, tokens: number): void {
    this._passes.set(house, this._passOf(house) + tokens / Math.max(MIN_SHARE, share));
  }

  /** The pass of a house. An idle house resumes at the current virtual time and accumulates no credit. */
  private _passOf(house: string): number {
    return Math.max(this._passes.get(house) ?? 0, this._virtualTime);
  }

  private _isBefore(a: SchedulableStep, b: SchedulableStep): boolean {
    const passA = this._passOf(a.house);
    const passB = this._passOf(b.house);
    if (a.house !== b.house && passA !== passB) return passA < passB;
    return a.deadlineInMs < b.deadlineInMs;
  }
}
