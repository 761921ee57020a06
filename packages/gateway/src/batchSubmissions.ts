/**
 * Accepts submitted batches exactly once: at this host, or at the home host if the pool's connections are scarce.
 */
import { Deadline } from '@fuchsiahitch/base';
import { batchSizeBytes, declineReason, type Batch, type BatchSubmitReply } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { BatchMemory } from '@fuchsiahitch/limits';
import type { BatchHomes } from './batchHomes.js';
import type { SubmitOutcome } from './batchOutcomes.js';
import type { BatchStore, HeldClaim } from './batchStore.js';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';
import { RecentAcceptances } from './recentAcceptances.js';

export interface SubmissionPorts {
  readonly store: BatchStore;
  readonly hosts: Pick<Hosts, 'self'>;
  readonly homes: BatchHomes;
  readonly isOwned: (batchId: string) => boolean;
  readonly memory: BatchMemory;
  /** Items of this host's batches that are running or waiting. */
  readonly openItems: () => number;
  readonly isShuttingDown: () => boolean;
  /** True if this host knows the batch's route and the endpoints. */
  readonly isReady: (batch: Batch) => boolean;
  /** True while this host cannot reach the store directly. */
  readonly isRelaying: () => boolean;
  /** Called when this process has accepted the batch. */
  readonly accepted: (held: HeldClaim, batch: Batch) => void;
  /** Called when the batch had been accepted before, by this or another process. */
  readonly known: (batchId: string, held: HeldClaim) => void;
}

interface Acceptance {
  readonly items: number;
  readonly sizeBytes: number;
  readonly outcome: Promise<SubmitOutcome>;
}

const RETRY_AFTER_MS = 1000;
/**
 * After this time without lag, a host accepts batches again. Shorter than the interval of a trainer's steps: one late
 * turn of the event loop would otherwise send the next step to another host.
 */
const LAG_RECOVERY_MS = 1000;
/**
 * The interval at which a write to the store is retried. With no more time left than this, a failed acceptance is not
 * repeated; otherwise each of many joined submissions with the same deadline would try again in turn.
 */
const MIN_WRITE_MS = 200;

export class BatchSubmissions {
  private readonly _context: GatewayContext;
  private readonly _ports: SubmissionPorts;
  /** Submissions by trainers, which may wait for another host. */
  private readonly _submits = new Map<string, Promise<SubmitOutcome>>();
  /**
   * Writes of this host. Calls from peers join only these: if two hosts forwarded the same batch to each other and
   * joined each other's submissions, both would wait until they time out.
   */
  private readonly _acceptances = new Map<string, Acceptance>();
  private readonly _recent: RecentAcceptances;

  constructor(context: GatewayContext, ports: SubmissionPorts) {
    this._context = context;
    this._ports = ports;
    this._recent = new RecentAcceptances(context.clock);
  }

  serve(server: CallRegistry): void {
    server.handle(calls.batchSubmit, ({ batch, leftMs }) =>
      this._acceptForPeer(batch, Deadline.after(this._context.clock, leftMs)),
    );
  }

  /** Accepts a batch of a trainer, even if it is submitted repeatedly and to several hosts. */
  async submit(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    if (this._ports.isOwned(batch.id)) return { kind: 'accepted' };
    const running = this._submits.get(batch.id) ?? this._submit(batch, deadline);
    this._submits.set(batch.id, running);
    try {
      return await running;
    } finally {
      this._submits.delete(batch.id);
    }
  }

  /** Memory of the batches that are being accepted. */
  sizeBytes(): number {
    let sum = 0;
    for (const { sizeBytes } of this._acceptances.values()) sum += sizeBytes;
    return sum;
  }

  /** Waits until this host has accepted the batch or has failed to, if it is about to. */
  async acceptanceSettled(batchId: string): Promise<void> {
    await this._acceptances.get(batchId)?.outcome;
  }

  /** Waits until no submission of the batch to this host is pending, including those forwarded to another host. */
  async submissionSettled(batchId: string): Promise<void> {
    await this._submits.get(batchId);
  }

  private async _submit(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    const { homes } = this._ports;
    if (!homes.isInEffect(batch)) return this._acceptOnce(batch, deadline);
    const answer = await homes.offer(batch, deadline, this._declineReason(batch));
    if (answer === 'accepted') {
      this._recent.markAccepted(batch.id);
      return { kind: 'accepted' };
    }
    // The write of the host that was asked may still be executed.
    if (answer === 'unknown') this._recent.markUnknown(batch.id);
    return this._acceptOnce(batch, deadline);
  }

  /**
   * Accepts or declines a batch that a peer forwarded. Declines only if no write of this host is pending or may be
   * executed late, and never throws, because the peer takes a refused call for one that had no effect.
   */
  private async _acceptForPeer(batch: Batch, deadline: Deadline): Promise<BatchSubmitReply> {
    const { id } = batch;
    const isBegun = this._ports.isOwned(id) || this._acceptances.has(id);
    const declined = isBegun ? undefined : this._declineReason(batch);
    if (declined !== undefined) {
      const state = this._recent.stateOf(id);
      this._context.log.info('batch declined', { batchId: id, reason: declined, earlierAcceptance: state });
      return state === undefined ? { kind: 'declined', reason: declined } : { kind: state };
    }
    try {
      const outcome = await this._acceptOnce(batch, deadline);
      if (outcome.kind !== 'not-run') return outcome;
      const { kind, reason, retryAfterMs } = outcome;
      return { kind, reason, retryAfterMs };
    } catch (error) {
      this._context.log.error('accepting a forwarded batch failed', { batchId: id, error: String(error) });
      return { kind: 'unknown' };
    }
  }

