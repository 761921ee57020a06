/**
 * Duty that reports usage to the platform, once per window.
 *
 * The content of a window is decided when every recently busy host has marked the window final, or when only the time
 * to send the report is left. The report is sent with the same content until it is answered. Usage received after the
 * decision is lost and logged.
 */
import type { Result } from '@fuchsiahitch/base';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import { PauseDetector } from '@fuchsiahitch/duties';
import {
  ClockEstimator,
  totalOf,
  UsageLedger,
  windowAt,
  windowEndMs,
  type ProcessUsage,
  type UsageReport,
  type UsageUpdate,
  type UsageUpdateReply,
} from '@fuchsiahitch/metering';
import { DutyLease, type Duty, type DutyHosts, type DutyPorts } from './dutyLease.js';
import type { GatewayContext } from './gatewayContext.js';
import { LIVE_PREFIX } from './hostDirectory.js';
import type { DutyAnswer, PlatformDuties } from './ports.js';
import { UsageRecords } from './usageRecords.js';
import { sendIntervalMs } from './usageSender.js';

export const USAGE_KEY = `${LIVE_PREFIX}usage`;
export const LAST_USAGE_KEY = `${LIVE_PREFIX}last-usage`;
/** The platform treats all windows as one subject. */
const SUBJECT = 'usage';
/** Long, to save store calls: reports are due well after a successor has taken over. */
const LEASE = { ttlMs: 3000, renewMs: 1000, validityMs: 2500, marginMs: 600 };
const ANSWER_TIMEOUT_MS = 1500;
/** Bounds how long after its start a call can still arrive at the platform. */
const CONNECT_TIMEOUT_MS = 500;
/** Time for an update in transit to arrive. */
const DELIVERY_SLACK_MS = 400;
/** Time in which hosts resend their counts to a new reporter. */
const RESEND_MS = 2500;
/** Time reserved before the due time for retries. */
const SEND_RESERVE_MS = 4000;
const RETRY_MS = 300;
/** Interval at which pending usage is stored for a successor, if it fits. */
const STORE_INTERVAL_MS = 1000;
const MAX_STORED_CHARS = 16_384;
/** Consecutive failures after which the duty is left to a host that may reach the platform. */
const MAX_FAILURES = 4;
const YIELD_MS = 6000;

export interface UsageReporterOptions {
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due. */
  readonly dueMs: number;
  /** Minimum time between calls of two holders, required by the platform. */
  readonly handoverMs: number;
}

export interface UsagePorts {
  readonly store: RevisionedStore;
  readonly leaseStore: RevisionedStore;
  readonly hosts: DutyHosts;
  readonly lastHandover: DutyPorts['lastHandover'];
  readonly duties: PlatformDuties;
}

export class UsageReporter implements Duty {
  private readonly _context: GatewayContext;
  private readonly _ports: UsagePorts;
  private readonly _options: UsageReporterOptions;
  private readonly _duty: DutyLease;
  private readonly _records: UsageRecords;
  private readonly _pauses: PauseDetector;
  private readonly _clockEstimator = new ClockEstimator();
  private readonly _ledger = new UsageLedger();
  /** Progress of the reports; undefined until it was read from the store. */
  private _progress: { readonly settledUpTo: number; readonly revision: number } | undefined;
  private _decided = new Map<number, UsageReport>();
  private _acquiredMs = -Infinity;
  private _pausedUntilMs = -Infinity;
  private _isBusy = false;
  private _storedText = '';
  private _nextStoreMs = -Infinity;
  private _failures = 0;

  constructor(context: GatewayContext, ports: UsagePorts, options: UsageReporterOptions) {
    this._context = context;
    this._ports = ports;
    this._options = options;
    this._records = new UsageRecords(context, ports.store);
    this._pauses = new PauseDetector(context.clock);
    const name = { label: 'usage lease', key: USAGE_KEY, lastKey: LAST_USAGE_KEY, domain: undefined };
    const dutyPorts = { ...ports, store: ports.leaseStore };
    this._duty = new DutyLease(context, dutyPorts, name, { ...LEASE, handoverMs: options.handoverMs }, this);
  }

  start(): void {
    this._duty.start();
  }

  async stop(): Promise<void> {
    await this._duty.stop();
  }

