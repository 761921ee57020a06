/**
 * Counts of the work of a fleet, and the sizes at which tests bound it.
 */
import type { FleetHost, FleetSize, GatewayFleet } from './gatewayFleet.js';

export const SIZES: readonly FleetSize[] = [
  { hosts: 9, domains: 3, endpoints: 11 },
  { hosts: 49, domains: 4, endpoints: 35 },
  { hosts: 165, domains: 5, endpoints: 48 },
];

/** Work of all hosts of a fleet, as totals or per second. */
export interface Counts {
  /** Store calls without lease renewals, which the store answers from memory. */
  readonly storeCalls: number;
  readonly renewals: number;
  readonly peerCalls: number;
  readonly peerBytes: number;
  readonly decoded: number;
  readonly timers: number;
}

function sum(hosts: readonly FleetHost[], read: (host: FleetHost) => number): number {
  return hosts.reduce((total, host) => total + read(host), 0);
}

/** Returns the totals since the fleet was created. */
export function countsOf(fleet: GatewayFleet): Counts {
  const { hosts, store } = fleet;
  const renewals = store.calls.filter(call => call === 'keepLease').length;
  return {
    storeCalls: store.calls.length - renewals,
    renewals,
    peerCalls: sum(hosts, host => [...host.calls.values()].reduce((a, b) => a + b, 0)),
    peerBytes: sum(hosts, host => host.sentBytes),
    decoded: sum(hosts, host => host.records.decoded),
    timers: sum(hosts, host => host.timers),
  };
}
