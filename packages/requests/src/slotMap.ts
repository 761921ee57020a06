/**
 * Assigns the idempotency keys of a failure domain to its hosts.
 *
 * The map is one value per domain in the platform's key-value service, updated by compare-and-swap. Epochs fence former
 * owners: a holder that received a later epoch of a slot accepts no messages of earlier ones (docs/design/keys.md).
 */
import { hash32, rendezvous } from '@fuchsiahitch/base';
import * as z from 'zod';

/** With 33 hosts, each owns about four slots and holds the copies of another four. */
export const SLOTS_PER_DOMAIN = 128;
/** The maximum number of earlier generations per slot that may still hold records. */
const MAX_OLDER_GENERATIONS = 16;
/** From this number on, an owner removes the earlier generations of a settled slot. */
const TRIM_LENGTH = 4;
/** Differences up to this share of the mean, or up to `MIN_IMBALANCE`, are not rebalanced. */
const IMBALANCE_SHARE = 0.25;
const MIN_IMBALANCE = 2;

/** A process of a host, as `hostId#incarnation`: a restarted host is another holder. */
export const holderIdSchema = z.string().regex(/^[^#]+#\d+$/, 'not a holder hostId#incarnation');

/** The holders of a slot in one epoch; `copy` is empty if the owner is the only one. */
export const generationSchema = z
  .strictObject({
    epoch: z.number().int(),
    owner: holderIdSchema,
    copy: z.union([holderIdSchema, z.literal('')]),
  })
  .readonly();
export type Generation = z.infer<typeof generationSchema>;

/** The current generation of a slot, and in `older` those that may still hold its records. */
export const slotEntrySchema = z
  .strictObject({
    ...generationSchema.unwrap().shape,
    older: z.array(generationSchema).max(MAX_OLDER_GENERATIONS).readonly(),
  })
  .readonly();
export type SlotEntry = z.infer<typeof slotEntrySchema>;

export const slotMapSchema = z
  .strictObject({
    domain: z.string(),
    revision: z.number().int(),
    /** Digest of the list of failure domains: hosts with another list serve no keys. */
    domains: z.string(),
    slots: z.array(slotEntrySchema).length(SLOTS_PER_DOMAIN).readonly(),
    /** Holders that an operator declared terminated, for hosts that never return. */
    gone: z.array(holderIdSchema).max(1000).readonly(),
  })
  .readonly();
export type SlotMap = z.infer<typeof slotMapSchema>;

export function holderId(hostId: string, incarnation: number): string {
  return `${hostId}#${incarnation}`;
}

export function splitHolder(holder: string): { readonly hostId: string; readonly incarnation: number } {
  const [hostId = '', incarnation = '0'] = holder.split('#');
  return { hostId, incarnation: Number(incarnation) };
}

export function slotOf(key: string): number {
  return hash32(key) % SLOTS_PER_DOMAIN;
}

/**
 * The failure domain named before the key's first colon, or else one by hash. Must not depend on live hosts, or two
 * partitioned domains could both run the request.
 */
export function homeDomain(key: string, domains: readonly string[]): string {
  const prefix = key.slice(0, Math.max(0, key.indexOf(':')));
  if (domains.includes(prefix)) return prefix;
  return rendezvous(key, domains)[0] ?? '';
}

export interface SlotPlanInput {
  readonly domain: string;
  /** Digest of the list of failure domains. */
  readonly domains: string;
  /** The holders that are running, sorted. */
  readonly live: readonly string[];
  /** Own settled slots, whose earlier generations are no longer needed. */
  readonly settled: ReadonlySet<number>;
}

/** Returns undefined if the current map needs no change. */
export function planSlotMap(current: SlotMap | undefined, input: SlotPlanInput): SlotMap | undefined {
  if (input.live.length === 0) return undefined;
  const plan = new SlotPlan(current?.slots, input);
  const slots = plan.run();
  if (!plan.isChanged()) return undefined;
  const revision = (current?.revision ?? 0) + 1;
  return { domain: input.domain, domains: input.domains, revision, slots, gone: current?.gone ?? [] };
}

/** Computes one map: keeps the assignments of live holders and distributes the other slots evenly. */
class SlotPlan {
  private readonly _entries: readonly (SlotEntry | undefined)[];
  private readonly _input: SlotPlanInput;
  private readonly _live: ReadonlySet<string>;
  /** Slots that each holder owns or copies. */
  private readonly _assignedCounts = new Map<string, number>();
  private readonly _ownedCounts = new Map<string, number>();
  private _changed = false;

  constructor(entries: readonly SlotEntry[] | undefined, input: SlotPlanInput) {
    this._entries = entries ?? Array.from({ length: SLOTS_PER_DOMAIN }, () => undefined);
    this._input = input;
    this._live = new Set(input.live);
    for (const holder of input.live) this._assignedCounts.set(holder, 0);
    for (const entry of this._entries) {
      if (entry) this._adjustCounts(entry.owner, entry.copy, 1);
    }
  }

  isChanged(): boolean {
    return this._changed;
  }

  run(): readonly SlotEntry[] {
    return this._entries.map((entry, slot) => this._place(entry, slot));
  }

  private _place(entry: SlotEntry | undefined, slot: number): SlotEntry {
    if (!entry) return this._newEntry();
    const hasOwner = this._live.has(entry.owner);
    const hasCopy = this._live.has(entry.copy);
    const wantsCopy = this._input.live.length > 1;
    if (hasOwner && hasCopy) return this._rebalanced(this._trimmed(entry, slot), slot);
    if (hasOwner && !wantsCopy && entry.copy === '') return entry;
    const older = this._olderGenerations(entry, slot);
    if (older.length > MAX_OLDER_GENERATIONS) return entry;
    const owner = hasOwner ? entry.owner : hasCopy ? entry.copy : this._leastLoaded('');
    const copy = hasOwner && hasCopy ? entry.copy : this._leastLoaded(owner);
    return this._reassigned(entry, owner, copy, older);
  }

  /**
   * Moves the copy, or else swaps owner and copy. Waits until the earlier generations were trimmed if there are many.
   * Waiting until all are trimmed would cost one map write per host for each join, since only owners know which slots
   * are settled.
   */
  private _rebalanced(entry: SlotEntry, slot: number): SlotEntry {
    const older = this._olderGenerations(entry, slot);
    if (older.length > TRIM_LENGTH) return entry;
    return this._withCopyMoved(entry, older) ?? this._withRolesSwapped(entry, older) ?? entry;
  }

  /** Removes generations that are no longer needed. A slot with the maximum number cannot be reassigned. */
  private _trimmed(entry: SlotEntry, slot: number): SlotEntry {
    if (entry.older.length < TRIM_LENGTH || !this._input.settled.has(slot)) return entry;
    this._changed = true;
    return { ...entry, older: [] };
  }

  private _withCopyMoved(entry: SlotEntry, older: readonly Generation[]): SlotEntry | undefined {
    const leastLoaded = this._leastLoaded(entry.owner);
    if (leastLoaded === '' || leastLoaded === entry.copy) return undefined;
    const gap = this._assignedCount(entry.copy) - this._assignedCount(leastLoaded);
    const mean = (2 * SLOTS_PER_DOMAIN) / this._input.live.length;
    if (gap <= Math.max(MIN_IMBALANCE, mean * IMBALANCE_SHARE)) return undefined;
    return this._reassigned(entry, entry.owner, leastLoaded, older);
  }

  private _withRolesSwapped(entry: SlotEntry, older: readonly Generation[]): SlotEntry | undefined {
    const gap = this._ownedCount(entry.owner) - this._ownedCount(entry.copy);
    const mean = SLOTS_PER_DOMAIN / this._input.live.length;
    if (gap <= Math.max(MIN_IMBALANCE, mean * IMBALANCE_SHARE)) return undefined;
    return this._reassigned(entry, entry.copy, entry.owner, older);
  }

  private _reassigned(
    entry: SlotEntry,
    owner: string,
    copy: string,
    older: readonly Generation[],
  ): SlotEntry {
    if (owner === entry.owner && copy === entry.copy) return entry;
    this._changed = true;
    this._adjustCounts(entry.owner, entry.copy, -1);
    this._adjustCounts(owner, copy, 1);
    return { epoch: entry.epoch + 1, owner, copy, older };
  }

  private _newEntry(): SlotEntry {
    this._changed = true;
    const owner = this._leastLoaded('');
    const copy = this._leastLoaded(owner);
    this._adjustCounts(owner, copy, 1);
    return { epoch: 1, owner, copy, older: [] };
  }

  private _olderGenerations(entry: SlotEntry, slot: number): readonly Generation[] {
    const last: Generation = { epoch: entry.epoch, owner: entry.owner, copy: entry.copy };
    return this._input.settled.has(slot) ? [last] : [last, ...entry.older];
  }

  private _leastLoaded(except: string): string {
    let best = '';
    for (const holder of this._input.live) {
      if (holder === except) continue;
      if (best === '' || this._assignedCount(holder) < this._assignedCount(best)) best = holder;
    }
    return best;
  }

  private _assignedCount(holder: string): number {
    return this._assignedCounts.get(holder) ?? 0;
  }

  private _ownedCount(holder: string): number {
    return this._ownedCounts.get(holder) ?? 0;
  }

  private _adjustCounts(owner: string, copy: string, change: number): void {
    this._ownedCounts.set(owner, this._ownedCount(owner) + change);
    this._assignedCounts.set(owner, this._assignedCount(owner) + change);
    if (copy !== '') this._assignedCounts.set(copy, this._assignedCount(copy) + change);
  }
}
