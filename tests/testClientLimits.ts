/**
 * Limits on clients of a machine that no test fills.
 */
import type { Clock } from '@fuchsiahitch/base';
import { ClientLimits, DEFAULT_MACHINE, hostBudget } from '@fuchsiahitch/limits';

export function testClientLimits(clock: Clock): ClientLimits {
  return new ClientLimits({
    clock,
    budget: hostBudget(DEFAULT_MACHINE),
    idleTimeoutMs: () => 15_000,
    collectGarbage: () => undefined,
    nextTurn: run => setImmediate(run),
    count: () => undefined,
    write: () => undefined,
  });
}
