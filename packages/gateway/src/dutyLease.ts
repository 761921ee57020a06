/**
 * The right to a duty that one host has at a time, such as the orders to the endpoints of a failure domain.
 *
 * What goes wrong without the care taken here: two hosts act in turns, because one was paused past its lease or cut off from the
 * store, and whoever doesn't check fencing tokens goes back to what the older one said. So a host acts only well inside its
 * lease, counted from when the renewal was sent; a new holder waits until any act of the former one is certainly over; and a
 * pause of the process ends the right to act until the store has renewed it.
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
/** The last holder's host may be back within a second after a restart, and then needs no wait. */
const LAST_HOLDER_GRACE_MS = 700;
/**
 * Of the hosts that want the lease each leaves it so long to the one before it: longer than until it knows that the key is
 * held, as hosts hear of that within 0.25 s and the time of two calls. Where all of them asked the store at once, one key that
 * became free would cost it three calls of each host.
 */
const ACQUIRE_STEP_MS = 400;
/** Hosts further behind than this all wait alike: so many before them are hardly lost at once. */
const MAX_ACQUIRE_STEPS = 8;
/** Hosts that know of different hosts, as while all of them start, may each take themselves for the first. */
const ACQUIRE_JITTER_MS = 150;
/** A domain without a living host of its own: hosts of other domains wait this much longer for its lease. */
const FOREIGN_DOMAIN_DELAY_MS = 3000;

export interface DutyTimes extends LeaseTimes {
  /** The holder counts on its lease for this long from a renewal: what a successor must wait out. */
  readonly validityMs: number;
  /** An act is on its way for at most this long before the right can end. */
  readonly marginMs: number;
  /** Acts of two holders on one subject must be further apart than this: the platform's bound. */
  readonly handoverMs: number;
}

/** Which duty, and where its holder and what the last one left are written. */
export interface DutyName {
  /** As logs name it. */
  readonly label: string;
  readonly key: string;
  readonly lastKey: string;
  /** The failure domain whose hosts have it as long as one lives; undefined where any host serves as well. */
  readonly domain: string | undefined;
}

/** What a holder does. */
export interface Duty {
  /** This host has become the holder. */
  taken(): void;
  /** Ten times a second, while this host holds the duty and need not wait for the holder before it. */
  tick(): void;
}

export type DutyHosts = Pick<Hosts, 'isSynced' | 'isHeld' | 'isOwnDomain' | 'onKeyChange' | 'peers'>;

export interface DutyPorts {
  readonly store: RevisionedStore;
  readonly hosts: DutyHosts;
  /** What the last holder left, also when nobody holds the duty now. */
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
  /** What the holder before this one left. */
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

  /** True if this host has the duty. */
  isHolder(): boolean {
    return this._token !== undefined;
  }

  /**
   * The fencing token of an act now; undefined when this host may not act. What began under an earlier lease may come back under a
   * new one, while the holder between the two may still act.
   */
  token(): number | undefined {
    return this._context.clock.nowMs() < this._actAfterMs ? undefined : this._guard.token();
  }

  /** False while the holder before this one may just have acted on the subject. */
  canActOn(subject: string): boolean {
    const waitMs = waitForSubjectMs(this._previousHandover, subject, this._times.handoverMs);
    return this._context.clock.nowMs() >= this._acquiredMs + waitMs;
  }

  /** An act on the subject is sent, and arrives at `latestMs` at the latest. */
  recordAct(subject: string, latestMs: number): void {
    this._actionTimes.recordAction(subject, latestMs);
  }

  /** A successor counts from the end of what runs. */
  track(running: Promise<unknown>): void {
    this._pendingActions.add(running);
    void running.then(() => this._pendingActions.delete(running));
  }

  /** Gives the duty up. What is on its way ends first: the successor counts from it. */
  async stop(): Promise<void> {
    await this._endActions();
    await this._lease.release();
  }

  /** Leaves the duty to other hosts for a while, as one does who can't reach what it has to call. */
  async yieldFor(durationMs: number): Promise<void> {
    this._yieldUntilMs = this._context.clock.nowMs() + durationMs;
    await this._endActions();
    await this._lease.relinquish();
    this._isReleased = false;
  }

