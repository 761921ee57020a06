/**
 * The owner of a step: answers the trainer's take calls so that each sample is delivered exactly once.
 *
 * If a trainer reports the slots it holds, no stored record of deliveries is needed. For other trainers, the manifest
 * of each chunk is sealed by a fenced write to the store before delivery (docs/design/ledger.md).
 */
import { err, ok, type Clock, type Random, type Result } from '@fuchsiahitch/base';
import type { Sample, StepSpec } from './model.js';
import { StepLedger, type AssignmentBatch, type ReadySample, type SampleVerdict } from './stepLedger.js';
import type { TakeReply, TakeRequest } from './stepMessages.js';
import type { Chunk, ManifestEntry, StepHead, StepStore, StepStoreError, StoredStep } from './stepStore.js';

export interface StepOwnerOptions {
  readonly key: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: StepStore;
  readonly hedgeShare: number;
}

/** Sent to trainers if no samples are ready. */
const RETRY_AFTER_MS = 200;
const STORE_RETRY_AFTER_MS = 1000;

type WaitReason = Extract<TakeReply, { readonly kind: 'wait' }>['reason'];

export class StepOwner {
  readonly ledger: StepLedger;
  private readonly _options: StepOwnerOptions;
  private readonly _openedMs: number;
  private _head: StepHead;
  private readonly _headVersion: number;
  private readonly _chunks = new Map<number, Chunk>();
  private _isFenced = false;
  private _lastTake: Promise<unknown> = Promise.resolve();

  constructor(stored: StoredStep, options: StepOwnerOptions) {
    this._options = options;
    this._head = stored.head;
    this._headVersion = stored.headVersion;
    this._openedMs = options.clock.nowMs();
    this.ledger = new StepLedger(stored.spec, options.clock, options.random, options.hedgeShare);
    for (const chunk of stored.chunks) this._restoreChunk(chunk);
  }

  get key(): string {
    return this._options.key;
  }

  get spec(): StepSpec {
    return this.ledger.spec;
  }

  get epoch(): number {
    return this._head.epoch;
  }

  fence(): void {
    this._isFenced = true;
  }

  /** True once another host owns the step. This object must then be discarded. */
  isFenced(): boolean {
    return this._isFenced;
  }

  isOver(): boolean {
    return this._head.state !== 'open' || this.ledger.isOver();
  }

  deadlineInMs(): number {
    return this.spec.deadlineMs - (this._options.clock.nowMs() - this._openedMs);
  }

  assign(worker: string, count: number): AssignmentBatch {
    if (this.isOver() || this._isFenced) return { batch: 0, assignments: [] };
    return this.ledger.assign(worker, count);
  }

  sampleDone(sample: Sample): SampleVerdict {
    return this._head.state === 'open' ? this.ledger.sampleDone(sample) : 'step-over';
  }

  /** Expires leases and enforces the deadline. Called periodically. */
  tick(): void {
    this.ledger.expire();
    if (this.deadlineInMs() <= 0) this.ledger.endAtDeadline();
  }

  /** Take calls of a step are processed sequentially. */
  async take(request: TakeRequest): Promise<TakeReply> {
    const answer = this._lastTake.then(() => this._take(request));
    this._lastTake = answer.catch(() => undefined);
    return answer;
  }

  async abandon(): Promise<boolean> {
    return (await this._close('abandoned')).ok;
  }

  private async _take(request: TakeRequest): Promise<TakeReply> {
    if (this._isFenced) return this._waitReply('owner-moving', RETRY_AFTER_MS);
    if (this._head.state === 'abandoned') return { kind: 'abandoned' };
    // The step is already closed. The answer may have been lost, so repeat it.
    if (this._head.state === 'closed') return this._overReply(this._head.failedGroups);
    if (!request.held && this._isBehindTrainer(request)) return this._storeFailed('fenced');
    this._recordReceipts(request);
    this.tick();
    const reply = request.held ? this._takeUnsealed(request) : await this._takeSealed(request);
    return reply.kind === 'over' ? this._endStep(reply, request) : reply;
  }

  /**
   * True if the trainer holds a chunk that this host does not have, because another host delivered it while this
   * process was paused. Continuing would mark samples as delivered that never were.
   */
  private _isBehindTrainer(request: TakeRequest): boolean {
    if (request.cursor === 0 || this._head.state !== 'open') return false;
    const last = this._chunks.get(request.cursor - 1);
    if (!last) return true;
    return request.generation > 0 && !last.generations.some(one => one.generation === request.generation);
  }

  /** Closes the step. To a trainer that does not report its slots, only the current owner may reply that it is over. */
  private async _endStep(overReply: TakeReply, request: TakeRequest): Promise<TakeReply> {
    const closed = await this._close('closed');
    if (closed.ok || request.held) return overReply;
    return this._storeFailed(closed.error);
  }

  private _recordReceipts(request: TakeRequest): void {
    for (const range of request.held ?? []) {
      this.ledger.markDelivered(
        Array.from({ length: Math.max(0, range.to - range.from) }, (_, i) => range.from + i),
      );
    }
    if (request.held) return;
    for (const chunk of this._chunks.values()) {
      if (chunk.chunk < request.cursor) this._markChunkReceived(chunk, request);
    }
  }

