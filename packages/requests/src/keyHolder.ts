/**
 * The owner's and the copy's side of idempotency keys in a failure domain: a non-idempotent request runs at most once.
 *
 * A request may run only after its record is stored at the owner and at the copy of one epoch. A host that takes
 * over a slot first fences one of the two from that epoch and fetches its records. Since every grant needs both,
 * no granted record is missed and no further grant is possible (docs/design/keys.md, with rejected alternatives).
 */
import { sleep, type Clock } from '@fuchsiahitch/base';
import type {
  Accepted,
  Claim,
  ClaimReply,
  CopyRecord,
  FenceReply,
  FenceSlot,
  Finish,
  KeyRecord,
  SyncSlot,
} from './keyMessages.js';
import { KEY_RETENTION_MS, KeySlot, MAX_STORED_ANSWER_BYTES, type SlotRecord } from './keySlot.js';
import { slotOf, SLOTS_PER_DOMAIN, type Generation, type SlotEntry, type SlotMap } from './slotMap.js';

/** Sends messages to other holders. If no reply arrives (undefined), the peer may still have processed the message. */
export interface HolderPeers {
  copyRecord(holder: string, message: CopyRecord): Promise<Accepted | undefined>;
  syncSlot(holder: string, message: SyncSlot): Promise<Accepted | undefined>;
  fenceSlot(holder: string, message: FenceSlot): Promise<FenceReply | undefined>;
  /** True if the process of this holder has provably ended: its host runs a later process or was removed. */
  isProvenTerminated(holder: string): boolean;
}

export interface KeyHolderOptions {
  readonly self: string;
  /** Digest of this host's list of failure domains. */
  readonly domains: string;
  readonly clock: Clock;
  readonly peers: HolderPeers;
}

const SETTLE_RETRY_MS = 200;

type Waiter = () => void;

export class KeyHolder {
  private readonly _options: KeyHolderOptions;
  private readonly _slots: readonly KeySlot[];
  private readonly _waiters = new Map<SlotRecord, Waiter[]>();
  private readonly _settled = new Set<number>();
  private _map: SlotMap | undefined;
  /** The epoch for which each slot is being settled. */
  private readonly _settling = new Map<number, number>();
  private readonly _handedOver = new Set<number>();

  constructor(options: KeyHolderOptions) {
    this._options = options;
    this._slots = Array.from({ length: SLOTS_PER_DOMAIN }, () => new KeySlot(options.clock));
  }

  /** Slots that this host owns and whose copy is up to date. */
  settledSlots(): ReadonlySet<number> {
    return this._settled;
  }

  map(): SlotMap | undefined {
    return this._map;
  }

  recordCount(): number {
    return this._slots.reduce((sum, slot) => sum + slot.size(), 0);
  }

  /** Ignores maps that are not newer, even from the store: epochs never decrease. */
  updateMap(map: SlotMap): void {
    if (this._map && map.revision <= this._map.revision) return;
    this._map = map;
    for (const [slot, entry] of map.slots.entries()) this._updateEntry(slot, entry);
  }

  /** As the owner: decides whether the claiming attempt may run. */
  async claim(claim: Claim): Promise<ClaimReply> {
    const slot = slotOf(claim.key);
    const entry = this._ownedEntry(slot);
    if (!entry) return { kind: 'wrong-owner' };
    const hasSameDomains = claim.domains === this._options.domains && this._map?.domains === claim.domains;
    if (!hasSameDomains) return { kind: 'unknown', reason: 'key-unsettled' };
    const keySlot = this._slot(slot);
    const existing = keySlot.find(claim.key);
    if (existing) return this._claimExisting(existing, claim);
    // Until the slot is settled, an earlier request with this key may have run without this host's knowledge.
    if (!this._mayGrant(slot, entry)) return { kind: 'unknown', reason: 'key-unsettled' };
    if (keySlot.lostForMs() > 0) return { kind: 'unknown', reason: 'key-records-lost' };
    return this._grant(slot, entry, claim);
  }

  /** As the owner: records the end of a granted attempt. */
  async finish(finish: Finish): Promise<Accepted> {
    const slot = slotOf(finish.key);
    const entry = this._ownedEntry(slot);
    const record = this._slot(slot).find(finish.key);
    if (!entry || record?.attemptId !== finish.attemptId) return { accepted: false };
    const change = this._applyFinish(slot, record, finish);
    this._wakeWaiters(record);
    // A copy that misses this change replies `unknown` instead of the stored answer.
    if (entry.copy !== '')
      await this._options.peers.copyRecord(entry.copy, { slot, epoch: entry.epoch, record: change });
    return { accepted: true };
  }

