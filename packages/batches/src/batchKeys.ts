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
/** The number of recent steps of one model whose batches have a step key. */
const STEP_KEYS_PER_MODEL = 4;
/** Digits of the largest safe integer. */
const REVISION_DIGITS = 16;

/**
 * Returns the identifier under which a batch is stored. Each client account has a namespace of its own. The separator
 * cannot occur in the encoded identifier.
 */
export function batchIdOf(accountName: string | undefined, givenId: string): string {
  const id = encodeURIComponent(givenId);
  return accountName === undefined ? id : `${strongDigest([accountName])}@${id}`;
}

export function claimKey(batchId: string): string {
  return `${CLAIM_PREFIX}${batchId}`;
}

/** Returns the key of the record with the batch of a model's step. Keys are reused after a few steps. */
export function stepKey(accountName: string | undefined, model: string, step: number): string {
  return `${KEY_ROOT}step/${batchIdOf(accountName, model)}/${step % STEP_KEYS_PER_MODEL}`;
}

/** The prefix of the parts of the submitted batch. */
export function partPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/part/`;
}

export function partKey(batchId: string, part: number): string {
  return `${partPrefix(batchId)}${padded(part)}`;
}

/** The prefix of the lists of results. Keys sort by position. */
export function resultPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/result/`;
}

export function resultKey(batchId: string, position: number): string {
  return `${resultPrefix(batchId)}${padded(position)}`;
}

/** The prefix of the records of events of unfinished items. */
export function progressPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/progress/`;
}

/** Keys sort by the claim's revision and then by record number, that is, in the order of writing. */
export function progressKey(batchId: string, claimRevision: number, record: number): string {
  const owner = String(claimRevision).padStart(REVISION_DIGITS, '0');
  return `${progressPrefix(batchId)}${owner}/${padded(record)}`;
}

/** Returns the position of the first result in the list of a key. */
export function resultPositionOf(key: string): number {
  return Number(key.slice(-POSITION_DIGITS));
}

function padded(value: number): string {
  return String(value).padStart(POSITION_DIGITS, '0');
}
