/**
 * The slots of one step at its owner: each is filled by exactly one sample.
 */
import type { Clock, Random } from '@fuchsiahitch/base';
import type { Sample, StepSpec } from './model.js';
import { isFresh } from './staleness.js';

/** One attempt at a slot, given to a worker. */
export interface Assignment {
  readonly slot: number;
  readonly sampleId: string;
  readonly prompt: string;
}

/** Slots that a worker was given in one call. It renews them together. */
export interface AssignmentBatch {
  readonly batch: number;
  readonly assignments: readonly Assignment[];
}

/** What became of a sample that a worker reported. */
export type SampleVerdict = 'taken' | 'duplicate' | 'unknown-attempt' | 'step-over';

/** Why a slot has no sample and will not get one. */
export type SlotFailure = 'generation-failed' | 'deadline';

interface Attempt {
  readonly sampleId: string;
  readonly slot: Slot;
  readonly worker: string;
  readonly batch: number;
  readonly assignedMs: number;
  /** True once its sample was replaced: a message that comes again must not bring it back as fresh. */
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

/** The engines that ended under one prompt, each with the time of its last end. */
interface EngineEnds {
  count: number;
  readonly lastMs: Map<string, number>;
}

/** A sample that is ready to be handed over, with the moment its age counts from. */
export interface ReadySample {
  readonly sample: Sample;
  readonly ageStartMs: number;
}

/** How far a step is. */
export interface StepCounts {
  readonly open: number;
  readonly assigned: number;
  readonly ready: number;
  readonly sealed: number;
  readonly delivered: number;
  readonly failed: number;
}

/**
 * A batch that its worker did not renew for this long is given to others. What goes wrong without it: the
 * reply that gave the slots was lost, or a worker in another failure domain died unseen, and the step waits for
 * samples that nobody makes.
 */
export const BATCH_LEASE_MS = 10_000;
/** A slot that failed this often on its own account is given up: the prompt itself is at fault. */
export const MAX_FAILURES_PER_SLOT = 4;
/**
 * A group whose prompt this many engines ended under is given up. Without it the owner gives its slots to one worker after the
 * other, and every engine of the pool ends again and again until the step's time is over.
 */
export const MAX_TERMINATED_ENGINES = 3;
/** Slots that break with one engine tell of one end. */
const SAME_END_MS = 1000;
/** Hedging begins when no slot is open and this share of the slots is left. */
const HEDGE_TAIL_SHARE = 0.1;
/** A slot is a straggler after this many times the median duration. */
const STRAGGLER_FACTOR = 2;
const MIN_DURATIONS = 8;

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
  /** By group: the engines that have ended under its prompt, since a sample of it was last made. */
  private readonly _ends = new Map<number, EngineEnds>();
  private _lastBatch = 0;
  private _hedges = 0;
  private _duplicates = 0;

  /** `hedgeShare`: second attempts at stragglers, as a share of the slots, at most. */
  constructor(spec: StepSpec, clock: Clock, random: Random, hedgeShare: number) {
    this.spec = spec;
    this._clock = clock;
    this._random = random;
    this._hedgeShare = hedgeShare;
    this._groups = makeGroups(spec);
    this._slots = this._groups.flat();
    // Longest expected first: a long sample begun last is what a step waits for.
    const expected = (slot: Slot): number => spec.groups[slot.group]?.expectedTokens ?? 0;
    this._queue = [...this._slots].sort((a, b) => expected(a) - expected(b) || b.index - a.index);
  }

  /** Gives up to `count` open slots to a worker, then hedges stragglers of other workers. */
  assign(worker: string, count: number): AssignmentBatch {
    const batch = this._lastBatch + 1;
    const assignments: Assignment[] = [];
    while (assignments.length < count) {
      const slot = this._nextOpen() ?? this._nextStraggler(worker);
      if (!slot) break;
      assignments.push(this._begin(slot, worker, batch));
    }
    if (assignments.length > 0) {
      this._lastBatch = batch;
      this._renewedMs.set(batch, this._clock.nowMs());
    }
    return { batch, assignments };
  }

  /** A worker says that it still works on these batches. */
  renew(batches: readonly number[]): void {
    for (const batch of batches) {
      if (this._renewedMs.has(batch)) this._renewedMs.set(batch, this._clock.nowMs());
    }
  }

