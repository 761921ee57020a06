/**
 * Restoring a pool's capacity after endpoints were lost: decisions and the state that they are based on.
 */
import fc from 'fast-check';
import tap from 'tap';
import { readSettings } from '@fuchsiahitch/base';
import { PoolBase } from '@fuchsiahitch/capacity';
import { dutyOptions, programFlags, type CapacityPolicyFlags } from '@fuchsiahitch/gateway';
import { PlatformRecordDecoder } from '@fuchsiahitch/platform';
import type { KindCounts } from './capacityPlatform.js';
import { GatewayFleet } from './gatewayFleet.js';
import {
  completePool,
  copyOf,
  COUNTS,
  drainingIn,
  ObservedPool,
  restoredPool,
  SCALING,
} from './observedPool.js';

await tap.test('should take the base only after ten seconds without a change', t => {
  // Guards against taking the first endpoints of a starting pool for all of it.
  const pool = new ObservedPool(undefined, { 'domain-0': [1, 0] });
  pool.advance(9000);
  t.equal(pool.base.shortage(), undefined);
  pool.counts = copyOf(COUNTS);
  pool.advance(9000);
  t.equal(pool.base.shortage(), undefined, 'the numbers have changed');
  pool.advance(1500);
  t.equal(pool.base.shortage()?.baseTotal, 34);
  t.same(pool.wantedList(), []);
  t.end();
});

await tap.test('should replace missing endpoints in the cheapest domain without losses', t => {
  const pool = completePool();
  pool.counts['domain-2'] = [7, 0];
  pool.advance(500);
  t.same(pool.wantedList(), [], 'missing for too short a time');
  pool.advance(200);
  t.same(pool.wantedList(), [['domain-1', 20]]);
  t.end();
});

await tap.test('should skip domains that have refused and respect the maximum of a domain', t => {
  // Guards against orders above the limit that counts both kinds, and against waiting for a domain without endpoints.
  const pool = completePool({ 'domain-0': [7, 0], 'domain-1': [8, 3], 'domain-2': [7, 12] }, 15);
  pool.counts['domain-2'] = [7, 0];
  pool.advance(1000);
  t.same(pool.wantedList(), [
    ['domain-0', 15],
    ['domain-1', 12],
  ]);
  pool.backingOff = new Set(['domain-1']);
  t.same(pool.wantedList(), [['domain-0', 15]]);
  pool.backingOff = new Set(['domain-0', 'domain-1']);
  t.same(pool.wantedList(), [], 'domain-2 has lost its endpoints');
  pool.advance(5000);
  t.same(pool.wantedList(), [], 'its limit includes the reclaimable endpoints, which may return');
  t.end();
});

await tap.test('should apply the minimum of a domain to both kinds together', t => {
  // Guards against orders for more endpoints than are missing, and against a maximum that they exceed.
  const pool = completePool({ 'domain-0': [7, 0], 'domain-1': [2, 6], 'domain-2': [7, 12] });
  pool.counts['domain-2'] = [7, 8];
  pool.advance(1000);
  pool.limits = { min: 8, max: 22 };
  t.same(pool.wantedList(), [['domain-1', 6]], 'domain-1 has eight endpoints, six of them reclaimable');
  pool.limits = { min: 16, max: 22 };
  t.same(pool.wantedList(), [], 'both domains would need more than are missing');
  pool.limits = { min: 9, max: 22 };
  pool.backingOff = new Set(['domain-1']);
  t.same(pool.wantedList(), [['domain-0', 11]]);
  t.end();
});

await tap.test(
  'should order in a domain with losses if all have them, but not if most records are missing',
  t => {
    // Guards against seconds of waiting after a reclaim in all domains, and against orders for a whole pool when only its
    // records are missing.
    const counts: KindCounts = { 'domain-0': [7, 4], 'domain-1': [8, 4], 'domain-2': [7, 4] };
    const pool = completePool(counts);
    pool.counts = { 'domain-0': [7, 0], 'domain-1': [8, 0], 'domain-2': [7, 0] };
    pool.advance(1000);
    t.same(pool.wantedList(), [
      ['domain-0', 9],
      ['domain-1', 18],
    ]);
    const unseen = completePool(counts);
    unseen.counts = { 'domain-0': [1, 0], 'domain-1': [1, 0], 'domain-2': [1, 0] };
    unseen.advance(1000);
    t.same(unseen.wantedList(), []);
    t.end();
  },
);

