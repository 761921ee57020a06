/**
 * Batches at this host: acceptance, reading, bodies, ends, for batches that it owns and for all others.
 *
 * Any host takes any call. The claim in the store says who owns a batch; the owner is asked, and if it is gone
 * this host takes the batch over and goes on with it. So what drives a takeover is the trainer that reads.
 */
import { Deadline, err, type Result } from '@fuchsiahitch/base';
import type {
  Batch,
  BatchAdopt,
  BatchEndReply,
  BatchItemReply,
  BatchReadReply,
  ClaimNews,
  ItemEvents,
  Owner,
} from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { EndOutcome, ItemOutcome, ReadOutcome, SubmitOutcome } from './batchOutcomes.js';
import { BatchOwner, type BatchPorts } from './batchOwner.js';
import type { HeldClaim, StoredBatch } from './batchStore.js';
import { PriorProgress } from './priorProgress.js';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';
import { PaceUpdates } from './paceUpdates.js';
import { StoredBatchReader } from './storedBatchReader.js';

/** Where a batch stands, as far as this host could learn. */
type BatchLocation =
  | { readonly kind: 'here'; readonly owner: BatchOwner }
  | { readonly kind: 'peer'; readonly held: HeldClaim }
  | { readonly kind: 'stored'; readonly held: HeldClaim }
  | { readonly kind: 'no-batch' }
  | { readonly kind: 'unsure' };

const STORE_TIMEOUT_MS = 1000;
/** A peer that does not answer a call, beyond the time that the call itself waits. */
const PEER_TIMEOUT_MS = 700;
/**
 * A process whose lease has ended is asked once more, for so long: a lease may also be revoked, and a living owner keeps
 * its batch. Without this a reader waits for a dead owner as long as it would for a result: 1.7 s.
 */
const OWNER_PROBE_TIMEOUT_MS = 300;
/** Taking a batch over is two calls to the store and one read of it. */
const ADOPT_TIMEOUT_MS = 1500;
const MAX_SUCCESSORS = 3;
/** So long after it began to run a batch, a host knows how quick its endpoints are. */
const PACE_UPDATE_DELAY_MS = 2000;
/** A refused batch may come back after this: an outage of the store lasts seconds. */
const RETRY_AFTER_MS = 1000;
/** Ended batches that are kept in memory for their readers; the rest is read from the store. */
const MAX_ENDED_IN_MEMORY = 4;
/** Claims that are remembered: some hundred bytes each. */
const MAX_CACHED_CLAIMS = 2000;

export class BatchService {
  private readonly _context: GatewayContext;
  private readonly _ports: BatchPorts;
  private readonly _hosts: Hosts;
  private readonly _priorProgress: PriorProgress;
  private readonly _owned = new Map<string, BatchOwner>();
  private readonly _submits = new Map<string, Promise<SubmitOutcome>>();
  private readonly _takeovers = new Map<string, Promise<BatchLocation>>();
  /** Claims as last read: where to ask first. The owner itself says if it is one no more. */
  private readonly _claims = new Map<string, HeldClaim>();
  private readonly _storedBatches: StoredBatchReader;
  private readonly _paceUpdates: PaceUpdates;
  private _isShuttingDown = false;

  constructor(context: GatewayContext, ports: BatchPorts, hosts: Hosts) {
    this._context = context;
    this._ports = ports;
    this._hosts = hosts;
    this._paceUpdates = new PaceUpdates(ports.endpoints, hosts);
    this._priorProgress = new PriorProgress(context, ports.store);
    const isEnded = (batchId: string): boolean => this._claims.get(batchId)?.claim.isEnded ?? false;
    this._storedBatches = new StoredBatchReader(context, ports.store, isEnded);
  }

  serve(server: CallRegistry): void {
    server.handle(calls.batchRead, request => this._readLocally(request));
    server.handle(calls.batchItem, request => this._itemLocally(request));
    server.handle(calls.batchAdopt, request => this._adopt(request));
    server.handle(calls.batchRuns, ({ batchId }) => ({
      isRun: this._owned.get(batchId)?.maySend() ?? false,
    }));
    this._paceUpdates.serve(server);
    server.handle(calls.batchClaimed, news => this._receiveClaim(news));
    server.handle(calls.batchEnd, request => this._endLocally(request.batchId));
  }

  /** Batches that this host runs. */
  ownedCount(): number {
    return this._owned.size;
  }

