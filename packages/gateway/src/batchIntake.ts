/**
 * Takes submissions of batches in, within the memory that is kept for bodies.
 */
import type { Deadline } from '@fuchsiahitch/base';
import type { Batch } from '@fuchsiahitch/batches';
import { jsonCostBytes, SMALL_BODY_BYTES, type ClientLimits } from '@fuchsiahitch/limits';
import type { SubmitOutcome } from './batchOutcomes.js';
import type { BatchService } from './batchService.js';
import { NO_MEMORY_RETRY_MS } from './requestIntake.js';

export interface Submission {
  readonly body: Buffer;
  /** Returns undefined for a malformed body. */
  readonly decode: () => Batch | undefined;
  readonly deadline: Deadline;
  readonly clientAddress: string;
}

/** Reserves what the decoded batch takes before it is decoded: small items take many times their size in the body. */
export async function submitWithin(
  { bodies, report }: ClientLimits,
  batches: BatchService,
  { body, decode, deadline, clientAddress }: Submission,
): Promise<SubmitOutcome | { readonly kind: 'malformed' }> {
  const costBytes = body.length > SMALL_BODY_BYTES ? jsonCostBytes(body) : body.length;
  if (costBytes === 'too-deep') return { kind: 'malformed' };
  const reservation = bodies.reserve(costBytes, () => undefined);
  if (!reservation) {
    report.refused('batch-memory', clientAddress);
    return { kind: 'not-run', reason: 'no memory to decode the batch', retryAfterMs: NO_MEMORY_RETRY_MS };
  }
  reservation.complete();
  try {
    const batch = decode();
    if (!batch) return { kind: 'malformed' };
    const outcome = await batches.submit(batch, deadline);
    if (outcome.kind === 'not-run' && outcome.limit) report.refused(outcome.limit, clientAddress);
    return outcome;
  } finally {
    reservation.release();
  }
}
