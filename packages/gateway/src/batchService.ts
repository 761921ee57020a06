/**
 * Serves calls about batches: submitting, reading results and item bodies, and ending.
 *
 * Any host accepts any call and forwards it to the owner of the batch, which the claim in the store names. If the
 * owner's process has terminated, the host that received the call takes the batch over.
 */
import { Deadline, err, type Result } from '@fuchsiahitch/base';
import {
  batchSizeBytes,
  MAX_RECORD_UNITS,
  type Batch,
  BatchAdopt,
  BatchEndReply,
  BatchItemReply,
  BatchReadReply,
  ItemEvents,
  Owner,
} from '@fuchsiahitch/batches';
import { BatchMemory } from '@fuchsiahitch/limits';
import { calls } from '@fuchsiahitch/protocol';
import { isAbsence, MAX_ABSENCE_AGE_MS, MAX_PASSAGE_MS } from './absenceAge.js';
import { BatchHandover } from './batchHandover.js';
import { BatchHomes } from './batchHomes.js';
import type { EndOutcome, ItemOutcome, ReadOutcome, SubmitOutcome } from './batchOutcomes.js';
import { BatchOwner, type BatchPorts } from './batchOwner.js';
import { batchRoute } from './batchRoute.js';
import type { HeldClaim, StoredBatch } from './batchStore.js';
import { BatchSubmissions } from './batchSubmissions.js';
import { ClaimCache } from './claimCache.js';
import { OwnedBatches } from './ownedBatches.js';
import { PriorProgress } from './priorProgress.js';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';
import { PaceUpdates } from './paceUpdates.js';
import { StoredBatchReader } from './storedBatchReader.js';

/** Where calls about a batch are served: by this host, by a peer, or from the store. */
type BatchLocation =
  | { readonly kind: 'here'; readonly owner: BatchOwner }
  | { readonly kind: 'peer'; readonly held: HeldClaim }
  | { readonly kind: 'stored'; readonly held: HeldClaim }
  | { readonly kind: 'no-batch' }
  | { readonly kind: 'unsure' };

const STORE_TIMEOUT_MS = 1000;
/** Timeout of calls to peers, in addition to the time that the call waits for results. */
const PEER_TIMEOUT_MS = 700;
/** A lease may also lapse while its process is alive, so the owner is probed before its batch is taken over. */
const OWNER_PROBE_TIMEOUT_MS = 300;
/** The owner of a new batch needs this long to measure the pace of its endpoints. */
const PACE_UPDATE_DELAY_MS = 2000;

export interface BatchServicePorts extends BatchPorts {
  /** True while this host cannot reach the store directly. */
  readonly isRelaying: () => boolean;
  /** Memory for the batches that this host runs. */
  readonly maxBatchBytes: number;
}

export class BatchService {
  private readonly _context: GatewayContext;
  private readonly _ports: BatchPorts;
  private readonly _hosts: Hosts;
  private readonly _priorProgress: PriorProgress;
  private readonly _owned = new OwnedBatches();
  private readonly _memory: BatchMemory;
  private readonly _submissions: BatchSubmissions;
  private readonly _handover: BatchHandover;
  private readonly _takeovers = new Map<string, Promise<BatchLocation>>();
  private readonly _claims: ClaimCache;
  private readonly _storedBatches: StoredBatchReader;
  private readonly _paceUpdates: PaceUpdates;
  private _isShuttingDown = false;

