/**
 * Keys of a batch in the store.
 *
 * `own/ID` is the claim, which names the owner of the batch. Every write to the batch is conditional on the claim's
 * revision, so that late writes of a former owner fail. The batch and its results have keys of their own and never
 * change once written.
 */

import { strongDigest } from '@fuchsiahitch/base';

export const KEY_ROOT = 'fuchsiahitch/';
export const CLAIM_PREFIX = `${KEY_ROOT}own/`;

const POSITION_DIGITS = 7;
/**
 * A model's steps reuse this many keys in turn, so that no keys accumulate in the store. A trainer has only a few open
 * steps at a time.
 */
const STEP_KEYS_PER_MODEL = 4;
/** Digits of the largest safe integer. */
const REVISION_DIGITS = 16;

/**
 * Each client account has a namespace of its own, so that the identifier of another account's batch finds nothing. The
 * separator cannot occur in the encoded identifier.
 */
export function batchIdOf(accountName: string | undefined, givenId: string): string {
  const id = encodeURIComponent(givenId);
  return accountName === undefined ? id : `${strongDigest([accountName])}@${id}`;
}

export function claimKey(batchId: string): string {
  return `${CLAIM_PREFIX}${batchId}`;
}

/** The key of the record that maps a step to its batch. */
export function stepKey(accountName: string | undefined, model: string, step: number): string {
  return `${KEY_ROOT}step/${batchIdOf(accountName, model)}/${step % STEP_KEYS_PER_MODEL}`;
}

export function partPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/part/`;
}

export function partKey(batchId: string, part: number): string {
  return `${partPrefix(batchId)}${padded(part)}`;
}

/** Keys sort by position. */
export function resultPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/result/`;
}

export function resultKey(batchId: string, position: number): string {
  return `${resultPrefix(batchId)}${padded(position)}`;
}

/** The prefix of the events of unfinished items. */
export function progressPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/progress/`;
}

/** Keys sort by owner, the newest last, and then in the order of writing. */
export function progressKey(batchId: string, claimRevision: number, record: number): string {
  const owner = String(claimRevision).padStart(REVISION_DIGITS, '0');
  return `${progressPrefix(batchId)}${owner}/${padded(record)}`;
}

/** Parses the position of a record's first result from its key. */
export function resultPositionOf(key: string): number {
  return Number(key.slice(-POSITION_DIGITS));
}

function padded(value: number): string {
  return String(value).padStart(POSITION_DIGITS, '0');
}