  /** As the copy: applies one change of the owner. Refused unless the copy is complete in the same epoch. */
  copyRecord(message: CopyRecord): Accepted {
    const keySlot = this._slot(message.slot);
    const isCurrent = message.epoch === keySlot.promisedEpoch && keySlot.completeEpoch === message.epoch;
    if (!isCurrent) return { accepted: false };
    keySlot.merge(message.record);
    return { accepted: true };
  }

  /** As the copy: replaces the contents of a slot. */
  syncSlot(message: SyncSlot): Accepted {
    const keySlot = this._slot(message.slot);
    if (message.epoch < keySlot.promisedEpoch) return { accepted: false };
    keySlot.promisedEpoch = message.epoch;
    this._settled.delete(message.slot);
    keySlot.replace(message.records, message.lostForMs);
    keySlot.completeEpoch = message.epoch;
    return { accepted: true };
  }

  /** As an earlier holder: promises to refuse lower epochs than `message.epoch`, and returns its records. */
  fenceSlot(message: FenceSlot): FenceReply {
    if (message.holder !== this._options.self) return { kind: 'gone' };
    const keySlot = this._slot(message.slot);
    if (message.epoch < keySlot.promisedEpoch) return { kind: 'later-epoch' };
    keySlot.promisedEpoch = message.epoch;
    if (this._map?.slots[message.slot]?.epoch !== message.epoch) this._settled.delete(message.slot);
    this._handedOver.add(message.slot);
    return {
      kind: 'holds',
      completeEpoch: keySlot.completeEpoch,
      records: keySlot.unexpiredRecords(),
      lostForMs: keySlot.lostForMs(),
    };
  }

  /** As a leaving host: returns true once another host holds the records of each of its slots. */
  hasHandedOver(): boolean {
    const slots = this._map?.slots ?? [];
    return slots.every((entry, slot) => {
      if (this._slot(slot).completeEpoch === 0) return true;
      if (entry.owner === this._options.self || entry.copy === this._options.self) return false;
      const previous = entry.older[0];
      const wasHolder = previous?.owner === this._options.self || previous?.copy === this._options.self;
      const isOwnerInformed = entry.owner === previous?.owner || entry.owner === previous?.copy;
      return !wasHolder || isOwnerInformed || this._handedOver.has(slot);
    });
  }

  private _slot(slot: number): KeySlot {
    const keySlot = this._slots[slot];
    if (!keySlot) throw new Error(`invariant violated: no key slot ${slot}`);
    return keySlot;
  }

  private _ownedEntry(slot: number): SlotEntry | undefined {
    const entry = this._map?.slots[slot];
    return entry?.owner === this._options.self ? entry : undefined;
  }

  private _mayGrant(slot: number, entry: SlotEntry): boolean {
    return this._settled.has(slot) && this._slot(slot).promisedEpoch === entry.epoch;
  }

  private async _claimExisting(existing: SlotRecord, claim: Claim): Promise<ClaimReply> {
    if (existing.fingerprint !== claim.fingerprint) return { kind: 'conflict' };
    if (existing.state !== 'finished' && claim.waitMs > 0) await this._wait(existing, claim.waitMs);
    if (existing.state !== 'finished') return { kind: 'unknown', reason: 'first-still-running' };
    return existing.answer
      ? { kind: 'answered', answer: existing.answer }
      : { kind: 'unknown', reason: 'answer-not-kept' };
  }

  private async _grant(slot: number, entry: SlotEntry, claim: Claim): Promise<ClaimReply> {
    const keySlot = this._slot(slot);
    const record = keySlot.prepare(claim.key, claim.fingerprint, claim.attemptId);
    if (entry.copy !== '') {
      const message = { slot, epoch: entry.epoch, record: keySlot.toRecord(record) };
      const reply = await this._options.peers.copyRecord(entry.copy, message);
      if (!reply?.accepted) {
        // Reply `unknown`: the copy may already serve a new owner that granted the key to another request.
        keySlot.remove(record);
        this._wakeWaiters(record);
        if (reply) this._settled.delete(slot);
        return { kind: 'unknown', reason: 'key-unsettled' };
      }
    }
    record.state = 'granted';
    return { kind: 'granted' };
  }

  private _applyFinish(slot: number, record: SlotRecord, finish: Finish): KeyRecord {
    const keySlot = this._slot(slot);
    if (finish.end === 'released') {
      keySlot.remove(record);
      return { ...keySlot.toRecord(record), state: 'released', change: keySlot.nextChange() };
    }
    const isStorable = finish.answer !== undefined && finish.answer.body.length <= MAX_STORED_ANSWER_BYTES;
    keySlot.finish(record, isStorable ? finish.answer : undefined);
    return keySlot.toRecord(record);
  }

