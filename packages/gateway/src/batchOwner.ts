/**
 * Runs one batch on the host that owns it: sends its items to endpoints and lists their results in the store.
 */
import { Deadline, type CancelTimer } from '@fuchsiahitch/base';
import {
  BatchLedger,
  batchSizeBytes,
  pageFrom,
  type BatchItem,
  type BatchReadReply,
} from '@fuchsiahitch/batches';
import { isAbsence, MAX_SOURCE_AGE_MS } from './absenceAge.js';
import { otherAnsweredId, reasonOf } from './attemptReason.js';
import { batchRoute } from './batchRoute.js';
import type { BatchStore, HeldClaim, StoredBatch } from './batchStore.js';
import { ClaimLease } from './claimLease.js';
import type { ConfigurationService } from './configurationService.js';
import type { DemandUpdates } from './demandUpdates.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import { EndpointSend, type SendDetails } from './endpointSend.js';
import type { Forwarder } from './forwarder.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';
import { ItemAttempt, type AttemptEnd } from './itemAttempt.js';
import { ItemBackoff } from './itemBackoff.js';
import { ItemPlacer, type EndpointTiers } from './itemPlacer.js';
import { ItemScoring } from './itemScoring.js';
import type { EndpointClient } from './ports.js';
import { ProgressRecorder } from './progressRecorder.js';
import { ResultLister } from './resultLister.js';

export interface BatchPorts {
  readonly store: BatchStore;
  readonly endpoints: EndpointDirectory;
  readonly configuration: ConfigurationService;
  /** Determine each host's share of the endpoints' connections. */
  readonly hosts: Pick<Hosts, 'peers'>;
  readonly client: EndpointClient;
  readonly forwarder: Forwarder;
  readonly demand: DemandUpdates;
  /** How long an owner may act on its claim after the store confirmed it. */
  readonly claimLeaseMs: number;
}

/** Details of an attempt that are logged besides its end. */
interface AttemptDetails {
  /** Counted from 1 for each item. */
  readonly number: number;
  readonly tookMs: number;
  /** Revision of the claim when the attempt started. */
  readonly claimRevision: number;
  /** Age of the store's last confirmation of the claim when the attempt started. */
  readonly claimAgeMs: number;
  readonly send: SendDetails;
}

const STORE_TIMEOUT_MS = 1000;
/** Retry interval for items that no endpoint had a free slot for. */
const PLACE_INTERVAL_MS = 25;
/**
 * Attempts started in one turn of the event loop. Bounds the event loop lag: a host with a fraction of a processor core
 * that starts a whole batch in one turn reads no data for hundreds of milliseconds.
 */
const MAX_STARTS_PER_TURN = 16;
/** An endpoint that refused an item, because it is full or loading weights, receives no items for this long. */
const REFUSAL_PAUSE_MS = 250;
/** Bound for the difference between the wall clocks of two hosts. */
const MAX_CLOCK_SKEW_MS = 5000;

export class BatchOwner {
  readonly ledger: BatchLedger;
  /** Memory of the batch as submitted. */
  readonly sizeBytes: number;
  private readonly _context: GatewayContext;
  private readonly _ports: BatchPorts;
  private readonly _onClaimLost: () => void;
  private readonly _attempts = new Map<string, ItemAttempt>();
  private readonly _progressRecorder: ProgressRecorder;
  private readonly _resultLister: ResultLister;
  private readonly _scoring: ItemScoring;
  private readonly _backoff: ItemBackoff;
  private readonly _lease: ClaimLease;
  private readonly _placer: ItemPlacer;
  private _isStopped = false;
  private _isEnding = false;
  private _isClaimLost = false;
  private _hasStoredOutput = false;
  private _placeTimer: CancelTimer | undefined;
  private _readerWakeups: (() => void)[] = [];

