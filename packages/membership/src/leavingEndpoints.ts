/**
 * Tracks which endpoints are leaving, from whichever source reports it first: the platform's list, answers of
 * endpoints or notices of peers. Leaving is final for one start of an endpoint.
 */
import type { Clock } from '@fuchsiahitch/base';
import * as z from 'zod';

export const leavingNoticeSchema = z.strictObject({ endpointId: z.string(), startId: z.string() }).readonly();
export type LeavingNotice = z.infer<typeof leavingNoticeSchema>;

interface LeavingRecord {
  readonly startId: string;
  readonly sinceMs: number;
}

/** How long notices are forwarded. Long enough for every peer to be pinged. */
const FORWARD_DURATION_MS = 90_000;

export class LeavingEndpoints {
  private readonly _clock: Clock;
  private readonly _leaving = new Map<string, LeavingRecord>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Returns true if the notice is new and should be sent to peers immediately. */
  note(notice: LeavingNotice): boolean {
    if (this._leaving.get(notice.endpointId)?.startId === notice.startId) return false;
    this._leaving.set(notice.endpointId, { startId: notice.startId, sinceMs: this._clock.nowMs() });
    return true;
  }

  /** Removes the notice of an endpoint that reports a different start. */
  observeStart(endpointId: string, startId: string): void {
    const seen = this._leaving.get(endpointId);
    if (seen && seen.startId !== startId) this._leaving.delete(endpointId);
  }

  isLeaving(endpointId: string): boolean {
    return this._leaving.has(endpointId);
  }

  recentNotices(): readonly LeavingNotice[] {
    const nowMs = this._clock.nowMs();
    return [...this._leaving.entries()]
      .filter(([, seen]) => nowMs - seen.sinceMs < FORWARD_DURATION_MS)
      .map(([endpointId, seen]) => ({ endpointId, startId: seen.startId }));
  }
}
