/**
 * Fairness between accounts while one floods the endpoints.
 */
import tap from 'tap';
import { SeededRandom, sleep } from '@fuchsiahitch/base';
import type { EndpointReply } from '@fuchsiahitch/gateway';
import { maxMinFairShare, FairAdmission } from '@fuchsiahitch/requests';
import { GatewayFleet } from './gatewayFleet.js';
import { answer, endpointRecord, keys } from './gatewayFixtures.js';
import { lookupRequest, LOOKUP_ROUTE, NEVER_ABORTED } from './lookupRequests.js';

const ACCOUNTS = 76;
const SERVERS = 3;
const SLOTS = 6;
const RUN_MS = 40;
/** Minimum served share of an account's requests, relative to the served share of all requests. */
const MIN_RELATIVE_SHARE = 0.25;

/** Requested and served requests, by account. */
class RequestCounts {
  readonly requested = new Map<string, number>();
  readonly served = new Map<string, number>();

  share(name?: string): number {
    const sum = (counts: ReadonlyMap<string, number>): number =>
      name === undefined ? [...counts.values()].reduce((a, b) => a + b, 0) : (counts.get(name) ?? 0);
    return sum(this.served) / sum(this.requested);
  }
}

/** Makes each endpoint run six requests at a time and refuse the others. */
function refuseWhenFull(fleet: GatewayFleet): void {
  const running = new Map<string, number>();
  fleet.client.reply = async ({ endpoint }): Promise<EndpointReply> => {
    const count = running.get(endpoint.id) ?? 0;
    const load = { running: count, waiting: 0 };
    if (count >= SLOTS) return { kind: 'not-run', reason: 'refused', load };
    running.set(endpoint.id, count + 1);
    await sleep(fleet.clock, RUN_MS);
    running.set(endpoint.id, (running.get(endpoint.id) ?? 1) - 1);
    return { kind: 'answered', answer: answer(200, 'whole', { load }) };
  };
}

async function runFlood(seed: number): Promise<RequestCounts> {
  const fleet = new GatewayFleet({ hosts: 9, domains: 3, endpoints: 3, isHeartbeatDisabled: true });
  for (let i = 0; i < SERVERS; i++)
    fleet.store.put(
      `${keys.endpointPrefix}s${i}`,
      endpointRecord({ address: `10.1.0.1:${i}`, pool: 'storefront', slots: SLOTS, domain: `domain-${i}` }),
    );
  refuseWhenFull(fleet);
  await fleet.start();
  await fleet.clock.advance(2000);
  const random = new SeededRandom(seed);
  const result = new RequestCounts();
  const add = (counts: Map<string, number>, name: string): unknown =>
    counts.set(name, (counts.get(name) ?? 0) + 1);
  // The endpoints serve 450 requests per second; the flood sends about twice as many, all others together a tenth.
  for (let ms = 0; ms < 20_000; ms++) {
    const isFlood = random.below(1000) < 950;
    const accountName = isFlood ? 'account-0' : `account-${1 + random.below(ACCOUNTS - 1)}`;
    const host = fleet.hosts[random.below(fleet.hosts.length)];
    if (!host) continue;
    add(result.requested, accountName);
    const request = lookupRequest(random.id(), '/a/x', { accountName });
    void host.gateway.forwarder.forward(request, LOOKUP_ROUTE, NEVER_ABORTED).then(outcome => {
      if (outcome.kind === 'answered') add(result.served, accountName);
    });
    await fleet.clock.advance(1);
  }
  await fleet.clock.advance(3000);
  fleet.stop();
  return result;
}

await tap.test('should not starve any account while one floods', async t => {
  for (const seed of [1, 2]) {
    const result = await runFlood(seed);
    const all = result.share();
    t.ok(all < 0.9, `endpoints are full: ${all.toFixed(2)} of all served`);
    const shares = [...result.requested.keys()].map(name => result.share(name));
    const least = Math.min(...shares);
    t.ok(
      least >= all * MIN_RELATIVE_SHARE,
      `seed ${seed}: ${least.toFixed(2)} served of the account with the lowest share`,
    );
  }
});

await tap.test('should share capacity evenly and distribute unused shares', t => {
  const demand = (...counts: readonly number[]): ReadonlyMap<string, number> =>
    new Map(counts.map((count, i) => [`a${i}`, count]));
  t.equal(maxMinFairShare(demand(100, 2, 3), 25), 20);
  t.equal(maxMinFairShare(demand(100, 100), 30), 15);
  t.equal(maxMinFairShare(demand(5, 5), 30), Infinity, 'capacity is sufficient');
  t.equal(maxMinFairShare(demand(5, 5, 5), 0.3), 1, 'every account gets at least one');
  t.end();
});

await tap.test('should enforce no share while endpoints have free slots or after few refusals', t => {
  const admission = new FairAdmission();
  const admit = (count: number, isRefused: boolean, nowMs: number): number => {
    let admitted = 0;
    for (let i = 0; i < count; i++)
      if (admission.admit('ann', nowMs)) {
        admitted += 1;
        admission.ended(isRefused);
      }
    return admitted;
  };
  t.equal(admit(500, false, 0), 500);
  t.equal(admit(500, false, 600), 500, 'all earlier requests were served');
  t.equal(admit(10, true, 1200), 10);
  t.equal(admit(10, true, 1800), 10, 'ten refusals are not significant');
  t.equal(admit(100, true, 2400), 100);
  t.ok(admit(100, true, 3000) < 100, 'endpoints were full');
  t.equal(admit(100, true, 9000), 100, 'old refusals are ignored');
  t.end();
});