  constructor(
    context: GatewayContext,
    ports: BatchPorts,
    held: HeldClaim,
    stored: StoredBatch,
    onClaimLost: () => void,
  ) {
    this._context = context;
    this._ports = ports;
    this._onClaimLost = onClaimLost;
    const { store } = ports;
    const { batch } = stored;
    this.sizeBytes = batchSizeBytes(batch);
    const startedMs = context.clock.nowMs();
    const route = batchRoute(ports.configuration, batch);
    const maxAttempts = route?.maxAttempts ?? 1;
    this.ledger = new BatchLedger(batch, stored.results, {
      maxAttempts,
      isSingleVersion: route?.isSingleVersion ?? false,
    });
    this._lease = new ClaimLease(context, store, batch.id, held, ports.claimLeaseMs, () => this.claimLost());
    this._placer = new ItemPlacer(context, ports, this.ledger);
    this._backoff = new ItemBackoff(context, batch.id, 'generation');
    this._scoring = new ItemScoring(context, ports, this.ledger, maxAttempts, () =>
      this._resultLister.list(),
    );
    this._resultLister = new ResultLister(context, store, this.ledger, startedMs, this._lease, () =>
      this._wakeReaders(),
    );
    this._progressRecorder = new ProgressRecorder(context, store, this.ledger, this._lease);
  }

  get batchId(): string {
    return this.ledger.batch.id;
  }

  isEnded(): boolean {
    return this._lease.held.claim.isEnded;
  }

  /** True if each text must be generated by a single weight version. */
  isSingleVersion(): boolean {
    return this.ledger.isSingleVersion();
  }

  /** Records that the ledger contains all output of the batch that the store had when this process became the owner. */
  storedOutputLoaded(): void {
    this._hasStoredOutput = true;
  }

  /** True if no output of previous owners is missing from the ledger. */
  hasStoredOutput(): boolean {
    return this._hasStoredOutput;
  }

  /** Starts running the items that have no listed result. */
  start(): void {
    if (this.isEnded() || this._isStopped) return;
    this._armExpiry();
    this._lease.start();
    this._progressRecorder.start();
    this._resultLister.list();
    this._placeItems();
  }

  /** Stops all attempts. */
  stop(reason: string): void {
    if (this._isStopped) return;
    this._isStopped = true;
    this._lease.stop();
    this._progressRecorder.stop();
    this._resultLister.stop();
    this._scoring.stop();
    this._placer.stop();
    this._placeTimer?.();
    for (const attempt of this._attempts.values()) attempt.stop();
    this._wakeReaders();
    const { batchId } = this;
    this._context.log.info('batch stopped', { batchId, reason, listed: this.ledger.listed().length });
  }

  /** Returns results from a position on. Waits up to `waitMs` for the first one. */
  async read(after: number, waitMs: number): Promise<BatchReadReply> {
    const deadline = Deadline.after(this._context.clock, waitMs);
    while (this._hasNoResultAfter(after) && !deadline.isOver()) await this._waitForChange(deadline);
    if (this._mustReadStore(after)) return this._readStored(after);
    if (this._hasNoResultAfter(after) && !(await this._lease.confirmOwnership(MAX_SOURCE_AGE_MS)))
      return { kind: 'unsure' };
    if (this._isClaimLost) return { kind: 'not-owner' };
    // The confirmation may have taken long, or the batch may have been handed over meanwhile.
    if (this._mustReadStore(after)) return this._readStored(after);
    return { kind: 'page', ...pageFrom(this.ledger.listed(), this.ledger.total(), after) };
  }

  /** True if the next result may be in the store without this host's knowledge: an unanswered append may have taken effect. */
  private _mustReadStore(after: number): boolean {
    if (after < this.ledger.listed().length || this.isEnded()) return false;
    if (this._isStopped) return !this._resultLister.isSettled();
    return this._resultLister.pendingWriteMs() >= MAX_SOURCE_AGE_MS;
  }

  /**
   * Reads results from the store while an append is unanswered. The append may have taken effect: hosts that can't
   * reach this one then return its results, so this host must not return an empty page, even with a confirmed claim.
   */
  private async _readStored(after: number): Promise<BatchReadReply> {
    const { clock } = this._context;
    const askedMs = clock.nowMs();
    const results = await this._ports.store.results(this.batchId, this._storeDeadline());
    if (!results.ok) return { kind: 'unsure' };
    if (this._isClaimLost) return { kind: 'not-owner' };
    const page = pageFrom(results.value, this.ledger.total(), after);
    if (isAbsence(page, after) && clock.nowMs() - askedMs > MAX_SOURCE_AGE_MS) return { kind: 'unsure' };
    return { kind: 'page', ...page };
  }

  /** True while new requests may be sent for the batch. */
  maySend(): boolean {
    return !this._isEnding && !this._isStopped && this._lease.isValid();
  }

