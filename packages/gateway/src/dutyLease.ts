/**
 * Exclusive lease on a duty, such as ordering the endpoints of a failure domain.
 *
 * Some targets don't check fencing tokens, so two holders must never act concurrently. A holder acts only well within
 * its lease, measured from when the renewal was sent; a new holder waits until actions of the previous one must have
 * ended; and after a pause of the process the holder does not act until the store has renewed the lease.
 */
import { sleep } from '@fuchsiahitch/base';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import {
  ActionTimes,
  encodeHandover,
  LeaseGuard,
  PauseDetector,
  waitForSubjectMs,
  type DutyHandover,
} from '@fuchsiahitch/duties';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';
import { StoreLease, type LeaseTimes } from './storeLease.js';

const TICK_MS = 100;
/** Lets the host of the previous holder reacquire the lease after a restart, since it needs no handover wait. */
const LAST_HOLDER_GRACE_MS = 700;
/**
 * Delay between consecutive candidates, so that they don't all call the store when a key becomes free. Long enough for
 * a candidate to see that an earlier one has acquired the key, which takes 0.25 s and the time of two calls.
 */
const ACQUIRE_STEP_MS = 400;
/** Later candidates all wait equally long: it is unlikely that this many earlier ones fail at once. */
const MAX_ACQUIRE_STEPS = 8;
/** While hosts start, their views of the peers differ, and several may consider themselves the first candidate. */
const ACQUIRE_JITTER_MS = 150;
/** Additional delay before hosts of other failure domains take over the lease of a domain without live hosts. */
const FOREIGN_DOMAIN_DELAY_MS = 3000;

export interface DutyTimes extends LeaseTimes {
  /** How long a renewal allows the holder to act; a successor waits for this time to pass. */
  readonly validityMs: number;
  /** The holder stops acting this long before the validity ends, to cover actions in transit. */
  readonly marginMs: number;
  /** Minimum time between actions of two holders on one subject, required by the platform. */
  readonly handoverMs: number;
}

/** Identifies a duty and the store keys of its holder and of the last handover record. */
export interface DutyName {
  /** Log message for changes of this lease. */
  readonly label: string;
  readonly key: string;
  readonly lastKey: string;
  /** Failure domain whose live hosts are preferred as holders; undefined if any host may hold the duty. */
  readonly domain: string | undefined;
}

/** Callbacks of a duty's implementation. */
export interface Duty {
  /** Called when this host becomes the holder. */
  taken(): void;
  /** Called every 100 ms while this host holds the duty and the wait for the previous holder is over. */
  tick(): void;
}

export type DutyHosts = Pick<Hosts, 'isSynced' | 'isHeld' | 'isOwnDomain' | 'onKeyChange' | 'peers'>;

export interface DutyPorts {
  readonly store: RevisionedStore;
  readonly hosts: DutyHosts;
  /** Handover record of the last holder, available even if the duty has no holder now. */
  readonly lastHandover: () => DutyHandover | undefined;
}

export class DutyLease {
  private readonly _context: GatewayContext;
  private readonly _ports: DutyPorts;
  private readonly _name: DutyName;
  private readonly _times: DutyTimes;
  private readonly _duty: Duty;
  private readonly _lease: StoreLease;
  private readonly _guard: LeaseGuard;
  private readonly _pauses: PauseDetector;
  private readonly _actionTimes: ActionTimes;
  private readonly _pendingActions = new Set<Promise<unknown>>();
  private _previousHandover: DutyHandover | undefined;
  private _acquiredMs = -Infinity;
  private _isReleased = false;
  private _isTicking = false;
  private _token: number | undefined;
  private _actAfterMs = Infinity;
  private _acquireAfterMs: number | undefined;
  private _yieldUntilMs = -Infinity;

  constructor(context: GatewayContext, ports: DutyPorts, name: DutyName, times: DutyTimes, duty: Duty) {
    this._context = context;
    this._ports = ports;
    this._name = name;
    this._times = times;
    this._duty = duty;
    this._actionTimes = new ActionTimes(times.handoverMs);
    this._guard = new LeaseGuard(context.clock, { leaseMs: times.validityMs, marginMs: times.marginMs });
    this._pauses = new PauseDetector(context.clock);
    this._lease = new StoreLease(context, ports.store, name.key, times, true, {
      value: () => context.hostId,
      acquireDelayMs: () => this._acquireDelayMs(),
      held: (token, sentMs) => this._onHeld(token, sentMs),
      lost: reason => this._onLost(reason),
      extraWrites: () => [{ kind: 'put', key: name.lastKey, value: this._handover() }],
    });
  }

  start(): void {
    this._ports.hosts.onKeyChange(this._name.key, () => this._lease.recheck());
    this._lease.start();
  }

  isHolder(): boolean {
    return this._token !== undefined;
  }

  /**
   * Fencing token for an action now; undefined if this host may not act. Also checked by operations that began under an
   * earlier lease: another host may have held the duty in between and may still act.
   */
  token(): number | undefined {
    return this._context.clock.nowMs() < this._actAfterMs ? undefined : this._guard.token();
  }

  /** Returns false while the previous holder may have acted on the subject within the handover time. */
  canActOn(subject: string): boolean {
    const waitMs = waitForSubjectMs(this._previousHandover, subject, this._times.handoverMs);
    return this._context.clock.nowMs() >= this._acquiredMs + waitMs;
  }

