/**
 * Finished samples that a host keeps until their step is over, so that a new owner of the step finds them:
 * the worker's and the owner's are the two copies of a sample. Of a sample that the owner made itself, a peer
 * fetches a second copy.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { Sample } from '@fuchsiahitch/steps';

interface KeptSample {
  readonly sample: Omit<Sample, 'ageMs'>;
  readonly bornMs: number;
}

interface KeptStep {
  readonly samples: KeptSample[];
  readonly byId: Map<string, KeptSample>;
}

/** Samples kept of a step, in the order in which they came. */
export interface SamplePage {
  readonly samples: readonly Sample[];
  /** Where the next page begins. */
  readonly next: number;
  readonly hasMore: boolean;
}

/** Samples in one page; with their texts they fit well into a frame. */
const PAGE = 64;
/** A step that nobody ended is forgotten after this time. */
const KEEP_MS = 3_600_000;

export class SampleBuffer {
  private readonly _clock: Clock;
  private readonly _steps = new Map<string, KeptStep>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  store(key: string, sample: Omit<Sample, 'ageMs'>, bornMs: number): void {
    const step = this._steps.get(key) ?? { samples: [], byId: new Map<string, KeptSample>() };
    this._steps.set(key, step);
    if (step.byId.has(sample.sampleId)) return;
    const kept = { sample, bornMs };
    step.samples.push(kept);
    step.byId.set(sample.sampleId, kept);
  }

  /** The sample as it is to be sent now: its age counts up to this moment. */
  sampleWithAge(key: string, sampleId: string): Sample | undefined {
    const kept = this._steps.get(key)?.byId.get(sampleId);
    return kept && this._toSample(kept);
  }

  /** The samples of a step from a position on. */
  page(key: string, from: number): SamplePage {
    const samples = this._steps.get(key)?.samples ?? [];
    const page = samples.slice(from, from + PAGE);
    const next = from + page.length;
    return { samples: page.map(kept => this._toSample(kept)), next, hasMore: next < samples.length };
  }

  removeStep(key: string): void {
    this._steps.delete(key);
  }

  /** Drops steps that nobody ended. */
  removeExpired(): void {
    const nowMs = this._clock.nowMs();
    for (const [key, step] of this._steps) {
      if (step.samples.every(kept => nowMs - kept.bornMs > KEEP_MS)) this._steps.delete(key);
    }
  }

  count(): number {
    let total = 0;
    for (const step of this._steps.values()) total += step.samples.length;
    return total;
  }

  private _toSample(kept: KeptSample): Sample {
    return { ...kept.sample, ageMs: this._clock.nowMs() - kept.bornMs };
  }
}