  /**
   * Ends the batch for good. From this call on, no request is sent for it, even if the store can't be reached. The
   * trainer then repeats the call.
   */
  async end(): Promise<'ended' | 'lost' | 'out-of-reach'> {
    if (this.isEnded()) return 'ended';
    this._isEnding = true;
    const deadline = this._storeDeadline();
    const { store } = this._ports;
    const done = await store.changeClaim(this.batchId, this._lease.held, { isEnded: true }, deadline);
    if (done.kind === 'out-of-reach') return 'out-of-reach';
    if (done.kind === 'lost') {
      this.claimLost();
      return 'lost';
    }
    this._lease.changed(done.value);
    // If an append is unanswered, it may have taken effect, and other hosts may have read its results from the store.
    // This host then gives up its ownership, so that its readers are served from the store as well.
    this._isClaimLost = !this._resultLister.isSettled();
    this.stop('ended by the trainer');
    if (this._isClaimLost) this._onClaimLost();
    void this._progressRecorder.finish();
    return 'ended';
  }

  /** Stops the batch because another host holds the claim. */
  claimLost(): void {
    // Ending the batch at this host also changes the claim's revision; the claim is not lost then.
    if (this._isStopped) return;
    this._isClaimLost = true;
    this.stop('another host owns the batch');
    this._onClaimLost();
  }

  private _hasNoResultAfter(after: number): boolean {
    const hasMore = after < this.ledger.listed().length;
    return !hasMore && !this.ledger.isDone() && !this._isStopped;
  }

