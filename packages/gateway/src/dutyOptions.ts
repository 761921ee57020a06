/**
 * Options of the platform duties of a host, from its settings.
 */
import { CapacityByModel, KeepCapacity, RestoreCapacity, type CapacityPolicy } from '@fuchsiahitch/capacity';
import type { CapacityOptions } from './capacityOrders.js';
import type { PlatformDuties } from './ports.js';
import type { UsageServiceOptions } from './usageService.js';

export interface DutySettings {
  /** Undefined if usage is not reported. */
  readonly usage: { readonly windowMs: number; readonly dueMs: number } | undefined;
  readonly ordersCapacity: boolean;
  /** Minimum time between calls of two holders. */
  readonly handoverMs: number;
}

export interface DutyOptions {
  readonly usage: UsageServiceOptions | undefined;
  readonly capacity: CapacityOptions | undefined;
}

export const capacityPolicyNames = ['keep', 'by-model', 'restore'] as const;

/** Values of the program flags. */
export interface CapacityPolicyFlags {
  /** Undefined for the default: `by-model` if a number of endpoints per model is set, otherwise `keep`. */
  readonly 'capacity-policy'?: (typeof capacityPolicyNames)[number] | undefined;
  /** With 0, `by-model` orders nothing. */
  readonly 'endpoints-per-model': number;
}

export function dutyOptions(
  { usage, ordersCapacity, handoverMs }: DutySettings,
  duties: PlatformDuties,
  flags: CapacityPolicyFlags,
): DutyOptions {
  const policy = capacityPolicy(flags);
  return {
    usage: usage && { ...usage, duties, handoverMs },
    capacity: ordersCapacity ? { policy, duties, handoverMs } : undefined,
  };
}

function capacityPolicy(flags: CapacityPolicyFlags): CapacityPolicy {
  const endpointsPerModel = flags['endpoints-per-model'];
  switch (flags['capacity-policy'] ?? (endpointsPerModel > 0 ? 'by-model' : 'keep')) {
    case 'keep':
      return new KeepCapacity();
    case 'by-model':
      return endpointsPerModel > 0 ? new CapacityByModel(endpointsPerModel) : new KeepCapacity();
    case 'restore':
      return new RestoreCapacity();
  }
}
