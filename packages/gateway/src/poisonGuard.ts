/**
 * Keeps poison requests from the endpoints: learns of them here and from the other hosts, and decides before each send.
 *
 * Every way to an endpoint asks here: first sends, retries, second sends, streams, scores, and the items of batches at each of
 * their owners. The decision and its thresholds are `PoisonCases`'.
 */
import {
  markKey,
  PoisonCases,
  requestFingerprint,
  targetDigest,
  type PoisonMark,
  type PoisonVerdict,
  type RequestIdentity,
} from '@fuchsiahitch/requests';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import type { Endpoint } from './endpoint.js';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts, LiveKeys } from './hostDirectory.js';
import { PoisonAnnouncer, type PoisonAnnouncement } from './poisonAnnouncer.js';
import { POISON_PREFIX, PoisonRecords, parseMark } from './poisonRecords.js';
import type { EndpointClient } from './ports.js';

/** Ends of one endpoint that are looked into within this time are one: all its requests break at once. */
const END_CHECK_CACHE_MS = 500;
/** After a trial that another host has, or that the store could not grant. */
const TRIAL_RETRY_MS = 1000;
/** As many ends are told at once, also while a request may still be answered elsewhere. */
const ANNOUNCED_ENDS = 2;
/** What is known of a request that still comes is written again after this, well before it lapses. */
const REANNOUNCE_INTERVAL_MS = 240_000;

/** The marks of one request that the fleet knows of. */
interface AnnouncedMarks {
  readonly names: Set<string>;
  /** When the last of them was told or heard. */
  updatedMs: number;
}

/** What is known of a request. */
export interface PoisonCaseDetails {
  readonly fingerprint: string;
  /** Endpoints that have ended under it. */
  readonly ends: number;
  /** Since this host last told or heard of it; undefined if it is known here only. */
  readonly lastUpdateAgeMs: number | undefined;
}

/** What a guard hears the other hosts by. */
export type PoisonGuardHosts = Pick<Hosts, 'peers' | 'call'> & LiveKeys;

export class PoisonGuard {
  private readonly _context: GatewayContext;
  private readonly _client: Pick<EndpointClient, 'hasEnded'>;
  private readonly _records: PoisonRecords;
  private readonly _announcer: PoisonAnnouncer;
  private readonly _cases: PoisonCases;
  private readonly _targets = new WeakMap<RequestIdentity, string>();
  private readonly _fingerprints = new WeakMap<RequestIdentity, string>();
  private readonly _endChecks = new Map<string, Promise<boolean>>();
  /** What the fleet knows of each request, as far as this host has heard or told. */
  private readonly _announced = new Map<string, AnnouncedMarks>();

  constructor(
    context: GatewayContext,
    store: RevisionedStore,
    hosts: PoisonGuardHosts,
    client: Pick<EndpointClient, 'hasEnded'>,
  ) {
    this._context = context;
    this._client = client;
    this._records = new PoisonRecords(context, store);
    this._announcer = new PoisonAnnouncer(hosts);
    this._cases = new PoisonCases(context.clock);
    hosts.watchKeys(POISON_PREFIX, {
      changed: (key, value) => this._markWritten(key, value),
      removed: key => this._markRemoved(key),
    });
    context.metrics.gauge('fuchsiahitch_poison_cases', 'Requests under which endpoints have ended', () =>
      this._cases.count(),
    );
  }

  serve(server: CallRegistry): void {
    this._announcer.serve(server, news => this._handleAnnouncement(news));
  }

  /** True if no request is known at all: nothing need be asked of any. */
  hasNoCases(): boolean {
    return this._cases.count() === 0;
  }

  /** What may be done with a request now. Reads its body only if its request line is that of a known one. */
  verdict(request: RequestIdentity): PoisonVerdict {
    const fingerprint = this._fingerprintIfKnown(request);
    return fingerprint === undefined ? { kind: 'free' } : this._cases.verdict(fingerprint);
  }

