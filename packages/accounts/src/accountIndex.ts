/**
 * Accounts by their keys, built once for each version of the configuration.
 */
import { randomBytes, timingSafeEqual } from 'node:crypto';
import { digest, err, ok, type Result } from '@fuchsiahitch/base';
import type { Account, AccountsError } from './model.js';

/** What a key proves. `removed`: an earlier version had it. */
export type KeyFinding =
  | { readonly kind: 'known'; readonly account: Account }
  | { readonly kind: 'removed'; readonly accountName: string }
  | { readonly kind: 'unknown' };

interface KeyEntry {
  readonly key: Buffer;
  readonly account: Account;
}

/** Keys that earlier versions had are remembered, only to tell in the log why one is refused. */
const MAX_REMOVED = 1000;
const SALT_BYTES = 16;
/**
 * Keys are found by a digest that begins with a secret of the process: without it a caller could learn from the time of an answer
 * how many characters of a guess are right.
 */
const SALT = randomBytes(SALT_BYTES).toString('hex');

export class AccountIndex {
  private readonly _entries = new Map<string, KeyEntry>();
  private readonly _accounts = new Map<string, Account>();
  private readonly _removed = new Map<string, KeyEntry>();

  private constructor() {
    // `build` fills it, since a list may contradict itself.
  }

  /** `before`: the index of the version before, whose keys count as removed where this one lacks them. */
  static build(accounts: readonly Account[], before?: AccountIndex): Result<AccountIndex, AccountsError> {
    const index = new AccountIndex();
    for (const account of accounts) {
      const problem = index._add(account);
      if (problem) return err(problem);
    }
    if (before) index._rememberRemoved(before);
    return ok(index);
  }

  find(key: string): KeyFinding {
    const place = placeOf(key);
    const bytes = Buffer.from(key);
    const entry = this._entries.get(place);
    if (entry && isEqual(entry.key, bytes)) return { kind: 'known', account: entry.account };
    const removed = this._removed.get(place);
    if (removed && isEqual(removed.key, bytes)) return { kind: 'removed', accountName: removed.account.name };
    return { kind: 'unknown' };
  }

  account(name: string): Account | undefined {
    return this._accounts.get(name);
  }

  all(): Iterable<Account> {
    return this._accounts.values();
  }

  private _add(account: Account): AccountsError | undefined {
    if (this._accounts.has(account.name)) return { kind: 'name-twice', name: account.name };
    this._accounts.set(account.name, account);
    for (const key of account.keys) {
      const place = placeOf(key);
      const other = this._entries.get(place)?.account;
      if (other && other !== account) return { kind: 'key-shared', names: [other.name, account.name] };
      this._entries.set(place, { key: Buffer.from(key), account });
    }
    return undefined;
  }

  private _rememberRemoved(before: AccountIndex): void {
    for (const entries of [before._removed, before._entries])
      for (const [place, entry] of entries) if (!this._entries.has(place)) this._removed.set(place, entry);
    const surplus = this._removed.size - MAX_REMOVED;
    for (const place of [...this._removed.keys()].slice(0, Math.max(0, surplus))) this._removed.delete(place);
  }
}

function placeOf(key: string): string {
  return digest(SALT + key);
}

function isEqual(known: Buffer, given: Buffer): boolean {
  return known.length === given.length && timingSafeEqual(known, given);
}
