/**
 * What metering and its reports cost a fleet, by its size: calls to the store, messages between hosts and their bytes.
 */
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import type { FleetHost } from './gatewayFleet.js';
import { SMALL_FLEET, startedFleet } from './usageFleet.js';

const SIZES = [12, 69, 195];

function callsOf(hosts: readonly FleetHost[], name?: string): number {
  const counts = hosts.map(host =>
    [...host.calls].filter(([call]) => name === undefined || call === name).map(([, count]) => count),
  );
  return counts.flat().reduce((a, b) => a + b, 0);
}

function bytesOf(hosts: readonly FleetHost[]): number {
  return hosts.reduce((sum, host) => sum + host.sentBytes, 0);
}

/** Calls to the store that usage has made. */
async function storeCallsOf(hosts: readonly FleetHost[]): Promise<number> {
  const read = await Promise.all(hosts.map(host => host.context.metrics.componentStoreCalls.get()));
  const values = read.flatMap(metric => metric.values);
  return values
    .filter(({ labels }) => String(labels.caller).startsWith('usage'))
    .reduce((sum, { value }) => sum + value, 0);
}

await tap.test(
  'should cost a fleet that is asked nothing one report a window, whatever its size',
  async t => {
    for (const hosts of SIZES) {
      const { fleet } = await startedFleet({ ...SMALL_FLEET, hosts });
      const before = await storeCallsOf(fleet.hosts);
      await fleet.clock.advance(20_000);
      t.equal(callsOf(fleet.hosts, 'usageTold'), 0, 'idle hosts tell nothing');
      t.ok(
        fleet.duties.arrivals.length <= 6,
        `${hosts} hosts: ${fleet.duties.arrivals.length} reports in 28 s`,
      );
      // Of four windows in 20 s each is decided and settled, and the lease is renewed once a second.
      const calls = (await storeCallsOf(fleet.hosts)) - before;
      t.ok(calls <= 4 * 2 + 20 + 6, `${hosts} hosts: ${calls} calls to the store in 20 s`);
      fleet.stop();
    }
  },
);

await tap.test('should tell counts in a few small messages', async t => {
  for (const hosts of SIZES) {
    const { fleet, truth } = await startedFleet({ ...SMALL_FLEET, hosts });
    const { hosts: all } = fleet;
    const [told, calls, bytes] = [callsOf(all, 'usageTold'), callsOf(all), bytesOf(all)];
    await truth.load(new SeededRandom(9), 20, 10_000);
    const tells = callsOf(all, 'usageTold') - told;
    // Each request may make a message of its own, and each busy host ends the window and the two after it with one.
    t.ok(tells <= 200 + 3 * 2 * hosts, `${hosts} hosts: ${tells} messages for 200 requests`);
    t.ok((bytesOf(all) - bytes) / (callsOf(all) - calls) < 600, 'bytes a message');
    t.same(truth.mismatches(2, 2), []);
    fleet.stop();
  }
});
