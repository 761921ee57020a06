/**
 * Decides whether a request may run, and for which account.
 */
import type { AccountIndex } from './accountIndex.js';

/** Credential of a caller. `unreadable`: another scheme, empty, or more than one. */
export type Credential =
  | { readonly kind: 'none' }
  | { readonly kind: 'key'; readonly key: string }
  | { readonly kind: 'unreadable' };

export type DeniedReason = 'no-key' | 'unreadable-key' | 'unknown-key' | 'removed-key';

/**
 * - `granted`: the key belongs to the account.
 * - `public`: the route requires no key; the request has no account.
 * - `unmanaged`: the configuration has no accounts; credentials are left to the endpoint.
 */
export type Access =
  | { readonly kind: 'granted'; readonly accountName: string }
  | { readonly kind: 'public' }
  | { readonly kind: 'unmanaged' }
  | { readonly kind: 'denied'; readonly reason: DeniedReason; readonly accountName?: string };

/** `accounts`: undefined if the configuration has none. `isPublic`: the route requires no key. */
export function decideAccess(
  accounts: AccountIndex | undefined,
  credential: Credential,
  isPublic: boolean,
): Access {
  if (!accounts) return { kind: 'unmanaged' };
  const access = accessByCredential(accounts, credential);
  return access.kind === 'denied' && isPublic ? { kind: 'public' } : access;
}

function accessByCredential(accounts: AccountIndex, credential: Credential): Access {
  if (credential.kind === 'none') return { kind: 'denied', reason: 'no-key' };
  if (credential.kind === 'unreadable') return { kind: 'denied', reason: 'unreadable-key' };
  const found = accounts.find(credential.key);
  switch (found.kind) {
    case 'known':
      return { kind: 'granted', accountName: found.account.name };
    case 'removed':
      return { kind: 'denied', reason: 'removed-key', accountName: found.accountName };
    case 'unknown':
      return { kind: 'denied', reason: 'unknown-key' };
  }
}

/** Returns the account that a request is made for, if any. */
export function accountOf(access: Access): string | undefined {
  return access.kind === 'granted' ? access.accountName : undefined;
}
