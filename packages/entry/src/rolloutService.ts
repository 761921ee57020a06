/**
 * The rollout worker: pulls slots of open steps, generates and scores their samples, and reports them to the owner.
 */
import { Deadline, every, rendezvous, sleep } from '@fuchsiahitch/base';
import type {
  EngineClient,
  GenerationChunk,
  GenerationResult,
  Scorer,
  ScoreResult,
} from '@fuchsiahitch/clients';
import { calls } from '@fuchsiahitch/protocol';
import { splitHolder } from '@fuchsiahitch/requests';
import type { RequestFacts } from '@fuchsiahitch/rules';
import {
  FairSchedule,
  SpanRecorder,
  type Assignment,
  type Sample,
  type StepOffer,
} from '@fuchsiahitch/steps';
import { effectiveReserve, type Dispatcher } from './dispatcher.js';
import type { CallableEndpoint, EndpointService } from './endpointService.js';
import type { HostContext } from './hostContext.js';
import type { CallRegistry, PeerCaller } from './hostPorts.js';
import type { MembershipService } from './membershipService.js';
import type { RulesService } from './rulesService.js';
import { SampleBuffer } from './sampleBuffer.js';
import { fetchSamples } from './fetchSamples.js';

const PULL_PERIOD_MS = 50;
const PULL_TIMEOUT_MS = 2000;
const REPORT_TIMEOUT_MS = 5000;
const REPORT_TRIES = 5;
const REPORT_PAUSE_MS = 500;
/** Limits the slots per call, so that work is spread over the hosts. */
const MAX_SLOTS_PER_PULL = 8;
const MAX_STREAM_BREAKS = 8;
const RETRY_PAUSE_MS = 200;
const SCORE_TIMEOUT_MS = 5000;
const SCORE_TRIES = 4;
const PREFIX_LENGTH = 64;
const EXPIRE_PERIOD_MS = 60_000;
/** Short enough that several renewals may be lost before the owner reassigns a batch. */
const RENEW_PERIOD_MS = 3000;
const MIN_SHARE = 0.01;

/** Even a busy engine answers within one or two round trips. */
const ENGINE_REPORT_TIMEOUT_MS = 500;

/** Why no sample was produced. `engine-ended`: the engine terminated before it generated a token. */
type SampleFailure =
  | { readonly kind: 'engine' | 'prompt' | 'unprovable' | 'unscored' | 'too-late' }
  | { readonly kind: 'engine-ended'; readonly engine: string };

export class RolloutService {
  readonly sampleBuffer: SampleBuffer;
  private readonly _context: HostContext;
  private readonly _peers: PeerCaller;
  private readonly _membership: MembershipService;
  private readonly _rules: RulesService;
  private readonly _endpoints: EndpointService;
  private readonly _dispatcher: Dispatcher;
  private readonly _engines: EngineClient;
  private readonly _scorer: Scorer | undefined;
  private readonly _offers = new Map<string, StepOffer>();
  private readonly _schedule = new FairSchedule();
  /** The number of running slots, by step and batch. */
  private readonly _runningSlots = new Map<string, Map<number, number>>();
  /** The next position to copy from another host's sample buffer, by step, host and epoch. */
  private readonly _copyPositions = new Map<string, number>();
  private readonly _copying = new Set<string>();
  private _running = 0;
  private _isDraining = false;

  constructor(
    context: HostContext,
    parts: {
      readonly peers: PeerCaller;
      readonly membership: MembershipService;
      readonly rules: RulesService;
      readonly endpoints: EndpointService;
      readonly dispatcher: Dispatcher;
      readonly engines: EngineClient;
      readonly scorer: Scorer | undefined;
    },
  ) {
    this._context = context;
    this._peers = parts.peers;
    this._membership = parts.membership;
    this._rules = parts.rules;
    this._endpoints = parts.endpoints;
    this._dispatcher = parts.dispatcher;
    this._engines = parts.engines;
    this._scorer = parts.scorer;
    this.sampleBuffer = new SampleBuffer(context.clock);
  }

  register(server: CallRegistry): void {
    server.handle(calls.heldSamples, ({ key, from }) => this.sampleBuffer.page(key, from));
    server.handle(calls.shelfGrew, ({ key }, { peer }) => {
      void this._copySamples(key, peer.hostId);
      return {};
    });
  }

  start(): void {
    const { clock, stopped } = this._context;
    every(clock, PULL_PERIOD_MS, stopped, () => this._pullWork());
    every(clock, EXPIRE_PERIOD_MS, stopped, () => this.sampleBuffer.removeExpired());
    every(clock, RENEW_PERIOD_MS, stopped, () => this._renewBatches());
  }

  running(): number {
    return this._running;
  }

