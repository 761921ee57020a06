/**
 * Reads and writes the records of batches in the store.
 *
 * Every write to an accepted batch is conditional on the revision of its claim, so an unanswered write that is executed
 * late is harmless: it fails once the batch has another owner. If a retried write is rejected, the record is read back,
 * since an earlier attempt may have been executed.
 */
import { err, ok, sleep, type Deadline, type Result } from '@fuchsiahitch/base';
import {
  CLAIM_PREFIX,
  claimKey,
  isSameOwner,
  joinBatch,
  partKey,
  partPrefix,
  resultPositionOf,
  progressKey,
  progressPrefix,
  parseClaim,
  parseProgress,
  parseResults,
  parseStep,
  resultKey,
  resultPrefix,
  splitBatch,
  stepKey,
  type Batch,
  type Claim,
  type ItemEvents,
  type ItemResult,
  type Owner,
  type StepRecord,
} from '@fuchsiahitch/batches';
import type { RevisionedStore, StoreError, Write } from '@fuchsiahitch/clients';
import type { GatewayContext } from './gatewayContext.js';

/** A claim as last read or written. Writes to the batch are conditional on its revision. */
export interface HeldClaim {
  readonly claim: Claim;
  readonly revision: number;
  /** When the request to the store was sent. The claim may have changed at any time after that. */
  readonly requestedAtMs: number;
}

/** The claim of a batch that has not ended. */
export interface OpenClaim {
  readonly batchId: string;
  readonly claim: Claim;
}

export interface StoredBatch {
  readonly batch: Batch;
  readonly results: readonly ItemResult[];
}

/** `damaged`: a record is malformed or out of sequence, which indicates a defect. */
export type BatchStoreError =
  | { readonly kind: 'out-of-reach'; readonly error: StoreError }
  | { readonly kind: 'damaged'; readonly key: string }
  | { readonly kind: 'too-large' };

export type AcceptOutcome =
  | { readonly kind: 'accepted'; readonly held: HeldClaim }
  /** The batch was accepted before, by this or another host. */
  | { readonly kind: 'known'; readonly held: HeldClaim }
  /** Nothing was written, and no pending write remains. */
  | { readonly kind: 'not-done'; readonly error: StoreError }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'unknown' };

/** `lost`: the claim has changed, usually because another host owns the batch. */
export type WriteOutcome<T> =
  | { readonly kind: 'done'; readonly value: T }
  | { readonly kind: 'lost' }
  | { readonly kind: 'out-of-reach'; readonly error: StoreError };

/** The platform's store accepts 32 writes per transaction. Two of them are the claim and the step record. */
const MAX_PARTS = 30;
/** Short, so that a write is retried many times within an outage of seconds. */
const RETRY_MS = 200;

export class BatchStore {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;

  constructor(context: GatewayContext, store: RevisionedStore) {
    this._context = context;
    this._store = store;
  }

  /** Writes a batch unless a host has accepted it before. Retries until the deadline while the store is unavailable. */
  async accept(batch: Batch, owner: Owner, deadline: Deadline): Promise<AcceptOutcome> {
    const parts = splitBatch(batch);
    if (parts.length > MAX_PARTS) return { kind: 'too-large' };
    const key = claimKey(batch.id);
    const claim: Claim = {
      owner,
      isEnded: false,
      items: batch.items.length,
      parts: parts.length,
      acceptedWallMs: this._context.clock.wallMs(),
      takeovers: 0,
    };
    const writes: Write[] = [{ kind: 'put', key, value: JSON.stringify(claim) }];
    for (const [i, value] of parts.entries()) writes.push({ kind: 'put', key: partKey(batch.id, i), value });
    if (isTrainerStep(batch)) writes.push(stepWrite(batch));
    let mayBeWritten = false;
    for (;;) {
      const requestedAtMs = this._context.clock.nowMs();
      const done = await this._store.transact([{ key, version: 0 }], writes, deadline);
      if (done.ok && done.value.succeeded)
        return { kind: 'accepted', held: { claim, revision: done.value.version, requestedAtMs } };
      if (done.ok) return this._resolveExistingClaim(batch.id, claim, deadline);
      if (done.error === 'unknown') mayBeWritten = true;
      if (deadline.remainingMs() <= RETRY_MS)
        return mayBeWritten ? { kind: 'unknown' } : { kind: 'not-done', error: done.error };
      await sleep(this._context.clock, RETRY_MS, this._context.stopped);
    }
  }

  /** Returns undefined if no such batch was accepted. */
  async readClaim(
    batchId: string,
    deadline: Deadline,
  ): Promise<Result<HeldClaim | undefined, BatchStoreError>> {
    const key = claimKey(batchId);
    const requestedAtMs = this._context.clock.nowMs();
    const stored = await this._store.get(key, deadline);
    if (!stored.ok) return err({ kind: 'out-of-reach', error: stored.error });
    if (!stored.value) return ok(undefined);
    const claim = parseClaim(key, stored.value.value);
    if (!claim.ok) return err({ kind: 'damaged', key });
    return ok({ claim: claim.value, revision: stored.value.version, requestedAtMs });
  }

