/**
 * Which house's step a worker serves next: stride scheduling by house, within a house the earliest deadline.
 *
 * It is charged by house and not by step or request, so that splitting a step gains nothing. A house that has
 * no work is passed over, and the others use the engines meanwhile.
 */

/** A step that can be served, as a worker knows it. */
export interface SchedulableStep {
  readonly key: string;
  readonly house: string;
  readonly share: number;
  readonly deadlineInMs: number;
}

const LOWEST_SHARE = 0.01;

export class FairSchedule {
  private readonly _passes = new Map<string, number>();
  private _now = 0;

  /** The step to serve next, or undefined when there is none. */
  next<T extends SchedulableStep>(steps: readonly T[]): T | undefined {
    let best: T | undefined;
    for (const step of steps) {
      if (!best || this._isBefore(step, best)) best = step;
    }
    if (best) this._now = Math.max(this._now, this._passOf(best.house));
    return best;
  }

  /** Charges a house for tokens that were generated for it. */
  charge(house: string, share: number, tokens: number): void {
    this._passes.set(house, this._passOf(house) + tokens / Math.max(LOWEST_SHARE, share));
  }

  /** A house that was idle begins where the others are: it has saved up nothing. */
  private _passOf(house: string): number {
    return Math.max(this._passes.get(house) ?? 0, this._now);
  }

  private _isBefore(a: SchedulableStep, b: SchedulableStep): boolean {
    const passA = this._passOf(a.house);
    const passB = this._passOf(b.house);
    if (a.house !== b.house && passA !== passB) return passA < passB;
    return a.deadlineInMs < b.deadlineInMs;
  }
}
