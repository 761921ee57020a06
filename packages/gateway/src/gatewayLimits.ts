/**
 * The limits on the clients of a gateway.
 */
import { ClientLimits } from '@fuchsiahitch/limits';

export function createClientLimits(): ClientLimits {
  return new ClientLimits({ nextTurn: run => setImmediate(run) });
}
