/**
 * One endpoint as this host knows it.
 */
import { setMaxListeners } from 'node:events';
import type { Clock } from '@fuchsiahitch/base';
import { Pace } from '@fuchsiahitch/batches';
import { ConcurrencyLimit, EndpointStats } from '@fuchsiahitch/requests';
import type { EndpointInfo, EndpointLoad } from './ports.js';

/**
 * A load that an endpoint stated is used for so long. Other hosts' work on it comes and goes within a second,
 * and an older word would keep places empty that are free again.
 */
const REPORTED_LOAD_VALID_MS = 1000;
/**
 * An endpoint whose requests failed is tried again after no longer than this. Outages last 4 to 10 s, and a trial costs
 * one request that goes on elsewhere.
 */
const MAX_EJECTION_MS = 2000;
/** A load takes about a second, and two when many load: one that has not shown by then may have failed. */
const LOAD_TIMEOUT_MS = 2500;

/**
 * What an endpoint answered is believed over its record for so long: a heartbeat comes every second or so, and is read
 * within another.
 */
const ANSWER_VALID_MS = 2500;

/**
 * An endpoint at whose address nobody took a connection, or another start answered, is left out for so long. Its record lapses
 * seconds after its end; where it lives and only the way to it was cut, the next request looks again soon.
 */
const UNREACHABLE_BACKOFF_MS = 1000;

/** An own pace goes before what others tell for so long after its last event. */
const OWN_PACE_VALID_MS = 3000;
/** What another host found is believed for so long: steps begin every few seconds, and slow endpoints recover within ten. */
const REPORTED_PACE_VALID_MS = 10_000;

/** A weight version that an endpoint generated with, older than the one that it was known to have. */
interface DowngradedVersion {
  readonly version: number;
  readonly untilMs: number;
}

/** A pace that another host has found. */
interface ReportedPace {
  readonly paceMs: number;
  readonly untilMs: number;
}

/** A load of weights that an endpoint was ordered to do. */
interface PendingLoad {
  readonly model: string;
  readonly version: number;
  readonly untilMs: number;
}

export class Endpoint {
  readonly stats: EndpointStats;
  readonly limit: ConcurrencyLimit;
  /** Picking by version is for items only; they ask `versionOf`. */
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
  private readonly _pace = new Pace();
  private _lastIntervalMs = -Infinity;
  private _reportedPace: ReportedPace | undefined;
  private _pendingLoad: PendingLoad | undefined;