  private _markChunkReceived(chunk: Chunk, request: TakeRequest): void {
    const isLast = chunk.chunk === request.cursor - 1;
    const acknowledged = isLast
      ? chunk.generations.find(one => one.generation === request.generation)
      : undefined;
    const manifest = acknowledged ?? chunk.generations.at(-1);
    this.ledger.markDelivered((manifest?.entries ?? []).map(entry => entry.slot));
    if (!isLast) this._chunks.delete(chunk.chunk);
  }

  /** Delivers any ready samples without sealing, because the trainer reports the slots that it holds. */
  private _takeUnsealed(request: TakeRequest): TakeReply {
    const ready = this.ledger.readyGroups(request.trainerVersion, request.maxSamples);
    if (ready.length === 0) return this._noneReady();
    return this._chunkReply(request.cursor, 1, ready);
  }

  private async _takeSealed(request: TakeRequest): Promise<TakeReply> {
    const sealed = this._chunks.get(request.cursor);
    const ready = sealed ? this._deliverableSamples(sealed, request) : undefined;
    if (sealed && ready) return this._chunkReply(sealed.chunk, sealed.generations.length, ready);
    if (sealed) this._reopenStale(sealed, request.trainerVersion);
    const groups = this.ledger.readyGroups(request.trainerVersion, request.maxSamples);
    if (groups.length === 0) return this._noneReady();
    return this._seal(request, groups, sealed);
  }

  private async _seal(
    request: TakeRequest,
    groups: readonly ReadySample[],
    last: Chunk | undefined,
  ): Promise<TakeReply> {
    const entries: readonly ManifestEntry[] = groups.map(({ sample: { slot, sampleId } }) => ({
      slot,
      sampleId,
    }));
    const generation = (last?.generations.length ?? 0) + 1;
    const chunk: Chunk = {
      chunk: request.cursor,
      generations: [...(last?.generations ?? []), { generation, entries }],
    };
    const written = await this._options.store.writeChunk(this.key, this._headVersion, chunk);
    if (!written.ok) return this._storeFailed(written.error);
    this._chunks.set(chunk.chunk, chunk);
    // Samples may have become stale during the write.
    const ready = this._deliverableSamples(chunk, request);
    return ready
      ? this._chunkReply(chunk.chunk, generation, ready)
      : this._waitReply('generating', RETRY_AFTER_MS);
  }

  /** Returns the samples of the chunk's last generation if all are available and fresh. */
  private _deliverableSamples(chunk: Chunk, request: TakeRequest): readonly ReadySample[] | undefined {
    const ready: ReadySample[] = [];
    for (const { sampleId } of chunk.generations.at(-1)?.entries ?? []) {
      const found = this.ledger.find(sampleId);
      if (!found || !this.ledger.isDeliverable(sampleId, request.trainerVersion)) return undefined;
      ready.push(found);
    }
    return ready;
  }

  /** Reopens the slots of sealed samples that are lost or stale. */
  private _reopenStale(chunk: Chunk, trainerVersion: number): void {
    for (const { slot, sampleId } of chunk.generations.at(-1)?.entries ?? []) {
      if (!this.ledger.isDeliverable(sampleId, trainerVersion)) this.ledger.reopen(slot);
    }
  }

  private _chunkReply(chunk: number, generation: number, ready: readonly ReadySample[]): TakeReply {
    const nowMs = this._options.clock.nowMs();
    const samples = ready.map(({ sample, ageStartMs }) => ({ ...sample, ageMs: nowMs - ageStartMs }));
    return { kind: 'chunk', chunk, generation, samples, progress: this.ledger.counts() };
  }

  private _noneReady(): TakeReply {
    if (!this.ledger.isOver()) return this._waitReply('generating', RETRY_AFTER_MS);
    return this._overReply(this.ledger.failedGroups());
  }

  private _overReply(failedGroups: StepHead['failedGroups']): TakeReply {
    return { kind: 'over', failedGroups, progress: this.ledger.counts() };
  }

  private _storeFailed(error: StepStoreError): TakeReply {
    if (error !== 'fenced') return this._waitReply('store-unavailable', STORE_RETRY_AFTER_MS);
    this._isFenced = true;
    return this._waitReply('owner-moving', RETRY_AFTER_MS);
  }

  private _waitReply(reason: WaitReason, retryAfterMs: number): TakeReply {
    return { kind: 'wait', reason, retryAfterMs, progress: this.ledger.counts() };
  }

  private async _close(state: 'closed' | 'abandoned'): Promise<Result<undefined, StepStoreError>> {
    if (this._head.state !== 'open') return ok(undefined);
    const head: StepHead = { ...this._head, state, failedGroups: this.ledger.failedGroups() };
    const closed = await this._options.store.close(this.key, this._headVersion, head);
    if (closed.ok) this._head = head;
    return closed;
  }

  private _restoreChunk(chunk: Chunk): void {
    this._chunks.set(chunk.chunk, chunk);
    for (const manifest of chunk.generations) {
      for (const { slot, sampleId } of manifest.entries) this.ledger.markSealed(slot, sampleId);
    }
  }
}

/** Takes over a step from a lost owner, by a compare-and-swap that fences it. */
export async function takeOver(
  store: StepStore,
  key: string,
  stored: StoredStep,
  owner: string,
): Promise<Result<StoredStep, StepStoreError>> {
  const head: StepHead = { ...stored.head, owner, epoch: stored.head.epoch + 1 };
  const replaced = await store.replaceHead(key, stored.headVersion, head);
  return replaced.ok ? ok({ ...stored, head, headVersion: replaced.value }) : err(replaced.error);
}
