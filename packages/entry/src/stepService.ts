/**
 * Routes trainers' calls to the owner of a step, and owns the steps assigned to this host.
 */
import { every, rendezvous } from '@fuchsiahitch/base';
import { calls, type CallDefinition } from '@fuchsiahitch/protocol';
import { holderId, homeDomain, splitHolder } from '@fuchsiahitch/requests';
import {
  stepKey,
  StepOwner,
  takeOver,
  type OpenReply,
  type Sample,
  type StepOffer,
  type StepSpec,
  type StepStore,
  type StoredStep,
  type TakeReply,
  type TakeRequest,
} from '@fuchsiahitch/steps';
import type { HostContext } from './hostContext.js';
import type { MembershipService } from './membershipService.js';
import type { CallRegistry, PeerCaller } from './hostPorts.js';
import type { RolloutService } from './rolloutService.js';
import { fetchSamples } from './fetchSamples.js';

const CALL_TIMEOUT_MS = 10_000;
const OFFER_TIMEOUT_MS = 2000;
const OFFER_PERIOD_MS = 1000;
/** Unchanged offers are repeated after this many rounds, for hosts that have joined since. */
const OFFER_REPEAT_ROUNDS = 5;
/** A call is relayed at most twice: to a host of the step's home domain, then to the owner. */
const MAX_HOPS = 2;
const RETRY_AFTER_MS = 500;
const DEFAULT_HEDGE_SHARE = 0.05;
const DEFAULT_SHARE = 0.5;
/** Closed steps are retained for this time, to answer late calls without reading the store. */
const CLOSED_RETENTION_MS = 60_000;

const NO_PROGRESS = { open: 0, assigned: 0, ready: 0, sealed: 0, delivered: 0, failed: 0 };
const OWNER_MOVING: TakeReply = {
  kind: 'wait',
  reason: 'owner-moving',
  retryAfterMs: RETRY_AFTER_MS,
  progress: NO_PROGRESS,
};
const STORE_UNAVAILABLE: TakeReply = { ...OWNER_MOVING, reason: 'store-unavailable' };

interface OwnedStep {
  readonly owner: StepOwner;
  lastOfferState: string;
  closedMs: number | undefined;
}

/** Where the owner of a step is: `local` is this host, `moving` is between two owners or unreachable. */
type StepLocation =
  | { readonly kind: 'local'; readonly step: OwnedStep }
  | { readonly kind: 'remote'; readonly address: string }
  | { readonly kind: 'none' }
  | { readonly kind: 'moving' }
  | { readonly kind: 'store-unavailable' };

export class StepService {
  private readonly _context: HostContext;
  private readonly _membership: MembershipService;
  private readonly _peers: PeerCaller;
  private readonly _store: StepStore;
  private readonly _rollouts: RolloutService;
  private readonly _owned = new Map<string, OwnedStep>();
  private readonly _takeovers = new Map<string, Promise<StepLocation>>();
  private _round = 0;

  constructor(
    context: HostContext,
    membership: MembershipService,
    peers: PeerCaller,
    store: StepStore,
    rollouts: RolloutService,
  ) {
    this._context = context;
    this._membership = membership;
    this._peers = peers;
    this._store = store;
    this._rollouts = rollouts;
  }

  register(server: CallRegistry): void {
    server.handle(calls.stepOpen, ({ hops, request }) => this.open(request, hops));
    server.handle(calls.stepTake, ({ hops, request }) => this.take(request, hops));
    server.handle(calls.stepAbandon, ({ hops, request }) => this.abandon(request.key, hops));
    server.handle(calls.stepProgress, ({ hops, request }) => this.progress(request.key, hops));
    server.handle(calls.stepOffer, offer => this._onOffer(offer));
    server.handle(calls.workPull, ({ key, worker, count }) => {
      const step = this._owned.get(key);
      const batch = step?.owner.assign(worker, count) ?? { batch: 0, assignments: [] };
      return { known: step !== undefined, ...batch };
    });
    server.handle(calls.workAlive, ({ key, batches }) => {
      this._owned.get(key)?.owner.ledger.renew(batches);
      return {};
    });
    server.handle(calls.sampleDone, ({ key, worker, sample }) => ({
      verdict: this._onSampleDone(key, worker, sample),
    }));
    server.handle(calls.sampleFailed, ({ key, sampleId, isOwnFault, endedEngine }) => {
      const ledger = this._owned.get(key)?.owner.ledger;
      if (endedEngine === undefined) ledger?.sampleFailed(sampleId, isOwnFault);
      else ledger?.engineTerminated(sampleId, endedEngine);
      return {};
    });
  }