  constructor(context: GatewayContext, ports: BatchServicePorts, hosts: Hosts) {
    this._context = context;
    this._ports = ports;
    this._hosts = hosts;
    this._claims = new ClaimCache(hosts);
    this._paceUpdates = new PaceUpdates(ports.endpoints, hosts);
    const { store, configuration, endpoints, isRelaying } = ports;
    this._memory = new BatchMemory(
      ports.maxBatchBytes,
      () => this._owned.openBytes() + this._submissions.sizeBytes(),
    );
    const homes = new BatchHomes(context, { configuration, endpoints, hosts });
    this._handover = new BatchHandover(context, hosts, homes);
    this._priorProgress = new PriorProgress(context, store, (batch, earlierId) =>
      homes.isInEffect(batch) ? this._owned.withOutput(earlierId) : undefined,
    );
    this._storedBatches = new StoredBatchReader(context, store, batchId => this._claims.isEnded(batchId));
    this._submissions = new BatchSubmissions(context, {
      store,
      hosts,
      homes,
      isRelaying,
      memory: this._memory,
      isReady: batch => endpoints.isSynced() && batchRoute(configuration, batch) !== undefined,
      isOwned: batchId => this._owned.has(batchId),
      openItems: () => this._owned.openItems(),
      isShuttingDown: () => this._isShuttingDown,
      accepted: (held, batch) => void this._startBatch(held, { batch, results: [] }, []),
      known: (batchId, held) => {
        this._claims.set(batchId, held);
        this._resume(batchId, held);
      },
    });
  }

  serve(server: CallRegistry): void {
    server.handle(calls.batchRead, request => this._readLocally(request));
    server.handle(calls.batchItem, request => this._itemLocally(request));
    server.handle(calls.batchAdopt, request => this._adopt(request));
    server.handle(calls.batchRuns, ({ batchId }) => ({
      isRun: this._owned.get(batchId)?.maySend() ?? false,
    }));
    this._paceUpdates.serve(server);
    this._ports.demand.serve(server);
    this._claims.serve(server);
    this._submissions.serve(server);
    server.handle(calls.batchEnd, request => this._endLocally(request.batchId));
  }

  ownedCount(): number {
    return this._owned.count();
  }

  /** Number of items that are running or waiting at this host. */
  openItems(): number {
    return this._owned.openItems();
  }

  /** Accepts a batch exactly once, even if it is submitted repeatedly and to several hosts. */
  async submit(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    return this._submissions.submit(batch, deadline);
  }

  /** Returns results from a position on. Waits up to `waitMs` for the first one. */
  async read(batchId: string, after: number, waitMs: number): Promise<ReadOutcome> {
    const { clock, log } = this._context;
    const askedMs = clock.nowMs();
    const outcome = await this._read(batchId, after, waitMs);
    if (outcome.kind === 'page' && isAbsence(outcome.page, after))
      log.info('empty page', { batchId, after, waitMs, tookMs: Math.round(clock.nowMs() - askedMs) });
    return outcome;
  }

  private async _read(batchId: string, after: number, waitMs: number): Promise<ReadOutcome> {
    const deadline = Deadline.after(this._context.clock, waitMs);
    const reply = await this._atOwner<BatchReadReply>(
      batchId,
      owner => owner.read(after, deadline.remainingMs()),
      address => this._readAt(address, { batchId, after, waitMs }),
    );
    switch (reply.kind) {
      case 'page':
        return { kind: 'page', page: { total: reply.total, results: reply.results, next: reply.next } };
      case 'stored':
        return this._storedBatches.read(batchId, reply.held, after, deadline);
      case 'no-batch':
        return { kind: 'no-batch' };
      case 'not-owner':
      case 'unsure':
        return { kind: 'unsure' };
    }
  }

  /**
   * Reads at a peer. An empty page that took long on its way is asked for again without waiting, since other readers may
   * have read the result meanwhile.
   */
  private async _readAt(
    address: string,
    request: { readonly batchId: string; readonly after: number; readonly waitMs: number },
  ): Promise<Result<BatchReadReply, unknown>> {
    const { clock, log } = this._context;
    const { batchId, after, waitMs } = request;
    const askedMs = clock.nowMs();
    const reply = await this._hosts.call(address, calls.batchRead, request, waitMs + PEER_TIMEOUT_MS);
    // The owner has waited for the whole time, so the rest of the time was spent on the way.
    const passageMs = clock.nowMs() - askedMs - waitMs;
    const isEmpty = reply.ok && reply.value.kind === 'page' && isAbsence(reply.value, after);
    if (!isEmpty || passageMs <= MAX_PASSAGE_MS) return reply;
    log.info('empty page is out of date', { batchId, after, passageMs: Math.round(passageMs) });
    return this._hosts.call(address, calls.batchRead, { ...request, waitMs: 0 }, MAX_PASSAGE_MS);
  }

