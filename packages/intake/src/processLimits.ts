/**
 * The limits on the clients of a process, with their metric and log line.
 */
import type { Clock } from '@fuchsiahitch/base';
import { ClientLimits, type HostBudget } from '@fuchsiahitch/limits';
import type { Logger, MetricsRegistry } from '@fuchsiahitch/telemetry';
import { collectGarbage } from './collectGarbage.js';

export interface ProcessContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: MetricsRegistry;
}

/** `idleTimeoutMs` is how long a client may pause within a body. */
export function createProcessLimits(
  { clock, log, metrics }: ProcessContext,
  budget: HostBudget,
  idleTimeoutMs: () => number,
): ClientLimits {
  return new ClientLimits({
    clock,
    budget,
    idleTimeoutMs,
    collectGarbage,
    nextTurn: run => setImmediate(run),
    count: limit => metrics.clientRefused(limit),
    write: line => log.warn('client refused by a limit', { ...line }),
  });
}
