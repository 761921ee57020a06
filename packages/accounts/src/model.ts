/**
 * Client accounts as the operators' configuration names them.
 */

/** Who is billed for requests, and whose batches are its own. */
export interface Account {
  readonly name: string;
  /** Secrets, any of which proves that a request is the account's. They are never logged, stored or told to endpoints. */
  readonly keys: readonly string[];
  /** Goes before the rank of a request's route; undefined where the account has none. 0 is the most urgent. */
  readonly rank: number | undefined;
}

/** Why a list of accounts can't be put in force. The texts name accounts, never keys. */
export type AccountsError =
  | { readonly kind: 'name-twice'; readonly name: string }
  | { readonly kind: 'key-shared'; readonly names: readonly [string, string] };
