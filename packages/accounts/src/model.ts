/**
 * Client accounts from the operators' configuration.
 */

/** Party that is billed for requests and owns batches. */
export interface Account {
  readonly name: string;
  /** Secrets, any of which authenticates a request. They are never logged, stored or sent to endpoints. */
  readonly keys: readonly string[];
  /** Overrides the rank of a request's route; undefined if the account has none. 0 is the most urgent. */
  readonly rank: number | undefined;
}

/** Why a list of accounts is rejected. Names accounts, never keys. */
export type AccountsError =
  | { readonly kind: 'duplicate-name'; readonly name: string }
  | { readonly kind: 'duplicate-key'; readonly names: readonly [string, string] };
