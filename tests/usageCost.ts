/**
 * Fleet sizes and call counts for the cost of usage metering.
 */
import type { FleetHost } from './gatewayFleet.js';

export const SIZES = [12, 69, 195];

/** Returns the number of peer calls that the hosts sent, of one name or of all. */
export function callsOf(hosts: readonly FleetHost[], name?: string): number {
  const counts = hosts.map(host =>
    [...host.calls].filter(([call]) => name === undefined || call === name).map(([, count]) => count),
  );
  return counts.flat().reduce((a, b) => a + b, 0);
}