  async item(batchId: string, itemId: string): Promise<ItemOutcome> {
    const request = { batchId, itemId };
    const reply = await this._atOwner<BatchItemReply>(
      batchId,
      owner => itemReply(owner.ledger.batch, itemId),
      address => this._hosts.call(address, calls.batchItem, request, PEER_TIMEOUT_MS),
    );
    switch (reply.kind) {
      case 'body':
        return { kind: 'body', body: Buffer.from(reply.bodyBase64, 'base64') };
      case 'stored':
        return this._storedBatches.item(batchId, itemId);
      case 'no-item':
      case 'no-batch':
        return { kind: 'no-item' };
      case 'not-owner':
      case 'unsure':
        return { kind: 'unsure' };
    }
  }

  /** Ends a batch at its owner, or in the store if the owner does not answer. Does not start the batch to end it. */
  async end(batchId: string): Promise<EndOutcome> {
    const location = await this._locate(batchId, false, false);
    const reply = await this._endAt(batchId, location);
    if (reply === 'ended' || reply === 'no-batch') return reply;
    const held = await this._readClaim(batchId);
    if (!held.ok) return 'unsure';
    if (!held.value) return 'no-batch';
    this._claims.set(batchId, held.value);
    return held.value.claim.isEnded ? 'ended' : this._endStored(batchId, held.value);
  }

  /** Ends a batch at a location. Returns `unsure` if the host there is no longer its owner. */
  private async _endAt(batchId: string, location: BatchLocation): Promise<EndOutcome> {
    switch (location.kind) {
      case 'here':
        return (await this._endOwned(location.owner)) === 'ended' ? 'ended' : 'unsure';
      case 'peer': {
        const { address } = location.held.claim.owner;
        const timeoutMs = STORE_TIMEOUT_MS + PEER_TIMEOUT_MS;
        const reply = await this._hosts.call(address, calls.batchEnd, { batchId }, timeoutMs);
        return reply.ok && reply.value.kind === 'ended' ? 'ended' : 'unsure';
      }
      case 'stored':
        return location.held.claim.isEnded ? 'ended' : 'unsure';
      case 'no-batch':
      case 'unsure':
        return location.kind;
    }
  }

  /** Stops all batches without handing them over. */
  stopAll(): void {
    for (const owner of this._owned.all()) owner.stop('process is terminating');
  }

  /** Hands every open batch over to another host. */
  async handOver(): Promise<void> {
    this._isShuttingDown = true;
    await Promise.all(this._owned.removeAll().map(owner => this._handOverBatch(owner)));
  }

  private async _handOverBatch(owner: BatchOwner): Promise<void> {
    this._claims.delete(owner.batchId);
    await this._handover.handOver(owner);
  }

  /** Takes over a batch whose owner's process has terminated. */
  async adoptFrom(batchId: string, from: Owner): Promise<void> {
    await this._adopt({ batchId, from, isGivenUp: false, unfinished: [] });
  }

  private async _adopt(request: BatchAdopt): Promise<{ readonly isAdopted: boolean }> {
    const { batchId, from, isGivenUp, unfinished } = request;
    if (this._isShuttingDown) return { isAdopted: false };
    const location = await this._replaceOwner(batchId, from, isGivenUp, unfinished);
    return { isAdopted: location.kind === 'here' };
  }

  /**
   * True if an owner whose host lease has expired answers that it runs the batch. An overloaded owner may renew its
   * lease too late; taking its batches over would overload the next host as well.
   */
  private async _isRunByOwner(batchId: string, owner: Owner): Promise<boolean> {
    const reply = await this._hosts.call(owner.address, calls.batchRuns, { batchId }, OWNER_PROBE_TIMEOUT_MS);
    const isRun = reply.ok && reply.value.isRun;
    if (isRun) this._context.log.info('batch is still run by its owner', { batchId, owner: owner.hostId });
    return isRun;
  }