  /** Resolves at the next listed result or at the deadline. */
  private async _waitForChange(deadline: Deadline): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this._context.clock.after(deadline.remainingMs(), resolve);
      this._readerWakeups.push(() => {
        cancel();
        resolve();
      });
    });
  }

  private _wakeReaders(): void {
    const wakeups = this._readerWakeups;
    this._readerWakeups = [];
    for (const wake of wakeups) wake();
  }

  /** Starts attempts for waiting items and schedules the next round. */
  private _placeItems(): void {
    if (this._isStopped) return;
    this._placeTimer?.();
    const hasMoreToStart = this.maySend() ? this._sendWaiting() : this._cancelUnanswered();
    if (!this.ledger.isFinished()) this._placeTimer = this._schedulePlacement(hasMoreToStart);
  }

  /**
   * Cancels attempts that no endpoint has answered, since their requests may not be written yet: connecting takes up to
   * a second, and a blocked process writes even later. Answered attempts continue.
   */
  private _cancelUnanswered(): false {
    this._scoring.interrupt();
    for (const attempt of this._attempts.values()) if (!attempt.isAnswered()) attempt.stop();
    return false;
  }

  /**
   * Sends waiting items to endpoints with a free slot and requests missing scores. Returns true if more items may start
   * in the next turn of the event loop.
   */
  private _sendWaiting(): boolean {
    this._scoring.run();
    const waiting = this._backoff.ready(this.ledger.waiting());
    const tiers = waiting.length > 0 ? this._placer.tiers() : [];
    let started = 0;
    for (const item of waiting) {
      if (started === MAX_STARTS_PER_TURN) break;
      if (this._tryStart(item, tiers)) started += 1;
    }
    this._moveFromSlowEndpoints();
    return started === MAX_STARTS_PER_TURN;
  }

  private _schedulePlacement(hasMoreToStart: boolean): CancelTimer {
    const { clock, eventLoop } = this._context;
    const place = (): void => this._placeItems();
    return hasMoreToStart ? eventLoop.afterPollPhase(place) : clock.after(PLACE_INTERVAL_MS, place);
  }

  private _tryStart(item: BatchItem, tiers: EndpointTiers): boolean {
    const endpoint = this._placer.choose(item, tiers);
    if (endpoint) void this._runItem(item, endpoint);
    return endpoint !== undefined;
  }

  private async _runItem(item: BatchItem, endpoint: Endpoint): Promise<void> {
    const number = this.ledger.beginAttempt(item.id);
    this._placer.recordStart(item, endpoint);
    const canMove = (current: ItemAttempt): boolean =>
      this.maySend() && this._placer.hasFreeSlotElsewhere(item, current);
    const { client, endpoints: authority } = this._ports;
    const isWanted = (): boolean => this.maySend();
    const send = new EndpointSend(this._context, { kind: 'item', endpoint, authority, isWanted });
    const attempt = new ItemAttempt(this._context, client, this.ledger, item, endpoint, send, canMove);
    this._attempts.set(item.id, attempt);
    this._placer.attemptStarted(item, endpoint);
    const startedMs = this._context.clock.nowMs();
    const claimAgeMs = this._lease.ageMs();
    const claimRevision = this._lease.held.revision;
    const end = await attempt.run();
    const tookMs = this._context.clock.nowMs() - startedMs;
    this._attempts.delete(item.id);
    const details = { number, tookMs, claimRevision, claimAgeMs, send: send.details() };
    this._logAttempt(item, endpoint, details, end);
    if (this._isStopped) return;
    this._applyEnd(item, endpoint, end);
    this._placer.attemptEnded({ itemId: item.id, isAnswered: attempt.isAnswered() }, end.kind);
    this._placeItems();
  }

  private _applyEnd(item: BatchItem, endpoint: Endpoint, end: AttemptEnd): void {
    switch (end.kind) {
      case 'done':
        this.ledger.completed(item.id);
        break;
      case 'failed':
        this._placer.avoid(item, endpoint);
        this.ledger.failed(item.id);
        break;
      case 'impossible':
        this.ledger.impossible(item.id);
        break;
      case 'not-run':
        if (end.reason !== 'withheld') {
          this._placer.avoid(item, endpoint);
          endpoint.suspendItemsFor(REFUSAL_PAUSE_MS);
        }
        this.ledger.interrupted(item.id);
        break;
      case 'broken':
      case 'stalled':
        this._placer.avoid(item, endpoint);
        this.ledger.interrupted(item.id);
        break;
      case 'cancelled':
        this.ledger.interrupted(item.id);
        break;
      case 'old-version':
        this._placer.avoid(item, endpoint);
        this._versionMismatched(item);
        break;
    }
    this._resultLister.list();
  }

  /** Handles an answer with an unsuitable weight version: the item tries other endpoints and finally starts over. */
  private _versionMismatched(item: BatchItem): void {
    const { fruitless, isTextDropped } = this.ledger.interruptedByEndpoint(item.id);
    this._backoff.versionMismatched(item.id, fruitless, isTextDropped);
  }

  /** Moves items from slow endpoints to faster ones once no item waits for a slot. */
  private _moveFromSlowEndpoints(): void {
    if (this.ledger.waiting().length > 0) return;
    for (const attempt of this._placer.dueMoves([...this._attempts.values()])) attempt.stop();
  }

  /** Terminates items that are not done at the end of their route's retention period. */
  private _armExpiry(): void {
    const route = batchRoute(this._ports.configuration, this.ledger.batch);
    if (!route || route.keepMs === 0) return;
    const ageMs = Math.max(0, this._context.clock.wallMs() - this._lease.held.claim.acceptedWallMs);
    const leftMs = Math.max(0, route.keepMs - ageMs) + MAX_CLOCK_SKEW_MS;
    this._context.clock.after(leftMs, () => {
      if (this._isStopped || this.ledger.isDone()) return;
      this._context.log.warn('batch expired', { batchId: this.batchId, keepMs: route.keepMs });
      for (const attempt of this._attempts.values()) attempt.stop();
      this.ledger.terminateUnfinished();
      this._resultLister.list();
    });
  }

  private _storeDeadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }

  private _logAttempt(
    item: BatchItem,
    endpoint: Endpoint,
    { number, tookMs, claimRevision, claimAgeMs, send }: AttemptDetails,
    end: AttemptEnd,
  ): void {
    this._context.metrics.attempts.inc({ kind: 'item', end: end.kind });
    this._context.log.info('item attempt', {
      batchId: this.batchId,
      itemId: item.id,
      group: item.group,
      endpointId: endpoint.id,
      attempt: number,
      end: end.kind,
      reason: reasonOf(end),
      answeredId: otherAnsweredId(end, item.id),
      status: 'status' in end ? end.status : undefined,
      events: this.ledger.progress(item.id).lastEventNumber(),
      tookMs: Math.round(tookMs),
      paceMs: Math.round(endpoint.paceMs() ?? 0),
      claimRevision,
      claimAgeMs: Math.round(claimAgeMs),
      loopDelayMs: Math.round(this._context.eventLoop.recentLagMs()),
      ...send,
    });
  }
}