  async openClaims(deadline: Deadline): Promise<Result<readonly OpenClaim[], BatchStoreError>> {
    const claims = await this._store.list(CLAIM_PREFIX, deadline);
    if (!claims.ok) return err({ kind: 'out-of-reach', error: claims.error });
    const open: OpenClaim[] = [];
    for (const { key, value } of claims.value) {
      const claim = parseClaim(key, value);
      if (claim.ok && !claim.value.isEnded)
        open.push({ batchId: key.slice(CLAIM_PREFIX.length), claim: claim.value });
    }
    return ok(open);
  }

  /** Changes a claim if it is still at the given revision. */
  async changeClaim(
    batchId: string,
    held: HeldClaim,
    change: Partial<Pick<Claim, 'owner' | 'isEnded' | 'takeovers'>>,
    deadline: Deadline,
  ): Promise<WriteOutcome<HeldClaim>> {
    const key = claimKey(batchId);
    const claim: Claim = { ...held.claim, ...change };
    const value = JSON.stringify(claim);
    const compares = [{ key, version: held.revision }];
    for (;;) {
      const requestedAtMs = this._context.clock.nowMs();
      const done = await this._store.transact(compares, [{ kind: 'put', key, value }], deadline);
      if (done.ok && done.value.succeeded)
        return { kind: 'done', value: { claim, revision: done.value.version, requestedAtMs } };
      if (done.ok) return this._resolveClaimChange(key, value, deadline);
      if (deadline.remainingMs() <= RETRY_MS) return { kind: 'out-of-reach', error: done.error };
      await sleep(this._context.clock, RETRY_MS, this._context.stopped);
    }
  }

  /** Adds results at a position. Does not retry; the caller may repeat an unanswered call unchanged. */
  async append(
    batchId: string,
    held: HeldClaim,
    position: number,
    results: readonly ItemResult[],
    deadline: Deadline,
  ): Promise<WriteOutcome<void>> {
    return this._createOnce(batchId, held, resultKey(batchId, position), JSON.stringify(results), deadline);
  }

  /** Adds a progress record. `record`: its number among the records of this owner. Does not retry, like `append`. */
  async appendProgress(
    batchId: string,
    held: HeldClaim,
    record: number,
    events: readonly ItemEvents[],
    deadline: Deadline,
  ): Promise<WriteOutcome<void>> {
    const key = progressKey(batchId, held.revision, record);
    return this._createOnce(batchId, held, key, JSON.stringify(events), deadline);
  }

  /** Returns the events that all owners have recorded, in the order in which they were generated. */
  async progress(
    batchId: string,
    deadline: Deadline,
  ): Promise<Result<readonly ItemEvents[], BatchStoreError>> {
    const lists = await this._store.list(progressPrefix(batchId), deadline);
    if (!lists.ok) return err({ kind: 'out-of-reach', error: lists.error });
    const events: ItemEvents[] = [];
    for (const { key, value } of lists.value) {
      const parsed = parseProgress(key, value);
      if (!parsed.ok) return err({ kind: 'damaged', key });
      events.push(...parsed.value);
    }
    return ok(events);
  }

  /** Returns the batch of the step `stepsBack` steps earlier, or undefined if the store has no record of it. */
  async previousStepBatchId(
    batch: Batch,
    stepsBack: number,
    deadline: Deadline,
  ): Promise<Result<string | undefined, BatchStoreError>> {
    if (!isTrainerStep(batch) || batch.step < stepsBack) return ok(undefined);
    const step = batch.step - stepsBack;
    const key = stepKey(batch.accountName, batch.model, step);
    const stored = await this._store.get(key, deadline);
    if (!stored.ok) return err({ kind: 'out-of-reach', error: stored.error });
    if (!stored.value) return ok(undefined);
    const record = parseStep(key, stored.value.value);
    if (!record.ok) return err({ kind: 'damaged', key });
    return ok(record.value.step === step ? record.value.batchId : undefined);
  }

  /** Reads a batch and its results. After a takeover the results are complete: previous owners can no longer append. */
  async load(batchId: string, deadline: Deadline): Promise<Result<StoredBatch, BatchStoreError>> {
    const batch = await this.submittedBatch(batchId, deadline);
    if (!batch.ok) return batch;
    const results = await this.results(batchId, deadline);
    return results.ok ? ok({ batch: batch.value, results: results.value }) : results;
  }

  async submittedBatch(batchId: string, deadline: Deadline): Promise<Result<Batch, BatchStoreError>> {
    const parts = await this._store.list(partPrefix(batchId), deadline);
    if (!parts.ok) return err({ kind: 'out-of-reach', error: parts.error });
    const texts = parts.value.map(part => part.value);
    const batch = joinBatch(partPrefix(batchId), texts);
    return batch.ok ? ok(batch.value) : err({ kind: 'damaged', key: batch.error.key });
  }

