/**
 * A pool with regular and reclaimable endpoints, whose capacity complete hosts restore.
 */
import type { Test } from 'tap';
import { RestoreCapacity, type CapacityPolicy } from '@fuchsiahitch/capacity';
import { CAPACITY_KEY, CAPACITY_RECORD_PREFIX } from '@fuchsiahitch/gateway';
import { CapacityPlatform, type KindCounts } from './capacityPlatform.js';
import { GatewayFleet, type FleetHost } from './gatewayFleet.js';

/** 34 endpoints: 22 regular and 12 reclaimable ones, the latter in one domain. */
export const COUNTS: KindCounts = { 'domain-0': [7, 0], 'domain-1': [8, 0], 'domain-2': [7, 12] };
export const PRICES = { 'domain-0': 1, 'domain-1': 0.8, 'domain-2': 1.25 };
export const RECORD_KEY = `${CAPACITY_RECORD_PREFIX}gen-pool`;
export const NOTICE_MS = 2500;
/** Until the duty is held, no earlier holder may act, and the base has been seen for ten seconds. */
export const START_MS = 22_000;

export interface Deployment {
  readonly fleet: GatewayFleet;
  readonly platform: CapacityPlatform;
}

export async function deploy(policy: CapacityPolicy = new RestoreCapacity()): Promise<Deployment> {
  const fleet = new GatewayFleet({ hosts: 6, domains: 3, endpoints: 0, capacity: policy });
  const platform = new CapacityPlatform(fleet, COUNTS, PRICES);
  await fleet.start();
  await fleet.clock.advance(START_MS);
  return { fleet, platform };
}

export function holderOf(fleet: GatewayFleet): FleetHost {
  const host = fleet.hostAt(fleet.store.value(CAPACITY_KEY) ?? '');
  if (!host) throw new Error('no host holds the capacity lease');
  return host;
}

export function reclaimAll({ fleet, platform }: Deployment): void {
  fleet.duties.soldOutDomains.add('domain-2');
  platform.reclaim('domain-2', 12, NOTICE_MS);
}

export function baseOf(fleet: GatewayFleet): unknown {
  const { base } = JSON.parse(fleet.store.value(RECORD_KEY) ?? '{}') as { readonly base?: unknown };
  return base;
}

export const BASE = {
  'domain-0': { regular: 7, reclaimable: 0 },
  'domain-1': { regular: 8, reclaimable: 0 },
  'domain-2': { regular: 7, reclaimable: 12 },
};

/** Checks that the pool, its base and the platform's targets are as before the shortage. */
export function checkRestored(t: Test, { fleet, platform }: Deployment): void {
  t.same(baseOf(fleet), BASE);
  t.same([...platform.targets.values()], [7, 8, 7]);
  t.equal(platform.serving(), 34);
  t.same(fleet.duties.broken, []);
}
