/**
 * What a holder of the right to order leaves to the next one.
 *
 * Endpoints that don't check fencing tokens must not get orders of two hosts within a bound of each other. A
 * successor that knows nothing of the last orders waits out that bound for every endpoint: new weights stop for
 * seconds at each planned restart. A holder that gives its right up therefore writes down how long ago it ordered
 * each endpoint, and its successor waits for those alone.
 */
import * as z from 'zod';

const handoverSchema = z
  .strictObject({
    hostId: z.string(),
    /** True if the host gave its right up and orders no more; false while it holds the right, or if it was lost. */
    isReleased: z.boolean(),
    /** Milliseconds from the last order of each endpoint to the writing of this; endpoints ordered long ago are left out. */
    quietMs: z.record(z.string(), z.number().min(0)).readonly(),
  })
  .readonly();
export type OrdersHandover = z.infer<typeof handoverSchema>;

export function encodeHandover(handover: OrdersHandover): string {
  return JSON.stringify(handover);
}

/** Undefined for a record of another version, or a damaged one: the successor then knows nothing. */
export function decodeHandover(text: string): OrdersHandover | undefined {
  try {
    const parsed = handoverSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** When each endpoint was ordered last, by this host or by one before it. */
export class OrderTimes {
  private readonly _boundMs: number;
  private readonly _orderedMs = new Map<string, number>();

  /** `boundMs`: orders of two holders to one endpoint must be further apart than this. */
  constructor(boundMs: number) {
    this._boundMs = boundMs;
  }

  ordered(endpointId: string, nowMs: number): void {
    this._orderedMs.set(endpointId, nowMs);
  }

  /** Milliseconds since the last order of each endpoint that was ordered within the bound. */
  quietMs(nowMs: number): Readonly<Record<string, number>> {
    const recent = [...this._orderedMs].filter(([, orderedMs]) => nowMs - orderedMs < this._boundMs);
    return Object.fromEntries(recent.map(([id, orderedMs]) => [id, Math.max(0, nowMs - orderedMs)]));
  }
}

/**
 * How long a new holder leaves an endpoint alone, from the moment at which it took the right. The record may be as
 * young as that moment, so that no time is taken off for its age.
 */
export function waitForEndpointMs(
  handover: OrdersHandover | undefined,
  endpointId: string,
  boundMs: number,
): number {
  const quietMs = handover?.quietMs[endpointId];
  return quietMs === undefined ? 0 : Math.max(0, boundMs - quietMs);
}
