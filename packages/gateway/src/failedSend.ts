/**
 * Classification of sends that failed before the head of an answer.
 */
import { messageOf } from '@fuchsiahitch/base';
import { ForeignAnswerError, notSentReason } from '@fuchsiahitch/clients';
import type { EndpointReply } from './ports.js';

/** `signal`: of the caller, which has cancelled the send if it is aborted. */
export function failedSend(
  thrown: unknown,
  signal: AbortSignal,
): Exclude<EndpointReply, { readonly kind: 'answered' }> {
  const reason = notSentReason(thrown);
  if (reason) return { kind: 'not-run', reason, load: undefined };
  if (signal.aborted) return { kind: 'cancelled' };
  const answeredId = thrown instanceof ForeignAnswerError ? thrown.answeredId : undefined;
  return { kind: 'broken', text: messageOf(thrown), answeredId };
}
