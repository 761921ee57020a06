/** The state of a step's slots at its owner. Each slot is filled by exactly one sample. */
import type { Clock, Random } from '@fuchsiahitch/base';
import type { Sample, StepSpec } from './model.js';
import { isFresh } from './staleness.js';

export interface Assignment {
  readonly slot: number;
  readonly sampleId: string;
  readonly prompt: string;
}

/** Slots that are assigned in one call and whose lease is renewed together. */
export interface AssignmentBatch {
  readonly batch: number;
  readonly assignments: readonly Assignment[];
}

export type SampleVerdict = 'taken' | 'duplicate' | 'unknown-attempt' | 'step-over';

export type SlotFailure = 'generation-failed' | 'deadline';

interface Attempt {
  readonly sampleId: string;
  readonly slot: Slot;
  readonly worker: string;
  readonly batch: number;
  readonly assignedMs: number;
  /** True if its sample was replaced. Repeated messages must not restore it. */
  isRetired: boolean;
}

type SlotState =
  | { readonly kind: 'open' }
  | { readonly kind: 'assigned' }
  | { readonly kind: 'ready'; readonly sample: Sample; readonly ageStartMs: number }
  | { readonly kind: 'sealed'; readonly sampleIds: readonly string[] }
  | { readonly kind: 'delivered' }
  | { readonly kind: 'failed'; readonly reason: SlotFailure };

interface Slot {
  readonly index: number;
  readonly group: number;
  state: SlotState;
  attempts: Attempt[];
  failures: number;
}

interface EngineTerminations {
  count: number;
  readonly lastMs: Map<string, number>;
}

/** A sample that is ready to be handed over, and the time from which its age is measured. */
export interface ReadySample {
  readonly sample: Sample;
  readonly ageStartMs: number;
}

export interface StepCounts {
  readonly open: number;
  readonly assigned: number;
  readonly ready: number;
  readonly sealed: number;
  readonly delivered: number;
  readonly failed: number;
}

/**
 * A batch that is not renewed for this long is reassigned. Covers lost replies and failures of workers in other failure
 * domains, which this host does not detect.
 */
export const BATCH_LEASE_MS = 10_000;
/** A slot fails after this number of failures that its prompt caused. */
export const MAX_FAILURES_PER_SLOT = 4;
/** A group fails after this number of engine terminations, so that its prompt does not terminate the whole pool. */
export const MAX_ENGINE_TERMINATIONS = 3;
/** Failures on the same engine within this time count as one termination. */
const SAME_TERMINATION_MS = 1000;
/** Stragglers are hedged once at most this share of the slots is still assigned. */
const HEDGE_TAIL_SHARE = 0.1;
/** A straggler takes longer than this multiple of the median duration. */
const STRAGGLER_FACTOR = 2;
const MIN_RECORDED_DURATIONS = 8;

export class StepLedger {
  readonly spec: StepSpec;
  private readonly _clock: Clock;
  private readonly _random: Random;
  private readonly _hedgeShare: number;
  private readonly _slots: readonly Slot[];
  private readonly _groups: readonly (readonly Slot[])[];
  private readonly _attempts = new Map<string, Attempt>();
  private readonly _queue: Slot[];
  private readonly _durationsMs: number[] = [];
  private readonly _renewedMs = new Map<number, number>();
  /** By group, since its last completed sample. */
  private readonly _engineTerminations = new Map<number, EngineTerminations>();
  private _lastBatch = 0;
  private _hedges = 0;
  private _duplicates = 0;

  /** `hedgeShare`: the maximum number of second attempts at stragglers, as a share of the slots. */
  constructor(spec: StepSpec, clock: Clock, random: Random, hedgeShare: number) {
    this.spec = spec;
    this._clock = clock;
    this._random = random;
    this._hedgeShare = hedgeShare;
    this._groups = makeGroups(spec);
    this._slots = this._groups.flat();
    // The longest group is popped first, because a long sample that starts last delays the step.
    const expected = (slot: Slot): number => spec.groups[slot.group]?.expectedTokens ?? 0;
    this._queue = [...this._slots].sort((a, b) => expected(a) - expected(b) || b.index - a.index);
  }