  /** As `verdict`; a trial that is due is this host's, or the request is held. */
  async admit(request: RequestIdentity): Promise<PoisonVerdict> {
    const verdict = this.verdict(request);
    if (verdict.kind === 'free') return verdict;
    const fingerprint = this._fingerprint(request);
    this._refresh(fingerprint);
    return verdict.kind === 'trial' ? this._claimTrial(fingerprint, verdict) : verdict;
  }

  /** True if some endpoint has ended under the request. */
  isSuspect(request: RequestIdentity): boolean {
    const fingerprint = this._fingerprintIfKnown(request);
    return fingerprint !== undefined && this._cases.ends(fingerprint) > 0;
  }

  /** What the log tells of a request that is known. */
  detailsOf(request: RequestIdentity): PoisonCaseDetails {
    const fingerprint = this._fingerprint(request);
    const atMs = this._announced.get(fingerprint)?.updatedMs;
    const newsAgeMs = atMs === undefined ? undefined : Math.round(this._context.clock.nowMs() - atMs);
    return { fingerprint, ends: this._cases.ends(fingerprint), lastUpdateAgeMs: newsAgeMs };
  }

  /** The request broke at the endpoint. Resolves once it is known whether the endpoint has ended. */
  async recordBroken(request: RequestIdentity, endpoint: Endpoint): Promise<void> {
    if (!(await this._hasEnded(endpoint))) return;
    const fingerprint = this._fingerprint(request);
    const ends = this._cases.ended(fingerprint, endpoint.startId());
    this._context.metrics.poison.inc({ event: 'end' });
    this._log('endpoint ended under a request', fingerprint, { endpointId: endpoint.id, ends });
    if (ends >= ANNOUNCED_ENDS) this._announceNew(fingerprint);
  }

  /** The request was answered in full: it ends no endpoint. */
  answered(request: RequestIdentity): void {
    const fingerprint = this._fingerprintIfKnown(request);
    if (fingerprint === undefined) return;
    const marks = this._cases.marks(fingerprint);
    this._cases.cleared(fingerprint);
    this._context.metrics.poison.inc({ event: 'cleared' });
    this._log('poison cleared', fingerprint, { marks: marks.length });
    if (!this._announced.delete(fingerprint)) return;
    void this._records.remove(fingerprint, marks).then(isDone => {
      if (!isDone) this._announcer.announce(fingerprint, []);
    });
  }

  /** The request ends here without an answer: from now on the other hosts must know. */
  recordUnanswered(request: RequestIdentity): void {
    const fingerprint = this._fingerprintIfKnown(request);
    if (fingerprint !== undefined && this._cases.ends(fingerprint) > 0) this._announceNew(fingerprint);
  }

  /** The trial's request did not run after all: it may be made again. */
  abandonTrial(request: RequestIdentity, number: number): void {
    const fingerprint = this._fingerprint(request);
    this._cases.trialDropped(fingerprint, number);
    this._announced.get(fingerprint)?.names.delete(markKey({ kind: 'trial', number, endsBefore: 0 }));
    void this._records.remove(fingerprint, [{ kind: 'trial', number, endsBefore: 0 }]);
  }

  private async _claimTrial(
    fingerprint: string,
    trial: Extract<PoisonVerdict, { kind: 'trial' }>,
  ): Promise<PoisonVerdict> {
    const { number } = trial;
    const endsBefore = this._cases.ends(fingerprint);
    const isClaimed = await this._records.claimTrial(fingerprint, number, endsBefore);
    this._log('poison trial', fingerprint, { number, endsBefore, isClaimed });
    if (!isClaimed) return { kind: 'held', leftMs: TRIAL_RETRY_MS };
    this._noteAnnounced(fingerprint, [{ kind: 'trial', number, endsBefore }]);
    this._cases.trialStarted(fingerprint, number, endsBefore);
    return trial;
  }

  /** Tells what the fleet does not know yet. */
  private _announceNew(fingerprint: string): void {
    const told = this._announced.get(fingerprint)?.names;
    const marks = this._cases.marks(fingerprint).filter(mark => told?.has(markKey(mark)) !== true);
    if (marks.length > 0) this._announce(fingerprint, marks);
  }