  constructor(info: EndpointInfo, clock: Clock) {
    this._info = info;
    this._clock = clock;
    this.stats = new EndpointStats(clock, REPORTED_LOAD_VALID_MS, MAX_EJECTION_MS);
    this.limit = new ConcurrencyLimit(info.slots, 1);
    // Each attempt at an item that runs there listens.
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

  /** Leaving is final for one start, whichever source says so first. */
  get isLeaving(): boolean {
    return this._info.isLeaving || this._isMarkedLeaving;
  }

  info(): EndpointInfo {
    return this._info;
  }

  /** Tells this start from others with the same identifier. */
  startId(): string {
    return `${this._info.id}@${this._info.startWallMs}`;
  }

  /** Aborted when another start has taken this one's place. */
  get replaced(): AbortSignal {
    return this._replaced.signal;
  }

  /** The wall time at which the start began that took this one's place; Infinity while this one lives. */
  successorStartWallMs(): number {
    return this._successorStartWallMs;
  }

  /** Another start has taken its place: nothing that is known of this one holds for that. */
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

  /** The endpoint's own word about its load. */
  recordLoad(load: EndpointLoad): void {
    this.limit.onLoadReport(load.waiting, this.stats.inFlight());
    this.stats.onLoadReport({
      inFlight: load.running,
      queued: load.waiting,
      version: '',
      startId: this.startId(),
      isLeaving: false,
    });
  }

  /** The newest version that the endpoint is known to have: by its heartbeat, or by an answer. */
  versionOf(model: string): number {
    const older = this._downgradedVersions.get(model);
    if (older && this._clock.nowMs() < older.untilMs) return older.version;
    return Math.max(this._info.versions.get(model) ?? 0, this._reportedVersions.get(model) ?? 0);
  }

  recordVersion(model: string, version: number): void {
    this._reportedVersions.set(model, Math.max(version, this._reportedVersions.get(model) ?? 0));
    if (version > (this._downgradedVersions.get(model)?.version ?? Infinity))
      this._downgradedVersions.delete(model);
  }

  /**
   * The version that an answer names. One that is older than the endpoint was known to have counts for a while: without
   * that its items come back to it at once, to be refused for their version over and over.
   */
  recordAnsweredVersion(model: string, version: number): void {
    if (version >= this.versionOf(model)) {
      this.recordVersion(model, version);
      return;
    }
    this._reportedVersions.delete(model);
    this._downgradedVersions.set(model, { version, untilMs: this._clock.nowMs() + ANSWER_VALID_MS });
  }

  /** It was ordered to load a version, by this host or another. */
  loadBegan(model: string, version: number): void {
    this._pendingLoad = { model, version, untilMs: this._clock.nowMs() + LOAD_TIMEOUT_MS };
  }

  /** True while it loads, as far as this host knows. */
  isLoading(): boolean {
    if (!this._pendingLoad || this._clock.nowMs() >= this._pendingLoad.untilMs) return false;
    return this.versionOf(this._pendingLoad.model) < this._pendingLoad.version;
  }

  /** The version that it has, or has as soon as the load that runs is done. */
  expectedVersionOf(model: string): number {
    const version = this.versionOf(model);
    const isLoadOfModel = this._pendingLoad?.model === model && this.isLoading();
    return isLoadOfModel ? Math.max(version, this._pendingLoad?.version ?? 0) : version;
  }

  /** Sends no items for a while: the endpoint refused one, because it is full or loads weights. */
  suspendItemsFor(durationMs: number): void {
    this._itemsSuspendedUntilMs = Math.max(this._itemsSuspendedUntilMs, this._clock.nowMs() + durationMs);
  }

  /** Nobody took a connection at its address just now, or it is another start's. */
  markUnreachable(): void {
    this._unreachableUntilMs = this._clock.nowMs() + UNREACHABLE_BACKOFF_MS;
  }

  /** True while requests had better go elsewhere, where there is another endpoint. */
  isUnreachable(): boolean {
    return this._clock.nowMs() < this._unreachableUntilMs;
  }

  /** Items that this host may send now. */
  freeSlots(): number {
    if (this.isLeaving || !this.stats.isUsable() || this._clock.nowMs() < this._itemsSuspendedUntilMs)
      return 0;
    return Math.max(0, this._info.slots - this.stats.estimatedLoad());
  }

  /** So much time passed between two events of a stream at this endpoint. */
  recordEventInterval(intervalMs: number): void {
    this._pace.addInterval(intervalMs);
    this._lastIntervalMs = this._clock.nowMs();
  }

  /** Another host has found the pace. */
  recordReportedPace(paceMs: number): void {
    this._reportedPace = { paceMs, untilMs: this._clock.nowMs() + REPORTED_PACE_VALID_MS };
  }

  /** The pace that this host found itself a moment ago; undefined where it has not. */
  recentOwnPaceMs(): number | undefined {
    const isFresh = this._clock.nowMs() - this._lastIntervalMs < OWN_PACE_VALID_MS;
    return isFresh ? this._pace.estimateMs() : undefined;
  }

  /** The time between two events of a stream at this endpoint; undefined before enough were seen, here or elsewhere. */
  paceMs(): number | undefined {
    return this.recentOwnPaceMs() ?? this._reportedPaceMs() ?? this._pace.estimateMs();
  }

  private _reportedPaceMs(): number | undefined {
    const heard = this._reportedPace;
    return heard && this._clock.nowMs() < heard.untilMs ? heard.paceMs : undefined;
  }

  /** As `paceMs`, from the first two events on. */
  provisionalPaceMs(): number | undefined {
    return this._pace.roughEstimateMs();
  }
}