  /** Assigns open slots first, then hedges other workers' stragglers. */
  assign(worker: string, count: number): AssignmentBatch {
    const batch = this._lastBatch + 1;
    const assignments: Assignment[] = [];
    while (assignments.length < count) {
      const slot = this._nextOpen() ?? this._nextStraggler(worker);
      if (!slot) break;
      assignments.push(this._startAttempt(slot, worker, batch));
    }
    if (assignments.length > 0) {
      this._lastBatch = batch;
      this._renewedMs.set(batch, this._clock.nowMs());
    }
    return { batch, assignments };
  }

  renew(batches: readonly number[]): void {
    for (const batch of batches) {
      if (this._renewedMs.has(batch)) this._renewedMs.set(batch, this._clock.nowMs());
    }
  }

  /** Reopens the slots of batches that were not renewed. */
  expire(): void {
    const nowMs = this._clock.nowMs();
    const expired = new Set<number>();
    for (const [batch, renewedMs] of this._renewedMs) {
      if (nowMs - renewedMs >= BATCH_LEASE_MS) expired.add(batch);
    }
    if (expired.size === 0) return;
    for (const batch of expired) this._renewedMs.delete(batch);
    this._dropAttempts(attempt => expired.has(attempt.batch));
  }

  hasWork(): boolean {
    return this._queue.some(slot => slot.state.kind === 'open') || this._canHedge();
  }

  /**
   * Accepts the first finished sample of a slot, and drops later ones. The age is measured from the assignment on
   * this host's clock, because the age in a message does not include the message's delay.
   */
  sampleDone(sample: Sample): SampleVerdict {
    const attempt = this._attempts.get(sample.sampleId);
    if (attempt?.slot.index !== sample.slot) return 'unknown-attempt';
    const { slot } = attempt;
    if (slot.state.kind === 'ready' && slot.state.sample.sampleId === sample.sampleId) return 'taken';
    if (attempt.isRetired || !isUnfilled(slot)) {
      this._duplicates += 1;
      return slot.state.kind === 'failed' ? 'step-over' : 'duplicate';
    }
    this._durationsMs.push(this._clock.nowMs() - attempt.assignedMs);
    this._fill(slot, sample, attempt.assignedMs);
    return 'taken';
  }

  /** Accepts a sample that a worker generated for a former owner. `requestedMs`: when this host requested it. */
  adopt(sample: Sample, requestedMs: number): void {
    const slot = this._slots[sample.slot];
    const existing = this._attempts.get(sample.sampleId);
    const isSealedSample = slot?.state.kind === 'sealed' && slot.state.sampleIds.includes(sample.sampleId);
    if (!slot || existing || !(isUnfilled(slot) || isSealedSample)) return;
    const ageStartMs = requestedMs - sample.ageMs;
    this._attempts.set(sample.sampleId, {
      sampleId: sample.sampleId,
      slot,
      worker: '',
      batch: 0,
      assignedMs: ageStartMs,
      isRetired: false,
    });
    this._fill(slot, sample, ageStartMs);
  }

  /** Ends a failed attempt. `isOwnFault`: the cause is the prompt, not the engine or the host. */
  sampleFailed(sampleId: string, isOwnFault: boolean): void {
    const failed = this._attempts.get(sampleId);
    if (!failed) return;
    const { slot } = failed;
    slot.attempts = slot.attempts.filter(attempt => attempt !== failed);
    if (isOwnFault) slot.failures += 1;
    if (slot.state.kind !== 'assigned' || slot.attempts.length > 0) return;
    if (slot.failures >= MAX_FAILURES_PER_SLOT) slot.state = { kind: 'failed', reason: 'generation-failed' };
    else this._reopen(slot);
  }

  /** Records that the engine terminated as it began to generate, possibly because of the prompt. */
  engineTerminated(sampleId: string, engine: string): void {
    const group = this._attempts.get(sampleId)?.slot.group;
    if (group === undefined) return;
    const terminations = this._engineTerminations.get(group) ?? {
      count: 0,
      lastMs: new Map<string, number>(),
    };
    const nowMs = this._clock.nowMs();
    if (nowMs - (terminations.lastMs.get(engine) ?? -Infinity) >= SAME_TERMINATION_MS)
      terminations.count += 1;
    terminations.lastMs.set(engine, nowMs);
    this._engineTerminations.set(group, terminations);
    if (terminations.count >= MAX_ENGINE_TERMINATIONS) this._failGroup(group);
    this.sampleFailed(sampleId, false);
  }

