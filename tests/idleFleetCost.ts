/**
 * Bounds on the work of an idle fleet by its size: store calls, peer calls, decoded records and timers.
 */
import tap from 'tap';
import { countsOf, type Counts } from './fleetCounts.js';
import { GatewayFleet, type FleetSize } from './gatewayFleet.js';

const SETTLE_MS = 8000;
const MEASURED_S = 10;

/** The counts per second of an idle fleet. */
async function measureIdleRates(size: FleetSize): Promise<Counts> {
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

interface IdleMeasurement {
  readonly size: FleetSize;
  readonly counts: Counts;
  readonly label: string;
}

/** Measures idle fleets of the sizes, and bounds their work. */
export async function testIdleFleets(sizes: readonly FleetSize[]): Promise<void> {
  const idleMeasurements: IdleMeasurement[] = [];
  for (const size of sizes) {
    const counts = await measureIdleRates(size);
    idleMeasurements.push({
      size,
      counts,
      label: `${size.hosts} hosts, per second: ${JSON.stringify(counts)}`,
    });
  }

  await tap.test(
    'should bound the store calls of an idle fleet by the number of failure domains, not of hosts',
    t => {
      // Guards against a separate watch of each prefix at every host.
      // One watch per second, domain and prefix, for three prefixes, with a margin of as much again.
      for (const { size, counts, label } of idleMeasurements)
        t.ok(counts.storeCalls <= 6 * size.domains, label);
      t.end();
    },
  );

  await tap.test('should decode an endpoint record only when more than its heartbeat has changed', t => {
    // Guards against CPU use of idle hosts: endpoints write a heartbeat every 1.2 s.
    for (const { size, counts, label } of idleMeasurements) t.ok(counts.decoded <= size.domains, label);
    t.end();
  });

  await tap.test('should wake idle hosts by events, not by polling', t => {
    // An idle host may use 0.005 of a core, and a wake-up takes about 0.1 ms.
    for (const { size, counts, label } of idleMeasurements) t.ok(counts.timers / size.hosts <= 50, label);
    t.end();
  });
}
