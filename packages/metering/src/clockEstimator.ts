/**
 * Estimates true time as the median of the hosts' wall clocks, some of which may be wrong or jump. Bounded error: half
 * the difference between the two middle clocks, plus the transit time of a message.
 *
 * Each wall clock is compared with the monotonic clock of this process, which never jumps, so that a wrong wall clock
 * of this host has no more influence than any other.
 */

/** Long enough to cover several messages of a host. */
const SAMPLE_TTL_MS = 15_000;

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

  /** Discards all samples. Must be called after a pause of the process, which invalidates them. */
  reset(): void {
    this._samples.clear();
  }

  /** Returns estimated true time minus the monotonic time of this process. Undefined without valid samples. */
  offsetMs(nowMs: number): number | undefined {
    for (const [hostId, sample] of this._samples)
      if (nowMs - sample.observedMs > SAMPLE_TTL_MS) this._samples.delete(hostId);
    const offsets = [...this._samples.values()].map(sample => sample.offsetMs).sort((a, b) => a - b);
    const middle = Math.floor((offsets.length - 1) / 2);
    const [low, high] = [offsets[middle], offsets[offsets.length - 1 - middle]];
    return low === undefined || high === undefined ? undefined : (low + high) / 2;
  }
}
