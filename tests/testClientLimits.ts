/**
 * Limits on clients.
 */
import { ClientLimits } from '@fuchsiahitch/limits';

export function testClientLimits(): ClientLimits {
  return new ClientLimits({ nextTurn: run => setImmediate(run) });
}
