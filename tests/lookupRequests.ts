/**
 * Lookups at fleets of whole gateways, and what hosts must keep to where endpoints end under one.
 */
import { setMaxListeners } from 'node:events';
import type { CallerRequest } from '@fuchsiahitch/gateway';
import { route } from './gatewayFixtures.js';

/** A host that is in touch must know of an end within this time. */
export const ANNOUNCEMENT_BOUND_MS = 3000;
/** Sends of a request later than that after its third end. */
export const MAX_LATER_SENDS = 3;
/** The route of lookups: to one pool, and twice at the most. */
export const LOOKUP_ROUTE = route({
  run: 'idempotent',
  pools: [{ pool: 'storefront', weight: 1 }],
  maxAttempts: 2,
  targetMs: 186,
  timeoutMs: 1500,
});
/** Of callers that wait for their answers. */
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
