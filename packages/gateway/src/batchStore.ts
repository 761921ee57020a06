/**
 * A batch's records in the store: accepted once, owned by one host at a time, results added in order.
 *
 * Every write names the revision of the claim. A write whose answer was lost, and that may be carried out
 * seconds later, is therefore harmless: it takes effect only if nothing has changed hands, and then it is the
 * very write that was meant. Its outcome is read back before anything depends on it.
 */
import { err, ok, sleep, type Deadline, type Result } from '@fuchsiahitch/base';
import {
  CLAIMS,
  claimKey,
  isSameOwner,
  joinBatch,
  partKey,
  partPrefix,
  positionOf,
  progressKey,
  progressPrefix,
  readClaim,
  readProgress,
  readResults,
  readStep,
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

/** A claim with the revision that writes to the batch must name. */
export interface HeldClaim {
  readonly claim: Claim;
  readonly revision: number;
  /** When the store was asked for the answer that told it: nothing is known of the claim after that. */
  readonly requestedAtMs: number;
}

/** A batch that has not ended, and who runs it. */
export interface OpenClaim {
  readonly batchId: string;
  readonly claim: Claim;
}

/** A batch as it stands in the store. */
export interface StoredBatch {
  readonly batch: Batch;
  readonly results: readonly ItemResult[];
}

/** Why a batch could not be read or written. `damaged`: a record does not fit, which is a defect. */
export type BatchStoreError =
  | { readonly kind: 'out-of-reach'; readonly error: StoreError }
  | { readonly kind: 'damaged'; readonly key: string }
  | { readonly kind: 'too-large' };

export type AcceptOutcome =
  | { readonly kind: 'accepted'; readonly held: HeldClaim }
  /** Another acceptance came first, of this or another host. */
  | { readonly kind: 'known'; readonly held: HeldClaim }
  /** Nothing was written, and nothing will be. */
  | { readonly kind: 'not-done'; readonly error: StoreError }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'unknown' };

/** `lost`: the claim has changed hands. */
export type WriteOutcome<T> =
  | { readonly kind: 'done'; readonly value: T }
  | { readonly kind: 'lost' }
  | { readonly kind: 'out-of-reach'; readonly error: StoreError };

/** The platform's store takes 32 entries in one transaction; one is the claim, and one names the step's batch. */
const MAX_PARTS = 30;
/** Pause between two tries of a write that found the store away: many tries fit an outage of seconds. */
const RETRY_MS = 200;

export class BatchStore {
  private readonly _context: GatewayContext;
  private readonly _store: RevisionedStore;

  constructor(context: GatewayContext, store: RevisionedStore) {
    this._context = context;
    this._store = store;
  }