  offers(): readonly StepOffer[] {
    return [...this._offers.values()];
  }

  /** Handles the announcement of a step's owner that the step is open or over. */
  onOffer(offer: StepOffer): void {
    const known = this._offers.get(offer.key);
    if (known && known.epoch > offer.epoch) return;
    if (offer.isOver) {
      this._offers.delete(offer.key);
      this.sampleBuffer.removeStep(offer.key);
      for (const positionKey of this._copyPositions.keys())
        if (positionKey.startsWith(`${offer.key}@`)) this._copyPositions.delete(positionKey);
    } else {
      this._offers.set(offer.key, offer);
    }
  }

  /** Stops pulling work. Samples in progress are completed. */
  drain(): void {
    this._isDraining = true;
  }

  private async _pullWork(): Promise<void> {
    if (this._isDraining) return;
    const offersWithWork = this.offers().filter(offer => offer.hasWork);
    const servable = offersWithWork.filter(offer => this._freeSlotsFor(offer) > 0);
    const offer = this._schedule.next(servable);
    if (!offer) return;
    const count = Math.min(MAX_SLOTS_PER_PULL, this._freeSlotsFor(offer));
    const request = { key: offer.key, worker: this._context.hostId, count };
    const reply = await this._peers.call(offer.ownerAddress, calls.workPull, request, PULL_TIMEOUT_MS);
    if (!reply.ok || !reply.value.known || reply.value.assignments.length === 0) {
      this._offers.set(offer.key, { ...offer, hasWork: false });
      return;
    }
    const { batch, assignments } = reply.value;
    this._addRunningSlots(offer.key, batch, assignments.length);
    for (const assignment of assignments) void this._runSlot(offer, assignment, batch);
  }

  /** Returns the number of free rollout slots, less one for each queued request. */
  private _freeSlotsFor(offer: StepOffer): number {
    const { pool, reserve, maxInFlight } = this._policyFor(offer);
    const freeSlots = this._dispatcher.freeRolloutSlots(pool, reserve) - this._dispatcher.queueSize(pool);
    return Math.min(freeSlots, maxInFlight - this._running);
  }

  private _policyFor(offer: StepOffer): {
    readonly pool: string;
    readonly reserve: number;
    readonly share: number;
    readonly maxInFlight: number;
    readonly domains: readonly string[];
    readonly version: string;
  } {
    const { action } = this._rules.evaluator().decide(this._factsOf(offer));
    const isRefused = action.refuse !== undefined;
    return {
      pool: action.pool ?? offer.pool,
      reserve: effectiveReserve(action.reserve),
      share: action.share ?? offer.share,
      maxInFlight: isRefused ? 0 : (action.maxInFlight ?? Number.MAX_SAFE_INTEGER),
      domains: action.domains ?? [],
      version: action.pinVersion ?? '',
    };
  }

  private _factsOf(offer: StepOffer): RequestFacts {
    const trainer = offer.key.slice(0, offer.key.lastIndexOf('/'));
    const { house, pool } = offer;
    return {
      kind: 'sample',
      caller: trainer,
      house,
      pool,
      priority: 'low',
      domain: this._context.domain,
      version: '',
    };
  }

  private _renewBatches(): void {
    for (const [key, batches] of this._runningSlots) {
      const offer = this._offers.get(key);
      if (!offer) continue;
      const message = { key, batches: [...batches.keys()] };
      void this._peers.call(offer.ownerAddress, calls.workAlive, message, PULL_TIMEOUT_MS);
    }
  }

  private _addRunningSlots(key: string, batch: number, change: number): void {
    const batches = this._runningSlots.get(key) ?? new Map<number, number>();
    const slotCount = (batches.get(batch) ?? 0) + change;
    if (slotCount > 0) batches.set(batch, slotCount);
    else batches.delete(batch);
    if (batches.size > 0) this._runningSlots.set(key, batches);
    else this._runningSlots.delete(key);
  }

  private async _runSlot(offer: StepOffer, assignment: Assignment, batch: number): Promise<void> {
    this._running += 1;
    try {
      const createdMs = this._context.clock.nowMs();
      const produced = await this._produceSample(offer, assignment);
      if ('kind' in produced) {
        this._context.metrics.samples.inc({ end: produced.kind });
        await this._reportFailure(offer, assignment, produced);
        return;
      }
      this.sampleBuffer.keep(offer.key, produced, createdMs);
      this._context.metrics.samples.inc({ end: 'made' });
      this._requestCopy(offer);
      await this._reportDone(offer.key, assignment.sampleId);
    } finally {
      this._running -= 1;
      this._addRunningSlots(offer.key, batch, -1);
    }
  }

