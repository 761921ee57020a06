/**
 * What the holder of a duty leaves to the next one.
 *
 * Whoever doesn't check fencing tokens must not be called by two hosts within a bound of each other about the same subject, such
 * as an endpoint that is ordered. A successor that knows nothing of the last calls waits out that bound for every subject: new
 * weights stop for seconds at each planned restart. A holder that gives its right up therefore writes down how long ago it
 * acted on each subject, and its successor waits for those alone.
 */
import * as z from 'zod';

const handoverSchema = z
  .strictObject({
    hostId: z.string(),
    /** True if the host gave its right up and acts no more; false while it holds the right, or if it was lost. */
    isReleased: z.boolean(),
    /** Milliseconds from the last act on each subject to the writing of this; subjects acted on long ago are left out. */
    quietMs: z.record(z.string(), z.number().min(0)).readonly(),
  })
  .readonly();
export type DutyHandover = z.infer<typeof handoverSchema>;

export function encodeHandover(handover: DutyHandover): string {
  return JSON.stringify(handover);
}

/** Undefined for a record of another version, or a damaged one: the successor then knows nothing. */
export function decodeHandover(text: string): DutyHandover | undefined {
  try {
    const parsed = handoverSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** When this host acted on each subject last. */
export class ActionTimes {
  private readonly _boundMs: number;
  private readonly _lastActionMs = new Map<string, number>();

  /** `boundMs`: acts of two holders on one subject must be further apart than this. */
  constructor(boundMs: number) {
    this._boundMs = boundMs;
  }

  recordAction(subject: string, nowMs: number): void {
    this._lastActionMs.set(subject, nowMs);
  }

  /** Milliseconds since the last act on each subject that was acted on within the bound. */
  quietMs(nowMs: number): Readonly<Record<string, number>> {
    const recent = [...this._lastActionMs].filter(([, actedMs]) => nowMs - actedMs < this._boundMs);
    return Object.fromEntries(recent.map(([id, actedMs]) => [id, Math.max(0, nowMs - actedMs)]));
  }
}

/**
 * How long a new holder leaves a subject alone, from the moment at which it took the right. The record may be as
 * young as that moment, so that no time is taken off for its age.
 */
export function waitForSubjectMs(
  handover: DutyHandover | undefined,
  subject: string,
  boundMs: number,
): number {
  const quietMs = handover?.quietMs[subject];
  return quietMs === undefined ? 0 : Math.max(0, boundMs - quietMs);
}
