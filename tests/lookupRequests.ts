/**
 * Lookup requests for gateway fleets, and the limits that hosts must observe for poison requests.
 */
import { setMaxListeners } from 'node:events';
import type { CallerRequest } from '@fuchsiahitch/gateway';
import { route } from './gatewayFixtures.js';

/** Connected hosts must receive a terminated endpoint's mark within this time. */
export const ANNOUNCEMENT_BOUND_MS = 3000;
/** Maximum number of sends of a request later than `ANNOUNCEMENT_BOUND_MS` after its third terminated endpoint. */
export const MAX_LATER_SENDS = 3;
export const LOOKUP_ROUTE = route({
  run: 'idempotent',
  pools: [{ pool: 'storefront', weight: 1 }],
  maxAttempts: 2,
  targetMs: 186,
  timeoutMs: 1500,
});
/** The disconnect signal of callers that wait for their answers. */
export const NEVER_ABORTED: AbortSignal = new AbortController().signal;
setMaxListeners(0, NEVER_ABORTED);

export function lookupRequest(
  id: string,
  target: string,
  overrides: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    id,
    caller: '',
    host: 'mods',
    method: 'POST',
    target,
    headers: [],
    body: Buffer.from(`body of ${target}`),
    waitMs: 1500,
    ...overrides,
  };
}
