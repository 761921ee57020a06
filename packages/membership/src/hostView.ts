/**
 * A host's view of the other hosts of its failure domain, maintained by gossip.
 *
 * Each host pings one peer per second in shuffled order and piggybacks updates, so that its traffic does not grow with
 * the domain. The views of hosts may differ: operations that must not happen twice are fenced by an epoch
 * (docs/design/keys.md).
 */
import type { Clock, Random } from '@fuchsiahitch/base';
import * as z from 'zod';

export const memberStates = ['live', 'suspect', 'dead', 'leaving'] as const;
export type MemberState = (typeof memberStates)[number];

/**
 * `incarnation` identifies a process of the host; later processes have higher ones. The host increments `refutation`
 * when it leaves, and when it learns that peers consider it suspect or dead.
 */
export const memberUpdateSchema = z
  .strictObject({
    hostId: z.string(),
    incarnation: z.number(),
    refutation: z.number().int().min(0),
    state: z.enum(memberStates),
    address: z.string(),
  })
  .readonly();
export type MemberUpdate = z.infer<typeof memberUpdateSchema>;

export interface Member extends MemberUpdate {
  /** Monotonic time of the last change. */
  readonly sinceMs: number;
}

/** A suspect that does not refute within this time is considered dead. */
export const SUSPECT_TIMEOUT_MS = 3000;
/** Long enough for every host to learn that the member is dead. */
const REMOVE_DEAD_AFTER_MS = 120_000;
const UPDATES_PER_MESSAGE = 6;
/** The number of times that an update is sent, per doubling of the domain's size. */
const SENDS_PER_DOUBLING = 3;

const STATE_RANK: Readonly<Record<MemberState, number>> = { live: 0, leaving: 1, suspect: 2, dead: 3 };

export class HostView {
  private readonly _clock: Clock;
  private readonly _random: Random;
  private readonly _members = new Map<string, Member>();
  private readonly _sendsLeft = new Map<string, number>();
  private _self: MemberUpdate;
  private _pingQueue: string[] = [];

  constructor(self: { hostId: string; incarnation: number; address: string }, clock: Clock, random: Random) {
    this._self = { ...self, refutation: 0, state: 'live' };
    this._clock = clock;
    this._random = random;
  }

  self(): MemberUpdate {
    return this._self;
  }

  /** Marks this host as leaving: it continues to answer, but gets no new duties. */
  leave(): void {
    this._self = { ...this._self, state: 'leaving', refutation: this._self.refutation + 1 };
  }

  members(): readonly Member[] {
    return [...this._members.values()];
  }

  /** Returns the sorted identifiers of the hosts that can take duties, including this host unless it is leaving. */
  liveIds(): readonly string[] {
    const ids = this.members()
      .filter(member => member.state === 'live' || member.state === 'suspect')
      .map(member => member.hostId);
    if (this._self.state === 'live') ids.push(this._self.hostId);
    return ids.sort();
  }

  find(hostId: string): Member | undefined {
    return this._members.get(hostId);
  }

  /** Adds a host from the platform's membership list unless the view already has it. */
  addListedHost(hostId: string, address: string): void {
    if (hostId === this._self.hostId || this._members.has(hostId)) return;
    this._store({ hostId, address, incarnation: 0, refutation: 0, state: 'live' });
    // All hosts read the same list, so the update need not be sent.
    this._sendsLeft.delete(hostId);
  }

  /** Applies an update. The higher incarnation takes precedence, then the higher refutation, then the worse state. */
  apply(update: MemberUpdate): void {
    if (update.hostId === this._self.hostId) {
      this._refute(update);
      return;
    }
    const current = this._members.get(update.hostId);
    if (current && !isNewer(update, current)) return;
    this._store(update);
  }

  /**
   * Returns the peer to ping next. Includes dead peers until they are removed: after a partition, both sides consider
   * each other dead, and only pings correct this.
   */
  nextPing(): Member | undefined {
    for (;;) {
      if (this._pingQueue.length === 0 && !this._startRound()) return undefined;
      const member = this._members.get(this._pingQueue.pop() ?? '');
      if (member) return member;
    }
  }

