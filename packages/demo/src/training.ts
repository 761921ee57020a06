/**
 * Trainers of the demo: each runs steps, trains on the received samples, and announces new weights.
 */
import { Trainer, type StepReport } from '@fuchsiahitch/standins';
import type { RunningDeployment } from './runningDeployment.js';
import { delay } from './supervisor.js';

const GROUPS = 24;
const SAMPLES_PER_GROUP = 4;
const MAX_SAMPLES = 32;
const TRAINING_MS = 800;
const STEP_TIMEOUT_MS = 45_000;
export const STALENESS_VERSIONS = 2;

/** Result of one trainer. */
export interface TrainingResult {
  readonly reports: readonly StepReport[];
  /** Time spent waiting for samples. */
  readonly idleMs: number;
  readonly trainingMs: number;
}

/** The weight version that a deployment's trainers share. */
export class WeightVersion {
  private _version = 1;

  get current(): number {
    return this._version;
  }

  increment(): number {
    this._version += 1;
    return this._version;
  }
}

/** Runs `steps` steps as one trainer. With `announcesWeights`, it announces a new version after each but the last. */
export async function train(
  deployment: RunningDeployment,
  name: string,
  steps: number,
  version: WeightVersion,
  announcesWeights: boolean,
): Promise<TrainingResult> {
  const { plan } = deployment;
  const trainer = new Trainer({
    urls: deployment.urls('trainers'),
    trainerVersion: () => version.current,
    maxSamples: MAX_SAMPLES,
    reportsHeldSlots: announcesWeights,
    stepTimeoutMs: STEP_TIMEOUT_MS,
  });
  const reports: StepReport[] = [];
  let trainingMs = 0;
  for (let step = 0; step < steps; step++) {
    reports.push(
      await trainer.runStep({
        trainer: name,
        step,
        house: plan.house,
        pool: plan.engines.name,
        groups: Array.from({ length: GROUPS }, (_, i) => ({
          prompt: `${name} ${step}/${i}`,
          samples: SAMPLES_PER_GROUP,
          expectedTokens: 0,
        })),
        maxTokens: 128,
        stalenessVersions: STALENESS_VERSIONS,
        stalenessMs: 60_000,
        deadlineMs: STEP_TIMEOUT_MS,
      }),
    );
    await delay(TRAINING_MS);
    trainingMs += TRAINING_MS;
    const isLast = step === steps - 1;
    if (announcesWeights && !isLast) await trainer.announce(plan.engines.name, version.increment());
  }
  const idleMs = reports.reduce((sum, report) => sum + report.durationMs, 0);
  return { reports, idleMs, trainingMs };
}

export const SAMPLES_PER_STEP = GROUPS * SAMPLES_PER_GROUP;
