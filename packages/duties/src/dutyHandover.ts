/**
 * Handover record of a duty.
 *
 * Targets that don't check fencing tokens must not be called by two hosts about the same subject within a bound. A
 * holder that releases its duty stores the time since its last action on each subject, so that its successor waits for
 * those subjects only. Without the record, a successor waits out the bound for every subject, which would stop weight
 * orders for seconds at each planned restart.
 */
import * as z from 'zod';

const handoverSchema = z
  .strictObject({
    hostId: z.string(),
    /** True if the host released the duty and no longer acts; false while it holds the duty or if it lost the lease. */
    isReleased: z.boolean(),
    /** Milliseconds from the last action on each subject until the record was written; older actions are omitted. */
    quietMs: z.record(z.string(), z.number().min(0)).readonly(),
  })
  .readonly();
export type DutyHandover = z.infer<typeof handoverSchema>;

export function encodeHandover(handover: DutyHandover): string {
  return JSON.stringify(handover);
}

/** Returns undefined for a damaged record, or one of another version. */
export function decodeHandover(text: string): DutyHandover | undefined {
  try {
    const parsed = handoverSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Times of this host's last action on each subject. */
export class ActionTimes {
  private readonly _boundMs: number;
  private readonly _lastActionMs = new Map<string, number>();

  /** `boundMs`: minimum time between actions of two holders on one subject. */
  constructor(boundMs: number) {
    this._boundMs = boundMs;
  }

  recordAction(subject: string, nowMs: number): void {
    this._lastActionMs.set(subject, nowMs);
  }

  /** Milliseconds since the last action on each subject, for actions within the bound. */
  quietMs(nowMs: number): Readonly<Record<string, number>> {
    const recent = [...this._lastActionMs].filter(([, lastMs]) => nowMs - lastMs < this._boundMs);
    return Object.fromEntries(recent.map(([id, lastMs]) => [id, Math.max(0, nowMs - lastMs)]));
  }
}

/**
 * How long a new holder must not act on a subject after it acquired the duty. The age of the record is not deducted,
 * since it is unknown and may be zero.
 */
export function waitForSubjectMs(
  handover: DutyHandover | undefined,
  subject: string,
  boundMs: number,
): number {
  const quietMs = handover?.quietMs[subject];
  return quietMs === undefined ? 0 : Math.max(0, boundMs - quietMs);
}
