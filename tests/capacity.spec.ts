/**
 * Capacity: wanted numbers of endpoints, and orders for them without loops.
 */
import fc from 'fast-check';
import tap from 'tap';
import {
  CapacityByModel,
  KeepCapacity,
  OrderTracker,
  type CapacityPolicy,
  type PoolView,
} from '@fuchsiahitch/capacity';
import { VirtualClock } from '@fuchsiahitch/base';
import { PlatformRecordDecoder } from '@fuchsiahitch/platform';
import { GatewayFleet, type FleetHost } from './gatewayFleet.js';
import { endpointRecord, keys, route } from './gatewayFixtures.js';

const PRICES = { 'domain-0': 1, 'domain-1': 0.8, 'domain-2': 1.25 };
const SCALING = { min: 1, max: 22, bootMs: 4000, prices: new Map(Object.entries(PRICES)) };
const POOL_VIEW: PoolView = { scaling: SCALING, models: 4, present: new Map() };
const ORDER_LIMITS = { maxPerMinute: 20, initialBackoffMs: 5000, maxBackoffMs: 15_000 };

await tap.test('should want no changes with the keep policy', t => {
  t.equal(new KeepCapacity().wanted().size, 0);
  t.end();
});

await tap.test('should want more endpoints in cheaper domains and some in all domains', t => {
  t.same(
    [...new CapacityByModel(12).wanted(POOL_VIEW)],
    [
      ['domain-0', 16],
      ['domain-1', 20],
      ['domain-2', 13],
    ],
  );
  const share = fc.integer({ min: 0, max: 200 });
  const price = fc.double({ min: 0, max: 10, noNaN: true });
  fc.assert(
    fc.property(share, fc.array(price, { minLength: 1, maxLength: 10 }), (perModel, prices) => {
      const scaling = { ...SCALING, prices: new Map(prices.map((each, i) => [`d${i}`, each])) };
      const counts = [...new CapacityByModel(perModel).wanted({ ...POOL_VIEW, scaling }).values()];
      return counts.every(count => Number.isInteger(count) && count >= SCALING.min && count <= SCALING.max);
    }),
    { seed: 34 },
  );
  t.end();
});

await tap.test('should order once, and again only if endpoints remain missing', async t => {
  const clock = new VirtualClock();
  const tracker = new OrderTracker(clock, ORDER_LIMITS);
  t.notOk(tracker.isDue('s', 5, 5, 4000), 'nothing is missing');
  t.ok(tracker.isDue('s', 6, 5, 4000));
  tracker.recordOrder('s', 6, 'accepted');
  t.notOk(tracker.isDue('s', 6, 5, 4000), 'ordered endpoints are booting');
  await clock.advance(14_000);
  t.notOk(tracker.isDue('s', 6, 5, 4000), 'not yet overdue');
  await clock.advance(2000);
  t.ok(tracker.isDue('s', 6, 5, 4000));
  t.notOk(tracker.isDue('s', 6, 6, 4000));
  t.ok(tracker.isDue('s', 7, 6, 4000), 'wanted number has changed');
});

await tap.test('should back off after each refusal and limit the orders per minute', async t => {
  // Guards against an order at every check while the platform has no endpoints.
  const clock = new VirtualClock();
  const tracker = new OrderTracker(clock, ORDER_LIMITS);
  let orders = 0;
  for (let second = 0; second < 120; second++) {
    for (const subject of ['a', 'b', 'c', 'd'])
      if (tracker.isDue(subject, 9, 5, 4000)) {
        orders += 1;
        tracker.recordOrder(subject, 9, 'none-left');
      }
    await clock.advance(1000);
  }
  t.ok(orders <= 4 * 12, `${orders} orders in two minutes`);
  t.ok(orders >= 8, 'orders are retried');
});

await tap.test('should read scaling limits and ignore invalid ones', t => {
  const limits = { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
  const scaling = { min: 1, max: 22, boot_s: 4, spot_price: 0.18, zone_prices: { tekapo: 0.8 } };
  const services = [{ name: 's1', scaling }, { name: 's2', scaling: { min: 'one' } }, { name: 's3' }];
  const text = JSON.stringify({ version: 1, routes: [], services, limits });
  const scalings = new PlatformRecordDecoder().configuration(text)?.scalings;
  t.same([...(scalings?.keys() ?? [])], ['s1']);
  t.same(scalings?.get('s1'), { min: 1, max: 22, bootMs: 4000, prices: new Map([['tekapo', 0.8]]) });
  t.end();
});

async function startedFleet(capacity: CapacityPolicy): Promise<GatewayFleet> {
  const fleet = new GatewayFleet({ hosts: 9, domains: 3, endpoints: 6, isHeartbeatDisabled: true, capacity });
  const { bootMs, min, max } = SCALING;
  const scaling = { bootMs, min, max, prices: PRICES };
  fleet.store.put(
    keys.configurationKey,
    JSON.stringify({ revision: 1, route: route(), models: ['m', 'n'], scaling }),
  );
  await fleet.start();
  return fleet;
}

function holderOf(fleet: GatewayFleet): FleetHost {
  const host = fleet.hostAt(fleet.store.value('fuchsiahitch/live/capacity') ?? '');
  if (!host) throw new Error('no host holds the capacity lease');
  return host;
}

await tap.test(
  'should order for each domain from one host, and not again once the endpoints are present',
  async t => {
    const fleet = await startedFleet(new CapacityByModel(6));
    await fleet.clock.advance(12_000);
    const wanted = [...fleet.duties.orders].sort((a, b) => (a.domain < b.domain ? -1 : 1));
    t.same(
      wanted.map(({ domain, count }) => [domain, count]),
      [
        ['domain-0', 4],
        ['domain-1', 5],
        ['domain-2', 3],
      ],
    );
    for (const { domain, count } of wanted)
      for (let i = 0; i < count; i++)
        fleet.store.put(
          `${keys.endpointPrefix}new-${domain}-${i}`,
          endpointRecord({ domain, address: `10.9.0.1:${i}` }),
        );
    for (let i = 0; i < 6; i++)
      fleet.store.put(`${keys.endpointPrefix}e${i}`, endpointRecord({ isLeaving: true }));
    await fleet.clock.advance(30_000);
    t.equal(fleet.duties.orders.length, 3);
    t.same(fleet.duties.broken, []);
    fleet.stop();
  },
);

await tap.test('should not loop when no endpoints are left or the holder changes', async t => {
  const fleet = await startedFleet(new CapacityByModel(6));
  fleet.duties.isSoldOut = true;
  await fleet.clock.advance(10_000);
  for (let change = 0; change < 4; change++) {
    fleet.restart(holderOf(fleet), `again-${change}`);
    await fleet.clock.advance(12_000);
  }
  t.ok(
    fleet.duties.arrivals.length <= 40,
    `${fleet.duties.arrivals.length} calls in a minute, over four changes`,
  );
  t.same(fleet.duties.orders, []);
  t.same(fleet.duties.broken, []);
  fleet.stop();
});

await tap.test('should order nothing with the keep policy', async t => {
  const fleet = await startedFleet(new KeepCapacity());
  await fleet.clock.advance(20_000);
  t.same(fleet.duties.arrivals, []);
  fleet.stop();
});
