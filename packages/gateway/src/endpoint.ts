/**
 * This host's view of one endpoint instance: a single start of an endpoint process.
 */
import { setMaxListeners } from 'node:events';
import type { Clock } from '@fuchsiahitch/base';
import { BaselineSpeed, PaceEstimator } from '@fuchsiahitch/batches';
import { ConcurrencyLimit, EndpointStats } from '@fuchsiahitch/requests';
import type { EndpointInfo, EndpointLoad } from './ports.js';

/**
 * Age up to which a load report is used. Other hosts' requests change the load within a second, and an older report
 * would keep slots unused that are free again.
 */
const REPORTED_LOAD_VALID_MS = 1000;
/**
 * Upper bound of the ejection of an endpoint whose requests failed. Shorter than a typical outage, since a probe only
 * costs one request, which is then retried elsewhere.
 */
const MAX_EJECTION_MS = 2000;
/** A weight load that is not visible by then is assumed to have failed. */
const LOAD_TIMEOUT_MS = 2500;

/** How long a version from an answer takes precedence over the endpoint's record: two heartbeats and a margin. */
const ANSWER_VALID_MS = 2500;

/**
 * How long an endpoint is avoided after a connection failed or another instance answered at its address. The record of
 * a terminated endpoint expires within seconds; if only the network was interrupted, the endpoint is soon tried again.
 */
const UNREACHABLE_BACKOFF_MS = 1000;

/** How long after its last event a pace measured by this host takes precedence over reports of other hosts. */
const OWN_PACE_VALID_MS = 3000;
/** Steps begin every few seconds, and slow endpoints recover within ten seconds. */
const REPORTED_PACE_VALID_MS = 10_000;

/** A weight version in an answer that is older than the version known before. */
interface DowngradedVersion {
  readonly version: number;
  readonly untilMs: number;
}

/** A pace measured by another host. */
interface ReportedPace {
  readonly paceMs: number;
  readonly untilMs: number;
}

/** A weight load that was ordered and is not known to be complete. */
interface PendingLoad {
  readonly model: string;
  readonly version: number;
  readonly untilMs: number;
}

/** A free slot that this host keeps for one item until it is released or expires. */
export interface SlotReservation {
  /** False once it was released or has expired. */
  isValid(): boolean;
  release(): void;
}

export class Endpoint {
  readonly stats: EndpointStats;
  readonly limit: ConcurrencyLimit;
  /** Required by `EndpointPicker`, but unused: only items require a weight version, and they use `versionOf`. */
  readonly version = '';
  private readonly _clock: Clock;
  private readonly _reportedVersions = new Map<string, number>();
  private readonly _downgradedVersions = new Map<string, DowngradedVersion>();
  private readonly _replaced = new AbortController();
  private _info: EndpointInfo;
  private _successorStartWallMs = Infinity;
  private _isMarkedLeaving = false;
  private _itemsSuspendedUntilMs = -Infinity;
  private _unreachableUntilMs = -Infinity;
  private readonly _pace = new PaceEstimator();
  private _lastEventMs = -Infinity;
  private _reportedPace: ReportedPace | undefined;
  private _pendingLoad: PendingLoad | undefined;
  private readonly _baselineSpeed = new BaselineSpeed();
  /** Expiry times of reserved slots. Batches of one host share this object and therefore see each other's reservations. */
  private readonly _reservations = new Map<SlotReservation, number>();

  constructor(info: EndpointInfo, clock: Clock) {
    this._info = info;
    this._clock = clock;
    this.stats = new EndpointStats(clock, REPORTED_LOAD_VALID_MS, MAX_EJECTION_MS);
    this.limit = new ConcurrencyLimit(info.slots, 1);
    // Every running item attempt adds a listener.
    setMaxListeners(0, this._replaced.signal);
  }

  get id(): string {
    return this._info.id;
  }

  get domain(): string {
    return this._info.domain;
  }

  get pool(): string {
    return this._info.pool;
  }

  /** Leaving is final for an instance, whichever source reports it first. */
  get isLeaving(): boolean {
    return this._info.isLeaving || this._isMarkedLeaving;
  }

  info(): EndpointInfo {
    return this._info;
  }

  /** Distinguishes this instance from others with the same identifier. */
  startId(): string {
    return `${this._info.id}@${this._info.startWallMs}`;
  }

  /** True if a reported start time is not this instance's; false if its record names none. */
  isOtherStart(startWallMs: number): boolean {
    const ownMs = this._info.startWallMs;
    return ownMs !== 0 && startWallMs !== ownMs;
  }

  /** Aborted when another instance has replaced this one. */
  get replaced(): AbortSignal {
    return this._replaced.signal;
  }

  /** Wall time at which the replacing instance started; Infinity if this one was not replaced. */
  successorStartWallMs(): number {
    return this._successorStartWallMs;
  }

  markReplaced(info: EndpointInfo): void {
    this._isMarkedLeaving = true;
    this._successorStartWallMs = info.startWallMs;
    this._replaced.abort();
  }

  update(info: EndpointInfo): void {
    for (const [model, version] of info.versions)
      if (version !== this._info.versions.get(model)) this._downgradedVersions.delete(model);
    this._info = { ...info, isLeaving: info.isLeaving || this._info.isLeaving };
  }

  markLeaving(): void {
    this._isMarkedLeaving = true;
  }

  /** Records the load that the endpoint reported itself. */
  recordLoad(load: EndpointLoad): void {
    this.limit.onLoadReport(load.waiting, this.stats.inFlight());
    this.stats.onLoadReport({
      inFlight: load.running,
      queued: load.waiting,
      version: '',
      startId: this.startId(),
      isLeaving: false,
      workPercent: load.workPercent,
    });
    if (load.workPercent !== undefined) this._baselineSpeed.add(load.workPercent, this._clock.nowMs());
  }