  /** Gives the slots of batches that were not renewed to others. */
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
    return this._queue.some(slot => slot.state.kind === 'open') || this._isTail();
  }

  /**
   * Takes in a finished sample of an attempt that this ledger gave out. The first for a slot counts; a hedge
   * that comes second is dropped whole. Its age counts from the assignment on this host's clock: a message
   * may lie in a paused process for minutes, and the age that it carries would be too low.
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

  /** Takes in a sample that a worker kept for a former owner. Its age counts from when it was asked for. */
  adopt(sample: Sample, askedMs: number): void {
    const slot = this._slots[sample.slot];
    const known = this._attempts.get(sample.sampleId);
    const isSealedOne = slot?.state.kind === 'sealed' && slot.state.sampleIds.includes(sample.sampleId);
    if (!slot || known || !(isUnfilled(slot) || isSealedOne)) return;
    const ageStartMs = askedMs - sample.ageMs;
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

  /** An attempt failed. `isOwnFault`: the prompt failed, and not the engine or the host under it. */
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

  /** The attempt's engine ended as it began to generate; its prompt, or another request's, may be to blame. */
  engineEnded(sampleId: string, engine: string): void {
    const group = this._attempts.get(sampleId)?.slot.group;
    if (group === undefined) return;
    const ends = this._ends.get(group) ?? { count: 0, lastMs: new Map<string, number>() };
    const nowMs = this._clock.nowMs();
    if (nowMs - (ends.lastMs.get(engine) ?? -Infinity) >= SAME_END_MS) ends.count += 1;
    ends.lastMs.set(engine, nowMs);
    this._ends.set(group, ends);
    if (ends.count >= MAX_TERMINATED_ENGINES) this._giveUp(group);
    this.sampleFailed(sampleId, false);
  }

  /** A worker is gone: what it had is given to others. If it returns, its samples are taken or dropped. */
  workerLost(worker: string): void {
    this._dropAttempts(attempt => attempt.worker === worker);
  }

  /** Whole groups whose samples are all ready and fresh, up to `maxSamples`. Stale samples are replaced. */
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

  /** True if the sample is ready here and still fresh. */
  isDeliverable(sampleId: string, trainerVersion: number): boolean {
    const ready = this.find(sampleId);
    return ready !== undefined && this._isFresh(ready, trainerVersion);
  }

  find(sampleId: string): ReadySample | undefined {
    const state = this._attempts.get(sampleId)?.slot.state;
    if (state?.kind !== 'ready' || state.sample.sampleId !== sampleId) return undefined;
    return { sample: state.sample, ageStartMs: state.ageStartMs };
  }

  /** The group of a slot, as the slots that belong to it. */
  groupOf(slot: number): readonly number[] {
    const group = this._slots[slot]?.group ?? -1;
    return (this._groups[group] ?? []).map(member => member.index);
  }

  /** Slots that the trainer holds. They are never filled again. */
  markDelivered(slots: readonly number[]): void {
    for (const index of slots) {
      const slot = this._slots[index];
      if (slot) slot.state = { kind: 'delivered' };
    }
  }

  /** A sealed manifest of a former owner names this slot with a sample that is not here. */
  markSealed(index: number, sampleId: string): void {
    const slot = this._slots[index];
    if (!slot) return;
    const others = slot.state.kind === 'sealed' ? slot.state.sampleIds : [];
    slot.state = { kind: 'sealed', sampleIds: [...others, sampleId] };
  }

  /** Makes a slot open again whose sealed sample is lost or too old. */
  reopen(index: number): void {
    const slot = this._slots[index];
    if (slot && slot.state.kind !== 'delivered' && slot.state.kind !== 'failed') this._reopen(slot);
  }

  /** Ends every slot that is not delivered or ready: the step's deadline passed. */
  endAtDeadline(): void {
    for (const slot of this._slots) {
      if (isUnfilled(slot) || slot.state.kind === 'sealed')
        slot.state = { kind: 'failed', reason: 'deadline' };
    }
  }

  /** Groups that will not become whole, with the reason. */
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

  /** True when every group is delivered, or reported as failed. */
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

  /** Samples that came for slots that had one. */
  duplicates(): number {
    return this._duplicates;
  }

  hedges(): number {
    return this._hedges;
  }

  private _dropAttempts(isGone: (attempt: Attempt) => boolean): void {
    for (const slot of this._slots) {
      if (slot.state.kind !== 'assigned') continue;
      slot.attempts = slot.attempts.filter(attempt => !isGone(attempt));
      if (slot.attempts.length === 0) this._reopen(slot);
    }
  }

  private _begin(slot: Slot, worker: string, batch: number): Assignment {
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
    // A sample of the prompt is made: it is not what engines end under.
    this._ends.delete(slot.group);
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

  private _isTail(): boolean {
    if (this._hedges >= this._hedgeShare * this._slots.length) return false;
    const assigned = this._slots.filter(slot => slot.state.kind === 'assigned');
    const isTail = assigned.length <= Math.max(1, HEDGE_TAIL_SHARE * this._slots.length);
    return isTail && assigned.some(slot => this._isStraggler(slot));
  }

  private _nextStraggler(worker: string): Slot | undefined {
    if (!this._isTail()) return undefined;
    const isElsewhere = (slot: Slot): boolean => !slot.attempts.some(attempt => attempt.worker === worker);
    const slot = this._slots.find(s => s.state.kind === 'assigned' && this._isStraggler(s) && isElsewhere(s));
    if (slot) this._hedges += 1;
    return slot;
  }

  /** One attempt on the way, for longer than most took. */
  private _isStraggler(slot: Slot): boolean {
    const [attempt] = slot.attempts;
    if (!attempt || slot.attempts.length > 1 || this._durationsMs.length < MIN_DURATIONS) return false;
    return this._clock.nowMs() - attempt.assignedMs > STRAGGLER_FACTOR * median(this._durationsMs);
  }

  private _replaceStale(group: readonly Slot[], trainerVersion: number): void {
    for (const slot of group) {
      if (slot.state.kind === 'ready' && !this._isFresh(slot.state, trainerVersion)) this._reopen(slot);
    }
  }

  private _giveUp(group: number): void {
    for (const slot of this._groups[group] ?? [])
      if (isUnfilled(slot)) slot.state = { kind: 'failed', reason: 'generation-failed' };
  }

  private _isFresh(ready: ReadySample, trainerVersion: number): boolean {
    return isFresh(ready.sample.spans, this._clock.nowMs() - ready.ageStartMs, trainerVersion, this.spec);
  }
}

function makeGroups(spec: StepSpec): readonly (readonly Slot[])[] {
  let index = 0;
  return spec.groups.map((group, number) =>
    Array.from({ length: group.samples }, (): Slot => {
      const slot: Slot = { index, group: number, state: { kind: 'open' }, attempts: [], failures: 0 };
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