await tap.test('should order nothing for a release that replaces endpoints one by one', t => {
  const pool = completePool();
  for (let i = 0; i < 7; i++) {
    pool.counts['domain-0'] = [6, 0];
    pool.leaving = [{ id: `old-${i}`, domain: 'domain-0', isReclaimable: false, isLeaving: true }];
    pool.advance(3000);
    t.same(pool.wantedList(), []);
    pool.leaving = [];
    pool.advance(2000);
    t.same(pool.wantedList(), []);
    pool.counts['domain-0'] = [7, 0];
    pool.advance(1000);
  }
  t.equal(pool.base.shortage()?.baseTotal, 34);
  t.end();
});

await tap.test('should order once, and elsewhere after a refusal', t => {
  const pool = completePool();
  pool.counts['domain-2'] = [7, 0];
  pool.advance(1000);
  pool.base.orderPlanned('domain-1', 20, pool.nowMs);
  t.same(pool.wantedList(), [['domain-1', 20]], 'the same total while the answer is pending');
  pool.base.orderEnded('domain-1', 'none-left');
  pool.backingOff = new Set(['domain-1']);
  t.same(pool.wantedList(), [['domain-0', 19]]);
  t.same([...(pool.base.record()?.added ?? [])], []);
  t.end();
});

await tap.test('should order elsewhere if accepted endpoints do not arrive', t => {
  // Guards against waiting forever for a domain that accepts orders and is cut off.
  const pool = completePool();
  pool.counts['domain-2'] = [7, 0];
  pool.advance(1000);
  pool.base.orderPlanned('domain-1', 20, pool.nowMs);
  pool.base.orderEnded('domain-1', 'accepted');
  pool.advance(14_000);
  t.same(pool.wantedList(), [['domain-1', 20]]);
  pool.advance(2000);
  t.same(pool.wantedList(), [['domain-0', 19]]);
  t.equal(pool.base.record()?.added.get('domain-1'), 12, 'they may still arrive, and are then released');
  t.end();
});

await tap.test('should release the additional endpoints ten seconds after the base is complete', t => {
  const pool = restoredPool();
  pool.advance(40_000);
  t.equal(
    pool.base.shortage()?.baseTotal,
    34,
    'the base keeps reclaimed endpoints and excludes additional ones',
  );
  t.same(pool.wantedList(), [['domain-1', 20]]);
  pool.counts['domain-2'] = [7, 12];
  pool.advance(9000);
  t.same(pool.wantedList(), []);
  pool.advance(1500);
  t.same(pool.wantedList(), [['domain-1', 8]]);
  pool.base.orderPlanned('domain-1', 8, pool.nowMs);
  pool.base.orderEnded('domain-1', 'accepted');
  pool.counts['domain-1'] = [8, 0];
  pool.advance(1000);
  t.same(pool.wantedList(), []);
  t.same(pool.base.record()?.added.size, 0);
  t.end();
});

await tap.test('should not take released endpoints for missing ones', t => {
  // Guards against ordering the additional endpoints again, also if the answer to their release is lost.
  for (const end of ['accepted', 'unsure'] as const) {
    const pool = restoredPool();
    pool.advance(1000);
    pool.counts['domain-2'] = [7, 12];
    pool.advance(11_000);
    pool.base.orderPlanned('domain-1', 8, pool.nowMs);
    pool.base.orderEnded('domain-1', end);
    pool.counts['domain-1'] = [8, 0];
    pool.advance(2000);
    t.equal(pool.base.shortage()?.missing, 0, end);
  }
  t.end();
});

await tap.test('should keep additional endpoints whose release was not executed', t => {
  // Guards against a smaller order in a new shortage, after a release was answered busy or got no answer.
  for (const end of ['busy', 'unsure'] as const) {
    const pool = restoredPool();
    pool.advance(1000);
    pool.counts['domain-2'] = [7, 12];
    pool.advance(11_000);
    pool.base.orderPlanned('domain-1', 8, pool.nowMs);
    pool.base.orderEnded('domain-1', end);
    pool.advance(1000);
    pool.counts['domain-2'] = [7, 8];
    pool.advance(1000);
    t.same(pool.wantedList(), [['domain-1', 20]], end);
  }
  t.end();
});

await tap.test('should keep endpoints of an overdue order that arrive late', t => {
  // Guards against a later order in their domain that states fewer endpoints than run there.
  const pool = completePool();
  pool.counts['domain-2'] = [7, 8];
  pool.advance(1000);
  pool.base.orderPlanned('domain-1', 12, pool.nowMs);
  pool.base.orderEnded('domain-1', 'accepted');
  pool.advance(17_000);
  t.same(pool.wantedList(), [['domain-0', 11]]);
  pool.counts['domain-1'] = [12, 0];
  pool.advance(1000);
  t.same(pool.wantedList(), [['domain-1', 12]]);
  pool.counts['domain-2'] = [7, 6];
  pool.advance(6000);
  t.same(pool.wantedList(), [['domain-1', 14]]);
  t.end();
});

