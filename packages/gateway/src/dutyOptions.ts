/**
 * Options of the platform duties of a host, from its settings.
 */
import { CapacityByModel, KeepCapacity, type CapacityPolicy } from '@fuchsiahitch/capacity';
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

/** `endpointsPerModel`: 0 disables capacity orders. */
export function dutyOptions(
  { usage, ordersCapacity, handoverMs }: DutySettings,
  duties: PlatformDuties,
  endpointsPerModel: number,
): DutyOptions {
  const policy = capacityPolicy(endpointsPerModel);
  return {
    usage: usage && { ...usage, duties, handoverMs },
    capacity: ordersCapacity ? { policy, duties, handoverMs } : undefined,
  };
}

function capacityPolicy(endpointsPerModel: number): CapacityPolicy {
  return endpointsPerModel > 0 ? new CapacityByModel(endpointsPerModel) : new KeepCapacity();
}
