/**
 * One host's view of the other hosts of its failure domain.
 *
 * Each host pings one peer a second in a shuffled round, and changes ride on pings and their answers, so
 * the bytes a host spends do not grow with the domain. The view only steers work: two hosts may disagree,
 * and whatever must not happen twice is fenced by an epoch instead (docs/design/keys.md).
 */
import type { Clock, Random } from '@fuchsiahitch/base';
import * as z from 'zod';

export const memberStates = ['live', 'suspect', 'dead', 'leaving'] as const;
export type MemberState = (typeof memberStates)[number];

/**
 * A change that rides on pings. `incarnation` tells one process of a host from the next; `refutation` is
 * raised by the host itself when it hears that it is suspected or dead.
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

/** A member as this host sees it. */
export interface Member extends MemberUpdate {
  readonly sinceMs: number;
}

/** A suspect that does not refute within this time counts as dead. */
export const SUSPECT_TIMEOUT_MS = 3000;
/** A dead member is forgotten after this time, long after every host has heard of it. */
const FORGET_AFTER_MS = 120_000;
const UPDATES_A_MESSAGE = 6;
/** An update is sent about this often for each doubling of the domain. */
const SENDS_PER_DOUBLING = 3;

const RANK: Readonly<Record<MemberState, number>> = { live: 0, leaving: 1, suspect: 2, dead: 3 };

/** The view of one failure domain. */
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

  /** Announces that this host leaves: it keeps answering, and gets no new duties. */
  leave(): void {
    this._self = { ...this._self, state: 'leaving', refutation: this._self.refutation + 1 };
  }

  /** All members but this host. */
  members(): readonly Member[] {
    return [...this._members.values()];
  }

  /** Identifiers of the hosts that can take duties, this one included while it stays. Sorted. */
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

  /** Adds hosts that the platform's list names and this view does not know yet. */
  addListedHost(hostId: string, address: string): void {
    if (hostId === this._self.hostId || this._members.has(hostId)) return;
    this._store({ hostId, address, incarnation: 0, refutation: 0, state: 'live' });
    // All hosts read the same list: there is nothing to tell.
    this._sendsLeft.delete(hostId);
  }

  /** Takes in what a peer says. The newer incarnation wins, then the refutation, then the worse state. */
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
   * The peer to ping next; each is reached once a round. The dead are pinged too until they are forgotten:
   * after a partition heals, both halves hold each other for dead, and nobody else would end that.
   */
  nextPing(): Member | undefined {
    for (;;) {
      if (this._round.length === 0 && !this._refill()) return undefined;
      const member = this._members.get(this._round.pop() ?? '');
      if (member) return member;
    }
  }

  /** A ping was answered: the process is alive now. */
  pingAnswered(hostId: string, incarnation: number): void {
    const known = this._members.get(hostId);
    if (!known) return;
    if (incarnation !== known.incarnation) {
      if (incarnation > known.incarnation)
        this._store({ ...known, incarnation, refutation: 0, state: 'live' });
      return;
    }
    // An answer received directly outweighs hearsay; the member refutes for the others by itself.
    if (known.state === 'suspect' || known.state === 'dead')
      this._members.set(hostId, { ...known, state: 'live', sinceMs: this._clock.nowMs() });
  }

  /** Pings, direct and by another peer, stayed unanswered. */
  pingFailed(hostId: string): void {
    const known = this._members.get(hostId);
    if (known && (known.state === 'live' || known.state === 'leaving'))
      this._store({ ...known, state: 'suspect' });
  }

  /** Moves suspects to dead and forgets the long dead. */
  tick(): void {
    const nowMs = this._clock.nowMs();
    for (const member of this._members.values()) {
      const ageMs = nowMs - member.sinceMs;
      if (member.state === 'suspect' && ageMs >= SUSPECT_TIMEOUT_MS)
        this._store({ ...member, state: 'dead' });
      if (member.state === 'dead' && ageMs >= FORGET_AFTER_MS) this._forget(member.hostId);
    }
  }

  /** Up to six updates for the next message, the least often sent first, this host's own always among them. */
  updatesToSend(): readonly MemberUpdate[] {
    const waiting = [...this._sendsLeft.entries()]
      .sort((a, b) => b[1] - a[1])
      .slice(0, UPDATES_A_MESSAGE - 1);
    const updates: MemberUpdate[] = [this._self];
    for (const [hostId, left] of waiting) {
      const member = this._members.get(hostId);
      if (member) updates.push(updateOf(member));
      if (left <= 1) this._sendsLeft.delete(hostId);
      else this._sendsLeft.set(hostId, left - 1);
    }
    return updates;
  }

  /** Everything, for a host that joins. */
  allUpdates(): readonly MemberUpdate[] {
    return [this._self, ...this.members().map(updateOf)];
  }

  private _refute(update: MemberUpdate): void {
    // A host that restarted with its wall clock set back must not be taken for its own predecessor.
    if (update.incarnation > this._self.incarnation) {
      this._self = { ...this._self, incarnation: update.incarnation + 1, refutation: 0 };
      return;
    }
    const isAboutThis = update.incarnation === this._self.incarnation;
    const isWrong = update.state === 'suspect' || update.state === 'dead';
    if (isAboutThis && isWrong && update.refutation >= this._self.refutation) {
      this._self = { ...this._self, refutation: update.refutation + 1 };
    }
  }

  private _store(update: MemberUpdate): void {
    this._members.set(update.hostId, { ...updateOf(update), sinceMs: this._clock.nowMs() });
    const doublings = Math.max(1, Math.ceil(Math.log2(this._members.size + 1)));
    this._sendsLeft.set(update.hostId, SENDS_PER_DOUBLING * doublings);
  }

  private _forget(hostId: string): void {
    this._members.delete(hostId);
    this._sendsLeft.delete(hostId);
  }

  private _refill(): boolean {
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
  return RANK[update.state] > RANK[known.state];
}
