/**
 * Which host of a failure domain answers for which idempotency keys.
 *
 * The map is one small value in the platform's key-value service for each failure domain, changed by
 * compare-and-swap when hosts come and go. Its epochs fence: a holder that learnt a later epoch of a slot
 * takes no part in the earlier one (docs/design/keys.md).
 */
import { hash32, rendezvous } from '@fuchsiahitch/base';
import * as z from 'zod';

/** Slots of one failure domain. At 33 hosts each owns four and copies four. */
export const SLOTS_PER_DOMAIN = 128;
/** Generations that were not confirmed as settled yet. Longer chains are not begun. */
const MAX_OLDER_GENERATIONS = 16;
/** An owner shortens the chains of its settled slots when one is this long. */
const TRIM_LENGTH = 4;
/** Hosts whose loads differ by less than this share of the mean, or this number, are left alone. */
const IMBALANCE_SHARE = 0.25;
const MIN_IMBALANCE = 2;

/** One process of a host: `hostId#incarnation`. A restarted host is another holder. */
export const holderIdSchema = z.string().regex(/^[^#]+#\d+$/, 'not a holder hostId#incarnation');

/** Who held a slot in an epoch; an empty copy means that the owner stood alone. */
export const generationSchema = z
  .strictObject({
    epoch: z.number().int(),
    owner: holderIdSchema,
    copy: z.union([holderIdSchema, z.literal('')]),
  })
  .readonly();
export type Generation = z.infer<typeof generationSchema>;

/** A slot's present generation and the earlier ones that may hold its records. */
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
    /** Digest of the deployment's list of failure domains: hosts with another list serve no keys. */
    domains: z.string(),
    slots: z.array(slotEntrySchema).length(SLOTS_PER_DOMAIN).readonly(),
    /** Holders that an operator declared to have ended: nothing else proves it when a host never returns. */
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

/** The slot of a key. */
export function slotOf(key: string): number {
  return hash32(key) % SLOTS_PER_DOMAIN;
}

/**
 * The failure domain that answers for a key: the one that the key names before a colon, or else one by
 * hash. It never depends on who is alive, or two cut-off domains could both run the request.
 */
export function homeDomain(key: string, domains: readonly string[]): string {
  const prefix = key.slice(0, Math.max(0, key.indexOf(':')));
  if (domains.includes(prefix)) return prefix;
  return rendezvous(key, domains)[0] ?? '';
}

/** What a plan may take for granted about hosts. */
export interface SlotPlanInput {
  readonly domain: string;
  readonly domains: string;
  /** Holders that can take duties, sorted. */
  readonly live: readonly string[];
  /** Slots that this host owns and has settled: their earlier generations are no longer needed. */
  readonly settled: ReadonlySet<number>;
}

/** The map that suits the live holders, or undefined when the present one does. */
export function planSlotMap(current: SlotMap | undefined, input: SlotPlanInput): SlotMap | undefined {
  if (input.live.length === 0) return undefined;
  const plan = new SlotPlan(current?.slots, input);
  const slots = plan.run();
  if (!plan.isChanged()) return undefined;
  const revision = (current?.revision ?? 0) + 1;
  return { domain: input.domain, domains: input.domains, revision, slots, gone: current?.gone ?? [] };
}

/** One run of the planner: keeps surviving holders where they are and spreads the rest evenly. */
class SlotPlan {
  private readonly _entries: readonly (SlotEntry | undefined)[];
  private readonly _input: SlotPlanInput;
  private readonly _live: ReadonlySet<string>;
  /** Slots that a holder owns or copies. */
  private readonly _dutyCounts = new Map<string, number>();
  private readonly _ownedCounts = new Map<string, number>();
  private _changed = false;

  constructor(entries: readonly SlotEntry[] | undefined, input: SlotPlanInput) {
    this._entries = entries ?? Array.from({ length: SLOTS_PER_DOMAIN }, () => undefined);
    this._input = input;
    this._live = new Set(input.live);
    for (const holder of input.live) this._dutyCounts.set(holder, 0);
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
   * Evens out what joined hosts left uneven: first copies move to them, then owner and copy change roles.
   * A slot whose chain is long waits until its owner has shortened it. Waiting for every single generation to
   * be confirmed made each join cost a map for each host, since only owners know what is settled.
   */
  private _rebalanced(entry: SlotEntry, slot: number): SlotEntry {
    const older = this._olderGenerations(entry, slot);
    if (older.length > TRIM_LENGTH) return entry;
    return this._withCopyMoved(entry, older) ?? this._withRolesSwapped(entry, older) ?? entry;
  }

  /**
   * Forgets the earlier generations of a slot that this planner owns and has settled. Without it chains grow with
   * every change until none can be begun, and a slot whose holder dies stays without one.
   */
  private _trimmed(entry: SlotEntry, slot: number): SlotEntry {
    if (entry.older.length < TRIM_LENGTH || !this._input.settled.has(slot)) return entry;
    this._changed = true;
    return { ...entry, older: [] };
  }

  private _withCopyMoved(entry: SlotEntry, older: readonly Generation[]): SlotEntry | undefined {
    const lightest = this._leastLoaded(entry.owner);
    if (lightest === '' || lightest === entry.copy) return undefined;
    const gap = this._dutyCount(entry.copy) - this._dutyCount(lightest);
    const mean = (2 * SLOTS_PER_DOMAIN) / this._input.live.length;
    if (gap <= Math.max(MIN_IMBALANCE, mean * IMBALANCE_SHARE)) return undefined;
    return this._reassigned(entry, entry.owner, lightest, older);
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
      if (best === '' || this._dutyCount(holder) < this._dutyCount(best)) best = holder;
    }
    return best;
  }

  private _dutyCount(holder: string): number {
    return this._dutyCounts.get(holder) ?? 0;
  }

  private _ownedCount(holder: string): number {
    return this._ownedCounts.get(holder) ?? 0;
  }

  private _adjustCounts(owner: string, copy: string, change: number): void {
    this._ownedCounts.set(owner, this._ownedCount(owner) + change);
    this._dutyCounts.set(owner, this._dutyCount(owner) + change);
    if (copy !== '') this._dutyCounts.set(copy, this._dutyCount(copy) + change);
  }
}
