/**
 * Cost of counting requests by fleet size: messages between hosts, and their bytes.
 */
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import type { FleetHost } from './gatewayFleet.js';
import { callsOf, SIZES } from './usageCost.js';
import { SMALL_FLEET, startedFleet } from './usageFleet.js';

function bytesOf(hosts: readonly FleetHost[]): number {
  return hosts.reduce((sum, host) => sum + host.sentBytes, 0);
}

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
