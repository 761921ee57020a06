/**
 * A host's view of the other hosts of its failure domain.
 *
 * Each host pings one peer per second in a shuffled round. Updates are piggybacked on pings and their answers,
 * so the traffic of a host does not grow with the domain. Views may disagree: they only guide the distribution of
 * work, and operations that must not happen twice are fenced by an epoch (docs/design/keys.md).
 */
import type { Clock, Random } from '@fuchsiahitch/base';
import * as z from 'zod';

export const memberStates = ['live', 'suspect', 'dead', 'leaving'] as const;
export type MemberState = (typeof memberStates)[number];

/**
 * An update that is piggybacked on pings. `incarnation` identifies a process of the host. The host increments
 * `refutation` when it learns that it is considered suspect or dead.
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

/** A member in the view of this host. */
export interface Member extends MemberUpdate {
  readonly sinceMs: number;
}

/** A suspect that does not refute within this time is considered dead. */
export const SUSPECT_TIMEOUT_MS = 3000;
/** A dead member is removed after this time, which is long enough for every host to learn of its death. */
const REMOVE_DEAD_AFTER_MS = 120_000;
const UPDATES_PER_MESSAGE = 6;
/** The number of times that an update is sent, for each doubling of the domain's size. */
const SENDS_PER_DOUBLING = 3;

const STATE_RANK: Readonly<Record<MemberState, number>> = { live: 0, leaving: 1, suspect: 2, dead: 3 };

export class HostView {
  private readonly _clock: Clock;
  private readonly _random: Random;
  private readonly _members = new Map<string, Member>();
  private readonly _sendsLeft = new Map<string, number>();
  private _self: MemberUpdate;
  private _round: string[] = [];

  constructor(self: { hostId: string; incarnation: number; address: string }, clock: Clock, random: Random) {
    this._self = { ...self, refutation: 0, state: 'live' };
    this._clock = clock;
    this._random = random;
  }

  self(): MemberUpdate {
    return this._self;
  }

  /** Announces that this host is leaving. It continues to answer, but gets no new duties. */
  leave(): void {
    this._self = { ...this._self, state: 'leaving', refutation: this._self.refutation + 1 };
  }

  /** All members except this host. */
  members(): readonly Member[] {
    return [...this._members.values()];
  }

  /** The sorted identifiers of the hosts that can take duties, including this host unless it is leaving. */
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

  /** Adds a host from the platform's list unless the view already has it. */
  addListedHost(hostId: string, address: string): void {
    if (hostId === this._self.hostId || this._members.has(hostId)) return;
    this._store({ hostId, address, incarnation: 0, refutation: 0, state: 'live' });
    // All hosts read the same list, so there is no update to send.
    this._sendsLeft.delete(hostId);
  }

  /** Applies a peer's update. The newer incarnation wins, then the higher refutation, then the worse state. */
  apply(update: MemberUpdate): void {
    if (update.hostId === this._self.hostId) {
      this._refute(update);
      return;
    }
    const known = this._members.get(update.hostId);
    if (known && !isNewer(update, known)) return;
    this._store(update);
  }

  /**
   * Returns the peer to ping next. Each peer is returned once per round, including dead peers until they are
   * removed: after a partition heals, both sides consider each other dead, and only pings correct this.
   */
  nextPing(): Member | undefined {
    for (;;) {
      if (this._round.length === 0 && !this._startRound()) return undefined;
      const member = this._members.get(this._round.pop() ?? '');
      if (member) return member;
    }
  }

  pingAnswered(hostId: string, incarnation: number): void {
    const known = this._members.get(hostId);
    if (!known) return;
    if (incarnation !== known.incarnation) {
      if (incarnation > known.incarnation)
        this._store({ ...known, incarnation, refutation: 0, state: 'live' });
      return;
    }
    // A direct answer overrides gossip. No update is sent, because the member refutes the suspicion itself.
    if (known.state === 'suspect' || known.state === 'dead')
      this._members.set(hostId, { ...known, state: 'live', sinceMs: this._clock.nowMs() });
  }

  /** Marks a member as suspect after direct and indirect pings were not answered. */
  pingFailed(hostId: string): void {
    const known = this._members.get(hostId);
    if (known && (known.state === 'live' || known.state === 'leaving'))
      this._store({ ...known, state: 'suspect' });
  }

  /** Marks expired suspects as dead and removes members that have been dead for long. */
  tick(): void {
    const nowMs = this._clock.nowMs();
    for (const member of this._members.values()) {
      const ageMs = nowMs - member.sinceMs;
      if (member.state === 'suspect' && ageMs >= SUSPECT_TIMEOUT_MS)
        this._store({ ...member, state: 'dead' });
      if (member.state === 'dead' && ageMs >= REMOVE_DEAD_AFTER_MS) this._remove(member.hostId);
    }
  }

  /** The updates for the next message: always that of this host, then those that were sent least often. */
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

  /** The updates of all members, for a joining host. */
  allUpdates(): readonly MemberUpdate[] {
    return [this._self, ...this.members().map(updateOf)];
  }

  private _refute(update: MemberUpdate): void {
    // A higher incarnation is from a previous process whose wall clock was ahead. Supersede it.
    if (update.incarnation > this._self.incarnation) {
      this._self = { ...this._self, incarnation: update.incarnation + 1, refutation: 0 };
      return;
    }
    const isThisIncarnation = update.incarnation === this._self.incarnation;
    const isWrong = update.state === 'suspect' || update.state === 'dead';
    if (isThisIncarnation && isWrong && update.refutation >= this._self.refutation) {
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
    this._round = this.members().map(member => member.hostId);
    for (let i = this._round.length - 1; i > 0; i--) {
      const j = this._random.below(i + 1);
      [this._round[i], this._round[j]] = [this._round[j] ?? '', this._round[i] ?? ''];
    }
    return this._round.length > 0;
  }
}

function updateOf(member: MemberUpdate): MemberUpdate {
  const { hostId, incarnation, refutation, state, address } = member;
  return { hostId, incarnation, refutation, state, address };
}

function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  if (update.refutation !== known.refutation) return update.refutation > known.refutation;
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}