  /** Reopens the slots of a worker. If it returns, its samples are accepted for slots that are not filled. */
  workerLost(worker: string): void {
    this._dropAttempts(attempt => attempt.worker === worker);
  }

  /** Returns the samples of complete groups, up to `maxSamples`. Reopens the slots of stale samples. */
  readyGroups(trainerVersion: number, maxSamples: number): readonly ReadySample[] {
    const picked: ReadySample[] = [];
    for (const group of this._groups) {
      this._replaceStale(group, trainerVersion);
      const missing = group.filter(slot => slot.state.kind !== 'delivered');
      const ready = readySamples(missing);
      if (ready.length === 0 || ready.length < missing.length) continue;
      if (picked.length > 0 && picked.length + ready.length > maxSamples) break;
      picked.push(...ready);
    }
    return picked;
  }

  isDeliverable(sampleId: string, trainerVersion: number): boolean {
    const ready = this.find(sampleId);
    return ready !== undefined && this._isFresh(ready, trainerVersion);
  }

  find(sampleId: string): ReadySample | undefined {
    const state = this._attempts.get(sampleId)?.slot.state;
    if (state?.kind !== 'ready' || state.sample.sampleId !== sampleId) return undefined;
    return { sample: state.sample, ageStartMs: state.ageStartMs };
  }

  groupOf(slot: number): readonly number[] {
    const group = this._slots[slot]?.group ?? -1;
    return (this._groups[group] ?? []).map(member => member.index);
  }

  /** Delivered slots are never filled again. */
  markDelivered(slots: readonly number[]): void {
    for (const index of slots) {
      const slot = this._slots[index];
      if (slot) slot.state = { kind: 'delivered' };
    }
  }

  /** Marks a slot as sealed by a former owner with a sample that this host does not have. */
  markSealed(index: number, sampleId: string): void {
    const slot = this._slots[index];
    if (!slot) return;
    const others = slot.state.kind === 'sealed' ? slot.state.sampleIds : [];
    slot.state = { kind: 'sealed', sampleIds: [...others, sampleId] };
  }

  /** Reopens a slot whose sealed sample is lost or stale. */
  reopen(index: number): void {
    const slot = this._slots[index];
    if (slot && slot.state.kind !== 'delivered' && slot.state.kind !== 'failed') this._reopen(slot);
  }

  /** Fails all slots that are neither ready nor delivered. */
  endAtDeadline(): void {
    for (const slot of this._slots) {
      if (isUnfilled(slot) || slot.state.kind === 'sealed')
        slot.state = { kind: 'failed', reason: 'deadline' };
    }
  }

  failedGroups(): readonly { readonly group: number; readonly reason: SlotFailure }[] {
    const failed: { group: number; reason: SlotFailure }[] = [];
    for (const [group, slots] of this._groups.entries()) {
      for (const slot of slots) {
        if (slot.state.kind !== 'failed') continue;
        failed.push({ group, reason: slot.state.reason });
        break;
      }
    }
    return failed;
  }

  isOver(): boolean {
    return this._groups.every(
      group =>
        group.every(slot => slot.state.kind === 'delivered') ||
        group.some(slot => slot.state.kind === 'failed'),
    );
  }

  counts(): StepCounts {
    const counts = { open: 0, assigned: 0, ready: 0, sealed: 0, delivered: 0, failed: 0 };
    for (const slot of this._slots) counts[slot.state.kind] += 1;
    return counts;
  }

  /** The number of samples that arrived for slots that were already filled. */
  duplicates(): number {
    return this._duplicates;
  }

  hedges(): number {
    return this._hedges;
  }

  private _dropAttempts(isDropped: (attempt: Attempt) => boolean): void {
    for (const slot of this._slots) {
      if (slot.state.kind !== 'assigned') continue;
      slot.attempts = slot.attempts.filter(attempt => !isDropped(attempt));
      if (slot.attempts.length === 0) this._reopen(slot);
    }
  }

