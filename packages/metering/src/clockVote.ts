/**
 * True time by the wall clocks of most hosts, where some of them are wrong or jump.
 *
 * Each clock is compared with this process's monotonic one, which never jumps, so that a wrong clock of this host has one vote
 * like any other. The error is half of what the clocks of the middle differ by, and a message's time on the way.
 */

/** A clock counts for so long after its host was heard: tellers come every few seconds. */
const VALID_MS = 15_000;

interface Vote {
  /** Wall time of a host less this process's monotonic time. */
  readonly offsetMs: number;
  readonly observedMs: number;
}

export class ClockVote {
  private readonly _votes = new Map<string, Vote>();

  /** A host's wall clock showed `wallMs` at this process's monotonic time `nowMs`. */
  observe(hostId: string, wallMs: number, nowMs: number): void {
    this._votes.set(hostId, { offsetMs: wallMs - nowMs, observedMs: nowMs });
  }

  /** This process stood still: what was heard before says nothing any more. */
  reset(): void {
    this._votes.clear();
  }

  /** True wall time less this process's monotonic time: the median of the votes. Undefined without any. */
  offsetMs(nowMs: number): number | undefined {
    for (const [hostId, vote] of this._votes)
      if (nowMs - vote.observedMs > VALID_MS) this._votes.delete(hostId);
    const offsets = [...this._votes.values()].map(vote => vote.offsetMs).sort((a, b) => a - b);
    const middle = Math.floor((offsets.length - 1) / 2);
    const [low, high] = [offsets[middle], offsets[offsets.length - 1 - middle]];
    return low === undefined || high === undefined ? undefined : (low + high) / 2;
  }
}