await tap.test('should not take endpoints for missing that a smaller order removed', t => {
  // Guards against an order for additional endpoints that were removed on purpose.
  const pool = restoredPool();
  pool.advance(1000);
  pool.counts['domain-2'] = [7, 8];
  pool.base.orderPlanned('domain-1', 12, pool.nowMs);
  pool.base.orderEnded('domain-1', 'accepted');
  pool.advance(1000);
  t.equal(pool.base.shortage()?.domains.get('domain-1')?.floor, 8, 'before they are drained');
  pool.counts['domain-1'] = [12, 0];
  pool.advance(1000);
  t.equal(pool.base.shortage()?.missing, 4);
  t.same(pool.wantedList(), [['domain-1', 12]]);
  pool.counts['domain-1'] = [20, 0];
  pool.advance(1000);
  t.same(pool.wantedList(), [['domain-1', 20]], 'an earlier order was executed late');
  t.end();
});

await tap.test('should release endpoints of an accepted order whose repetition was refused', t => {
  // Guards against taking them for a part of the base when the first order is executed late.
  const pool = completePool();
  pool.counts['domain-2'] = [7, 0];
  pool.advance(1000);
  for (const end of ['accepted', 'none-left'] as const) {
    pool.base.orderPlanned('domain-1', 20, pool.nowMs);
    pool.base.orderEnded('domain-1', end);
    pool.advance(1000);
  }
  pool.counts['domain-1'] = [20, 0];
  pool.counts['domain-2'] = [7, 12];
  pool.advance(11_500);
  t.same(pool.wantedList(), [['domain-1', 8]]);
  t.equal(pool.base.shortage()?.baseTotal, 34);
  t.end();
});

await tap.test('should keep endpoints that the operators added meanwhile', t => {
  // Guards against a release that removes more than the policy added.
  const pool = restoredPool();
  pool.advance(1000);
  pool.counts = { ...copyOf(COUNTS), 'domain-1': [23, 0] };
  pool.advance(12_000);
  t.same(pool.wantedList(), [['domain-1', 11]]);
  t.end();
});

await tap.test('should compare with the recorded base when starting during a shortage', t => {
  const record = completePool().base.record();
  const shortCounts = { ...COUNTS, 'domain-2': [7, 0] } as const;
  const pool = new ObservedPool(record, shortCounts);
  pool.advance(700);
  t.same(pool.wantedList(), [['domain-1', 20]]);
  const withAdditions = restoredPool().base.record();
  const successor = new ObservedPool(withAdditions, { ...shortCounts, 'domain-1': [20, 0] });
  successor.advance(20_000);
  t.same(successor.wantedList(), [['domain-1', 20]]);
  t.equal(successor.base.shortage()?.baseTotal, 34);
  t.end();
});

await tap.test('should release endpoints of an order that was executed late', t => {
  // Guards against additional endpoints that become part of the base.
  const pool = completePool();
  pool.counts['domain-2'] = [7, 0];
  pool.advance(1000);
  pool.base.orderPlanned('domain-1', 20, pool.nowMs);
  pool.base.orderEnded('domain-1', 'unsure');
  pool.counts['domain-2'] = [7, 12];
  pool.advance(11_000);
  t.same(pool.wantedList(), [['domain-1', 8]]);
  pool.base.orderPlanned('domain-1', 8, pool.nowMs);
  pool.base.orderEnded('domain-1', 'accepted');
  pool.advance(2000);
  pool.counts['domain-1'] = [20, 0];
  pool.advance(15_000);
  t.same(pool.wantedList(), [['domain-1', 8]]);
  t.equal(pool.base.shortage()?.baseTotal, 34);
  t.end();
});