  /** Returns all stored results in the order of their positions. */
  async results(
    batchId: string,
    deadline: Deadline,
  ): Promise<Result<readonly ItemResult[], BatchStoreError>> {
    const lists = await this._store.list(resultPrefix(batchId), deadline);
    if (!lists.ok) return err({ kind: 'out-of-reach', error: lists.error });
    const results: ItemResult[] = [];
    for (const { key, value } of lists.value) {
      const parsed = parseResults(key, value);
      if (!parsed.ok || resultPositionOf(key) !== results.length) return err({ kind: 'damaged', key });
      results.push(...parsed.value);
    }
    return ok(results);
  }

  /** Removes all records of a batch. The claim goes last, so that an interrupted removal is repeated. */
  async remove(batchId: string, deadline: Deadline): Promise<boolean> {
    if (!(await this._removeStep(batchId, deadline))) return false;
    for (const prefix of [progressPrefix(batchId), resultPrefix(batchId), partPrefix(batchId)]) {
      const records = await this._store.list(prefix, deadline);
      if (!records.ok) return false;
      for (const { key } of records.value) {
        const done = await this._store.transact([], [{ kind: 'delete', key }], deadline);
        if (!done.ok) return false;
      }
    }
    const done = await this._store.transact([], [{ kind: 'delete', key: claimKey(batchId) }], deadline);
    return done.ok;
  }

  /**
   * Creates a key if the claim is unchanged. If the key already has this value, an earlier attempt has written it; the
   * claim is then checked separately, since it may have changed after that write. Without the check, an owner that lost
   * its batch would take the earlier write as confirmation of its claim, and tell readers that there are no more
   * results.
   */
  private async _createOnce(
    batchId: string,
    held: HeldClaim,
    key: string,
    value: string,
    deadline: Deadline,
  ): Promise<WriteOutcome<void>> {
    const compares = [
      { key: claimKey(batchId), version: held.revision },
      { key, version: 0 },
    ];
    const done = await this._store.transact(compares, [{ kind: 'put', key, value }], deadline);
    if (!done.ok) return { kind: 'out-of-reach', error: done.error };
    if (done.value.succeeded) return { kind: 'done', value: undefined };
    const claim = await this._store.get(claimKey(batchId), deadline);
    if (!claim.ok) return { kind: 'out-of-reach', error: claim.error };
    if (claim.value?.version !== held.revision) return { kind: 'lost' };
    const stored = await this._store.get(key, deadline);
    if (!stored.ok) return { kind: 'out-of-reach', error: stored.error };
    return stored.value?.value === value ? { kind: 'done', value: undefined } : { kind: 'lost' };
  }

  /** Removes the record of the batch's step unless the record refers to another batch. */
  private async _removeStep(batchId: string, deadline: Deadline): Promise<boolean> {
    const submitted = await this.submittedBatch(batchId, deadline);
    if (!submitted.ok) return submitted.error.kind === 'damaged';
    const batch = submitted.value;
    if (!isTrainerStep(batch)) return true;
    const key = stepKey(batch.accountName, batch.model, batch.step);
    const named = await this._store.get(key, deadline);
    if (!named.ok) return false;
    if (named.value?.value !== stepValue(batchId, batch.step)) return true;
    const compares = [{ key, version: named.value.version }];
    const done = await this._store.transact(compares, [{ kind: 'delete', key }], deadline);
    return done.ok;
  }

  /**
   * Returns `accepted` if the existing claim equals the one that an earlier attempt of this call may have written. Any
   * other claim is `known`, even if this process owns it, since the batch may have ended or have results.
   */
  private async _resolveExistingClaim(
    batchId: string,
    written: Claim,
    deadline: Deadline,
  ): Promise<AcceptOutcome> {
    const held = await this.readClaim(batchId, deadline);
    if (!held.ok || !held.value) return { kind: 'unknown' };
    return { kind: isUnchanged(held.value.claim, written) ? 'accepted' : 'known', held: held.value };
  }

  /** Returns `done` if the claim has the value that an earlier attempt of this call may have written. */
  private async _resolveClaimChange(
    key: string,
    value: string,
    deadline: Deadline,
  ): Promise<WriteOutcome<HeldClaim>> {
    const requestedAtMs = this._context.clock.nowMs();
    const stored = await this._store.get(key, deadline);
    if (!stored.ok) return { kind: 'out-of-reach', error: stored.error };
    if (stored.value?.value !== value) return { kind: 'lost' };
    const claim = parseClaim(key, value);
    if (!claim.ok) return { kind: 'lost' };
    return {
      kind: 'done',
      value: { claim: claim.value, revision: stored.value.version, requestedAtMs },
    };
  }
}

function isUnchanged(claim: Claim, written: Claim): boolean {
  const isSame = isSameOwner(claim.owner, written.owner) && claim.acceptedWallMs === written.acceptedWallMs;
  return isSame && claim.takeovers === written.takeovers && claim.isEnded === written.isEnded;
}

function isTrainerStep(batch: Batch): batch is Batch & { readonly step: number } {
  return batch.step !== undefined && batch.model !== '';
}

function stepWrite({ id, accountName, model, step }: Batch & { readonly step: number }): Write {
  return { kind: 'put', key: stepKey(accountName, model, step), value: stepValue(id, step) };
}

function stepValue(batchId: string, step: number): string {
  const record: StepRecord = { batchId, step };
  return JSON.stringify(record);
}