  /** Records that a host answered a ping as this incarnation. */
  pingAnswered(hostId: string, incarnation: number): void {
    const current = this._members.get(hostId);
    if (!current) return;
    if (incarnation !== current.incarnation) {
      if (incarnation > current.incarnation)
        this._store({ ...current, incarnation, refutation: 0, state: 'live' });
      return;
    }
    // A direct answer overrides gossip. No update is sent, because the member refutes the suspicion itself.
    if (current.state === 'suspect' || current.state === 'dead')
      this._members.set(hostId, { ...current, state: 'live', sinceMs: this._clock.nowMs() });
  }

  /** Marks a host as suspect after direct and indirect pings were not answered. */
  pingFailed(hostId: string): void {
    const current = this._members.get(hostId);
    if (current && (current.state === 'live' || current.state === 'leaving'))
      this._store({ ...current, state: 'suspect' });
  }

  /** Marks expired suspects as dead and removes expired dead members. */
  tick(): void {
    const nowMs = this._clock.nowMs();
    for (const member of this._members.values()) {
      const ageMs = nowMs - member.sinceMs;
      if (member.state === 'suspect' && ageMs >= SUSPECT_TIMEOUT_MS)
        this._store({ ...member, state: 'dead' });
      if (member.state === 'dead' && ageMs >= REMOVE_DEAD_AFTER_MS) this._remove(member.hostId);
    }
  }

  /** Returns the updates for the next message: that of this host, then those with the most sends left. */
  updatesToSend(): readonly MemberUpdate[] {
    const pending = [...this._sendsLeft.entries()]
      .sort((a, b) => b[1] - a[1])
      .slice(0, UPDATES_PER_MESSAGE - 1);
    const updates: MemberUpdate[] = [this._self];
    for (const [hostId, left] of pending) {
      const member = this._members.get(hostId);
      if (member) updates.push(updateOf(member));
      if (left <= 1) this._sendsLeft.delete(hostId);
      else this._sendsLeft.set(hostId, left - 1);
    }
    return updates;
  }

  /** Returns the updates of all members, for a joining host. */
  allUpdates(): readonly MemberUpdate[] {
    return [this._self, ...this.members().map(updateOf)];
  }

  private _refute(update: MemberUpdate): void {
    // An earlier process of this host had a higher incarnation because its wall clock was ahead.
    if (update.incarnation > this._self.incarnation) {
      this._self = { ...this._self, incarnation: update.incarnation + 1, refutation: 0 };
      return;
    }
    const isThisIncarnation = update.incarnation === this._self.incarnation;
    const isReportedDown = update.state === 'suspect' || update.state === 'dead';
    if (isThisIncarnation && isReportedDown && update.refutation >= this._self.refutation) {
      this._self = { ...this._self, refutation: update.refutation + 1 };
    }
  }

  private _store(update: MemberUpdate): void {
    this._members.set(update.hostId, { ...updateOf(update), sinceMs: this._clock.nowMs() });
    const doublings = Math.max(1, Math.ceil(Math.log2(this._members.size + 1)));
    this._sendsLeft.set(update.hostId, SENDS_PER_DOUBLING * doublings);
  }

  private _remove(hostId: string): void {
    this._members.delete(hostId);
    this._sendsLeft.delete(hostId);
  }

  private _startRound(): boolean {
    this._pingQueue = this.members().map(member => member.hostId);
    for (let i = this._pingQueue.length - 1; i > 0; i--) {
      const j = this._random.below(i + 1);
      [this._pingQueue[i], this._pingQueue[j]] = [this._pingQueue[j] ?? '', this._pingQueue[i] ?? ''];
    }
    return this._pingQueue.length > 0;
  }
}

function updateOf(member: MemberUpdate): MemberUpdate {
  const { hostId, incarnation, refutation, state, address } = member;
  return { hostId, incarnation, refutation, state, address };
}

function isNewer(update: MemberUpdate, current: MemberUpdate): boolean {
  if (update.incarnation !== current.incarnation) return update.incarnation > current.incarnation;
  if (update.refutation !== current.refutation) return update.refutation > current.refutation;
  return STATE_RANK[update.state] > STATE_RANK[current.state];
}