  /** Starts an open batch that this process accepted but does not run, since the store's answer was lost. */
  private _resume(batchId: string, { claim }: HeldClaim): void {
    const isOwn = this._isSelf(claim.owner) && !claim.isEnded;
    if (isOwn && !this._owned.has(batchId)) void this._replaceOwner(batchId, claim.owner, true);
  }

  /** Runs a batch at this host, after loading the output that previous owners and steps have generated for it. */
  private async _startBatch(
    held: HeldClaim,
    stored: StoredBatch,
    unfinished: readonly ItemEvents[],
  ): Promise<BatchOwner> {
    const owner = this._createOwner(held, stored);
    const { id } = stored.batch;
    const [before, recorded] = await Promise.all([
      this._priorProgress.fromPreviousSteps(stored.batch, owner.isSingleVersion()),
      this._priorProgress.fromPreviousOwners(id, held),
    ]);
    owner.ledger.applyCarryOver(before);
    owner.ledger.resume([...(recorded ?? []), ...unfinished]);
    if (recorded) owner.storedOutputLoaded();
    this._context.log.info('batch started', {
      batchId: id,
      claimRevision: held.revision,
      claimAgeMs: Math.round(this._context.clock.nowMs() - held.requestedAtMs),
      takeovers: held.claim.takeovers,
      listed: stored.results.length,
      unfinished: owner.ledger.unfinished().length,
    });
    owner.start();
    this._claims.announce(id, held);
    this._ports.demand.batchStarted(owner.ledger, held.claim.takeovers);
    this._context.clock.after(PACE_UPDATE_DELAY_MS, () => this._paceUpdates.send());
    // A takeover may complete while this host shuts down: hand the batch over at once.
    if (this._isShuttingDown && this._owned.delete(id)) void this._handOverBatch(owner);
    return owner;
  }

  private _createOwner(held: HeldClaim, stored: StoredBatch): BatchOwner {
    const { id } = stored.batch;
    const sizeBytes = batchSizeBytes(stored.batch);
    this._owned.evictEnded(() => this._memory.isFull(this._owned.sizeBytes() + sizeBytes));
    // An earlier owner object of this batch in this process has lost the claim, perhaps without noticing. It would
    // otherwise continue and run each item a second time.
    this._owned.get(id)?.claimLost();
    const owner = new BatchOwner(this._context, this._ports, held, stored, () => this._release(owner));
    this._owned.add(owner);
    return owner;
  }

  /** Removes an owner that has lost its batch, unless a newer owner in this process has replaced it. */
  private _release(owner: BatchOwner): void {
    const { batchId } = owner;
    if (this._owned.get(batchId) !== owner) return;
    this._owned.delete(batchId);
    this._claims.delete(batchId);
  }

  /** Calls a batch's owner, locally or at a peer. Takes the batch over if its owner has terminated. */
  private async _atOwner<A extends { readonly kind: string }>(
    batchId: string,
    local: (owner: BatchOwner) => Promise<A> | A,
    remote: (address: string) => Promise<Result<A, unknown>>,
  ): Promise<A | Exclude<BatchLocation, { readonly kind: 'here' | 'peer' }>> {
    for (let tries = 0; tries < 3; tries++) {
      const location = await this._locate(batchId, tries > 0);
      if (location.kind === 'here') {
        const reply = await local(location.owner);
        if (reply.kind !== 'not-owner') return reply;
        continue;
      }
      if (location.kind !== 'peer') return location;
      const { owner } = location.held.claim;
      const reply = await this._callOwner(owner, remote);
      // An owner that can't reach the store may have lost its host lease.
      const mayBeTerminated = reply.ok && reply.value.kind === 'unsure' && !this._hosts.isAlive(owner);
      if (reply.ok && reply.value.kind !== 'not-owner' && !mayBeTerminated) return reply.value;
      this._claims.delete(batchId);
      const isDenied = reply.ok && reply.value.kind === 'not-owner';
      const next = await this._replaceOwner(batchId, owner, isDenied);
      if (next.kind !== 'here' && next.kind !== 'peer') return next;
    }
    return { kind: 'unsure' };
  }

