/**
 * The recent work of each model of a pool, from the announcements of batch owners.
 *
 * Addresses pools whose models have different work: with equal shares the items of the largest model wait for slots
 * while endpoints of the smallest are idle.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { ModelDemandUpdate } from './batchMessages.js';
import type { ModelWork } from './endpointShares.js';

/** Steps whose mean is a model's work. A single step varies with the lengths of its longest items. */
const AVERAGED_STEPS = 3;
/** The averaged steps and those still running, since a step is submitted before the previous one has ended. */
const KEPT_STEPS = 8;
/** Longer than several steps. A trainer without a step for this long has probably stopped. */
const DEMAND_VALID_MS = 30_000;

/** The work of one model, as last announced. */
export interface RecentWork {
  /** Mean of the last steps. */
  readonly work: number;
  /** Time since the last announcement about the model. */
  readonly ageMs: number;
}

/** The work of the models of a pool, all in the same unit. */
export interface PoolDemand {
  readonly unit: 'events' | 'tokens';
  readonly models: ReadonlyMap<string, RecentWork>;
}

/**
 * Returns the work by which the pool's models share its endpoints. A model without demand, whose trainer has not started
 * yet, counts as an average one. Otherwise the first trainer would get nearly all endpoints, and the next ones would
 * cause their loads again.
 */
export function workOfModels({ models: recentWork }: PoolDemand, models: readonly string[]): ModelWork {
  const known = [...recentWork.values()].map(({ work }) => work);
  const mean = known.reduce((sum, work) => sum + work, 0) / known.length;
  return new Map(models.map(model => [model, recentWork.get(model)?.work ?? mean]));
}

interface Step {
  readonly batchId: string;
  readonly expectedTokens: number;
  /** Undefined while the batch runs. */
  readonly events: number | undefined;
  /** Time of the last announcement. */
  readonly atMs: number;
}

export class ModelDemand {
  private readonly _clock: Clock;
  /** The last steps of each model of each pool, oldest first. */
  private readonly _steps = new Map<string, Map<string, readonly Step[]>>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Announcements of one batch may be repeated, lost, or arrive in any order. */
  record(update: ModelDemandUpdate): void {
    const { pool, model, batchId, expectedTokens } = update;
    const steps = [...this._stepsOf(pool, model)];
    const index = steps.findIndex(step => step.batchId === batchId);
    const events = update.events ?? steps[index]?.events;
    const step = { batchId, expectedTokens, events, atMs: this._clock.nowMs() };
    if (index === -1) steps.push(step);
    else steps[index] = step;
    this._modelsOf(pool).set(model, steps.slice(-KEPT_STEPS));
    this._evictExpired();
  }

  /**
   * Returns the work of the models, in events if they are known for all models, otherwise in expected tokens. Undefined
   * without demand of every required model.
   */
  ofPool(
    pool: string,
    models: readonly string[],
    isRequired: (model: string) => boolean,
  ): PoolDemand | undefined {
    const reporting = models.filter(model => this._stepsOf(pool, model).length > 0);
    if (reporting.length === 0 || models.some(model => isRequired(model) && !reporting.includes(model)))
      return undefined;
    return (
      this._inUnit('events', pool, reporting, step => step.events) ??
      this._inUnit('tokens', pool, reporting, step => step.expectedTokens)
    );
  }

  private _inUnit(
    unit: PoolDemand['unit'],
    pool: string,
    models: readonly string[],
    amountOf: (step: Step) => number | undefined,
  ): PoolDemand | undefined {
    const recentWork = new Map<string, RecentWork>();
    for (const model of models) {
      const steps = this._stepsOf(pool, model);
      // A batch without events was ended before it ran, and one without tokens has no estimates: neither tells the
      // work of a step.
      const amounts = steps.map(step => amountOf(step) ?? 0).filter(amount => amount > 0);
      const averaged = amounts.slice(-AVERAGED_STEPS);
      if (averaged.length === 0) return undefined;
      const work = averaged.reduce((sum, amount) => sum + amount, 0) / averaged.length;
      const ageMs = this._clock.nowMs() - Math.max(...steps.map(step => step.atMs));
      recentWork.set(model, { work, ageMs });
    }
    return { unit, models: recentWork };
  }

  private _stepsOf(pool: string, model: string): readonly Step[] {
    const steps = this._steps.get(pool)?.get(model) ?? [];
    return steps.filter(step => !this._isExpired(step));
  }

  private _modelsOf(pool: string): Map<string, readonly Step[]> {
    const known = this._steps.get(pool) ?? new Map<string, readonly Step[]>();
    this._steps.set(pool, known);
    return known;
  }

  private _isExpired({ atMs }: Step): boolean {
    return this._clock.nowMs() - atMs > DEMAND_VALID_MS;
  }

  /** Bounds the memory used for models that were removed from the configuration. */
  private _evictExpired(): void {
    for (const [pool, models] of this._steps) {
      for (const model of models.keys()) if (this._stepsOf(pool, model).length === 0) models.delete(model);
      if (models.size === 0) this._steps.delete(pool);
    }
  }
}
