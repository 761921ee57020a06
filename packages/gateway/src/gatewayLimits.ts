/**
 * The limits on the clients of a gateway, with gauges of what they hold.
 */
import { createProcessLimits } from '@fuchsiahitch/intake';
import { hostBudget, type ClientLimits, type MachineLimits } from '@fuchsiahitch/limits';
import type { GatewayContext } from './gatewayContext.js';

/** `idleTimeoutMs` is how long a client may pause within a body. */
export function createClientLimits(
  context: GatewayContext,
  machine: MachineLimits,
  idleTimeoutMs: () => number,
): ClientLimits {
  const { metrics } = context;
  const limits = createProcessLimits(context, hostBudget(machine), idleTimeoutMs);
  metrics.gauge('fuchsiahitch_body_bytes', 'Memory reserved for the bodies of requests', () =>
    limits.bodies.reservedBytes(),
  );
  metrics.gauge('fuchsiahitch_unread_answer_bytes', 'Answers that callers have not read yet', () =>
    limits.answers.heldBytes(),
  );
  metrics.gauge('fuchsiahitch_caller_requests', 'Requests of callers in process', () =>
    limits.requests.requests(),
  );
  return limits;
}
