/**
 * Withholds poison requests from endpoints. Detects them on this host, exchanges them with the other hosts, and is
 * consulted before every send of a caller's request: first attempts, retries, hedges and streams. Batch items and their
 * scores are exempt. `PoisonCases` holds the decision and its thresholds.
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

/** How long the result of a termination check is reused: all requests at an endpoint break at once. */
const TERMINATION_CHECK_CACHE_MS = 500;
/** Retry delay when another host holds the trial, or the store could not grant it. */
const TRIAL_RETRY_MS = 1000;
/** From this many terminated endpoints on, marks are announced at once, even while other attempts still run. */
const MIN_TERMINATIONS_TO_ANNOUNCE = 2;
/** Interval at which the marks of a recurring request are renewed before their lease expires. */
const REANNOUNCE_INTERVAL_MS = 240_000;

/** The marks of one request that were announced to the fleet or received from it. */
interface AnnouncedMarks {
  readonly markKeys: Set<string>;
  /** When the last mark was announced or received. */
  updatedMs: number;
}

export interface PoisonCaseDetails {
  readonly fingerprint: string;
  /** Number of endpoints that terminated while running the request. */
  readonly ends: number;
  /** Time since a mark was last announced or received; undefined if the case is known to this host only. */
  readonly lastUpdateAgeMs: number | undefined;
}

/** The access to other hosts that a guard needs. */
export type PoisonGuardHosts = Pick<Hosts, 'peers' | 'call'> & LiveKeys;

export class PoisonGuard {
  private readonly _context: GatewayContext;
  private readonly _client: Pick<EndpointClient, 'hasTerminated'>;
  private readonly _records: PoisonRecords;
  private readonly _announcer: PoisonAnnouncer;
  private readonly _cases: PoisonCases;
  private readonly _targets = new WeakMap<RequestIdentity, string>();
  private readonly _fingerprints = new WeakMap<RequestIdentity, string>();
  private readonly _terminationChecks = new Map<string, Promise<boolean>>();
  /** Marks shared with the fleet, by fingerprint. */
  private readonly _announced = new Map<string, AnnouncedMarks>();

  constructor(
    context: GatewayContext,
    store: RevisionedStore,
    hosts: PoisonGuardHosts,
    client: Pick<EndpointClient, 'hasTerminated'>,
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
    this._announcer.serve(server, announcement => this._handleAnnouncement(announcement));
  }

  hasNoCases(): boolean {
    return this._cases.count() === 0;
  }

  /** Hashes the body only if the request's target matches a known case. */
  verdict(request: RequestIdentity): PoisonVerdict {
    const fingerprint = this._fingerprintIfKnown(request);
    return fingerprint === undefined ? { kind: 'free' } : this._cases.verdict(fingerprint);
  }

  /** Like `verdict`, but also claims a trial that is due. Returns `held` if another host holds the trial. */
  async admit(request: RequestIdentity): Promise<PoisonVerdict> {
    const verdict = this.verdict(request);
    if (verdict.kind === 'free') return verdict;
    const fingerprint = this._fingerprint(request);
    this._refresh(fingerprint);
    return verdict.kind === 'trial' ? this._claimTrial(fingerprint, verdict) : verdict;
  }

  /** Details for log messages. */
  detailsOf(request: RequestIdentity): PoisonCaseDetails {
    const fingerprint = this._fingerprint(request);
    const updatedMs = this._announced.get(fingerprint)?.updatedMs;
    const ageMs = updatedMs === undefined ? undefined : Math.round(this._context.clock.nowMs() - updatedMs);
    return { fingerprint, ends: this._cases.terminationCount(fingerprint), lastUpdateAgeMs: ageMs };
  }

  /** Records that the request's connection broke. Resolves once it is known whether the endpoint has terminated. */
  async recordBroken(request: RequestIdentity, endpoint: Endpoint): Promise<void> {
    if (request.isBackground || !(await this._hasTerminated(endpoint))) return;
    const fingerprint = this._fingerprint(request);
    const ends = this._cases.ended(fingerprint, endpoint.startId());
    this._context.metrics.poison.inc({ event: 'end' });
    this._log('endpoint terminated while running request', fingerprint, { endpointId: endpoint.id, ends });
    if (ends >= MIN_TERMINATIONS_TO_ANNOUNCE) this._announceNew(fingerprint);
  }

  /** Clears the case of a request that was answered completely without terminating its endpoint. */
  answered(request: RequestIdentity): void {
    const fingerprint = this._fingerprintIfKnown(request);
    if (fingerprint === undefined) return;
    const marks = this._cases.marks(fingerprint);
    this._cases.cleared(fingerprint);
    this._context.metrics.poison.inc({ event: 'cleared' });
    this._log('poison case cleared', fingerprint, { marks: marks.length });
    if (!this._announced.delete(fingerprint)) return;
    void this._records.remove(fingerprint, marks).then(isDone => {
      if (!isDone) this._announcer.announce(fingerprint, []);
    });
  }

  /** Announces the marks of a request that got no answer on this host, as the caller may retry at another host. */
  recordUnanswered(request: RequestIdentity): void {
    const fingerprint = this._fingerprintIfKnown(request);
    if (fingerprint !== undefined && this._cases.terminationCount(fingerprint) > 0)
      this._announceNew(fingerprint);
  }

