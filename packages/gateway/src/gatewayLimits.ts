/**
 * The limits on the clients of a gateway, with their metrics and log lines.
 */
import { collectGarbage } from '@fuchsiahitch/intake';
import { ClientLimits, hostBudget, type MachineLimits } from '@fuchsiahitch/limits';
import type { GatewayContext } from './gatewayContext.js';

/** `idleTimeoutMs` is how long a client may pause within a body. */
export function createClientLimits(
  { clock, metrics, log }: GatewayContext,
  machine: MachineLimits,
  idleTimeoutMs: () => number,
): ClientLimits {
  const limits = new ClientLimits({
    clock,
    budget: hostBudget(machine),
    idleTimeoutMs,
    collectGarbage,
    nextTurn: run => setImmediate(run),
    count: limit => metrics.clientRefusals.inc({ limit }),
    write: line => log.warn('client refused by a limit', { ...line }),
  });
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
