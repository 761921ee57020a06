/**
 * A trainer on the virtual clock, and checks of the delivery guarantees on the samples that it received.
 */
import { SimProcess, type SimNet } from './simulation.js';
import type { SimFleet, SimHost } from './simFleet.js';
import type { OpenReply, Sample, StepSpec, TakeReply, TakeRequest } from '@fuchsiahitch/steps';

const CALL_TIMEOUT_MS = 4000;
const RETRY_DELAY_MS = 200;

export interface Delivery {
  readonly sample: Sample;
  /** The trainer's weight version when the sample was delivered. */
  readonly trainerVersion: number;
  readonly deliveredMs: number;
}

export class SimTrainer {
  readonly process: SimProcess;
  readonly deliveries: Delivery[] = [];
  /** The trainer's current weight version. */
  version = 1;
  /** Number of calls whose replies are lost. */
  loseReplies = 0;
  /** The reply that ended the step. */
  end: TakeReply | undefined;
  private readonly _fleet: SimFleet;
  private readonly _net: SimNet;
  private readonly _spec: StepSpec;
  private readonly _reportsHeldSlots: boolean;
  private _nextHost = 0;
  private _cursor = 0;
  private _generation = 0;

  constructor(fleet: SimFleet, spec: StepSpec, reportsHeldSlots: boolean) {
    this._fleet = fleet;
    this._net = fleet.net;
    this._spec = spec;
    this._reportsHeldSlots = reportsHeldSlots;
    this.process = new SimProcess(`trainer-${spec.trainer}`, fleet.clock);
  }

  /** Runs the step to its end. The test advances the clock. */
  async run(): Promise<void> {
    let opened: OpenReply | undefined;
    while (!opened || opened.kind === 'try-later') {
      opened = await this._call(async host => {
        const reply = await host.ready.steps.open(this._spec);
        if (reply.kind === 'opened') this._fleet.onStage('opened');
        return reply;
      });
      await this._pause();
    }
    while (!this.end) await this._takeOnce();
  }

  private async _takeOnce(): Promise<void> {
    const request = this._request();
    const delivery = await this._call(async host => {
      if (request.cursor > 0) this._fleet.onStage('acknowledged');
      const reply = await host.ready.steps.take(request);
      if (reply.kind === 'chunk') this._fleet.onStage('handed over');
      return { reply, deliveredMs: this._fleet.clock.nowMs() };
    });
    if (!delivery || delivery.reply.kind === 'wait') {
      await this._pause();
      return;
    }
    const { reply, deliveredMs } = delivery;
    if (reply.kind !== 'chunk') {
      if (reply.kind === 'over' || reply.kind === 'abandoned') this.end = reply;
      await this._pause();
      return;
    }
    for (const sample of reply.samples) {
      this.deliveries.push({ sample, trainerVersion: request.trainerVersion, deliveredMs });
    }
    this._cursor += 1;
    this._generation = reply.generation;
  }

  private _request(): TakeRequest {
    const held = this.deliveries.map(({ sample }) => ({ from: sample.slot, to: sample.slot + 1 }));
    return {
      key: `${this._spec.trainer}/${this._spec.step}`,
      cursor: this._cursor,
      generation: this._generation,
      trainerVersion: this.version,
      maxSamples: 4,
      ...(this._reportsHeldSlots ? { held } : {}),
    };
  }

  /** Calls the next host in round-robin order, as a load balancer does. Returns undefined if the reply is lost. */
  private async _call<T>(handler: (host: SimHost) => Promise<T>): Promise<T | undefined> {
    const hosts = [...this._fleet.hosts.values()];
    const host = hosts[this._nextHost++ % hosts.length];
    if (!host?.services) return undefined;
    const reply = await this._net.call(this.process, host.process, CALL_TIMEOUT_MS, () => handler(host));
    if (this.loseReplies === 0) return reply;
    this.loseReplies -= 1;
    return undefined;
  }

  private async _pause(): Promise<void> {
    await new Promise<void>(resolve => this.process.after(RETRY_DELAY_MS, resolve));
  }
}

/** Returns a description of each violated delivery guarantee; empty if there is none. */
export function guaranteeViolations(fleet: SimFleet, spec: StepSpec, trainer: SimTrainer): readonly string[] {
  const violations: string[] = [];
  const slotCount = spec.groups.reduce((sum, group) => sum + group.samples, 0);
  const counts = new Map<number, number>();
  for (const { sample } of trainer.deliveries) counts.set(sample.slot, (counts.get(sample.slot) ?? 0) + 1);
  for (let slot = 0; slot < slotCount; slot++) {
    if (counts.get(slot) !== 1)
      violations.push(`slot ${slot} delivered ${counts.get(slot) ?? 0} times, expected once`);
  }
  for (const delivery of trainer.deliveries) violations.push(...deliveryViolations(fleet, spec, delivery));
  return violations;
}

function deliveryViolations(fleet: SimFleet, spec: StepSpec, delivery: Delivery): readonly string[] {
  const { sample, trainerVersion, deliveredMs } = delivery;
  const violations: string[] = [];
  const versions = sample.spans.flatMap(span => Array.from({ length: span.tokens }, () => span.version));
  const engines = [...fleet.engines.values()];
  const isProvenanceCorrect = versions.every((version, i) =>
    engines.some(engine => engine.made.get(sample.sampleId)?.[i] === version),
  );
  if (!isProvenanceCorrect)
    violations.push(`slot ${sample.slot}: provenance differs from the versions that generated the tokens`);
  const text = versions.map((_, i) => `${i} `).join('');
  if (sample.text !== text)
    violations.push(`slot ${sample.slot}: a token is duplicated or missing in '${sample.text}'`);
  if (trainerVersion - Math.min(...versions) > spec.stalenessVersions)
    violations.push(`slot ${sample.slot}: oldest token exceeds the version staleness bound`);
  const firstTokenMs = Math.min(
    ...engines.map(engine => engine.firstTokenMs.get(sample.sampleId) ?? Infinity),
  );
  if (deliveredMs - firstTokenMs > spec.stalenessMs)
    violations.push(`slot ${sample.slot}: age of ${deliveredMs - firstTokenMs} ms exceeds the bound`);
  const scoreRuns = fleet.scorer.scoreCounts.get(sample.sampleId) ?? 0;
  if (scoreRuns !== 1) violations.push(`slot ${sample.slot}: scored ${scoreRuns} times, expected once`);
  return violations;
}