  /** Writes a batch that no host has accepted yet. Tries until the deadline while the store is away. */
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
      if (deadline.leftMs() <= RETRY_MS)
        return mayBeWritten ? { kind: 'unknown' } : { kind: 'not-done', error: done.error };
      await sleep(this._context.clock, RETRY_MS, this._context.stopped);
    }
  }

  /** The claim of a batch; undefined when no such batch was accepted. */
  async readClaim(
    batchId: string,
    deadline: Deadline,
  ): Promise<Result<HeldClaim | undefined, BatchStoreError>> {
    const key = claimKey(batchId);
    const requestedAtMs = this._context.clock.nowMs();
    const stored = await this._store.get(key, deadline);
    if (!stored.ok) return err({ kind: 'out-of-reach', error: stored.error });
    if (!stored.value) return ok(undefined);
    const claim = readClaim(key, stored.value.value);
    if (!claim.ok) return err({ kind: 'damaged', key });
    return ok({ claim: claim.value, revision: stored.value.version, requestedAtMs });
  }

  /** The claims of all batches that have not ended. */
  async openClaims(deadline: Deadline): Promise<Result<readonly OpenClaim[], BatchStoreError>> {
    const claims = await this._store.list(CLAIMS, deadline);
    if (!claims.ok) return err({ kind: 'out-of-reach', error: claims.error });
    const open: OpenClaim[] = [];
    for (const { key, value } of claims.value) {
      const claim = readClaim(key, value);
      if (claim.ok && !claim.value.isEnded)
        open.push({ batchId: key.slice(CLAIMS.length), claim: claim.value });
    }
    return ok(open);
  }

  /** Changes a claim that still stands at the revision. */
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
      if (deadline.leftMs() <= RETRY_MS) return { kind: 'out-of-reach', error: done.error };
      await sleep(this._context.clock, RETRY_MS, this._context.stopped);
    }
  }

  /** Adds results at a position. One try; a repeated call finds what an earlier one has done. */
  async append(
    batchId: string,
    held: HeldClaim,
    position: number,
    results: readonly ItemResult[],
    deadline: Deadline,
  ): Promise<WriteOutcome<void>> {
    return this._createOnce(batchId, held, resultKey(batchId, position), JSON.stringify(results), deadline);
  }

  /** Adds the `record`th list of generated events of this owner, as `append` adds results. */
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

  /** What all owners have kept of unfinished items, in the order in which it was generated. */
  async progress(
    batchId: string,
    deadline: Deadline,
  ): Promise<Result<readonly ItemEvents[], BatchStoreError>> {
    const lists = await this._store.list(progressPrefix(batchId), deadline);
    if (!lists.ok) return err({ kind: 'out-of-reach', error: lists.error });
    const events: ItemEvents[] = [];
    for (const { key, value } of lists.value) {
      const parsed = readProgress(key, value);
      if (!parsed.ok) return err({ kind: 'damaged', key });
      events.push(...parsed.value);
    }
    return ok(events);
  }

  /** The batch of the step that is `stepsBack` before a batch's, if the store still names it. */
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
    const record = readStep(key, stored.value.value);
    if (!record.ok) return err({ kind: 'damaged', key });
    return ok(record.value.step === step ? record.value.batchId : undefined);
  }

  /** Reads the whole batch. What is read after a claim was taken is complete: former owners can't add. */
  async load(batchId: string, deadline: Deadline): Promise<Result<StoredBatch, BatchStoreError>> {
    const batch = await this.submittedBatch(batchId, deadline);
    if (!batch.ok) return batch;
    const results = await this.results(batchId, deadline);
    return results.ok ? ok({ batch: batch.value, results: results.value }) : results;
  }

  /** The batch as it was submitted. */
  async submittedBatch(batchId: string, deadline: Deadline): Promise<Result<Batch, BatchStoreError>> {
    const parts = await this._store.list(partPrefix(batchId), deadline);
    if (!parts.ok) return err({ kind: 'out-of-reach', error: parts.error });
    const texts = parts.value.map(part => part.value);
    const batch = joinBatch(partPrefix(batchId), texts);
    return batch.ok ? ok(batch.value) : err({ kind: 'damaged', key: batch.error.key });
  }

  /** All results that the store has, in the order of their positions. */
  async results(
    batchId: string,
    deadline: Deadline,
  ): Promise<Result<readonly ItemResult[], BatchStoreError>> {
    const lists = await this._store.list(resultPrefix(batchId), deadline);
    if (!lists.ok) return err({ kind: 'out-of-reach', error: lists.error });
    const results: ItemResult[] = [];
    for (const { key, value } of lists.value) {
      const parsed = readResults(key, value);
      if (!parsed.ok || positionOf(key) !== results.length) return err({ kind: 'damaged', key });
      results.push(...parsed.value);
    }
    return ok(results);
  }

  /** Removes every record of a batch. */
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
   * Writes a new key, as long as the claim stands. A write that finds its own value in place has been made by an earlier
   * try, but says nothing of the claim since then: without a look at it an owner that lost its batch takes the old write
   * for a confirmation that the batch is still its own, and tells readers that there is nothing more.
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

  /** Removes the key that names the batch of its step, unless a later step has it by now. */
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
   * The claim exists. An earlier try of this very call may have written it: then it stands as it was written. Any other is
   * known already, also one of this process: it may have ended, or have results, and beginning it anew would hide them.
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

  private async _resolveClaimChange(
    key: string,
    value: string,
    deadline: Deadline,
  ): Promise<WriteOutcome<HeldClaim>> {
    const requestedAtMs = this._context.clock.nowMs();
    const stored = await this._store.get(key, deadline);
    if (!stored.ok) return { kind: 'out-of-reach', error: stored.error };
    if (stored.value?.value !== value) return { kind: 'lost' };
    const claim = readClaim(key, value);
    if (!claim.ok) return { kind: 'lost' };
    return {
      kind: 'done',
      value: { claim: claim.value, revision: stored.value.version, requestedAtMs },
    };
  }
}

/** True if the claim is the one that was written, and has not changed since. */
function isUnchanged(claim: Claim, written: Claim): boolean {
  const isSame = isSameOwner(claim.owner, written.owner) && claim.acceptedWallMs === written.acceptedWallMs;
  return isSame && claim.takeovers === written.takeovers && claim.isEnded === written.isEnded;
}

/** A batch that is a step of a model's trainer. */
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