  private _announce(fingerprint: string, marks: readonly PoisonMark[]): void {
    this._noteAnnounced(fingerprint, marks);
    void this._records.add(fingerprint, marks).then(isDone => {
      if (!isDone) this._announcer.announce(fingerprint, marks);
    });
  }

  /** Keeps what is known of a request that still comes from lapsing: without it, endpoints end under it anew. */
  private _refresh(fingerprint: string): void {
    const toldMs = this._announced.get(fingerprint)?.updatedMs;
    if (toldMs !== undefined && this._context.clock.nowMs() - toldMs >= REANNOUNCE_INTERVAL_MS)
      this._announce(fingerprint, this._cases.marks(fingerprint));
  }

  private _noteAnnounced(fingerprint: string, marks: readonly PoisonMark[]): void {
    const atMs = this._context.clock.nowMs();
    const told = this._announced.get(fingerprint) ?? { names: new Set<string>(), updatedMs: atMs };
    for (const mark of marks) told.names.add(markKey(mark));
    told.updatedMs = atMs;
    this._announced.set(fingerprint, told);
  }

  /** The fingerprint of a request that may be known; undefined for any other, whose body is not read. */
  private _fingerprintIfKnown(request: RequestIdentity): string | undefined {
    if (this.hasNoCases() || !this._cases.mayMatch(this._target(request))) return undefined;
    return this._fingerprint(request);
  }

  private _target(request: RequestIdentity): string {
    const known = this._targets.get(request);
    if (known !== undefined) return known;
    const target = targetDigest(request);
    this._targets.set(request, target);
    return target;
  }

  private _fingerprint(request: RequestIdentity): string {
    const known = this._fingerprints.get(request);
    if (known !== undefined) return known;
    const fingerprint = requestFingerprint(request);
    this._fingerprints.set(request, fingerprint);
    return fingerprint;
  }

  /** One look for all requests that break at the endpoint at a time. */
  private async _hasEnded(endpoint: Endpoint): Promise<boolean> {
    const startId = endpoint.startId();
    const known = this._endChecks.get(startId);
    if (known) return known;
    const look = endpoint.replaced.aborted ? Promise.resolve(true) : this._client.hasEnded(endpoint.info());
    this._endChecks.set(startId, look);
    this._context.clock.after(END_CHECK_CACHE_MS, () => this._endChecks.delete(startId));
    return look;
  }

  /** A host wrote a mark. */
  private _markWritten(key: string, value: string): void {
    const marked = parseMark(key, value);
    if (marked) this._applyMarks(marked.fingerprint, [marked.mark]);
    else this._context.log.warn('unreadable poison record', { key });
  }

  /** A mark was removed by the host that had an answer, or has lapsed. */
  private _markRemoved(key: string): void {
    const marked = parseMark(key);
    if (!marked) return;
    const { fingerprint, mark } = marked;
    if (mark.kind === 'trial') this._cases.trialDropped(fingerprint, mark.number);
    else this._cases.removeEnd(fingerprint, mark.startId);
    this._announced.get(fingerprint)?.names.delete(markKey(mark));
    if (this._cases.ends(fingerprint) === 0) this._announced.delete(fingerprint);
  }

  /** Another host tells directly. */
  private _handleAnnouncement({ fingerprint, marks }: PoisonAnnouncement): void {
    if (marks.length > 0) return this._applyMarks(fingerprint, marks);
    this._announced.delete(fingerprint);
    this._cases.cleared(fingerprint);
  }

  private _applyMarks(fingerprint: string, marks: readonly PoisonMark[]): void {
    this._noteAnnounced(fingerprint, marks);
    const before = this._cases.ends(fingerprint);
    for (const mark of marks) {
      if (mark.kind === 'trial') this._cases.trialStarted(fingerprint, mark.number, mark.endsBefore);
      else this._cases.ended(fingerprint, mark.startId);
    }
    const ends = this._cases.ends(fingerprint);
    if (ends > before) this._log('poison heard', fingerprint, { ends });
  }

  private _log(text: string, fingerprint: string, details: Readonly<Record<string, unknown>>): void {
    this._context.log.info(text, { fingerprint, ...details });
  }
}