  /** Releases a trial whose request did not run. */
  abandonTrial(request: RequestIdentity, number: number): void {
    const fingerprint = this._fingerprint(request);
    this._cases.removeTrial(fingerprint, number);
    this._announced.get(fingerprint)?.markKeys.delete(markKey({ kind: 'trial', number, endsBefore: 0 }));
    void this._records.remove(fingerprint, [{ kind: 'trial', number, endsBefore: 0 }]);
  }

  private async _claimTrial(
    fingerprint: string,
    trial: Extract<PoisonVerdict, { kind: 'trial' }>,
  ): Promise<PoisonVerdict> {
    const { number } = trial;
    const endsBefore = this._cases.terminationCount(fingerprint);
    const isClaimed = await this._records.claimTrial(fingerprint, number, endsBefore);
    this._log('poison trial due', fingerprint, { number, endsBefore, isClaimed });
    if (!isClaimed) return { kind: 'held', remainingMs: TRIAL_RETRY_MS };
    this._recordAnnounced(fingerprint, [{ kind: 'trial', number, endsBefore }]);
    this._cases.trialStarted(fingerprint, number, endsBefore);
    return trial;
  }

  /** Announces marks that the fleet does not have yet. */
  private _announceNew(fingerprint: string): void {
    const announced = this._announced.get(fingerprint)?.markKeys;
    const marks = this._cases.marks(fingerprint).filter(mark => announced?.has(markKey(mark)) !== true);
    if (marks.length > 0) this._announce(fingerprint, marks);
  }

  private _announce(fingerprint: string, marks: readonly PoisonMark[]): void {
    this._recordAnnounced(fingerprint, marks);
    void this._records.add(fingerprint, marks).then(isDone => {
      if (!isDone) this._announcer.announce(fingerprint, marks);
    });
  }

  /** Renews the marks of a recurring request before they expire. */
  private _refresh(fingerprint: string): void {
    const updatedMs = this._announced.get(fingerprint)?.updatedMs;
    if (updatedMs !== undefined && this._context.clock.nowMs() - updatedMs >= REANNOUNCE_INTERVAL_MS)
      this._announce(fingerprint, this._cases.marks(fingerprint));
  }

  private _recordAnnounced(fingerprint: string, marks: readonly PoisonMark[]): void {
    const nowMs = this._context.clock.nowMs();
    const announced = this._announced.get(fingerprint) ?? { markKeys: new Set<string>(), updatedMs: nowMs };
    for (const mark of marks) announced.markKeys.add(markKey(mark));
    announced.updatedMs = nowMs;
    this._announced.set(fingerprint, announced);
  }

  /** Undefined for background work; also, without hashing the body, if the target matches no known case. */
  private _fingerprintIfKnown(request: RequestIdentity): string | undefined {
    if (request.isBackground || this.hasNoCases() || !this._cases.mayMatch(this._target(request)))
      return undefined;
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

  /** Shares one check among all requests that break at the endpoint at about the same time. */
  private async _hasTerminated(endpoint: Endpoint): Promise<boolean> {
    const startId = endpoint.startId();
    const known = this._terminationChecks.get(startId);
    if (known) return known;
    const check = endpoint.replaced.aborted
      ? Promise.resolve(true)
      : this._client.hasTerminated(endpoint.info());
    this._terminationChecks.set(startId, check);
    this._context.clock.after(TERMINATION_CHECK_CACHE_MS, () => this._terminationChecks.delete(startId));
    return check;
  }

  /** Applies a mark that a host stored. */
  private _markWritten(key: string, value: string): void {
    const marked = parseMark(key, value);
    if (marked) this._applyMarks(marked.fingerprint, [marked.mark]);
    else this._context.log.warn('unreadable poison record', { key });
  }

  /** Drops a mark that was removed because the request was answered or the mark's lease expired. */
  private _markRemoved(key: string): void {
    const marked = parseMark(key);
    if (!marked) return;
    const { fingerprint, mark } = marked;
    if (mark.kind === 'trial') this._cases.removeTrial(fingerprint, mark.number);
    else this._cases.removeTermination(fingerprint, mark.startId);
    this._announced.get(fingerprint)?.markKeys.delete(markKey(mark));
    if (this._cases.terminationCount(fingerprint) === 0) this._announced.delete(fingerprint);
  }

  /** Handles a direct announcement of another host; no marks mean that the case is cleared. */
  private _handleAnnouncement({ fingerprint, marks }: PoisonAnnouncement): void {
    if (marks.length > 0) return this._applyMarks(fingerprint, marks);
    this._announced.delete(fingerprint);
    this._cases.cleared(fingerprint);
  }

  private _applyMarks(fingerprint: string, marks: readonly PoisonMark[]): void {
    this._recordAnnounced(fingerprint, marks);
    const before = this._cases.terminationCount(fingerprint);
    for (const mark of marks) {
      if (mark.kind === 'trial') this._cases.trialStarted(fingerprint, mark.number, mark.endsBefore);
      else this._cases.ended(fingerprint, mark.startId);
    }
    const ends = this._cases.terminationCount(fingerprint);
    if (ends > before) this._log('poison marks received', fingerprint, { ends });
  }

  private _log(text: string, fingerprint: string, details: Readonly<Record<string, unknown>>): void {
    this._context.log.info(text, { fingerprint, ...details });
  }
}
