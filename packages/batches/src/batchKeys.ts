/**
 * Where a batch stands in the store.
 *
 * `own/ID` is the claim: who runs the batch. Every write to the batch names the claim's revision, so that a
 * host that lost the batch cannot add to it, however late its write is carried out. The batch itself and its
 * results stand beside it and are never changed once written.
 */

import { strongDigest } from '@fuchsiahitch/base';

export const KEY_ROOT = 'fuchsiahitch/';
export const CLAIM_PREFIX = `${KEY_ROOT}own/`;

const POSITION_DIGITS = 7;
/** Steps of one model whose batches are named: a trainer has at most a few open. */
const STEP_KEYS_PER_MODEL = 4;
/** Any revision that a number holds exactly. */
const REVISION_DIGITS = 16;

/**
 * The name under which a batch is kept and asked for. Each account has names of its own: whoever uses the identifier of another
 * account's batch finds nothing. The separator can't stand in the identifier that a caller gives.
 */
export function batchIdOf(accountName: string | undefined, givenId: string): string {
  const id = encodeURIComponent(givenId);
  return accountName === undefined ? id : `${strongDigest([accountName])}@${id}`;
}

export function claimKey(batchId: string): string {
  return `${CLAIM_PREFIX}${batchId}`;
}

/** The key that names the batch of a model's step. Keys are used again after a few steps, so that none is left behind. */
export function stepKey(accountName: string | undefined, model: string, step: number): string {
  return `${KEY_ROOT}step/${batchIdOf(accountName, model)}/${step % STEP_KEYS_PER_MODEL}`;
}

/** The prefix of all parts of the batch as it was submitted. */
export function partPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/part/`;
}

export function partKey(batchId: string, part: number): string {
  return `${partPrefix(batchId)}${padded(part)}`;
}

/** The prefix of all lists of results. Keys sort by position. */
export function resultPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/result/`;
}

export function resultKey(batchId: string, position: number): string {
  return `${resultPrefix(batchId)}${padded(position)}`;
}

/** The prefix of all records of what unfinished items have generated. */
export function progressPrefix(batchId: string): string {
  return `${KEY_ROOT}batch/${batchId}/progress/`;
}

/** Keys sort by owner, the newest last, and then in the order in which an owner wrote them. */
export function progressKey(batchId: string, claimRevision: number, record: number): string {
  const owner = String(claimRevision).padStart(REVISION_DIGITS, '0');
  return `${progressPrefix(batchId)}${owner}/${padded(record)}`;
}

/** The position at which a list of results begins. */
export function resultPositionOf(key: string): number {
  return Number(key.slice(-POSITION_DIGITS));
}

function padded(value: number): string {
  return String(value).padStart(POSITION_DIGITS, '0');
}
