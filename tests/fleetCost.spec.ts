/**
 * What a fleet costs by its size, in counts: calls to the store, calls between hosts, records decoded, timers.
 */
import tap from 'tap';
import { GatewayFleet, type FleetHost, type FleetSize } from './gatewayFleet.js';

const SIZES: readonly FleetSize[] = [
  { hosts: 9, domains: 3, endpoints: 11 },
  { hosts: 49, domains: 4, endpoints: 35 },
  { hosts: 165, domains: 5, endpoints: 48 },
];
const SETTLE_MS = 8000;
const MEASURED_S = 10;

interface Counts {
  /** Calls to the store but renewals of leases, which it answers from memory. */
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

function countsOf(fleet: GatewayFleet): Counts {
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

/** What the fleet does a second when nothing is asked of it. */
async function idle(size: FleetSize): Promise<Counts> {
  const fleet = new GatewayFleet(size);
  await fleet.start();
  await fleet.clock.advance(SETTLE_MS);
  const before = countsOf(fleet);
  await fleet.clock.advance(MEASURED_S * 1000);
  const after = countsOf(fleet);
  fleet.stop();
  const rate = (key: keyof Counts): number => (after[key] - before[key]) / MEASURED_S;
  return {
    storeCalls: rate('storeCalls'),
    renewals: rate('renewals'),
    peerCalls: rate('peerCalls'),
    peerBytes: rate('peerBytes'),
    decoded: rate('decoded'),
    timers: rate('timers'),
  };
}

interface Measured {
  readonly size: FleetSize;
  readonly counts: Counts;
  readonly label: string;
}

const idleFleets: Measured[] = [];
for (const size of [...SIZES, ...SIZES.map(size => ({ ...size, isHeartbeatDisabled: true }))]) {
  const counts = await idle(size);
  idleFleets.push({ size, counts, label: `${size.hosts} hosts, a second: ${JSON.stringify(counts)}` });
}

await tap.test('should cost the store calls by its domains, not by its hosts, while it is idle', t => {
  // Symptom: calls to the store take a quarter to a half of what a large fleet earns. Sequence: a quiet fleet of 9, 49 and 165
  // hosts. Cause: each host watches the configuration and the living hosts by itself.
  // One watch a second and domain for each of the three prefixes, and as much again for chance.
  for (const { size, counts, label } of idleFleets) t.ok(counts.storeCalls <= 6 * size.domains, label);
  t.end();
});

await tap.test('should decode an endpoint’s record when it tells something new', t => {
  // Symptom: an idle host of a large fleet takes 0.05 of a core. Sequence: each endpoint writes its record every 1.2 s, with
  // nothing new but a counter. Cause: each host decodes each of these records.
  for (const { size, counts, label } of idleFleets) t.ok(counts.decoded <= size.domains, label);
  t.end();
});

await tap.test('should wake a host by what happens, not by looking', t => {
  // Symptom and sequence as above. Cause: each host looks for each domain's orders 17 times a second. An idle host may take 0.005
  // of a core, and a wake-up takes about 0.1 ms of it.
  for (const { size, counts, label } of idleFleets) t.ok(counts.timers / size.hosts <= 50, label);
  t.end();
});

await tap.test(
  'should read what stands in the store a few times only when all hosts start at once',
  async t => {
    // Symptom: 37,000 calls to the store on a day of 165 hosts. Sequence: all hosts start within a moment, and each writes that
    // it lives. Cause: each host hears of each other host in a call of its own.
    for (const size of SIZES) {
      const fleet = new GatewayFleet(size);
      await fleet.start();
      await fleet.clock.advance(5000);
      const { storeCalls } = countsOf(fleet);
      fleet.stop();
      // Three snapshots, a lease and its key, and as much again for views that are not shared yet; the domains' watches.
      const most = 10 * size.hosts + 6 * 5 * size.domains;
      t.ok(storeCalls <= most, `${size.hosts} hosts: ${storeCalls} calls`);
    }
  },
);
