/**
 * Runs one batch on the host that owns it: sends its items to endpoints, and has their results listed in the store.
 */
import { Deadline, type CancelTimer } from '@fuchsiahitch/base';
import { BatchLedger, pageFrom, type BatchItem, type BatchReadReply } from '@fuchsiahitch/batches';
import { reasonOf } from './attemptReason.js';
import { batchRoute } from './batchRoute.js';
import type { BatchStore, HeldClaim, StoredBatch } from './batchStore.js';
import { ClaimLease, SURE_MS } from './claimLease.js';
import type { ConfigurationService } from './configurationService.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { Forwarder } from './forwarder.js';
import type { GatewayContext } from './gatewayContext.js';
import { ItemAttempt, type AttemptEnd } from './itemAttempt.js';
import { ItemPauses } from './itemPauses.js';
import { ItemPlacer, type EndpointTiers } from './itemPlacer.js';
import { ItemScoring } from './itemScoring.js';
import { ItemSuspects } from './itemSuspects.js';
import type { PoisonGuard } from './poisonGuard.js';
import type { EndpointClient } from './ports.js';
import { ProgressKeeper } from './progressKeeper.js';
import { ResultLister } from './resultLister.js';

/** What the owner of a batch works with. */
export interface BatchPorts {
  readonly store: BatchStore;
  readonly endpoints: EndpointDirectory;
  readonly configuration: ConfigurationService;
  readonly client: EndpointClient;
  readonly forwarder: Forwarder;
  readonly poison: PoisonGuard;
  /** How long after a confirmation by the store an owner may act on its claim. */
  readonly claimLeaseMs: number;
}

/** What the log tells of an attempt beside its end. */
interface AttemptFacts {
  /** The attempts of the item so far, this one included. */
  readonly number: number;
  readonly tookMs: number;
  /** The claim on which it began. */
  readonly claimRevision: number;
  /** When it began: the time since the store was asked for its last confirmation that this host owns the batch. */
  readonly claimAgeMs: number;
}

const STORE_TIMEOUT_MS = 1000;
/** How often items that found no place look again. */
const PLACE_INTERVAL_MS = 25;
/**
 * Runs that begin in one turn of the loop. Each takes a third to half of a millisecond of processor time, and a host with
 * a third of a core reads nothing meanwhile: with all 144 in one turn its loop was late by 267 and 303 ms (first and second
 * batch, means of three runs over sockets), with 16 by 197 and 170; without a limit by 87 and 49, and 44 and 15.
 */
const MAX_BEGUN = 16;
/** An endpoint that refused an item gets none for this long: it is full or loads weights. */
const REFUSED_PAUSE_MS = 250;
/** Wall clocks of hosts are near true time; a generous bound for the difference of two. */
const CLOCK_SKEW_MS = 5000;

export class BatchOwner {
  readonly ledger: BatchLedger;
  private readonly _context: GatewayContext;
  private readonly _ports: BatchPorts;
  private readonly _lost: () => void;
  private readonly _attempts = new Map<string, ItemAttempt>();
  private readonly _keeper: ProgressKeeper;
  private readonly _lister: ResultLister;
  private readonly _scoring: ItemScoring;
  private readonly _pauses: ItemPauses;
  private readonly _suspects: ItemSuspects;
  private readonly _lease: ClaimLease;
  private readonly _placer: ItemPlacer;
  private _isStopped = false;
  private _isEnding = false;
  private _isLost = false;
  private _placeTimer: CancelTimer | undefined;
  private _wake: (() => void)[] = [];

  constructor(
    context: GatewayContext,
    ports: BatchPorts,
    held: HeldClaim,
    stored: StoredBatch,
    lost: () => void,
  ) {
    this._context = context;
    this._ports = ports;
    this._lost = lost;
    const { store } = ports;
    const { batch } = stored;
    const startedMs = context.clock.nowMs();
    const route = batchRoute(ports.configuration, batch);
    const maxAttempts = route?.maxAttempts ?? 1;
    this.ledger = new BatchLedger(batch, stored.results, {
      maxAttempts,
      isSingleVersion: route?.isSingleVersion ?? false,
    });
    this._lease = new ClaimLease(context, store, batch.id, held, ports.claimLeaseMs, () => this.lose());
    this._placer = new ItemPlacer(context, ports, this.ledger);
    this._pauses = new ItemPauses(context, batch.id, 'generation');
    this._suspects = new ItemSuspects(context, ports.poison, this.ledger, () => this._place());
    this._scoring = new ItemScoring(context, ports, this.ledger, maxAttempts, () => this._lister.list());
    this._lister = new ResultLister(context, store, this.ledger, startedMs, this._lease, () =>
      this._wakeReaders(),
    );
    this._keeper = new ProgressKeeper(context, store, this.ledger, this._lease);
  }

