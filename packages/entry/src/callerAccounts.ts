/**
 * Client accounts, loaded from a file that operators maintain.
 */
import fs from 'node:fs/promises';
import {
  AccountIndex,
  decideAccess,
  readAccountsFile,
  type Access,
  type Account,
  type Credential,
} from '@fuchsiahitch/accounts';
import { messageOf, strongDigest } from '@fuchsiahitch/base';
import type { Logger } from '@fuchsiahitch/telemetry';

/** An account as shown to operators. Keys are replaced by short digests, which do not authenticate. */
export interface AccountSummary {
  readonly name: string;
  readonly rank: number | undefined;
  readonly keyDigests: readonly string[];
}

const DIGEST_LENGTH = 8;
const BEARER = /^bearer +(\S+)$/i;

/** Parses the authorization header. Repeated headers arrive joined by commas and count as unreadable. */
export function credentialOf(header: string | undefined): Credential {
  if (header === undefined) return { kind: 'none' };
  const key = BEARER.exec(header.trim())?.[1];
  return key === undefined ? { kind: 'unreadable' } : { kind: 'key', key };
}

export class CallerAccounts {
  private readonly _path: string;
  private readonly _log: Logger;
  private _accounts: readonly Account[] = [];
  private _index: AccountIndex | undefined;

  /** An empty `path` disables accounts: callers need no keys. */
  constructor(path: string, log: Logger) {
    this._path = path;
    this._log = log;
  }

  /** Loads the file and returns all problems found. An invalid file leaves the current accounts in force. */
  async load(): Promise<readonly string[]> {
    if (this._path === '') return [];
    const problems = await this._read();
    if (problems.length === 0) this._log.info('accounts', { accounts: this._accounts.length });
    else
      this._log.error('accounts file rejected; previous accounts stay in force', {
        problems: problems.join('; '),
      });
    return problems;
  }

  access(credential: Credential): Access {
    return decideAccess(this._index, credential, false);
  }

  summaries(): readonly AccountSummary[] {
    return this._accounts.map(({ name, rank, keys }) => ({ name, rank, keyDigests: keys.map(digestOf) }));
  }

  private async _read(): Promise<readonly string[]> {
    let text: string;
    try {
      text = await fs.readFile(this._path, 'utf8');
    } catch (thrown) {
      return [messageOf(thrown)];
    }
    const accounts = readAccountsFile(text);
    if (!accounts.ok) return accounts.error;
    const index = AccountIndex.build(accounts.value, this._index);
    if (!index.ok)
      return [
        `${index.error.kind}: ${index.error.kind === 'duplicate-name' ? index.error.name : index.error.names.join(', ')}`,
      ];
    this._accounts = accounts.value;
    this._index = index.value;
    return [];
  }
}

function digestOf(key: string): string {
  return strongDigest([key]).slice(0, DIGEST_LENGTH);
}
