/**
 * Cost of usage metering by fleet size: store calls, messages between hosts, and bytes.
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

/** Store calls made for usage. */
async function storeCallsOf(hosts: readonly FleetHost[]): Promise<number> {
  const read = await Promise.all(hosts.map(host => host.context.metrics.componentStoreCalls.get()));
  const values = read.flatMap(metric => metric.values);
  return values
    .filter(({ labels }) => String(labels.caller).startsWith('usage'))
    .reduce((sum, { value }) => sum + value, 0);
}

await tap.test('should cost an idle fleet one report per window, regardless of its size', async t => {
  for (const hosts of SIZES) {
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
  }
});

await tap.test('should send counts in few small messages', async t => {
  for (const hosts of SIZES) {
    const { fleet, truth } = await startedFleet({ ...SMALL_FLEET, hosts });
    const { hosts: all } = fleet;
    const [told, calls, bytes] = [callsOf(all, 'usageTold'), callsOf(all), bytesOf(all)];
    await truth.load(new SeededRandom(9), 20, 10_000);
    const updates = callsOf(all, 'usageTold') - told;
    // At most one message per request, and one per busy host that marks the window and the two after it final.
    t.ok(updates <= 200 + 3 * 2 * hosts, `${hosts} hosts: ${updates} messages for 200 requests`);
    t.ok((bytesOf(all) - bytes) / (callsOf(all) - calls) < 600, 'bytes per message');
    t.same(truth.mismatches(2, 2), []);
    fleet.stop();
  }
});