  private async _produceSample(
    offer: StepOffer,
    assignment: Assignment,
  ): Promise<Omit<Sample, 'ageMs'> | SampleFailure> {
    const generated = await this._generate(offer, assignment);
    if ('kind' in generated) return generated;
    const { share } = this._policyFor(offer);
    this._schedule.charge(offer.house, Math.max(MIN_SHARE, share), generated.recorder.tokens());
    this._context.metrics.tokens.inc({ kind: 'rollout' }, generated.recorder.tokens());
    const spans = generated.recorder.finish(generated.tokens);
    if (!spans.ok) return { kind: 'unprovable' };
    const score = await this._score(assignment, generated.text);
    if (score === undefined) return { kind: 'unscored' };
    const { slot, sampleId } = assignment;
    return { sampleId, slot, text: generated.text, spans: spans.value, score };
  }

  /** Generates a sample. A broken or preempted stream is resumed after the tokens already generated. */
  private async _generate(offer: StepOffer, assignment: Assignment): Promise<Generated | SampleFailure> {
    const recorder = new SpanRecorder();
    const deadline = Deadline.after(this._context.clock, Math.max(0, offer.deadlineInMs));
    let text = '';
    let breaks = 0;
    const onChunks = (chunks: readonly GenerationChunk[]): void => {
      for (const chunk of chunks) {
        recorder.add(chunk.version, chunk.tokens);
        text += chunk.text;
      }
    };
    while (!deadline.isOver() && breaks <= MAX_STREAM_BREAKS) {
      const tokensBefore = recorder.tokens();
      const attempt = await this._runStream(offer, assignment, {
        text,
        tokens: recorder.tokens(),
        onChunks,
        deadline,
      });
      if (attempt === undefined) return { kind: 'too-late' };
      const { end, endpoint } = attempt;
      if (end.kind === 'done') return { recorder, text, tokens: end.tokens };
      if (end.kind === 'failed' && end.status < 500) return { kind: 'prompt' };
      // If the prompt crashed the engine, a retry would crash the next one. The step's owner decides whether to retry,
      // because it receives the reports of all workers. A stream that generated tokens did not crash the engine.
      const madeNoProgress = end.kind === 'broken' && recorder.tokens() === tokensBefore;
      if (madeNoProgress && (await this._isUnresponsive(endpoint)))
        return { kind: 'engine-ended', engine: endpoint.id };
      if (end.kind !== 'cancelled') breaks += 1;
      await sleep(this._context.clock, RETRY_PAUSE_MS);
    }
    return { kind: 'engine' };
  }

  /** True if the engine does not answer a report request in time. */
  private async _isUnresponsive(endpoint: CallableEndpoint): Promise<boolean> {
    const deadline = Deadline.after(this._context.clock, ENGINE_REPORT_TIMEOUT_MS);
    return (await this._engines.report(endpoint.url, deadline)) === undefined;
  }

  private async _runStream(
    offer: StepOffer,
    assignment: Assignment,
    progress: {
      readonly text: string;
      readonly tokens: number;
      readonly onChunks: (chunks: readonly GenerationChunk[]) => void;
      readonly deadline: Deadline;
    },
  ): Promise<EndedStream | undefined> {
    const policy = this._policyFor(offer);
    const stop = new AbortController();
    const dispatched = await this._dispatcher.acquire(
      {
        pool: policy.pool,
        ownDomain: this._context.domain,
        domains: policy.domains,
        isRollout: true,
        reserve: policy.reserve,
        prefix: assignment.prompt.slice(0, PREFIX_LENGTH),
        version: policy.version,
        tried: new Set(),
        queuePriority: 'rollout',
        deadline: progress.deadline,
      },
      () => true,
      stop.signal,
    );
    if (dispatched.kind !== 'acquired') return undefined;
    const { endpoint } = dispatched;
    const removePreemptible = this._dispatcher.addPreemptible(endpoint.id, () => stop.abort());
    const endpointSpan = this._context.tracing.startSpan('endpoint', undefined);
    const end = await this._engines.generate(
      {
        url: endpoint.url,
        requestId: assignment.sampleId,
        prompt: assignment.prompt,
        maxTokens: offer.maxTokens,
        priority: 'low',
        resumeText: progress.text,
        resumeTokens: progress.tokens,
        trace: endpointSpan.traceparent,
      },
      progress.onChunks,
      stop.signal,
    );
    removePreemptible();
    endpointSpan.end({ endpoint: endpoint.id, sample: assignment.sampleId, end: end.kind });
    this._releaseEndpoint(endpoint, end);
    return { end, endpoint };
  }

