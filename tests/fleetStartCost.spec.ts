/**
 * Bounds the store calls of a fleet whose hosts all start at once.
 */
import tap from 'tap';
import { countsOf, SIZES } from './fleetCounts.js';
import { GatewayFleet } from './gatewayFleet.js';

await tap.test('should read the store only a few times when all hosts start at once', async t => {
  // Guards against a number of store calls that is quadratic in the number of hosts.
  for (const size of SIZES) {
    const fleet = new GatewayFleet(size);
    await fleet.start();
    await fleet.clock.advance(5000);
    const { storeCalls } = countsOf(fleet);
    fleet.stop();
    // Three snapshots, a lease and its key, twice while watches are not shared yet; and the watches of the domains.
    const maxCalls = 10 * size.hosts + 6 * 5 * size.domains;
    t.ok(storeCalls <= maxCalls, `${size.hosts} hosts: ${storeCalls} calls`);
  }
});