  get batchId(): string {
    return this.ledger.batch.id;
  }

  isEnded(): boolean {
    return this._lease.held.claim.isEnded;
  }

  /** True if each text must be of one weight version. */
  isSingleVersion(): boolean {
    return this.ledger.isSingleVersion();
  }

  /** Begins to run what is not listed yet. */
  start(): void {
    if (this.isEnded() || this._isStopped) return;
    this._armExpiry();
    this._lease.start();
    this._keeper.start();
    this._lister.list();
    this._place();
  }

  /** Stops all attempts: the batch has ended, or another host runs it. */
  stop(reason: string): void {
    if (this._isStopped) return;
    this._isStopped = true;
    this._lease.stop();
    this._keeper.stop();
    this._lister.stop();
    this._scoring.stop();
    this._placeTimer?.();
    for (const attempt of this._attempts.values()) attempt.stop();
    this._wakeReaders();
    const { batchId } = this;
    this._context.log.info('batch stopped', { batchId, reason, listed: this.ledger.listed().length });
  }

  /** Results from a position on; waits for one up to `waitMs` if there is none. */
  async read(after: number, waitMs: number): Promise<BatchReadReply> {
    const deadline = Deadline.after(this._context.clock, waitMs);
    while (this._hasNothingAfter(after) && !deadline.isOver()) await this._changed(deadline);
    if (this._hasNothingAfter(after) && this._lister.unansweredMs() >= SURE_MS)
      return this._readStored(after);
    if (this._hasNothingAfter(after) && !(await this._lease.isSure())) return { kind: 'unsure' };
    if (this._isLost) return { kind: 'not-owner' };
    return { kind: 'page', ...pageFrom(this.ledger.listed(), this.ledger.total(), after) };
  }

  /**
   * What the store has, while an append waits for its answer. The append may have taken effect, and hosts that can't reach
   * this one then show its results: a confirmed claim alone does not allow to say that there is nothing more.
   */
  private async _readStored(after: number): Promise<BatchReadReply> {
    const results = await this._ports.store.results(this.batchId, this._storeDeadline());
    if (!results.ok) return { kind: 'unsure' };
    if (this._isLost) return { kind: 'not-owner' };
    return { kind: 'page', ...pageFrom(results.value, this.ledger.total(), after) };
  }

  /** True while something new may be sent for the batch. */
  mayAct(): boolean {
    return !this._isEnding && !this._isStopped && this._lease.mayAct();
  }

  /**
   * Ends the batch for good. Nothing is sent from the moment in which the end is asked, also where it can't be agreed with
   * the store: the trainer wants no more, and asks again.
   */
  async end(): Promise<'ended' | 'lost' | 'out-of-reach'> {
    if (this.isEnded()) return 'ended';
    this._isEnding = true;
    const deadline = this._storeDeadline();
    const { store } = this._ports;
    const done = await store.changeClaim(this.batchId, this._lease.held, { isEnded: true }, deadline);
    if (done.kind === 'out-of-reach') return 'out-of-reach';
    if (done.kind === 'lost') {
      this.lose();
      return 'lost';
    }
    this._lease.changed(done.value);
    // Results whose append is not answered may stand in the store, where hosts that can't ask this one read them. So that
    // no reader is shown fewer here, the store alone is read from now on.
    this._isLost = !this._lister.isSettled();
    this.stop('ended by the trainer');
    if (this._isLost) this._lost();
    void this._keeper.finish();
    return 'ended';
  }

  /** Another owner has the claim. */
  lose(): void {
    // After an end of its own the claim is at another revision, and nothing is lost.
    if (this._isStopped) return;
    this._isLost = true;
    this.stop('another host owns the batch');
    this._lost();
  }

  private _hasNothingAfter(after: number): boolean {
    const isMore = after < this.ledger.listed().length;
    return !isMore && !this.ledger.isDone() && !this._isStopped;
  }