  /** Items that run or wait at this host. */
  openItems(): number {
    let count = 0;
    for (const owner of this._owned.values())
      if (!owner.isEnded()) count += owner.ledger.total() - owner.ledger.listed().length;
    return count;
  }

  /** Accepts a batch once, however often and wherever it is submitted. */
  async submit(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    if (this._owned.has(batch.id)) return { kind: 'accepted' };
    const running = this._submits.get(batch.id) ?? this._accept(batch, deadline);
    this._submits.set(batch.id, running);
    const outcome = await running;
    this._submits.delete(batch.id);
    return outcome;
  }

  async read(batchId: string, after: number, waitMs: number): Promise<ReadOutcome> {
    const deadline = Deadline.after(this._context.clock, waitMs);
    const request = { batchId, after, waitMs };
    const reply = await this._atOwner<BatchReadReply>(
      batchId,
      owner => owner.read(after, deadline.leftMs()),
      address => this._hosts.call(address, calls.batchRead, request, waitMs + PEER_TIMEOUT_MS),
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

  async item(batchId: string, itemId: string): Promise<ItemOutcome> {
    const request = { batchId, itemId };
    const reply = await this._atOwner<BatchItemReply>(
      batchId,
      owner => itemOf(owner.ledger.batch, itemId),
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

  /** Ends a batch at its owner, or in the store where its owner does not answer: a batch is not begun in order to end it. */
  async end(batchId: string): Promise<EndOutcome> {
    const located = await this._locate(batchId, false, false);
    const reply = await this._endAt(batchId, located);
    if (reply === 'ended' || reply === 'no-batch') return reply;
    const held = await this._ports.store.readClaim(batchId, this._storeDeadline());
    if (!held.ok) return 'unsure';
    if (!held.value) return 'no-batch';
    this._cacheClaim(batchId, held.value);
    return held.value.claim.isEnded ? 'ended' : this._endStored(batchId, held.value);
  }

  /** Ends a batch where it was found. `unsure` also where that is no longer its owner. */
  private async _endAt(batchId: string, located: BatchLocation): Promise<EndOutcome> {
    switch (located.kind) {
      case 'here':
        return (await located.owner.end()) === 'ended' ? 'ended' : 'unsure';
      case 'peer': {
        const { address } = located.held.claim.owner;
        const timeoutMs = STORE_TIMEOUT_MS + PEER_TIMEOUT_MS;
        const reply = await this._hosts.call(address, calls.batchEnd, { batchId }, timeoutMs);
        return reply.ok && reply.value.kind === 'ended' ? 'ended' : 'unsure';
      }
      case 'stored':
        return located.held.claim.isEnded ? 'ended' : 'unsure';
      case 'no-batch':
      case 'unsure':
        return located.kind;
    }
  }

  /** Stops every run where it is, as the end of the process does. */
  stopAll(): void {
    for (const owner of this._owned.values()) owner.stop('this process ends');
  }

  /**
   * Gives every open batch to another host. A batch that merely stops here would stand still until its trainer
   * happens to read it at another host, and what runs would be generated anew.
   */
  async handOver(): Promise<void> {
    this._isShuttingDown = true;
    const owners = [...this._owned.values()];
    this._owned.clear();
    await Promise.all(owners.map(owner => this._handOver(owner)));
  }

  private async _handOver(owner: BatchOwner): Promise<void> {
    owner.stop('this host shuts down');
    const { batchId } = owner;
    this._claims.delete(batchId);
    if (owner.isEnded()) return;
    const from = this._hosts.self();
    const unfinished = owner.ledger.unfinished();
    for (const peer of this._successors()) {
      const request = { batchId, from, isGivenUp: true, unfinished };
      const reply = await this._hosts.call(peer.address, calls.batchAdopt, request, ADOPT_TIMEOUT_MS);
      const isAdopted = reply.ok && reply.value.isAdopted;
      this._context.log.info('batch handed over', { batchId, to: peer.hostId, isAdopted });
      if (isAdopted) return;
    }
  }

  /** Hosts that are asked to take a batch: a few, drawn at random, so that one does not get all. */
  private _successors(): readonly Owner[] {
    const peers = [...this._hosts.peers()];
    const successors: Owner[] = [];
    while (peers.length > 0 && successors.length < MAX_SUCCESSORS)
      successors.push(...peers.splice(this._context.random.below(peers.length), 1));
    return successors;
  }

  /** Takes over a batch whose owner's process was seen to be gone. */
  async adoptFrom(batchId: string, from: Owner): Promise<void> {
    await this._adopt({ batchId, from, isGivenUp: false, unfinished: [] });
  }

  private async _adopt(request: BatchAdopt): Promise<{ readonly isAdopted: boolean }> {
    const { batchId, from, isGivenUp, unfinished } = request;
    if (this._isShuttingDown) return { isAdopted: false };
    const located = await this._replaceOwner(batchId, from, isGivenUp, unfinished);
    return { isAdopted: located.kind === 'here' };
  }

  /**
   * True if the owner, whose lease has ended, answers that it runs the batch. What goes wrong without the question: an owner
   * that is short of processor time renews its lease too late and loses its batch, the next one gets short of processor
   * time by taking it, and so on; one sees a batch with a `batch takeover` every two seconds.
   */
  private async _isRunByOwner(batchId: string, owner: Owner): Promise<boolean> {
    const reply = await this._hosts.call(owner.address, calls.batchRuns, { batchId }, OWNER_PROBE_TIMEOUT_MS);
    const isRun = reply.ok && reply.value.isRun;
    if (isRun) this._context.log.info('batch left to its owner', { batchId, owner: owner.hostId });
    return isRun;
  }

  private async _accept(batch: Batch, deadline: Deadline): Promise<SubmitOutcome> {
    const startedMs = this._context.clock.nowMs();
    const outcome = await this._ports.store.accept(batch, this._hosts.self(), deadline);
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
        void this._startBatch(outcome.held, { batch, results: [] }, []);
        return { kind: 'accepted' };
      case 'known':
        this._cacheClaim(batch.id, outcome.held);
        this._resume(batch.id, outcome.held);
        return { kind: 'accepted' };
      case 'not-done':
        return { kind: 'not-run', reason: 'the store is out of reach', retryAfterMs: RETRY_AFTER_MS };
      case 'too-large':
        return { kind: 'not-run', reason: 'the batch is too large to keep', retryAfterMs: RETRY_AFTER_MS };
      case 'unknown':
        return { kind: 'unknown' };
    }
  }

  /** Takes up an open batch that this process has accepted and does not run: an acceptance whose answer was lost. */
  private _resume(batchId: string, { claim }: HeldClaim): void {
    const isOwn = this._isSelf(claim.owner) && !claim.isEnded;
    if (isOwn && !this._owned.has(batchId)) void this._replaceOwner(batchId, claim.owner, true);
  }

  /** Runs a batch here. What was generated of its items before is read first: it is a few calls to the store. */
  private async _startBatch(
    held: HeldClaim,
    stored: StoredBatch,
    unfinished: readonly ItemEvents[],
  ): Promise<BatchOwner> {
    const owner = this._createOwner(held, stored);
    const { id } = stored.batch;
    const [before, kept] = await Promise.all([
      this._priorProgress.fromPreviousSteps(stored.batch, owner.isSingleVersion()),
      this._priorProgress.fromPreviousOwners(id, held),
    ]);
    owner.ledger.carry(before);
    owner.ledger.resume([...kept, ...unfinished]);
    this._context.log.info('batch begun', {
      batchId: id,
      claimRevision: held.revision,
      claimAgeMs: Math.round(this._context.clock.nowMs() - held.requestedAtMs),
      takeovers: held.claim.takeovers,
      listed: stored.results.length,
      unfinished: owner.ledger.unfinished().length,
    });
    owner.start();
    this._announceClaim(id, held);
    this._context.clock.after(PACE_UPDATE_DELAY_MS, () => this._paceUpdates.send());
    // A host that shuts down still takes what arrives, and passes it on at once.
    if (this._isShuttingDown && this._owned.delete(id)) void this._handOver(owner);
    return owner;
  }

  /**
   * Tells the other hosts who runs the batch: readers come to any of them, and each would read the claim from the store. It is
   * a hint like any claim that was read before; a host that is not told reads it.
   */
  private _announceClaim(batchId: string, { claim, revision }: HeldClaim): void {
    for (const { address } of this._hosts.peers())
      void this._hosts.call(address, calls.batchClaimed, { batchId, claim, revision }, PEER_TIMEOUT_MS);
  }

  private _receiveClaim({ batchId, claim, revision }: ClaimNews): Readonly<Record<string, never>> {
    const known = this._claims.get(batchId);
    // The teller asked the store before it told, and nobody here knows when.
    if (!known || known.revision < revision)
      this._cacheClaim(batchId, { claim, revision, requestedAtMs: -Infinity });
    return {};
  }

  private _createOwner(held: HeldClaim, stored: StoredBatch): BatchOwner {
    const { id } = stored.batch;
    this._evictEnded();
    // Whoever ran the batch in this process before has lost it, though it may not have heard: it would run each item a
    // second time, unseen.
    this._owned.get(id)?.claimLost();
    const owner = new BatchOwner(this._context, this._ports, held, stored, () => this._release(owner));
    this._owned.set(id, owner);
    return owner;
  }

  /** A batch that is lost is no longer listed as this host's, unless another owner of this process runs it by now. */
  private _release(owner: BatchOwner): void {
    const { batchId } = owner;
    if (this._owned.get(batchId) !== owner) return;
    this._owned.delete(batchId);
    this._claims.delete(batchId);
  }

  /** Ended batches can be read from the store: only the newest are kept in memory. */
  private _evictEnded(): void {
    const ended = [...this._owned].filter(([, owner]) => owner.isEnded());
    for (const [id] of ended.slice(0, Math.max(0, ended.length - MAX_ENDED_IN_MEMORY)))
      this._owned.delete(id);
  }

  /** Does something at the owner of a batch, wherever that is; takes the batch over if its owner is gone. */
  private async _atOwner<A extends { readonly kind: string }>(
    batchId: string,
    here: (owner: BatchOwner) => Promise<A> | A,
    there: (address: string) => Promise<Result<A, unknown>>,
  ): Promise<A | Exclude<BatchLocation, { readonly kind: 'here' | 'peer' }>> {
    for (let tries = 0; tries < 3; tries++) {
      const located = await this._locate(batchId, tries > 0);
      if (located.kind === 'here') {
        const reply = await here(located.owner);
        if (reply.kind !== 'not-owner') return reply;
        continue;
      }
      if (located.kind !== 'peer') return located;
      const { owner } = located.held.claim;
      const reply = await this._callOwner(owner, there);
      // An owner that is unsure may have lost its lease while it could not reach the store.
      const isOpen = reply.ok && reply.value.kind === 'unsure' && !this._hosts.isAlive(owner);
      if (reply.ok && reply.value.kind !== 'not-owner' && !isOpen) return reply.value;
      this._claims.delete(batchId);
      const deniedIt = reply.ok && reply.value.kind === 'not-owner';
      const next = await this._replaceOwner(batchId, owner, deniedIt);
      if (next.kind !== 'here' && next.kind !== 'peer') return next;
    }
    return { kind: 'unsure' };
  }

  /** Asks the owner; as soon as its process is seen to be gone, its answer is not waited for. */
  private async _callOwner<A>(
    owner: Owner,
    ask: (address: string) => Promise<Result<A, unknown>>,
  ): Promise<Result<A, unknown>> {
    let cancel = (): void => undefined;
    const gone = new Promise<Result<A, unknown>>(resolve => {
      cancel = this._hosts.onGone(owner, () => resolve(err('gone')));
    });
    const reply = await Promise.race([gone, ask(owner.address)]);
    cancel();
    return reply;
  }

  /** `mayTakeOver`: whether a batch that this process owns by its claim, and does not run, is taken up. */
  private async _locate(batchId: string, isAgain: boolean, mayTakeOver = true): Promise<BatchLocation> {
    const owner = await this._localOwner(batchId);
    if (owner) return { kind: 'here', owner };
    const known = this._claims.get(batchId);
    if (known && !isAgain) return toLocation(known);
    const held = await this._ports.store.readClaim(batchId, this._storeDeadline());
    if (!held.ok) return known ? toLocation(known) : { kind: 'unsure' };
    if (!held.value) return { kind: 'no-batch' };
    this._cacheClaim(batchId, held.value);
    const { owner: named } = held.value.claim;
    if (!this._isSelf(named)) return toLocation(held.value);
    return mayTakeOver ? this._replaceOwner(batchId, named, true) : { kind: 'stored', held: held.value };
  }

  /**
   * Takes over a batch whose owner is gone. `deniedIt`: the process itself said that it does not run the batch.
   * An owner that merely can't be reached from here, and whose lease stands, keeps the batch.
   */
  private async _replaceOwner(
    batchId: string,
    owner: Owner,
    deniedIt: boolean,
    unfinished: readonly ItemEvents[] = [],
  ): Promise<BatchLocation> {
    const running = this._takeovers.get(batchId) ?? this._takeOver(batchId, owner, deniedIt, unfinished);
    this._takeovers.set(batchId, running);
    const located = await running;
    this._takeovers.delete(batchId);
    return located;
  }

  private async _takeOver(
    batchId: string,
    from: Owner,
    deniedIt: boolean,
    unfinished: readonly ItemEvents[],
  ): Promise<BatchLocation> {
    const { store } = this._ports;
    const held = await store.readClaim(batchId, this._storeDeadline());
    if (!held.ok) return { kind: 'unsure' };
    if (!held.value) return { kind: 'no-batch' };
    const { claim } = held.value;
    if (claim.isEnded) return { kind: 'stored', held: held.value };
    const isSame = claim.owner.hostId === from.hostId && claim.owner.incarnation === from.incarnation;
    if (!isSame) return this._cacheAndLocate(batchId, held.value);
    if (this._isShuttingDown) return { kind: 'unsure' };
    const isGone = deniedIt || (this._hosts.isSynced() && !this._hosts.isAlive(claim.owner));
    if (!isGone) return { kind: 'stored', held: held.value };
    if (!deniedIt && (await this._isRunByOwner(batchId, from))) return { kind: 'stored', held: held.value };
    const change = { owner: this._hosts.self(), takeovers: claim.takeovers + 1 };
    const done = await store.changeClaim(batchId, held.value, change, this._storeDeadline());
    this._logTakeover(batchId, from, deniedIt, done.kind);
    if (done.kind === 'out-of-reach') return { kind: 'unsure' };
    if (done.kind === 'lost') return { kind: 'unsure' };
    const stored = await store.load(batchId, this._storeDeadline());
    if (!stored.ok) {
      this._context.log.error('batch could not be loaded', { batchId, error: stored.error.kind });
      return { kind: 'unsure' };
    }
    return { kind: 'here', owner: await this._startBatch(done.value, stored.value, unfinished) };
  }

  private _cacheAndLocate(batchId: string, held: HeldClaim): BatchLocation {
    this._cacheClaim(batchId, held);
    return toLocation(held);
  }

  private _logTakeover(batchId: string, from: Owner, deniedIt: boolean, outcome: string): void {
    if (outcome === 'done') this._context.metrics.takeovers.inc();
    this._context.log.info('batch takeover', {
      batchId,
      outcome,
      from: from.hostId,
      fromIncarnation: from.incarnation,
      reason: deniedIt ? 'its owner does not run it' : 'its owner is gone',
    });
  }

  private async _endStored(batchId: string, held: HeldClaim): Promise<EndOutcome> {
    const done = await this._ports.store.changeClaim(batchId, held, { isEnded: true }, this._storeDeadline());
    if (done.kind !== 'done') return 'unsure';
    this._cacheClaim(batchId, done.value);
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
    return owner ? itemOf(owner.ledger.batch, request.itemId) : { kind: 'not-owner' };
  }

  private async _endLocally(batchId: string): Promise<BatchEndReply> {
    const owner = await this._localOwner(batchId);
    return owner ? endReply(await owner.end()) : { kind: 'not-owner' };
  }

  /**
   * The batch, if this host runs it, or is about to. What goes wrong without the wait: the claim names this host, but
   * the batch is still being read from a slow store; asked meanwhile, this host denies it, and whoever asked takes
   * it over, and so on from host to host. One sees many `batch takeover` lines of one batch in a row.
   */
  private async _localOwner(batchId: string): Promise<BatchOwner | undefined> {
    await (this._takeovers.get(batchId) ?? this._submits.get(batchId));
    return this._owned.get(batchId);
  }

  private _cacheClaim(batchId: string, held: HeldClaim): void {
    this._claims.delete(batchId);
    this._claims.set(batchId, held);
    const [oldest] = this._claims.keys();
    if (this._claims.size > MAX_CACHED_CLAIMS && oldest !== undefined) this._claims.delete(oldest);
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

function itemOf(batch: Batch, itemId: string): BatchItemReply {
  const item = batch.items.find(candidate => candidate.id === itemId);
  return item ? { kind: 'body', bodyBase64: item.bodyBase64 } : { kind: 'no-item' };
}

function endReply(end: Awaited<ReturnType<BatchOwner['end']>>): BatchEndReply {
  if (end === 'ended') return { kind: 'ended' };
  return end === 'lost' ? { kind: 'not-owner' } : { kind: 'unsure' };
}