  start(): void {
    every(this._context.clock, OFFER_PERIOD_MS, this._context.stopped, () => this._tick());
  }

  ownedCount(): number {
    return this._owned.size;
  }

  owned(): readonly StepOwner[] {
    return [...this._owned.values()].map(step => step.owner);
  }

  async open(spec: StepSpec, hops = 0): Promise<OpenReply> {
    const key = stepKey(spec.trainer, spec.step);
    const location = await this._locate(key);
    switch (location.kind) {
      case 'local':
        return openedReply(location.step.owner, spec);
      case 'none':
        return this._create(key, spec);
      case 'remote':
        return (await this._relay(location.address, calls.stepOpen, spec, hops)) ?? tryLater('owner-moving');
      case 'moving':
        return tryLater('owner-moving');
      case 'store-unavailable':
        return tryLater('store-unavailable');
    }
  }

  async take(request: TakeRequest, hops = 0): Promise<TakeReply> {
    const location = await this._locate(request.key);
    switch (location.kind) {
      case 'local':
        return this._takeLocally(location.step, request);
      case 'none':
        return { kind: 'unknown-step' };
      case 'remote':
        return (await this._relay(location.address, calls.stepTake, request, hops)) ?? OWNER_MOVING;
      case 'moving':
        return OWNER_MOVING;
      case 'store-unavailable':
        return STORE_UNAVAILABLE;
    }
  }

  async abandon(key: string, hops = 0): Promise<{ readonly abandoned: boolean }> {
    const location = await this._locate(key);
    if (location.kind === 'remote') {
      return (await this._relay(location.address, calls.stepAbandon, { key }, hops)) ?? { abandoned: false };
    }
    return { abandoned: location.kind === 'local' && (await location.step.owner.abandon()) };
  }

  async progress(key: string, hops = 0): Promise<StepProgress> {
    const unknown = { known: false, progress: NO_PROGRESS, hedges: 0, duplicates: 0 };
    const location = await this._locate(key);
    if (location.kind === 'remote')
      return (await this._relay(location.address, calls.stepProgress, { key }, hops)) ?? unknown;
    if (location.kind !== 'local') return unknown;
    const { ledger } = location.step.owner;
    return {
      known: true,
      progress: ledger.counts(),
      hedges: ledger.hedges(),
      duplicates: ledger.duplicates(),
    };
  }

  private async _takeLocally(step: OwnedStep, request: TakeRequest): Promise<TakeReply> {
    const deliverySpan = this._context.tracing.startSpan('delivery', undefined);
    const reply = await step.owner.take(request);
    deliverySpan.end({ step: request.key, end: reply.kind });
    if (step.owner.isFenced()) this._owned.delete(request.key);
    if (reply.kind === 'over' || reply.kind === 'abandoned') step.closedMs ??= this._context.clock.nowMs();
    return reply;
  }

  private async _relay<T, A>(
    address: string,
    call: CallDefinition<{ readonly hops: number; readonly request: T }, A>,
    request: T,
    hops: number,
  ): Promise<A | undefined> {
    if (hops >= MAX_HOPS) return undefined;
    const reply = await this._peers.call(address, call, { hops: hops + 1, request }, CALL_TIMEOUT_MS);
    return reply.ok ? reply.value : undefined;
  }

  /** Locates the owner of a step. Takes the step over if its owner is dead and this host is the successor. */
  private async _locate(key: string): Promise<StepLocation> {
    const owned = this._owned.get(key);
    if (owned && !owned.owner.isFenced()) return { kind: 'local', step: owned };
    const trainer = key.slice(0, key.lastIndexOf('/'));
    const home = homeDomain(trainer, this._context.domains);
    if (home !== this._context.domain) return this._locateInDomain(home);
    const offer = this._rollouts.offers().find(candidate => candidate.key === key);
    const known = offer && this._liveAddress(offer.owner);
    if (known) return { kind: 'remote', address: known };
    const [wanted = ''] = rendezvous(key, this._membership.view.liveIds());
    if (wanted !== this._context.hostId)
      return { kind: 'remote', address: this._membership.addressOf(wanted) };
    const takeover =
      this._takeovers.get(key) ?? this._loadOrTakeOver(key).finally(() => this._takeovers.delete(key));
    this._takeovers.set(key, takeover);
    return takeover;
  }