  private async _wait(record: SlotRecord, waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this._options.clock.after(waitMs, resolve);
      const waiters = this._waiters.get(record) ?? [];
      waiters.push(() => {
        cancel();
        resolve();
      });
      this._waiters.set(record, waiters);
    });
  }

  private _wakeWaiters(record: SlotRecord): void {
    for (const waiter of this._waiters.get(record) ?? []) waiter();
    this._waiters.delete(record);
  }

  private _updateEntry(slot: number, entry: SlotEntry): void {
    const keySlot = this._slot(slot);
    if (entry.epoch < keySlot.promisedEpoch) return;
    const isNewEpoch = entry.epoch > keySlot.promisedEpoch;
    keySlot.promisedEpoch = entry.epoch;
    if (isNewEpoch) {
      this._settled.delete(slot);
      this._handedOver.delete(slot);
    }
    // A message of the new owner may have announced this epoch before the map, so clear the role here as well.
    if (entry.owner !== this._options.self) {
      this._settled.delete(slot);
      return;
    }
    if (this._settled.has(slot) || this._settling.get(slot) === entry.epoch) return;
    this._settling.set(slot, entry.epoch);
    void this._settle(slot, entry);
  }

  /** Collects the slot's records from earlier holders and synchronizes the copy, after which keys can be granted. */
  private async _settle(slot: number, entry: SlotEntry): Promise<void> {
    const keySlot = this._slot(slot);
    const isCurrent = (): boolean =>
      this._map?.slots[slot]?.epoch === entry.epoch && keySlot.promisedEpoch === entry.epoch;
    while (isCurrent()) {
      const isComplete = keySlot.completeEpoch === entry.epoch || (await this._collectRecords(slot, entry));
      if (!isCurrent()) return;
      if (isComplete) {
        keySlot.completeEpoch = entry.epoch;
        if (await this._syncCopy(slot, entry)) {
          if (isCurrent()) this._settled.add(slot);
          return;
        }
      }
      await sleep(this._options.clock, SETTLE_RETRY_MS);
    }
  }

  private async _syncCopy(slot: number, entry: SlotEntry): Promise<boolean> {
    if (entry.copy === '') return true;
    const keySlot = this._slot(slot);
    const message = {
      slot,
      epoch: entry.epoch,
      records: keySlot.unexpiredRecords(),
      lostForMs: keySlot.lostForMs(),
    };
    const reply = await this._options.peers.syncSlot(entry.copy, message);
    return reply?.accepted ?? false;
  }

  /** Queries earlier generations, newest first, for the granted records. Returns false if this must be retried. */
  private async _collectRecords(slot: number, entry: SlotEntry): Promise<boolean> {
    for (const generation of entry.older) {
      const result = await this._queryGeneration(slot, entry.epoch, generation);
      if (result === 'complete') return true;
      if (result === 'unresponsive') return false;
      if (result === 'lost') {
        this._slot(slot).markRecordsLost(KEY_RETENTION_MS);
        return true;
      }
    }
    return true;
  }

  /**
   * `complete`: the generation's records were loaded. `none`: one of its holders never received them and is fenced,
   * so that the generation granted nothing. `lost`: all of its holders terminated. `unresponsive`: not known yet.
   */
  private async _queryGeneration(
    slot: number,
    epoch: number,
    generation: Generation,
  ): Promise<'complete' | 'none' | 'lost' | 'unresponsive'> {
    const keySlot = this._slot(slot);
    const holders = generation.copy === '' ? [generation.owner] : [generation.owner, generation.copy];
    if (holders.includes(this._options.self))
      return keySlot.completeEpoch === generation.epoch ? 'complete' : 'none';
    let terminated = 0;
    for (const holder of holders) {
      if (this._options.peers.isProvenTerminated(holder)) {
        terminated += 1;
        continue;
      }
      const reply = await this._options.peers.fenceSlot(holder, { slot, epoch, holder });
      if (reply?.kind === 'gone') terminated += 1;
      if (reply?.kind !== 'holds') continue;
      if (reply.completeEpoch > generation.epoch) continue;
      if (reply.completeEpoch < generation.epoch) return 'none';
      keySlot.replace(reply.records, reply.lostForMs);
      return 'complete';
    }
    return terminated === holders.length ? 'lost' : 'unresponsive';
  }
}