  private async _endActions(): Promise<void> {
    this._guard.lost();
    this._token = undefined;
    this._isReleased = true;
    await Promise.all(this._pendingActions);
  }

  /** What a successor must know of this holder's acts, and of those before it. */
  private _handover(): string {
    const { clock, hostId } = this._context;
    // A holder that gives the right up soon after taking it passes on what it was told: ages only grow meanwhile.
    const before = this._previousHandover?.quietMs ?? {};
    const quietMs = { ...before, ...this._actionTimes.quietMs(clock.nowMs()) };
    return encodeHandover({ hostId, isReleased: this._isReleased, quietMs });
  }

  /** Hosts that see the key gone at the same time don't all ask the store at once. */
  private _acquireDelayMs(): number {
    const { hosts } = this._ports;
    if (!hosts.isSynced() || hosts.isHeld(this._name.key)) {
      this._acquireAfterMs = undefined;
      return Infinity;
    }
    const nowMs = this._context.clock.nowMs();
    this._acquireAfterMs ??= nowMs + this._ownAcquireDelayMs();
    const wantsAfterMs = Math.max(this._acquireAfterMs, this._yieldUntilMs);
    if (nowMs < wantsAfterMs) return wantsAfterMs - nowMs;
    this._previousHandover = this._ports.lastHandover();
    // A pause while the store is asked counts as well.
    this._pauses.reset();
    return 0;
  }

  /** How long this host leaves a free key to others: the last holder need not wait for its own acts. */
  private _ownAcquireDelayMs(): number {
    const last = this._ports.lastHandover();
    if (last?.hostId === this._context.hostId) return 0;
    const { domain } = this._name;
    const waitMs = domain === undefined || domain === this._context.domain ? 0 : FOREIGN_DOMAIN_DELAY_MS;
    const lastHolderMs = last === undefined || last.isReleased ? 0 : LAST_HOLDER_GRACE_MS;
    const rankDelayMs = Math.min(this._rank(), MAX_ACQUIRE_STEPS) * ACQUIRE_STEP_MS;
    return waitMs + lastHolderMs + rankDelayMs + this._context.random.below(ACQUIRE_JITTER_MS);
  }

  /** The hosts that take the key before this one: those of the own domain for its duty, and any for another domain's. */
  private _rank(): number {
    const { hosts } = this._ports;
    const isCandidate = (hostId: string): boolean =>
      this._name.domain !== this._context.domain || hosts.isOwnDomain(hostId);
    const { hostId } = this._context;
    return hosts.peers().filter(peer => peer.hostId < hostId && isCandidate(peer.hostId)).length;
  }

  private _onHeld(token: number, sentMs: number): void {
    // A renewal that was on its way when this host gave the right up: its successor may act by now.
    if (this._isReleased) return;
    this._guard.renewed(token, sentMs);
    if (this._token === token) return;
    this._token = token;
    // The former holder's lease may have been revoked rather than run out: it may act until its own end. Where it gave the right
    // up, or was this host, there is nobody to wait for but the subjects that it acted on last.
    const isKnown =
      this._previousHandover?.isReleased === true || this._previousHandover?.hostId === this._context.hostId;
    const waitMs = isKnown ? 0 : this._times.handoverMs + this._times.validityMs;
    this._acquiredMs = this._context.clock.nowMs();
    this._actAfterMs = this._acquiredMs + waitMs;
    this._duty.taken();
    if (!this._isTicking) void this._tickWhileHeld();
    this._log({ change: 'held', fencingToken: token, waitMs });
  }

  private _onLost(reason: string): void {
    this._guard.lost();
    this._token = undefined;
    this._log({ change: 'lost', reason });
  }

  /** Hosts that hold nothing have no turns: of each duty one host has them, and the fleet may be large. */
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
      this._guard.lost();
      this._log({ change: 'paused', reason: 'this process stood still: nothing until the lease is renewed' });
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