  private _locateInDomain(domain: string): StepLocation {
    const address = this._membership.randomAddressOf(domain);
    return address === '' ? { kind: 'moving' } : { kind: 'remote', address };
  }

  /** Returns the address of a holder, empty if its process is not known to be running. */
  private _liveAddress(holder: string): string {
    const { hostId, incarnation } = splitHolder(holder);
    const member = this._membership.view.find(hostId);
    const isRunning = member?.incarnation === incarnation && member.state !== 'dead';
    return isRunning ? member.address : '';
  }

  private async _loadOrTakeOver(key: string): Promise<StepLocation> {
    const loaded = await this._store.load(key);
    if (!loaded.ok) return { kind: 'store-unavailable' };
    if (!loaded.value) return { kind: 'none' };
    const { head } = loaded.value;
    if (head.state !== 'open') return { kind: 'local', step: this._add(key, loaded.value) };
    const address = this._liveAddress(head.owner);
    if (address !== '') return { kind: 'remote', address };
    const takenOver = await takeOver(this._store, key, loaded.value, this._selfHolderId());
    if (!takenOver.ok) return { kind: takenOver.error === 'fenced' ? 'moving' : 'store-unavailable' };
    this._context.log.info('step taken over', { step: key, epoch: takenOver.value.head.epoch });
    const step = this._add(key, takenOver.value);
    await this._adoptFromWorkers(step.owner);
    return { kind: 'local', step };
  }

  private async _create(key: string, spec: StepSpec): Promise<OpenReply> {
    const head = { owner: this._selfHolderId(), epoch: 1, state: 'open', failedGroups: [] } as const;
    const created = await this._store.create(key, head, spec);
    if (!created.ok) {
      if (created.error === 'too-large') return { kind: 'differs', key };
      return tryLater(created.error === 'fenced' ? 'owner-moving' : 'store-unavailable');
    }
    const step = this._add(key, { head, headVersion: created.value, spec, chunks: [] });
    this._publishOffer(step);
    return { kind: 'opened', key, samples: sampleCount(spec) };
  }

  private _add(key: string, stored: StoredStep): OwnedStep {
    const { clock, random } = this._context;
    const options = { key, clock, random, store: this._store, hedgeShare: DEFAULT_HEDGE_SHARE };
    const isClosed = stored.head.state !== 'open';
    const owner = new StepOwner(stored, options);
    const step: OwnedStep = { owner, lastOfferState: '', closedMs: isClosed ? clock.nowMs() : undefined };
    this._owned.set(key, step);
    return step;
  }

  /** Recovers the buffered samples of a step from this host and all reachable workers. */
  private async _adoptFromWorkers(owner: StepOwner): Promise<void> {
    const others = this._context.domains.filter(domain => domain !== this._context.domain);
    const remote = others.flatMap(domain =>
      this._membership.liveHostsOf(domain).map(host => host.peerAddress),
    );
    const local = this._membership.livePeers().map(peer => peer.address);
    this._adoptLocal(owner);
    await Promise.all([...local, ...remote].map(address => this._adoptFrom(owner, address)));
  }

  private _adoptLocal(owner: StepOwner): void {
    const requestedMs = this._context.clock.nowMs();
    for (let from = 0, hasMore = true; hasMore;) {
      const page = this._rollouts.sampleBuffer.page(owner.key, from);
      for (const sample of page.samples) owner.ledger.adopt(sample, requestedMs);
      from = page.next;
      ({ hasMore } = page);
    }
  }

  private async _adoptFrom(owner: StepOwner, address: string): Promise<void> {
    const source = { address, key: owner.key, from: 0 };
    await fetchSamples(this._context, this._peers, source, (sample, requestedMs) =>
      owner.ledger.adopt(sample, requestedMs),
    );
  }

  private _onSampleDone(key: string, worker: string, sample: Sample): SampleVerdictReply {
    const step = this._owned.get(key);
    if (!step) return 'unknown-step';
    const verdict = step.owner.sampleDone(sample);
    // A former owner assigned the attempt. Fetch the sample instead, so that its age counts from a known time.
    if (verdict === 'unknown-attempt') void this._adoptFrom(step.owner, this._workerAddress(worker));
    return verdict;
  }

