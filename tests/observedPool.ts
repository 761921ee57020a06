/**
 * A pool without a platform and hosts, for tests of its base and of the policy that restores its capacity.
 */
import {
  PoolBase,
  RestoreCapacity,
  type CapacityRecord,
  type PresentEndpoint,
  type WantedCapacity,
} from '@fuchsiahitch/capacity';
import type { KindCounts } from './capacityPlatform.js';

/** 34 endpoints: 22 regular and 12 reclaimable ones, the latter in one domain. */
export const COUNTS: KindCounts = { 'domain-0': [7, 0], 'domain-1': [8, 0], 'domain-2': [7, 12] };
const PRICES = { 'domain-0': 1, 'domain-1': 0.8, 'domain-2': 1.25 };
export const SCALING = { min: 1, max: 22, bootMs: 4000, prices: new Map(Object.entries(PRICES)) };

/** Endpoints of a pool without a platform, observed every 100 ms. */
export class ObservedPool {
  nowMs = 0;
  counts: Record<string, [regular: number, reclaimable: number]>;
  leaving: readonly PresentEndpoint[] = [];
  backingOff: ReadonlySet<string> = new Set();
  base: PoolBase;
  /** Limits per domain. */
  limits: { readonly min: number; readonly max: number };

  constructor(record?: CapacityRecord, counts: KindCounts = COUNTS, max = SCALING.max) {
    this.base = new PoolBase(record, 0);
    this.counts = copyOf(counts);
    this.limits = { min: SCALING.min, max };
  }

  advance(ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs += 100)
      this.base.observe([...this._present(), ...this.leaving], this.nowMs, SCALING.bootMs);
  }

  wanted(): WantedCapacity {
    return new RestoreCapacity().wanted({
      scaling: { ...SCALING, ...this.limits },
      models: 4,
      present: new Map(),
      shortage: this.base.shortage(),
      backingOff: this.backingOff,
    });
  }

  wantedList(): readonly (readonly [string, number])[] {
    return [...this.wanted()].sort();
  }

  private *_present(): Iterable<PresentEndpoint> {
    for (const [domain, counts] of Object.entries(this.counts))
      for (const [kind, count] of counts.entries())
        for (let i = 0; i < count; i++)
          yield { id: `${domain}-${kind}-${i}`, domain, isReclaimable: kind === 1, isLeaving: false };
  }
}

export function copyOf(counts: KindCounts): Record<string, [number, number]> {
  return Object.fromEntries(Object.entries(counts).map(([domain, [a, b]]) => [domain, [a, b]]));
}

export function completePool(counts: KindCounts = COUNTS, max = SCALING.max): ObservedPool {
  const pool = new ObservedPool(undefined, counts, max);
  pool.advance(11_000);
  return pool;
}

/** A pool whose 12 reclaimable endpoints are replaced by regular ones in domain-1. */
export function restoredPool(): ObservedPool {
  const pool = completePool();
  pool.counts['domain-2'] = [7, 0];
  pool.advance(1000);
  pool.base.orderPlanned('domain-1', 20, pool.nowMs);
  pool.base.orderEnded('domain-1', 'accepted');
  pool.advance(4000);
  pool.counts['domain-1'] = [20, 0];
  return pool;
}

export function drainingIn(domain: string, count: number): readonly PresentEndpoint[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `x${i}`,
    domain,
    isReclaimable: false,
    isLeaving: true,
  }));
}