  /** Records an action on the subject that arrives at its target by `latestMs`. */
  recordActionOn(subject: string, latestMs: number): void {
    this._actionTimes.recordAction(subject, latestMs);
  }

  /** Registers an action that must end before the lease is released. */
  track(running: Promise<unknown>): void {
    this._pendingActions.add(running);
    void running.then(() => this._pendingActions.delete(running));
  }

  /** Releases the duty after pending actions have ended. */
  async stop(): Promise<void> {
    await this._endActions();
    await this._lease.release();
  }

  /** Releases the duty and does not reacquire it for a while, for a host that cannot reach its target. */
  async yieldFor(durationMs: number): Promise<void> {
    this._yieldUntilMs = this._context.clock.nowMs() + durationMs;
    await this._endActions();
    await this._lease.relinquish();
    this._isReleased = false;
  }

  private async _endActions(): Promise<void> {
    this._guard.invalidate();
    this._token = undefined;
    this._isReleased = true;
    await Promise.all(this._pendingActions);
  }

  /** Encodes the recent actions of this holder and of its predecessors for a successor. */
  private _handover(): string {
    const { clock, hostId } = this._context;
    // Actions of the previous holder may still be within the handover time. Their ages are not updated, which only
    // prolongs the wait.
    const before = this._previousHandover?.quietMs ?? {};
    const quietMs = { ...before, ...this._actionTimes.quietMs(clock.nowMs()) };
    return encodeHandover({ hostId, isReleased: this._isReleased, quietMs });
  }

  /** Staggers hosts that observe a free key at the same time. */
  private _acquireDelayMs(): number {
    const { hosts } = this._ports;
    if (!hosts.isSynced() || hosts.isHeld(this._name.key)) {
      this._acquireAfterMs = undefined;
      return Infinity;
    }
    const nowMs = this._context.clock.nowMs();
    this._acquireAfterMs ??= nowMs + this._ownAcquireDelayMs();
    const acquireAfterMs = Math.max(this._acquireAfterMs, this._yieldUntilMs);
    if (nowMs < acquireAfterMs) return acquireAfterMs - nowMs;
    this._previousHandover = this._ports.lastHandover();
    // Covers the store call as well: a pause during it invalidates the acquired lease.
    this._pauses.reset();
    return 0;
  }

  /** Delay before this host acquires a free key. The last holder goes first: it need not wait for its own actions. */
  private _ownAcquireDelayMs(): number {
    const last = this._ports.lastHandover();
    if (last?.hostId === this._context.hostId) return 0;
    const { domain } = this._name;
    const foreignDomainMs =
      domain === undefined || domain === this._context.domain ? 0 : FOREIGN_DOMAIN_DELAY_MS;
    const lastHolderMs = last === undefined || last.isReleased ? 0 : LAST_HOLDER_GRACE_MS;
    const rankDelayMs = Math.min(this._candidateRank(), MAX_ACQUIRE_STEPS) * ACQUIRE_STEP_MS;
    return foreignDomainMs + lastHolderMs + rankDelayMs + this._context.random.below(ACQUIRE_JITTER_MS);
  }

  /** Number of candidates that precede this host. For its own domain's duty, only hosts of that domain count. */
  private _candidateRank(): number {
    const { hosts } = this._ports;
    const isCandidate = (hostId: string): boolean =>
      this._name.domain !== this._context.domain || hosts.isOwnDomain(hostId);
    const { hostId } = this._context;
    return hosts.peers().filter(peer => peer.hostId < hostId && isCandidate(peer.hostId)).length;
  }

  private _onHeld(token: number, sentMs: number): void {
    // A renewal that was in flight when this host released the duty: a successor may already act.
    if (this._isReleased) return;
    this._guard.renewed(token, sentMs);
    if (this._token === token) return;
    this._token = token;
    // If the lease was revoked rather than expired, the previous holder may act until its validity ends. If it released
    // the duty, or was this host, only the subjects of its recent actions require a wait.
    const areActionsKnown =
      this._previousHandover?.isReleased === true || this._previousHandover?.hostId === this._context.hostId;
    const waitMs = areActionsKnown ? 0 : this._times.handoverMs + this._times.validityMs;
    this._acquiredMs = this._context.clock.nowMs();
    this._actAfterMs = this._acquiredMs + waitMs;
    this._duty.taken();
    if (!this._isTicking) void this._tickWhileHeld();
    this._log({ change: 'held', fencingToken: token, waitMs });
  }

  private _onLost(reason: string): void {
    this._guard.invalidate();
    this._token = undefined;
    this._log({ change: 'lost', reason });
  }

  /** Runs no timer on hosts that do not hold the duty. */
  private async _tickWhileHeld(): Promise<void> {
    const { clock, stopped } = this._context;
    this._isTicking = true;
    while (this._token !== undefined && !stopped.aborted) {
      this._tick();
      await sleep(clock, TICK_MS, stopped);
    }
    this._isTicking = false;
  }

  private _tick(): void {
    if (this._pauses.wasPaused()) {
      this._guard.invalidate();
      this._log({ change: 'paused', reason: 'process was paused; no actions until the lease is renewed' });
    }
    if (this._context.clock.nowMs() >= this._actAfterMs) this._duty.tick();
  }

  private _log(details: Readonly<Record<string, string | number>>): void {
    const { label, domain } = this._name;
    const line = { ...details, of: domain };
    if (details.change === 'held') this._context.log.info(label, line);
    else this._context.log.warn(label, line);
  }
}