  private _workerAddress(worker: string): string {
    const local = this._membership.addressOf(worker);
    if (local !== '') return local;
    const hosts = this._context.domains.flatMap(domain => this._membership.liveHostsOf(domain));
    return hosts.find(host => host.id === worker)?.peerAddress ?? '';
  }

  private _tick(): void {
    this._round += 1;
    const nowMs = this._context.clock.nowMs();
    for (const [key, step] of this._owned) {
      step.owner.tick();
      this._reportDeadWorkers(step.owner);
      this._publishOffer(step);
      if (step.closedMs !== undefined && nowMs - step.closedMs > CLOSED_RETENTION_MS) this._owned.delete(key);
    }
  }

  private _reportDeadWorkers(owner: StepOwner): void {
    for (const member of this._membership.view.members()) {
      if (member.state === 'dead') owner.ledger.workerLost(member.hostId);
    }
  }

  /** Offers the step to all hosts of this domain and one host per other domain, on changes and periodically. */
  private _publishOffer(step: OwnedStep): void {
    const { owner } = step;
    const hasWork = !owner.isOver() && owner.ledger.hasWork();
    const offerState = `${hasWork}/${owner.isOver()}`;
    const isDue = this._round % OFFER_REPEAT_ROUNDS === 0 && step.closedMs === undefined;
    if (offerState === step.lastOfferState && !isDue) return;
    step.lastOfferState = offerState;
    const offer: StepOffer = {
      key: owner.key,
      house: owner.spec.house,
      pool: owner.spec.pool,
      owner: this._selfHolderId(),
      ownerAddress: this._membership.addressOf(this._context.hostId),
      epoch: owner.epoch,
      share: DEFAULT_SHARE,
      hasWork,
      isOver: owner.isOver(),
      maxTokens: owner.spec.maxTokens,
      deadlineInMs: Math.max(0, owner.deadlineInMs()),
      passOn: false,
    };
    this._rollouts.onOffer(offer);
    for (const peer of this._membership.livePeers()) this._sendOffer(peer.address, offer);
    for (const domain of this._context.domains) {
      if (domain === this._context.domain) continue;
      const address = this._membership.randomAddressOf(domain);
      if (address !== '') this._sendOffer(address, { ...offer, passOn: true });
    }
  }

  private _onOffer(offer: StepOffer): Record<string, never> {
    this._rollouts.onOffer(offer);
    const owned = this._owned.get(offer.key);
    if (owned && offer.epoch > owned.owner.epoch) this._releaseStep(owned.owner);
    if (!offer.passOn) return {};
    for (const peer of this._membership.livePeers())
      this._sendOffer(peer.address, { ...offer, passOn: false });
    return {};
  }

  /** Releases a step that another host has taken over, for example while this process was paused. */
  private _releaseStep(owner: StepOwner): void {
    owner.fence();
    this._owned.delete(owner.key);
    this._context.log.warn('step was taken over by another host', { step: owner.key });
  }

  private _sendOffer(address: string, offer: StepOffer): void {
    void this._peers.call(address, calls.stepOffer, offer, OFFER_TIMEOUT_MS);
  }

  private _selfHolderId(): string {
    return holderId(this._context.hostId, this._context.incarnation);
  }
}

type SampleVerdictReply = ReturnType<StepOwner['sampleDone']> | 'unknown-step';

interface StepProgress {
  readonly known: boolean;
  readonly progress: typeof NO_PROGRESS;
  readonly hedges: number;
  readonly duplicates: number;
}

function sampleCount(spec: StepSpec): number {
  return spec.groups.reduce((sum, group) => sum + group.samples, 0);
}

function openedReply(owner: StepOwner, spec: StepSpec): OpenReply {
  const { key } = owner;
  if (JSON.stringify(owner.spec) !== JSON.stringify(spec)) return { kind: 'differs', key };
  if (owner.isOver()) return { kind: 'over', key };
  return { kind: 'already-open', key, samples: sampleCount(spec) };
}

function tryLater(reason: string): OpenReply {
  return { kind: 'try-later', reason, retryAfterMs: RETRY_AFTER_MS };
}
