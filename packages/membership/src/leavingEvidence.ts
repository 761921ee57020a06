/**
 * Whether an endpoint is leaving, from whichever source says so first.
 *
 * The platform's list lags and can be out of reach, so an endpoint's own answers and what peers saw count
 * as much. Leaving is final for one start of an endpoint: a lagging list that still shows it as live must
 * not bring it back.
 */
import type { Clock } from '@fuchsiahitch/base';
import * as z from 'zod';

/** What a peer passes on: the endpoint's identifier and the start that is leaving. */
export const leavingNoticeSchema = z.strictObject({ endpointId: z.string(), startId: z.string() }).readonly();
export type LeavingNotice = z.infer<typeof leavingNoticeSchema>;

interface Seen {
  readonly startId: string;
  readonly sinceMs: number;
}

/** Notices are passed on for this long; by then every peer has been pinged. */
const PASS_ON_MS = 90_000;

export class LeavingEvidence {
  private readonly _clock: Clock;
  private readonly _leaving = new Map<string, Seen>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** True when the notice is new to this host, and so worth telling the peers at once. */
  note(notice: LeavingNotice): boolean {
    if (this._leaving.get(notice.endpointId)?.startId === notice.startId) return false;
    this._leaving.set(notice.endpointId, { startId: notice.startId, sinceMs: this._clock.nowMs() });
    return true;
  }

  /** An answer of a later start of the endpoint ends the notice. */
  observeStart(endpointId: string, startId: string): void {
    const seen = this._leaving.get(endpointId);
    if (seen && seen.startId !== startId) this._leaving.delete(endpointId);
  }

  isLeaving(endpointId: string): boolean {
    return this._leaving.has(endpointId);
  }

  /** Notices that are still passed on. */
  recent(): readonly LeavingNotice[] {
    const nowMs = this._clock.nowMs();
    return [...this._leaving.entries()]
      .filter(([, seen]) => nowMs - seen.sinceMs < PASS_ON_MS)
      .map(([endpointId, seen]) => ({ endpointId, startId: seen.startId }));
  }
}