  receive(update: UsageUpdate): UsageUpdateReply {
    if (!this._duty.isHolder()) return { kind: 'not-reporter' };
    this._checkPause();
    const { clock } = this._context;
    this._clockEstimator.observe(update.hostId, update.wallMs, clock.nowMs());
    this._logLate(update);
    this._ledger.told(update);
    return { kind: 'taken', trueMs: this._trueMs(), decidedUpTo: this._decidedUpTo() };
  }

  /** Retains the ledger: hosts don't resend their counts if the reporter is the same process as before. */
  taken(): void {
    this._acquiredMs = this._context.clock.nowMs();
    this._progress = undefined;
    this._decided = new Map();
    this._failures = 0;
  }

  tick(): void {
    this._checkPause();
    if (this._isBusy || this._context.clock.nowMs() < this._pausedUntilMs) return;
    this._isBusy = true;
    this._duty.track(this._step());
  }

  private async _step(): Promise<void> {
    if (await this._processNext()) this._pausedUntilMs = -Infinity;
    else this._pause();
    this._isBusy = false;
  }

  /** Performs the next step; returns false if it failed and must be retried after a pause. */
  private async _processNext(): Promise<boolean> {
    const progress = this._progress ?? (await this._readProgress());
    if (!progress) return false;
    const window = progress.settledUpTo + 1;
    if (!this._isDue(window)) {
      await this._storePending(progress.revision);
      return true;
    }
    const report = this._decided.get(window) ?? (await this._decide(window, progress.revision));
    if (!report) return false;
    const answer = await this._send(report);
    if (answer === 'not-holder') return true;
    this._logSent(report, answer);
    if (answer === 'accepted' || answer === 'refused') return this._settle(window, progress.revision);
    this._countFailure(answer);
    return false;
  }

  /** Reads the progress of the previous holder. Windows whose reports are overdue are skipped and logged. */
  private async _readProgress(): Promise<UsageReporter['_progress']> {
    const read = await this._records.read();
    if (!read.ok) return undefined;
    const { settledUpTo, revision, decided, told } = read.value;
    const { windowMs, dueMs } = this._options;
    if (settledUpTo === undefined) return this._initializeAt(windowAt(this._trueMs(), windowMs) - 1);
    const firstReportable = windowAt(this._trueMs() - dueMs, windowMs);
    const from = Math.max(settledUpTo, firstReportable - 1);
    if (from > settledUpTo)
      this._context.log.warn('usage lost', {
        window: settledUpTo + 1,
        windows: from - settledUpTo,
        reason: 'no host could report in time',
      });
    for (const report of decided) if (report.window > from) this._decided.set(report.window, report);
    for (const usage of told) this._ledger.told(usage);
    this._ledger.dropThrough(from);
    this._progress = { settledUpTo: from, revision };
    return this._progress;
  }

  /** Stores the initial progress at once, so that a successor does not start with a later window. */
  private async _initializeAt(settledUpTo: number): Promise<UsageReporter['_progress']> {
    const settled = await this._records.settle(settledUpTo, 0);
    if (settled.ok) this._progress = { settledUpTo, revision: settled.value };
    return this._progress;
  }

  /** Stores the undecided usage for a successor. If it is too large, stores only that of this process. */
  private async _storePending(revision: number): Promise<void> {
    const nowMs = this._context.clock.nowMs();
    if (nowMs < this._nextStoreMs) return;
    this._nextStoreMs = nowMs + STORE_INTERVAL_MS;
    const all = JSON.stringify(this._ledger.undecided());
    const text = all.length <= MAX_STORED_CHARS ? all : JSON.stringify(this._ownUsage());
    if (text === this._storedText || text.length > MAX_STORED_CHARS) return;
    if (await this._records.storePending(text, revision)) this._storedText = text;
  }

  private _ownUsage(): readonly ProcessUsage[] {
    return this._ledger.undecided().filter(({ incarnation }) => incarnation === this._context.incarnation);
  }

  /** Returns true if a window can be decided: no more usage is expected, or no more time is left. */
  private _isDue(window: number): boolean {
    const { windowMs, dueMs } = this._options;
    const sinceEndMs = this._trueMs() - windowEndMs(window, windowMs);
    // A host that was idle may have counted requests recently.
    if (sinceEndMs < sendIntervalMs(this._ports.hosts.peers().length) + DELIVERY_SLACK_MS) return false;
    if (this._decided.has(window) || sinceEndMs >= dueMs - SEND_RESERVE_MS) return true;
    if (this._context.clock.nowMs() < this._acquiredMs + RESEND_MS) return false;
    return this._missing(window).length === 0;
  }