  private _releaseEndpoint(endpoint: CallableEndpoint, end: GenerationResult): void {
    if (end.kind === 'cancelled') {
      this._dispatcher.cancelled(endpoint, true);
      return;
    }
    if (end.kind === 'not-run' && end.isLeaving) this._endpoints.markLeaving(endpoint.id);
    if (end.kind === 'not-run' && !end.isUnreachable) endpoint.limit.refused();
    const isFault =
      end.kind === 'broken' ||
      (end.kind === 'not-run' && end.isUnreachable) ||
      (end.kind === 'failed' && end.status >= 500);
    this._dispatcher.ended(endpoint, true, isFault);
  }

  /**
   * Scores a sample. If the answer is lost, the score is looked up first, so that no sample is scored twice. Returns
   * undefined if the score remains unknown; the sample is then generated again under a new identifier.
   */
  private async _score(assignment: Assignment, text: string): Promise<number | undefined> {
    if (!this._scorer) return 0;
    const { clock, tracing } = this._context;
    const scoringSpan = tracing.startSpan('scoring', undefined);
    let mayBeScored = false;
    for (let i = 0; i < SCORE_TRIES; i++) {
      const deadline = Deadline.after(clock, SCORE_TIMEOUT_MS);
      const sample = { sampleId: assignment.sampleId, prompt: assignment.prompt, text };
      const result: ScoreResult = mayBeScored
        ? await this._scorer.find(sample.sampleId, deadline)
        : await this._scorer.score(sample, deadline);
      if (result.kind === 'scored') {
        scoringSpan.end({ sample: assignment.sampleId });
        return result.score;
      }
      mayBeScored = result.kind === 'unknown';
      await sleep(clock, RETRY_PAUSE_MS);
    }
    scoringSpan.end({ sample: assignment.sampleId, end: 'unknown' });
    return undefined;
  }

  /**
   * Requests a peer to copy new samples if this host is both worker and owner of the step, so that the samples survive
   * the loss of this host. The peer fetches them, because ages count from the time of its request.
   */
  private _requestCopy(offer: StepOffer): void {
    if (splitHolder(offer.owner).hostId !== this._context.hostId) return;
    const others = this._membership.livePeers().map(peer => peer.hostId);
    const [copyHostId] = rendezvous(offer.key, others);
    if (copyHostId === undefined) return;
    const address = this._membership.addressOf(copyHostId);
    void this._peers.call(address, calls.shelfGrew, { key: offer.key }, REPORT_TIMEOUT_MS);
  }

  private async _copySamples(key: string, hostId: string): Promise<void> {
    const offer = this._offers.get(key);
    if (!offer) return;
    // A restarted host has an empty buffer; the later epoch of the step resets the position.
    const positionKey = `${key}@${hostId}@${offer.epoch}`;
    if (this._copying.has(positionKey)) return;
    this._copying.add(positionKey);
    const source = {
      address: this._membership.addressOf(hostId),
      key,
      from: this._copyPositions.get(positionKey) ?? 0,
    };
    const end = await fetchSamples(this._context, this._peers, source, ({ ageMs, ...sample }, requestedMs) =>
      this.sampleBuffer.keep(key, sample, requestedMs - ageMs),
    );
    this._copyPositions.set(positionKey, end);
    this._copying.delete(positionKey);
  }

  private async _reportDone(key: string, sampleId: string): Promise<void> {
    for (let i = 0; i < REPORT_TRIES; i++) {
      const offer = this._offers.get(key);
      const sample = this.sampleBuffer.sampleWithAge(key, sampleId);
      if (!offer || !sample) return;
      const message = { key, worker: this._context.hostId, sample };
      const reply = await this._peers.call(offer.ownerAddress, calls.sampleDone, message, REPORT_TIMEOUT_MS);
      if (reply.ok && reply.value.verdict !== 'unknown-step') return;
      await sleep(this._context.clock, REPORT_PAUSE_MS);
    }
  }

  private async _reportFailure(
    offer: StepOffer,
    assignment: Assignment,
    failure: SampleFailure,
  ): Promise<void> {
    const message = {
      key: offer.key,
      sampleId: assignment.sampleId,
      isOwnFault: failure.kind === 'prompt',
      ...(failure.kind === 'engine-ended' ? { endedEngine: failure.engine } : {}),
    };
    for (let i = 0; i < REPORT_TRIES; i++) {
      const address = this._offers.get(offer.key)?.ownerAddress ?? offer.ownerAddress;
      const reply = await this._peers.call(address, calls.sampleFailed, message, REPORT_TIMEOUT_MS);
      if (reply.ok) return;
      await sleep(this._context.clock, REPORT_PAUSE_MS);
    }
  }
}

interface EndedStream {
  readonly end: GenerationResult;
  readonly endpoint: CallableEndpoint;
}

interface Generated {
  readonly recorder: SpanRecorder;
  readonly text: string;
  readonly tokens: number;
}
