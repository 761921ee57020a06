/**
 * Whether a request may run, and for which account.
 */
import type { AccountIndex } from './accountIndex.js';

/** What a caller brings to prove who it is. `unreadable`: of another scheme, empty, or more than one. */
export type Credential =
  | { readonly kind: 'none' }
  | { readonly kind: 'key'; readonly key: string }
  | { readonly kind: 'unreadable' };

/** Why a request may not run. */
export type DeniedReason = 'no-key' | 'unreadable-key' | 'unknown-key' | 'removed-key';

/**
 * - `granted`: the account is known by its key.
 * - `public`: anybody may send it; it is nobody's.
 * - `unmanaged`: the configuration knows no accounts, and what the caller brings is the endpoint's to judge.
 */
export type Access =
  | { readonly kind: 'granted'; readonly accountName: string }
  | { readonly kind: 'public' }
  | { readonly kind: 'unmanaged' }
  | { readonly kind: 'denied'; readonly reason: DeniedReason; readonly accountName?: string };

/** `accounts`: undefined where the configuration knows none. `isPublic`: the route asks for no key. */
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