  private _declineReason(batch: Batch): string | undefined {
    const { isShuttingDown, isReady, isRelaying, openItems, memory } = this._ports;
    let beingAccepted = 0;
    for (const { items } of this._acceptances.values()) beingAccepted += items;
    return declineReason({
      isShuttingDown: isShuttingDown(),
      isReady: isReady(batch),
      isRelaying: isRelaying(),
      loopLagMs: this._currentLagMs(),
      openItems: openItems() + beingAccepted,
      hasMemory: memory.mayAccept(batchSizeBytes(batch)),
    });
  }

  /**
   * `recentLagMs` is a maximum over up to 5 s, in which the trainer submits its next step. It stays in effect while the
   * loop still has any measurable lag, since the monitor has no maximum over a shorter time.
   */
  private _currentLagMs(): number {
    const { clock, eventLoop } = this._context;
    return eventLoop.hasNoLagSince(clock.nowMs() - LAG_RECOVERY_MS) ? 0 : eventLoop.recentLagMs();
  }

  /** Accepts a batch at this host. Not `not-run` if the write of an earlier acceptance may have been executed. */
  private async _acceptOnce(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    const outcome = await this._acceptOrJoin(batch, deadline);
    const state = outcome.kind === 'not-run' ? this._recent.stateOf(batch.id) : undefined;
    return state === undefined ? outcome : { kind: state };
  }

  /**
   * Accepts a batch at this host, or joins an attempt to do so. An attempt of a forwarded submission ends at the earlier
   * deadline of that submission, so a caller that joined it in vain tries again while it has time left.
   */
  private async _acceptOrJoin(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    for (;;) {
      if (this._ports.isOwned(batch.id)) return { kind: 'accepted' };
      const running = this._acceptances.get(batch.id);
      if (!running) {
        const sizeBytes = batchSizeBytes(batch);
        const mayAccept = this._ports.memory.mayAccept(sizeBytes);
        return mayAccept ? this._begin(batch, sizeBytes, deadline) : this._refuse(batch, deadline);
      }
      const outcome = await running.outcome;
      if (outcome.kind === 'accepted' || deadline.remainingMs() <= MIN_WRITE_MS) return outcome;
    }
  }

  /** Refuses a batch for lack of memory, unless it was accepted before, at this or another host. */
  private async _refuse({ id, items }: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    const held = await this._ports.store.readClaim(id, deadline);
    if (!held.ok) return { kind: 'unknown' };
    if (held.value) {
      this._ports.known(id, held.value);
      return { kind: 'accepted' };
    }
    const reason = 'the open batches take all memory that is kept for them';
    this._context.log.info('batch refused', { batchId: id, items: items.length, reason });
    return { kind: 'not-run', reason, retryAfterMs: RETRY_AFTER_MS, limit: 'open-batches' };
  }

  private async _begin(batch: Batch, sizeBytes: number, deadline: Deadline): Promise<SubmitOutcome> {
    const outcome = this._acceptAndRecord(batch, deadline);
    this._acceptances.set(batch.id, { items: batch.items.length, sizeBytes, outcome });
    try {
      return await outcome;
    } finally {
      this._acceptances.delete(batch.id);
    }
  }

  private async _acceptAndRecord(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    try {
      const outcome = await this._accept(batch, deadline);
      if (outcome.kind === 'accepted') this._recent.markAccepted(batch.id);
      else if (outcome.kind === 'unknown') this._recent.markUnknown(batch.id);
      return outcome;
    } catch (error) {
      this._recent.markUnknown(batch.id);
      throw error;
    }
  }

  private async _accept(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    const startedMs = this._context.clock.nowMs();
    const outcome = await this._ports.store.accept(batch, this._ports.hosts.self(), deadline);
    const tookMs = this._context.clock.nowMs() - startedMs;
    this._context.metrics.batches.inc({ call: 'submit', outcome: outcome.kind });
    this._context.metrics.acceptance.observe(tookMs / 1000);
    this._context.log.info('batch submitted', {
      batchId: batch.id,
      outcome: outcome.kind,
      error: 'error' in outcome ? outcome.error : undefined,
      items: batch.items.length,
      step: batch.step,
      model: batch.model,
      minVersion: batch.minVersion,
      tookMs: Math.round(tookMs),
    });
    switch (outcome.kind) {
      case 'accepted':
        this._ports.accepted(outcome.held, batch);
        return { kind: 'accepted' };
      case 'known':
        this._ports.known(batch.id, outcome.held);
        return { kind: 'accepted' };
      case 'not-done':
        return { kind: 'not-run', reason: 'the store is out of reach', retryAfterMs: RETRY_AFTER_MS };
      case 'too-large':
        return { kind: 'not-run', reason: 'the batch is too large to keep', retryAfterMs: RETRY_AFTER_MS };
      case 'unknown':
        return { kind: 'unknown' };
    }
  }
}
