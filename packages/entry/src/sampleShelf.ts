/**
 * Finished samples that this worker keeps until their step is over, so that a new owner of the step finds
 * them: together with the owner's they are the two copies of a sample.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { Sample } from '@fuchsiahitch/steps';

interface KeptSample {
  readonly sample: Omit<Sample, 'ageMs'>;
  readonly bornMs: number;
}

/** Samples in one reply; with its prompt's answer each fits well into a frame. */
const PAGE = 64;
/** A step that nobody ended is forgotten after this time. */
const KEEP_MS = 3_600_000;

export class SampleShelf {
  private readonly _clock: Clock;
  private readonly _steps = new Map<string, Map<string, KeptSample>>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  keep(key: string, sample: Omit<Sample, 'ageMs'>, bornMs: number): void {
    const step = this._steps.get(key) ?? new Map<string, KeptSample>();
    this._steps.set(key, step);
    step.set(sample.sampleId, { sample, bornMs });
  }

  /** The sample as it is to be sent now: its age counts up to this moment. */
  aged(key: string, sampleId: string): Sample | undefined {
    const kept = this._steps.get(key)?.get(sampleId);
    return kept && { ...kept.sample, ageMs: this._clock.nowMs() - kept.bornMs };
  }

  /** Samples of a step in the order of their identifiers, after the given one. */
  page(key: string, after: string): { readonly samples: readonly Sample[]; readonly hasMore: boolean } {
    const ids = [...(this._steps.get(key)?.keys() ?? [])].filter(id => id > after).sort();
    const samples = ids.slice(0, PAGE).flatMap(id => this.aged(key, id) ?? []);
    return { samples, hasMore: ids.length > PAGE };
  }

  forget(key: string): void {
    this._steps.delete(key);
  }

  /** Drops steps that nobody ended. */
  expire(): void {
    const nowMs = this._clock.nowMs();
    for (const [key, step] of this._steps) {
      const isOld = [...step.values()].every(kept => nowMs - kept.bornMs > KEEP_MS);
      if (isOld) this._steps.delete(key);
    }
  }

  count(): number {
    let total = 0;
    for (const step of this._steps.values()) total += step.size;
    return total;
  }
}