await tap.test('should never order less than the platform runs for others', t => {
  // Guards against an order that stops endpoints, in any sequence of losses, returns, orders and answers.
  const domain = fc.constantFrom('domain-0', 'domain-1', 'domain-2');
  const event = fc.oneof(
    fc.record({ kind: fc.constant('lose' as const), domain, reclaimable: fc.boolean(), count: fc.nat(12) }),
    fc.record({ kind: fc.constant('return' as const) }),
    fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(15_000) }),
    fc.record({
      kind: fc.constant('order' as const),
      end: fc.constantFrom('accepted', 'none-left', 'unsure', 'not-sent', 'busy'),
      isExecuted: fc.boolean(),
    }),
    fc.record({ kind: fc.constant('restart' as const) }),
    fc.record({ kind: fc.constant('withdraw' as const), domain, count: fc.nat(3) }),
  );
  fc.assert(
    fc.property(fc.array(event, { maxLength: 40 }), events => {
      const pool = completePool();
      const base = copyOf(COUNTS);
      const targets = Object.fromEntries(Object.entries(COUNTS).map(([name, [regular]]) => [name, regular]));
      for (const step of events) {
        if (step.kind === 'lose') {
          const counts = pool.counts[step.domain] ?? [0, 0];
          const kind = step.reclaimable ? 1 : 0;
          counts[kind] = Math.max(0, counts[kind] - step.count);
        } else if (step.kind === 'return') {
          for (const [name, [regular, reclaimable]] of Object.entries(base))
            pool.counts[name] = [Math.max(targets[name] ?? 0, regular), reclaimable];
        } else if (step.kind === 'withdraw') {
          const counts = pool.counts[step.domain] ?? [0, 0];
          const own = base[step.domain] ?? [0, 0];
          const count = Math.min(step.count, own[0], counts[0]);
          counts[0] -= count;
          own[0] -= count;
          targets[step.domain] = (targets[step.domain] ?? 0) - count;
          pool.leaving = drainingIn(step.domain, count);
        } else if (step.kind === 'restart') {
          pool.base = new PoolBase(pool.base.record(), pool.nowMs);
        } else if (step.kind === 'order') {
          for (const [name, count] of pool.wanted()) {
            if (count < (base[name]?.[0] ?? 0) || count > SCALING.max) return false;
            pool.base.orderPlanned(name, count, pool.nowMs);
            pool.base.orderEnded(name, step.end);
            const isExecuted = step.end === 'accepted' || (step.end === 'unsure' && step.isExecuted);
            if (isExecuted) targets[name] = count;
            if (isExecuted) pool.counts[name] = [count, pool.counts[name]?.[1] ?? 0];
          }
        }
        pool.advance(step.kind === 'wait' ? step.ms : 200);
        pool.leaving = [];
        const shortage = pool.base.shortage();
        if (shortage && shortage.baseTotal > 34) return false;
      }
      return true;
    }),
    { seed: 35, numRuns: 300 },
  );
  t.end();
});

await tap.test('should read the kind of an endpoint and ignore the time that is left to it', t => {
  // Guards against a change of view with each heartbeat of an endpoint that is reclaimed.
  const decoder = new PlatformRecordDecoder();
  const record = { service: 's', address: '10.0.0.1:1', zone: 'tekapo', version: 'v', slots: 8 };
  const valueOf = (more: object): string =>
    JSON.stringify({ ...record, state: 'draining', cold_left_ms: 0, seq: 1, ...more });
  t.match(decoder.endpoint('e', valueOf({ spot: true })), { isReclaimable: true, isLeaving: true });
  t.match(decoder.endpoint('e', valueOf({})), { isReclaimable: false });
  const [first, second] = [2500, 1300].map(leavesMs => valueOf({ spot: true, leaves_ms: leavesMs }));
  t.equal(decoder.endpointWithoutHeartbeat(first ?? ''), decoder.endpointWithoutHeartbeat(second ?? ''));
  t.end();
});

await tap.test('should select the policy by flag', t => {
  // Guards against deployments that order endpoints without having been told to.
  const settings = { usage: undefined, ordersCapacity: true, handoverMs: 3000 };
  const duties = new GatewayFleet({ hosts: 0, domains: 1, endpoints: 0 }).duties.from('host');
  const policyOf = (flags: CapacityPolicyFlags): string | undefined =>
    dutyOptions(settings, duties, flags).capacity?.policy.name;
  t.equal(policyOf({ 'endpoints-per-model': 0 }), 'keep');
  t.equal(policyOf({ 'endpoints-per-model': 0, 'capacity-policy': 'restore' }), 'restore');
  t.equal(policyOf({ 'endpoints-per-model': 3 }), 'by-model');
  t.equal(policyOf({ 'endpoints-per-model': 3, 'capacity-policy': 'restore' }), 'restore');
  t.equal(policyOf({ 'endpoints-per-model': 3, 'capacity-policy': 'keep' }), 'keep');
  t.equal(policyOf({ 'endpoints-per-model': 0, 'capacity-policy': 'by-model' }), 'keep');
  t.equal(
    dutyOptions({ ...settings, ordersCapacity: false }, duties, { 'endpoints-per-model': 0 }).capacity,
    undefined,
  );
  const args = ['--node-file', 'x', '--fleet-key', 'key-of-a-test-fleet'];
  const parse = (...more: readonly string[]): unknown => {
    const read = readSettings('test', programFlags, [...args, ...more], {});
    return read.ok ? read.value['capacity-policy'] : 'invalid';
  };
  t.equal(parse(), undefined);
  t.equal(parse('--capacity-policy', 'keep'), 'keep');
  t.equal(parse('--capacity-policy', 'restore'), 'restore');
  t.match(programFlags['capacity-policy'].help, /otherwise keep$/u);
  t.equal(parse('--capacity-policy', 'other'), 'invalid');
  t.end();
});