  /** Calls the owner. Fails early if its process is found to have terminated. */
  private async _callOwner<A>(
    owner: Owner,
    call: (address: string) => Promise<Result<A, unknown>>,
  ): Promise<Result<A, unknown>> {
    let cancel = (): void => undefined;
    const terminated = new Promise<Result<A, unknown>>(resolve => {
      cancel = this._hosts.onTerminated(owner, () => resolve(err('gone')));
    });
    const reply = await Promise.race([terminated, call(owner.address)]);
    cancel();
    return reply;
  }

  /** `mayTakeOver`: whether to start a batch that this process owns according to its claim, but does not run. */
  private async _locate(batchId: string, isRetry: boolean, mayTakeOver = true): Promise<BatchLocation> {
    await this._submissions.submissionSettled(batchId);
    const owner = await this._localOwner(batchId);
    if (owner) return { kind: 'here', owner };
    const cached = this._claims.get(batchId);
    if (cached && !isRetry) return toLocation(cached);
    const held = await this._readClaim(batchId);
    if (!held.ok) return cached ? toLocation(cached) : { kind: 'unsure' };
    if (!held.value) return { kind: 'no-batch' };
    this._claims.set(batchId, held.value);
    const { owner: claimOwner } = held.value.claim;
    if (!this._isSelf(claimOwner)) return toLocation(held.value);
    return mayTakeOver ? this._replaceOwner(batchId, claimOwner, true) : { kind: 'stored', held: held.value };
  }

  /**
   * Takes over a batch whose owner has terminated. `isDenied`: the owner answered that it does not run the batch.
   * An owner that is only unreachable from this host and has a valid lease keeps the batch.
   */
  private async _replaceOwner(
    batchId: string,
    owner: Owner,
    isDenied: boolean,
    unfinished: readonly ItemEvents[] = [],
  ): Promise<BatchLocation> {
    const running = this._takeovers.get(batchId) ?? this._takeOver(batchId, owner, isDenied, unfinished);
    this._takeovers.set(batchId, running);
    const location = await running;
    this._takeovers.delete(batchId);
    return location;
  }

  private async _takeOver(
    batchId: string,
    from: Owner,
    isDenied: boolean,
    unfinished: readonly ItemEvents[],
  ): Promise<BatchLocation> {
    const { store } = this._ports;
    const held = await this._readClaim(batchId);
    if (!held.ok) return { kind: 'unsure' };
    if (!held.value) return { kind: 'no-batch' };
    const { claim } = held.value;
    if (claim.isEnded) return { kind: 'stored', held: held.value };
    const isSame = claim.owner.hostId === from.hostId && claim.owner.incarnation === from.incarnation;
    if (!isSame) return this._cacheAndLocate(batchId, held.value);
    if (this._isShuttingDown) return { kind: 'unsure' };
    const isTerminated = isDenied || (this._hosts.isSynced() && !this._hosts.isAlive(claim.owner));
    if (!isTerminated) return { kind: 'stored', held: held.value };
    if (!isDenied && (await this._isRunByOwner(batchId, from))) return { kind: 'stored', held: held.value };
    if (!this._memory.mayAdopt(claim.parts * MAX_RECORD_UNITS)) {
      this._context.log.warn('batch not taken over: no memory', { batchId, from: from.hostId });
      return { kind: 'unsure' };
    }
    const change = { owner: this._hosts.self(), takeovers: claim.takeovers + 1 };
    const done = await store.changeClaim(batchId, held.value, change, this._storeDeadline());
    this._logTakeover(batchId, from, isDenied, done.kind);
    if (done.kind === 'out-of-reach') return { kind: 'unsure' };
    if (done.kind === 'lost') return { kind: 'unsure' };
    const stored = await store.load(batchId, this._storeDeadline());
    if (!stored.ok) {
      this._context.log.error('loading the batch from the store failed', {
        batchId,
        error: stored.error.kind,
      });
      return { kind: 'unsure' };
    }
    return { kind: 'here', owner: await this._startBatch(done.value, stored.value, unfinished) };
  }

