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
 * Accounts by key. A map looks up the randomly seeded hash of the complete key, so that response times reveal nothing about
 * the correct prefix of a guess.
 */
type KeyTable = Map<string, Account>;

/** Bounds the keys of earlier versions that are retained to log why a key is refused. */
const MAX_REMOVED = 1000;
export class AccountIndex {
  private readonly _accounts: KeyTable = new Map();
  private readonly _names = new Set<string>();
  private readonly _removed: KeyTable = new Map();

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
    const known = this._accounts.get(key);
    if (known) return { kind: 'known', account: known };
    const removed = this._removed.get(key);
    return removed ? { kind: 'removed', accountName: removed.name } : { kind: 'unknown' };
  }

  private _add(account: Account): AccountsError | undefined {
    if (this._names.has(account.name)) return { kind: 'duplicate-name', name: account.name };
    this._names.add(account.name);
    for (const key of account.keys) {
      const other = this._accounts.get(key);
      if (other && other !== account) return { kind: 'duplicate-key', names: [other.name, account.name] };
      this._accounts.set(key, account);
    }
    return undefined;
  }

  private _retainRemoved(before: AccountIndex): void {
    for (const table of [before._removed, before._accounts])
      for (const [key, account] of table) if (!this._accounts.has(key)) this._removed.set(key, account);
    const surplus = this._removed.size - MAX_REMOVED;
    for (const key of [...this._removed.keys()].slice(0, Math.max(0, surplus))) this._removed.delete(key);
  }
}