  private _missing(window: number): readonly string[] {
    return this._ledger
      .missing(window)
      .filter(({ hostId, incarnation }) => this._isAlive(hostId, incarnation))
      .map(({ hostId }) => hostId);
  }

  private _isAlive(hostId: string, incarnation: string): boolean {
    if (hostId === this._context.hostId) return incarnation === this._context.incarnation;
    return this._ports.hosts.peers().some(peer => peer.hostId === hostId && peer.incarnation === incarnation);
  }

  private async _decide(window: number, revision: number): Promise<UsageReport | undefined> {
    const counts = this._ledger.countsOf(window);
    const missing = this._missing(window);
    const decided = await this._records.decide({ window, counts }, revision);
    this._context.log.info('usage decided', {
      window,
      outcome: decided.ok ? 'decided' : decided.error,
      requests: decided.ok ? totalOf(decided.value.counts) : undefined,
      missing: missing.join(' '),
    });
    if (decided.ok) {
      this._decided.set(window, decided.value);
      return decided.value;
    }
    if (decided.error === 'progressed') this._progress = undefined;
    return undefined;
  }

  private async _send(report: UsageReport): Promise<DutyAnswer | 'not-holder'> {
    const fencingToken = this._duty.token();
    if (fencingToken === undefined || !this._duty.canActOn(SUBJECT)) return 'not-holder';
    this._duty.recordActionOn(SUBJECT, this._context.clock.nowMs() + CONNECT_TIMEOUT_MS);
    const dutyHolder = { holder: this._context.hostId, fencingToken };
    const timeouts = { connectMs: CONNECT_TIMEOUT_MS, answerMs: ANSWER_TIMEOUT_MS };
    return this._ports.duties.reportUsage(dutyHolder, report, timeouts);
  }

  private async _settle(window: number, revision: number): Promise<boolean> {
    this._failures = 0;
    const settled: Result<number, string> = await this._records.settle(window, revision);
    if (!settled.ok) {
      // The report was answered; the progress is read again before the next step.
      this._progress = undefined;
      return false;
    }
    this._progress = { settledUpTo: window, revision: settled.value };
    this._decided.delete(window);
    this._ledger.dropThrough(window);
    return true;
  }

  private _countFailure(answer: DutyAnswer): void {
    this._failures = answer === 'busy' ? 0 : this._failures + 1;
    if (this._failures < MAX_FAILURES) return;
    this._failures = 0;
    this._context.log.warn('usage lease', { change: 'yielded', reason: answer });
    // Not awaited: it waits for this step to end.
    void this._duty.yieldFor(YIELD_MS);
  }

  private _pause(): void {
    const { clock, random } = this._context;
    this._pausedUntilMs = clock.nowMs() + RETRY_MS + random.below(RETRY_MS);
  }

  /** Last window to which no usage can be added. */
  private _decidedUpTo(): number {
    const settledUpTo = this._progress?.settledUpTo ?? -1;
    return this._decided.has(settledUpTo + 1) ? settledUpTo + 1 : settledUpTo;
  }

  private _logLate({ hostId, windows }: UsageUpdate): void {
    for (const { window, counts } of windows) {
      if (window > this._decidedUpTo()) continue;
      if (totalOf(counts) > 0 && !this._decided.has(window))
        this._context.log.info('late usage update', { window, of: hostId, requests: totalOf(counts) });
    }
  }

  private _logSent(report: UsageReport, answer: DutyAnswer): void {
    const sinceEndMs = this._trueMs() - windowEndMs(report.window, this._options.windowMs);
    this._context.metrics.duties.inc({ duty: SUBJECT, answer });
    this._context.log.info('usage report', {
      window: report.window,
      answer,
      requests: totalOf(report.counts),
      accounts: Object.keys(report.counts).length,
      sinceEndMs: Math.round(sinceEndMs),
    });
  }

  /** True time by the clocks of most hosts, including this one. */
  private _trueMs(): number {
    const { clock, hostId } = this._context;
    const nowMs = clock.nowMs();
    this._clockEstimator.observe(hostId, clock.wallMs(), nowMs);
    return nowMs + (this._clockEstimator.offsetMs(nowMs) ?? clock.wallMs() - nowMs);
  }

  private _checkPause(): void {
    if (this._pauses.wasPaused()) this._clockEstimator.reset();
  }
}