  /** Reads a claim. Fails if the batch may have been accepted since the store was asked for it. */
  private async _readClaim(batchId: string): Promise<Result<HeldClaim | undefined, unknown>> {
    const { clock } = this._context;
    const askedMs = clock.nowMs();
    const held = await this._ports.store.readClaim(batchId, this._storeDeadline());
    const isOutdated = held.ok && !held.value && clock.nowMs() - askedMs > MAX_ABSENCE_AGE_MS;
    return isOutdated ? err('outdated') : held;
  }

  private _cacheAndLocate(batchId: string, held: HeldClaim): BatchLocation {
    this._claims.set(batchId, held);
    return toLocation(held);
  }

  private _logTakeover(batchId: string, from: Owner, isDenied: boolean, outcome: string): void {
    if (outcome === 'done') this._context.metrics.takeovers.inc();
    this._context.log.info('batch takeover', {
      batchId,
      outcome,
      from: from.hostId,
      fromIncarnation: from.incarnation,
      reason: isDenied ? 'the owner does not run it' : 'the owner has terminated',
    });
  }

  private async _endStored(batchId: string, held: HeldClaim): Promise<EndOutcome> {
    const done = await this._ports.store.changeClaim(batchId, held, { isEnded: true }, this._storeDeadline());
    if (done.kind !== 'done') return 'unsure';
    this._claims.set(batchId, done.value);
    return 'ended';
  }

  private async _readLocally(request: {
    readonly batchId: string;
    readonly after: number;
    readonly waitMs: number;
  }): Promise<BatchReadReply> {
    const owner = await this._localOwner(request.batchId);
    return owner ? owner.read(request.after, request.waitMs) : { kind: 'not-owner' };
  }

  private async _itemLocally(request: {
    readonly batchId: string;
    readonly itemId: string;
  }): Promise<BatchItemReply> {
    const owner = await this._localOwner(request.batchId);
    return owner ? itemReply(owner.ledger.batch, request.itemId) : { kind: 'not-owner' };
  }

  private async _endLocally(batchId: string): Promise<BatchEndReply> {
    const owner = await this._localOwner(batchId);
    return owner ? endReply(await this._endOwned(owner)) : { kind: 'not-owner' };
  }

  private async _endOwned(owner: BatchOwner): ReturnType<BatchOwner['end']> {
    const end = await owner.end();
    if (end === 'ended') this._ports.demand.batchEnded(owner.ledger);
    return end;
  }

  /**
   * Returns the owner if this host runs the batch. Waits for a pending takeover or acceptance: a host that answered
   * `not-owner` while it still loads the batch from a slow store would lose it to the next host.
   */
  private async _localOwner(batchId: string): Promise<BatchOwner | undefined> {
    await (this._takeovers.get(batchId) ?? this._submissions.acceptanceSettled(batchId));
    return this._owned.get(batchId);
  }

  private _isSelf(owner: Owner): boolean {
    const { hostId, incarnation } = this._context;
    return owner.hostId === hostId && owner.incarnation === incarnation;
  }

  private _storeDeadline(): Deadline {
    return Deadline.after(this._context.clock, STORE_TIMEOUT_MS);
  }
}

function toLocation(held: HeldClaim): BatchLocation {
  return held.claim.isEnded ? { kind: 'stored', held } : { kind: 'peer', held };
}

function itemReply(batch: Batch, itemId: string): BatchItemReply {
  const item = batch.items.find(candidate => candidate.id === itemId);
  return item ? { kind: 'body', bodyBase64: item.bodyBase64 } : { kind: 'no-item' };
}

function endReply(end: Awaited<ReturnType<BatchOwner['end']>>): BatchEndReply {
  if (end === 'ended') return { kind: 'ended' };
  return end === 'lost' ? { kind: 'not-owner' } : { kind: 'unsure' };
}
