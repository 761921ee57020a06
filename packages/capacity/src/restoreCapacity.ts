/**
 * Policy that replaces lost endpoints of a pool by regular ones.
 */
import type { CapacityPolicy } from './capacityPolicy.js';
import type { DomainShortage, PoolScaling, PoolShortage, PoolView, WantedCapacity } from './model.js';

/**
 * Endpoints are ordered if more than this part of the base is missing. A release replaces endpoints one by one and
 * stays below it.
 */
const MIN_MISSING_PART = 0.1;
/** Endpoints that have returned may leave again soon; a release right after it would have to be ordered again. */
const RELEASE_AFTER_MS = 10_000;
/** A domain that has just lost endpoints is unlikely to have others. */
const LOSS_BACKOFF_MS = 5000;

/**
 * Orders regular endpoints for those that are missing from the base, in the cheapest domains that may have some, and
 * releases them when the base is complete again.
 *
 * Answers the load after a part of the pool was reclaimed: without replacement, the remaining endpoints have less
 * capacity than the trainers' batches need, and items wait for seconds until they get a slot.
 */
export class RestoreCapacity implements CapacityPolicy {
  readonly name = 'restore';
  readonly usesBase = true;

  wanted({ scaling, shortage, backingOff }: PoolView): WantedCapacity {
    if (!shortage) return new Map();
    const { domains, missing, baseTotal, completeForMs } = shortage;
    if (missing > MIN_MISSING_PART * baseTotal)
      return withAdditions(scaling, shortage, backingOff ?? new Set());
    return completeForMs >= RELEASE_AFTER_MS ? withoutAdditions(domains) : new Map();
  }
}

/** The policy's own additions may be removed, nothing else. */
function withoutAdditions(domains: ReadonlyMap<string, DomainShortage>): WantedCapacity {
  // Without additions that run, the order can wait until the base has followed the withdrawal.
  const added = [...domains].filter(
    ([, { added, planned, withdrawn }]) => added > 0 && (planned > 0 || withdrawn === 0),
  );
  return new Map(added.map(([name, domain]) => [name, releasedTotal(domain)]));
}

/** The number of endpoints is not raised while some are withdrawn: that would undo a planned scale-in. */
function releasedTotal({ floor, present, withdrawn }: DomainShortage): number {
  return withdrawn === 0 ? floor : Math.min(floor, Math.max(present.regular, floor - withdrawn));
}

function withAdditions(
  scaling: PoolScaling,
  shortage: PoolShortage,
  backingOff: ReadonlySet<string>,
): WantedCapacity {
  const { domains } = shortage;
  const wanted = new Map<string, number>();
  let left = shortage.missing;
  for (const [name, { floor, planned, withdrawn }] of domains) {
    left -= planned;
    // Already ordered. The total is stated again so that the order is repeated if it may not have been executed, but
    // not while endpoints are withdrawn: it includes them.
    if (planned > 0 && withdrawn === 0) wanted.set(name, floor + planned);
  }
  for (const name of candidates(scaling, shortage, backingOff)) {
    const domain = domains.get(name) ?? EMPTY_DOMAIN;
    const before = domain.floor + domain.planned;
    const total = orderTotal(scaling, domain, left, shortage.missing);
    if (total === undefined) continue;
    wanted.set(name, total);
    left -= total - before;
  }
  return wanted;
}

/** Domains in which endpoints may be ordered, the cheapest first. */
function candidates(
  { prices }: PoolScaling,
  { domains, missing, baseTotal }: PoolShortage,
  backingOff: ReadonlySet<string>,
): readonly string[] {
  const names = [...prices]
    .sort(([nameA, priceA], [nameB, priceB]) => priceA - priceB || (nameA < nameB ? -1 : 1))
    .map(([name]) => name)
    // Ordering the base of a domain from which endpoints were withdrawn would undo a planned scale-in.
    .filter(name => !backingOff.has(name) && (domains.get(name)?.withdrawn ?? 0) === 0);
  const withoutLoss = names.filter(name => (domains.get(name)?.sinceLossMs ?? Infinity) >= LOSS_BACKOFF_MS);
  const isLossEverywhere = [...prices.keys()].every(
    name => (domains.get(name)?.sinceLossMs ?? Infinity) < LOSS_BACKOFF_MS,
  );
  // If endpoints were lost everywhere, an immediate refusal costs no more than waiting. If most are lost at once,
  // however, it is more likely that their records are missing for a moment.
  return isLossEverywhere && missing < baseTotal / 2 ? names : withoutLoss;
}

/** Undefined if no endpoints can be added. The limits of a domain apply to both kinds of endpoints together. */
function orderTotal(
  { min, max }: PoolScaling,
  domain: DomainShortage,
  left: number,
  missing: number,
): number | undefined {
  const before = domain.floor + domain.planned;
  const reclaimable = reclaimableOf(domain);
  const most = Math.min(max - reclaimable, totalForMissing(domain, missing), before + left);
  const total = Math.max(min - reclaimable, most);
  return total > before && total <= most ? total : undefined;
}

/**
 * Number of regular endpoints at which the domain alone would replace all that are missing. A higher total would also
 * start endpoints that were withdrawn, in case this is not known.
 */
function totalForMissing({ present, awaited }: DomainShortage, missing: number): number {
  return present.regular + awaited + missing;
}

/** Reclaimable endpoints that count for the domain's limit; lost ones may return. */
function reclaimableOf({ base, present }: DomainShortage): number {
  return Math.max(base.reclaimable, present.reclaimable);
}

const NO_ENDPOINTS = { regular: 0, reclaimable: 0 };
const EMPTY_DOMAIN: DomainShortage = {
  base: NO_ENDPOINTS,
  present: NO_ENDPOINTS,
  floor: 0,
  planned: 0,
  added: 0,
  awaited: 0,
  withdrawn: 0,
  sinceLossMs: Infinity,
};
