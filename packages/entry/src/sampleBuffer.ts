/**
 * Retains finished samples until their step is over, so that a new owner of the step can recover them. The worker and
 * the owner each hold a copy of a sample. If they are the same host, a peer fetches a second copy.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { Sample } from '@fuchsiahitch/steps';

interface BufferedSample {
  readonly sample: Omit<Sample, 'ageMs'>;
  readonly createdMs: number;
}

interface BufferedStep {
  readonly samples: BufferedSample[];
  readonly byId: Map<string, BufferedSample>;
}

/** Consecutive samples of a step, in order of arrival. */
export interface SamplePage {
  readonly samples: readonly Sample[];
  /** The position of the next page. */
  readonly next: number;
  readonly hasMore: boolean;
}

/** Small enough to keep a page below the maximum frame size. */
const PAGE_SIZE = 64;
/** For samples of steps that were never reported as over. */
const RETENTION_MS = 3_600_000;

export class SampleBuffer {
  private readonly _clock: Clock;
  private readonly _steps = new Map<string, BufferedStep>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Adds a sample unless the buffer already has it. */
  keep(key: string, sample: Omit<Sample, 'ageMs'>, createdMs: number): void {
    const step = this._steps.get(key) ?? { samples: [], byId: new Map<string, BufferedSample>() };
    this._steps.set(key, step);
    if (step.byId.has(sample.sampleId)) return;
    const added = { sample, createdMs };
    step.samples.push(added);
    step.byId.set(sample.sampleId, added);
  }

  /** Returns a sample with its current age. */
  sampleWithAge(key: string, sampleId: string): Sample | undefined {
    const found = this._steps.get(key)?.byId.get(sampleId);
    return found && this._toSample(found);
  }

  /** Returns the page of a step's samples that begins at a position. */
  page(key: string, from: number): SamplePage {
    const samples = this._steps.get(key)?.samples ?? [];
    const page = samples.slice(from, from + PAGE_SIZE);
    const next = from + page.length;
    return { samples: page.map(entry => this._toSample(entry)), next, hasMore: next < samples.length };
  }

  removeStep(key: string): void {
    this._steps.delete(key);
  }

  /** Removes steps whose samples have all exceeded the retention period. */
  removeExpired(): void {
    const nowMs = this._clock.nowMs();
    for (const [key, step] of this._steps) {
      if (step.samples.every(sample => nowMs - sample.createdMs > RETENTION_MS)) this._steps.delete(key);
    }
  }

  count(): number {
    let total = 0;
    for (const step of this._steps.values()) total += step.samples.length;
    return total;
  }

  private _toSample(buffered: BufferedSample): Sample {
    return { ...buffered.sample, ageMs: this._clock.nowMs() - buffered.createdMs };
  }
}