  /** The lowest recent percentage of the normal duration of work; undefined without a recent report. */
  baselinePercent(): number | undefined {
    return this._baselineSpeed.percent(this._clock.nowMs());
  }

  /** The newest version known from the endpoint's heartbeats and answers, unless a recent answer named an older one. */
  versionOf(model: string): number {
    const downgraded = this._downgradedVersions.get(model);
    if (downgraded && this._clock.nowMs() < downgraded.untilMs) return downgraded.version;
    return Math.max(this._info.versions.get(model) ?? 0, this._reportedVersions.get(model) ?? 0);
  }

  recordVersion(model: string, version: number): void {
    this._reportedVersions.set(model, Math.max(version, this._reportedVersions.get(model) ?? 0));
    if (version > (this._downgradedVersions.get(model)?.version ?? Infinity))
      this._downgradedVersions.delete(model);
  }

  /**
   * Records the version named by an answer. An older version than known takes precedence for `ANSWER_VALID_MS`, so that
   * items are not sent back at once and refused again for their version.
   */
  recordAnsweredVersion(model: string, version: number): void {
    if (version >= this.versionOf(model)) {
      this.recordVersion(model, version);
      return;
    }
    this._reportedVersions.delete(model);
    this._downgradedVersions.set(model, { version, untilMs: this._clock.nowMs() + ANSWER_VALID_MS });
  }

  /** Records that this host or another ordered a weight load. */
  loadBegan(model: string, version: number): void {
    this._pendingLoad = { model, version, untilMs: this._clock.nowMs() + LOAD_TIMEOUT_MS };
  }

  isLoading(): boolean {
    if (!this._pendingLoad || this._clock.nowMs() >= this._pendingLoad.untilMs) return false;
    return this.versionOf(this._pendingLoad.model) < this._pendingLoad.version;
  }

  /** The current version or, during a load, the version that is being loaded. */
  expectedVersionOf(model: string): number {
    const version = this.versionOf(model);
    const isLoadOfModel = this._pendingLoad?.model === model && this.isLoading();
    return isLoadOfModel ? Math.max(version, this._pendingLoad?.version ?? 0) : version;
  }

  /** Sends no items for the duration, after the endpoint refused one because it is full or loads weights. */
  suspendItemsFor(durationMs: number): void {
    this._itemsSuspendedUntilMs = Math.max(this._itemsSuspendedUntilMs, this._clock.nowMs() + durationMs);
  }

  /** Records that a connection to its address failed, or that another instance answered there. */
  markUnreachable(): void {
    this._unreachableUntilMs = this._clock.nowMs() + UNREACHABLE_BACKOFF_MS;
  }

  /** True while requests should prefer other endpoints. */
  isUnreachable(): boolean {
    return this._clock.nowMs() < this._unreachableUntilMs;
  }

  /** Number of items that this host may send now, without those for which slots are reserved. */
  freeSlots(): number {
    return Math.max(0, this._openSlots() - this._reservedSlots());
  }

  /** True if an item with a reservation may be sent now: other hosts may have taken the slot. */
  hasOpenSlot(): boolean {
    return this._openSlots() > 0;
  }

  /** Keeps a free slot for `validMs`; undefined if there is none. Other hosts don't know of it. */
  reserveSlot(validMs: number): SlotReservation | undefined {
    if (this.freeSlots() <= 0) return undefined;
    const reservation: SlotReservation = {
      isValid: () => this._clock.nowMs() < (this._reservations.get(reservation) ?? -Infinity),
      release: () => void this._reservations.delete(reservation),
    };
    this._reservations.set(reservation, this._clock.nowMs() + validMs);
    return reservation;
  }

  private _openSlots(): number {
    if (this.isLeaving || !this.stats.isUsable() || this._clock.nowMs() < this._itemsSuspendedUntilMs)
      return 0;
    return Math.max(0, this._info.slots - this.stats.estimatedLoad());
  }

  private _reservedSlots(): number {
    const nowMs = this._clock.nowMs();
    for (const [reservation, untilMs] of this._reservations)
      if (nowMs >= untilMs) this._reservations.delete(reservation);
    return this._reservations.size;
  }

  /** Records the time between two events of a stream. */
  recordEventInterval(intervalMs: number): void {
    this._pace.addInterval(intervalMs);
    this._lastEventMs = this._clock.nowMs();
  }

  /** Records a pace measured by another host. */
  recordReportedPace(paceMs: number): void {
    this._reportedPace = { paceMs, untilMs: this._clock.nowMs() + REPORTED_PACE_VALID_MS };
  }

  /** The pace measured by this host; undefined without events within `OWN_PACE_VALID_MS`. */
  recentOwnPaceMs(): number | undefined {
    const isFresh = this._clock.nowMs() - this._lastEventMs < OWN_PACE_VALID_MS;
    return isFresh ? this._pace.estimateMs() : undefined;
  }

  /** The time between two events of a stream; undefined before enough events, on this host or another. */
  paceMs(): number | undefined {
    return this.recentOwnPaceMs() ?? this._reportedPaceMs() ?? this._pace.estimateMs();
  }

  private _reportedPaceMs(): number | undefined {
    const reported = this._reportedPace;
    return reported && this._clock.nowMs() < reported.untilMs ? reported.paceMs : undefined;
  }

  /** A rough pace, available from the first two events on. */
  provisionalPaceMs(): number | undefined {
    return this._pace.provisionalEstimateMs();
  }
}