  /** Resolves at the next listed result, or when the deadline is over. */
  private async _changed(deadline: Deadline): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this._context.clock.after(deadline.leftMs(), resolve);
      this._wake.push(() => {
        cancel();
        resolve();
      });
    });
  }

  private _wakeReaders(): void {
    const wake = this._wake;
    this._wake = [];
    for (const run of wake) run();
  }

  /** Sends what may be sent, and looks again in a moment. */
  private _place(): void {
    if (this._isStopped) return;
    this._placeTimer?.();
    const isMoreToBegin = this.mayAct() ? this._sendWaiting() : this._holdBack();
    if (!this.ledger.isFinished()) this._placeTimer = this._again(isMoreToBegin);
  }

  /**
   * Takes back what was begun and may not be written yet: a connection takes up to a second, and a process that is held up
   * writes seconds later. Runs that an endpoint has answered go on.
   */
  private _holdBack(): false {
    this._scoring.interrupt();
    for (const attempt of this._attempts.values()) if (!attempt.isAnswered()) attempt.stop();
    return false;
  }

  /**
   * Sends waiting items for which an endpoint has a place, and asks for scores. True if more may begin as soon as the loop
   * has read.
   */
  private _sendWaiting(): boolean {
    this._scoring.run();
    const waiting = this._suspects.ready(this._pauses.ready(this.ledger.waiting()));
    const tiers = waiting.length > 0 ? this._placer.tiers() : [];
    let begun = 0;
    for (const item of waiting) {
      if (begun === MAX_BEGUN) break;
      if (this._placeItem(item, tiers)) begun += 1;
    }
    this._moveFromSlow();
    return begun === MAX_BEGUN;
  }

  private _again(isMoreToBegin: boolean): CancelTimer {
    const { clock, eventLoop: loop } = this._context;
    const place = (): void => this._place();
    return isMoreToBegin ? loop.afterPollPhase(place) : clock.after(PLACE_INTERVAL_MS, place);
  }

  private _placeItem(item: BatchItem, tiers: EndpointTiers): boolean {
    const endpoint = this._placer.choose(item, tiers, this._suspects.has(item));
    if (endpoint) void this._run(item, endpoint);
    return endpoint !== undefined;
  }

  private async _run(item: BatchItem, endpoint: Endpoint): Promise<void> {
    const number = this.ledger.begin(item.id);
    // Where an endpoint has ended under an item, those of its group that follow it break with the next one.
    if (!this._suspects.has(item)) this._placer.began(item, endpoint);
    const mayLeave = (asking: ItemAttempt): boolean =>
      this.mayAct() && this._placer.hasOtherPlace(item, asking);
    const { client } = this._ports;
    const attempt = new ItemAttempt(this._context, client, this.ledger, item, endpoint, mayLeave);
    this._attempts.set(item.id, attempt);
    const startedMs = this._context.clock.nowMs();
    const claimAgeMs = this._lease.ageMs();
    const claimRevision = this._lease.held.revision;
    const end = await attempt.run();
    const tookMs = this._context.clock.nowMs() - startedMs;
    await this._suspects.ended(item, endpoint, end);
    this._attempts.delete(item.id);
    this._logAttempt(item, endpoint, { number, tookMs, claimRevision, claimAgeMs }, end);
    if (this._isStopped) return;
    this._settle(item, endpoint, end);
    this._place();
  }

  private _settle(item: BatchItem, endpoint: Endpoint, end: AttemptEnd): void {
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
        this._placer.avoid(item, endpoint);
        endpoint.suspendItemsFor(REFUSED_PAUSE_MS);
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
        this._contradicted(item);
        break;
    }
    this._lister.list();
  }

  /** The endpoint answered with weights that don't fit: another is asked, and in the end the item begins anew. */
  private _contradicted(item: BatchItem): void {
    const { fruitless, isTextDropped } = this.ledger.contradicted(item.id);
    this._pauses.contradicted(item.id, fruitless, isTextDropped);
  }

  /** Moves the items of slow endpoints to quick ones that have nothing better to do. */
  private _moveFromSlow(): void {
    if (this.ledger.waiting().length > 0) return;
    for (const attempt of this._placer.movesDue([...this._attempts.values()])) attempt.stop();
  }

  /** An item that is not done when its route lets it go is given up, so that its step has an end. */
  private _armExpiry(): void {
    const route = batchRoute(this._ports.configuration, this.ledger.batch);
    if (!route || route.keepMs === 0) return;
    const ageMs = Math.max(0, this._context.clock.wallMs() - this._lease.held.claim.acceptedWallMs);
    // Wall clocks differ between hosts: an older batch may be a little younger than it seems.
    const leftMs = Math.max(0, route.keepMs - ageMs) + CLOCK_SKEW_MS;
    this._context.clock.after(leftMs, () => {
      if (this._isStopped || this.ledger.isDone()) return;
      this._context.log.warn('batch expired', { batchId: this.batchId, keepMs: route.keepMs });
      for (const attempt of this._attempts.values()) attempt.stop();
      this.ledger.terminateRest();
      this._lister.list();
    });
  }

  private _storeDeadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }

  private _logAttempt(
    item: BatchItem,
    endpoint: Endpoint,
    { number, tookMs, claimRevision, claimAgeMs }: AttemptFacts,
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
      status: 'status' in end ? end.status : undefined,
      events: this.ledger.progress(item.id).lastEvent(),
      tookMs: Math.round(tookMs),
      paceMs: Math.round(endpoint.paceMs() ?? 0),
      claimRevision,
      claimAgeMs: Math.round(claimAgeMs),
      loopDelayMs: Math.round(this._context.eventLoop.recentLagMs()),
      endpointsAgeMs: Math.round(this._ports.endpoints.ageMs()),
    });
  }
}