  private _startAttempt(slot: Slot, worker: string, batch: number): Assignment {
    const sampleId = `${this.spec.trainer}/${this.spec.step}/${slot.index}/${this._random.id()}`;
    const attempt = { sampleId, slot, worker, batch, assignedMs: this._clock.nowMs(), isRetired: false };
    slot.attempts.push(attempt);
    slot.state = { kind: 'assigned' };
    this._attempts.set(sampleId, attempt);
    return { slot: slot.index, sampleId, prompt: this.spec.groups[slot.group]?.prompt ?? '' };
  }

  private _nextOpen(): Slot | undefined {
    for (let slot = this._queue.pop(); slot; slot = this._queue.pop()) {
      if (slot.state.kind === 'open') return slot;
    }
    return undefined;
  }

  private _fill(slot: Slot, sample: Sample, ageStartMs: number): void {
    slot.state = { kind: 'ready', sample, ageStartMs };
    slot.attempts = [];
    // The prompt yields samples, so it is not the cause of the terminations.
    this._engineTerminations.delete(slot.group);
  }

  private _reopen(slot: Slot): void {
    if (slot.state.kind === 'ready') {
      const replaced = this._attempts.get(slot.state.sample.sampleId);
      if (replaced) replaced.isRetired = true;
    }
    slot.state = { kind: 'open' };
    slot.attempts = [];
    this._queue.push(slot);
  }

  private _canHedge(): boolean {
    if (this._hedges >= this._hedgeShare * this._slots.length) return false;
    const assigned = this._slots.filter(slot => slot.state.kind === 'assigned');
    const isTail = assigned.length <= Math.max(1, HEDGE_TAIL_SHARE * this._slots.length);
    return isTail && assigned.some(slot => this._isStraggler(slot));
  }

  private _nextStraggler(worker: string): Slot | undefined {
    if (!this._canHedge()) return undefined;
    const isOnOtherWorker = (slot: Slot): boolean =>
      !slot.attempts.some(attempt => attempt.worker === worker);
    const slot = this._slots.find(
      s => s.state.kind === 'assigned' && this._isStraggler(s) && isOnOtherWorker(s),
    );
    if (slot) this._hedges += 1;
    return slot;
  }

  private _isStraggler(slot: Slot): boolean {
    const [attempt] = slot.attempts;
    if (!attempt || slot.attempts.length > 1 || this._durationsMs.length < MIN_RECORDED_DURATIONS)
      return false;
    return this._clock.nowMs() - attempt.assignedMs > STRAGGLER_FACTOR * median(this._durationsMs);
  }

  private _replaceStale(group: readonly Slot[], trainerVersion: number): void {
    for (const slot of group) {
      if (slot.state.kind === 'ready' && !this._isFresh(slot.state, trainerVersion)) this._reopen(slot);
    }
  }

  private _failGroup(group: number): void {
    for (const slot of this._groups[group] ?? [])
      if (isUnfilled(slot)) slot.state = { kind: 'failed', reason: 'generation-failed' };
  }

  private _isFresh(ready: ReadySample, trainerVersion: number): boolean {
    return isFresh(ready.sample.spans, this._clock.nowMs() - ready.ageStartMs, trainerVersion, this.spec);
  }
}

function makeGroups(spec: StepSpec): readonly (readonly Slot[])[] {
  let index = 0;
  return spec.groups.map((group, groupIndex) =>
    Array.from({ length: group.samples }, (): Slot => {
      const slot: Slot = { index, group: groupIndex, state: { kind: 'open' }, attempts: [], failures: 0 };
      index += 1;
      return slot;
    }),
  );
}

function isUnfilled(slot: Slot): boolean {
  return slot.state.kind === 'open' || slot.state.kind === 'assigned';
}

function readySamples(group: readonly Slot[]): readonly ReadySample[] {
  const ready: ReadySample[] = [];
  for (const { state } of group) {
    if (state.kind === 'ready') ready.push({ sample: state.sample, ageStartMs: state.ageStartMs });
  }
  return ready;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
