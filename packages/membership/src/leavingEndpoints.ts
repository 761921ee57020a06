/**
 * Tracks which endpoints are leaving, as reported by the endpoints themselves or by peers. An endpoint that is leaving
 * stays so until it restarts: the platform's list may be outdated or unreachable, and must not restore an endpoint that
 * is leaving.
 */
import type { Clock } from '@fuchsiahitch/base';
import * as z from 'zod';

export const leavingNoticeSchema = z.strictObject({ endpointId: z.string(), startId: z.string() }).readonly();
export type LeavingNotice = z.infer<typeof leavingNoticeSchema>;

interface LeavingRecord {
  readonly startId: string;
  readonly sinceMs: number;
}

/** How long notices are forwarded in pings. Long enough to ping every peer. */
const FORWARD_DURATION_MS = 90_000;

export class LeavingEndpoints {
  private readonly _clock: Clock;
  private readonly _leaving = new Map<string, LeavingRecord>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Records a notice. Returns true if it is new and should be sent to peers immediately. */
  note(notice: LeavingNotice): boolean {
    if (this._leaving.get(notice.endpointId)?.startId === notice.startId) return false;
    this._leaving.set(notice.endpointId, { startId: notice.startId, sinceMs: this._clock.nowMs() });
    return true;
  }

  /** Removes the record of an endpoint that has restarted since its notice. */
  observeStart(endpointId: string, startId: string): void {
    const record = this._leaving.get(endpointId);
    if (record && record.startId !== startId) this._leaving.delete(endpointId);
  }

  isLeaving(endpointId: string): boolean {
    return this._leaving.has(endpointId);
  }

  /** Returns the notices to forward in pings. */
  recentNotices(): readonly LeavingNotice[] {
    const nowMs = this._clock.nowMs();
    return [...this._leaving.entries()]
      .filter(([, record]) => nowMs - record.sinceMs < FORWARD_DURATION_MS)
      .map(([endpointId, record]) => ({ endpointId, startId: record.startId }));
  }
}
