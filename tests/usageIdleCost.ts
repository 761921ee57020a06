/**
 * Cost of usage metering in an idle fleet: reports, store calls, and messages between hosts.
 */
import tap from 'tap';
import type { FleetHost } from './gatewayFleet.js';
import { callsOf } from './usageCost.js';
import { SMALL_FLEET, startedFleet } from './usageFleet.js';

/** Store calls made for usage. */
async function storeCallsOf(hosts: readonly FleetHost[]): Promise<number> {
  const read = await Promise.all(hosts.map(host => host.context.metrics.componentStoreCalls.get()));
  const values = read.flatMap(metric => metric.values);
  return values
    .filter(({ labels }) => String(labels.caller).startsWith('usage'))
    .reduce((sum, { value }) => sum + value, 0);
}

/** Guards against a cost of metering that grows with the number of idle hosts. */
export async function testIdleCost(hosts: number): Promise<void> {
  await tap.test(`should cost an idle fleet of ${hosts} hosts one report per window`, async t => {
    const { fleet } = await startedFleet({ ...SMALL_FLEET, hosts });
    const before = await storeCallsOf(fleet.hosts);
    await fleet.clock.advance(20_000);
    t.equal(callsOf(fleet.hosts, 'usageTold'), 0, 'idle hosts send nothing');
    t.ok(
      fleet.duties.arrivals.length <= 6,
      `${hosts} hosts: ${fleet.duties.arrivals.length} reports in 28 s`,
    );
    // Each of four windows in 20 s is decided and settled, and the lease is renewed once per second.
    const calls = (await storeCallsOf(fleet.hosts)) - before;
    t.ok(calls <= 4 * 2 + 20 + 6, `${hosts} hosts: ${calls} calls to the store in 20 s`);
    fleet.stop();
  });
}
