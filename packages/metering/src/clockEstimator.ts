/**
 * Estimates true time as the median of the hosts' wall clocks, some of which may be wrong or jump.
 *
 * Each clock is compared with the monotonic clock of this process. The error is bounded by half the difference of the median
 * clocks plus the transit time of a message.
 */

/** Covers several messages of a host. */
const VALID_MS = 15_000;

interface OffsetSample {
  /** Wall time of a host minus the monotonic time of this process. */
  readonly offsetMs: number;
  readonly observedMs: number;
}

export class ClockEstimator {
  private readonly _samples = new Map<string, OffsetSample>();

  /** Records that a host's wall clock showed `wallMs` at the monotonic time `nowMs` of this process. */
  observe(hostId: string, wallMs: number, nowMs: number): void {
    this._samples.set(hostId, { offsetMs: wallMs - nowMs, observedMs: nowMs });
  }

  /** Discards all votes, which are invalid after a pause of the process. */
  reset(): void {
    this._samples.clear();
  }

  /** Median of the votes: true time minus the monotonic time of this process. Undefined without votes. */
  offsetMs(nowMs: number): number | undefined {
    for (const [hostId, sample] of this._samples)
      if (nowMs - sample.observedMs > VALID_MS) this._samples.delete(hostId);
    const offsets = [...this._samples.values()].map(vote => vote.offsetMs).sort((a, b) => a - b);
    const middle = Math.floor((offsets.length - 1) / 2);
    const [low, high] = [offsets[middle], offsets[offsets.length - 1 - middle]];
    return low === undefined || high === undefined ? undefined : (low + high) / 2;
  }
}
