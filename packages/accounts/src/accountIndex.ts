/**
 * Index of accounts by key, built once per version of the configuration.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import type { Account, AccountsError } from './model.js';

/** Result of a lookup. `removed`: an earlier version had the key. */
export type KeyLookup =
  | { readonly kind: 'known'; readonly account: Account }
  | { readonly kind: 'removed'; readonly accountName: string }
  | { readonly kind: 'unknown' };

/**
 * Accounts by key. Lookups use a randomly seeded hash of the complete key, so response times reveal no part of a key.
 */
type KeyTable = Map<string, Account>;

/** Maximum number of keys of earlier versions that are retained, to log why a key is refused. */
const MAX_REMOVED_KEYS = 1000;

export class AccountIndex {
  private readonly _accountsByKey: KeyTable = new Map();
  private readonly _names = new Set<string>();
  private readonly _removedKeys: KeyTable = new Map();

  private constructor() {
    // `build` fills it, since a list may contradict itself.
  }

  /** `before`: index of the previous version; its keys that are missing here count as removed. */
  static build(accounts: readonly Account[], before?: AccountIndex): Result<AccountIndex, AccountsError> {
    const index = new AccountIndex();
    for (const account of accounts) {
      const problem = index._add(account);
      if (problem) return err(problem);
    }
    if (before) index._retainRemoved(before);
    return ok(index);
  }

  find(key: string): KeyLookup {
    const known = this._accountsByKey.get(key);
    if (known) return { kind: 'known', account: known };
    const removed = this._removedKeys.get(key);
    return removed ? { kind: 'removed', accountName: removed.name } : { kind: 'unknown' };
  }

  private _add(account: Account): AccountsError | undefined {
    if (this._names.has(account.name)) return { kind: 'duplicate-name', name: account.name };
    this._names.add(account.name);
    for (const key of account.keys) {
      const other = this._accountsByKey.get(key);
      if (other && other !== account) return { kind: 'duplicate-key', names: [other.name, account.name] };
      this._accountsByKey.set(key, account);
    }
    return undefined;
  }

  private _retainRemoved(before: AccountIndex): void {
    for (const table of [before._removedKeys, before._accountsByKey])
      for (const [key, account] of table)
        if (!this._accountsByKey.has(key)) this._removedKeys.set(key, account);
    const surplus = this._removedKeys.size - MAX_REMOVED_KEYS;
    for (const key of [...this._removedKeys.keys()].slice(0, Math.max(0, surplus)))
      this._removedKeys.delete(key);
  }
}
