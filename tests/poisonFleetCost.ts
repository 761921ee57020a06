/**
 * The cost of a poison request in store calls and peer bytes, by fleet size.
 */
import tap from 'tap';
import { CrashingEndpoints } from './crashingEndpoints.js';
import { GatewayFleet } from './gatewayFleet.js';
import { LOOKUP_ROUTE, lookupRequest, NEVER_ABORTED } from './lookupRequests.js';

const SETTLE_MS = 8000;
const MEASURED_S = 5;

interface Costs {
  /** Store calls except lease renewals, which depend on the hosts' clocks. */
  readonly storeCalls: number;
  readonly peerBytes: number;
}

/** Measures the costs of one request per second, sent to one host after the other. */
async function costs(fleet: GatewayFleet): Promise<Costs> {
  const sentBytes = (): number => fleet.hosts.reduce((sum, host) => sum + host.sentBytes, 0);
  const storeCalls = (): number => fleet.store.calls.filter(call => call !== 'keepLease').length;
  const before = { storeCalls: storeCalls(), peerBytes: sentBytes() };
  for (let turn = 0; turn < MEASURED_S; turn++) {
    const host = fleet.hosts[(turn * 7) % fleet.hosts.length];
    void host?.gateway.forwarder.forward(
      lookupRequest(`r${turn}`, '/lookup/deadly'),
      LOOKUP_ROUTE,
      NEVER_ABORTED,
    );
    await fleet.clock.advance(1000);
  }
  return {
    storeCalls: storeCalls() - before.storeCalls,
    peerBytes: sentBytes() - before.peerBytes,
  };
}

/** Guards against marks whose cost grows with the number of hosts. */
export async function testPoisonCost(hosts: number, domains: number): Promise<void> {
  await tap.test(`should cost a fleet of ${hosts} hosts a few calls to the store`, async t => {
    // Expected: three end marks under one lease and a claim, doubled as a margin, plus the watches in each domain that
    // see three endpoints restart.
    const fleet = new GatewayFleet({ hosts, domains, endpoints: 0 });
    const endpoints = new CrashingEndpoints(fleet);
    for (let i = 0; i < 12; i++) endpoints.add('storefront');
    await fleet.start();
    await fleet.clock.advance(SETTLE_MS);
    const baseline = await costs(fleet);
    endpoints.isPoison = () => true;
    const poisoned = await costs(fleet);
    fleet.stop();
    const calls = poisoned.storeCalls - baseline.storeCalls;
    const bytesPerHost = poisoned.peerBytes / hosts / MEASURED_S;
    t.equal(endpoints.crashes.length, 3);
    t.ok(calls <= 10 + 6 * domains, `${calls} calls to the store`);
    t.ok(bytesPerHost <= 2000, `${Math.round(bytesPerHost)} bytes a host and second`);
  });
}
