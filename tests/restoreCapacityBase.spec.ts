/**
 * The base of a pool: crashed endpoints remain in it, and planned decreases are followed.
 */
import tap from 'tap';
import { PoolBase } from '@fuchsiahitch/capacity';
import { completePool, COUNTS, drainingIn, ObservedPool, restoredPool } from './observedPool.js';

await tap.test('should follow a planned scale-in after 30 s without replacing it', t => {
  // Guards against orders, in any domain, for endpoints that the operators withdrew.
  const pool = completePool();
  pool.counts['domain-1'] = [2, 0];
  pool.leaving = drainingIn('domain-1', 6);
  for (let second = 0; second < 28; second++) {
    pool.advance(1000);
    if (second === 2) pool.leaving = [];
    t.same(pool.wantedList(), []);
  }
  t.equal(pool.base.shortage()?.baseTotal, 34);
  pool.advance(3000);
  t.equal(pool.base.shortage()?.baseTotal, 28);
  pool.advance(15_000);
  t.same(pool.wantedList(), []);
  t.end();
});

await tap.test('should replace endpoints that are lost during a planned scale-in, and no others', t => {
  // Guards against a scale-in that hides a shortage, and against orders that replace both.
  const pool = completePool();
  pool.counts['domain-1'] = [3, 0];
  pool.leaving = drainingIn('domain-1', 5);
  pool.counts['domain-2'] = [7, 4];
  pool.advance(1000);
  t.equal(pool.base.shortage()?.missing, 8);
  t.same(pool.wantedList(), [['domain-0', 15]]);
  t.end();
});

await tap.test('should follow a planned scale-in although the holder of the duty changes', t => {
  // Guards against a successor that takes withdrawn endpoints for lost ones, or counts them twice.
  for (const hasLeft of [false, true]) {
    const pool = completePool();
    pool.counts['domain-1'] = [3, 0];
    pool.leaving = drainingIn('domain-1', 5);
    pool.advance(2000);
    if (hasLeft) pool.leaving = [];
    pool.advance(8000);
    pool.base = new PoolBase(pool.base.record(), pool.nowMs);
    pool.advance(2000);
    pool.leaving = [];
    pool.advance(20_000);
    t.same(pool.wantedList(), []);
    t.equal(pool.base.shortage()?.domains.get('domain-1')?.withdrawn, 5);
    pool.advance(11_000);
    t.equal(pool.base.shortage()?.baseTotal, 29);
    t.same(pool.wantedList(), []);
  }
  t.end();
});

await tap.test('should not raise the number of endpoints in a domain with unknown withdrawals', t => {
  // Guards against undoing a scale-in that took place while no host held the duty.
  const record = completePool().base.record();
  const pool = new ObservedPool(record, { ...COUNTS, 'domain-1': [3, 0] });
  pool.backingOff = new Set(['domain-0', 'domain-2']);
  pool.advance(10_000);
  t.equal(pool.base.shortage()?.missing, 5);
  t.same(pool.wantedList(), []);
  t.end();
});

await tap.test('should not restore withdrawn endpoints in a domain with additional ones', t => {
  // Guards against undoing a scale-in by repeating the order for additional endpoints, or by releasing them.
  const pool = restoredPool();
  pool.advance(1000);
  pool.counts['domain-1'] = [15, 0];
  pool.leaving = drainingIn('domain-1', 5);
  pool.advance(2000);
  t.same(pool.wantedList(), [], 'the total would include the withdrawn endpoints');
  pool.leaving = [];
  pool.counts['domain-2'] = [7, 12];
  pool.advance(11_000);
  t.same(pool.wantedList(), [['domain-1', 8]]);
  pool.counts['domain-1'] = [5, 0];
  pool.leaving = drainingIn('domain-1', 15);
  pool.advance(1000);
  t.same(pool.wantedList(), [['domain-1', 5]], 'no more than there are');
  t.end();
});

await tap.test('should keep the base of a domain with crashed endpoints if others appear elsewhere', t => {
  // Guards against an order or a release that states less than the platform runs in the domain.
  const pool = completePool();
  pool.counts['domain-0'] = [3, 0];
  pool.counts['domain-1'] = [12, 0];
  pool.advance(20_000);
  const { base } = pool.base.record() ?? {};
  t.same(base?.get('domain-0'), { regular: 7, reclaimable: 0 });
  t.same(base?.get('domain-1'), { regular: 12, reclaimable: 0 });
  t.equal(pool.base.shortage()?.domains.get('domain-0')?.floor, 7);
  t.end();
});

await tap.test('should not take crashed endpoints for withdrawn ones after a release', t => {
  // Guards against a lower base after a release that replaced endpoints while others were missing.
  const pool = completePool();
  pool.counts['domain-1'] = [4, 0];
  pool.advance(1000);
  for (let i = 0; i < 4; i++) {
    pool.counts['domain-1'] = [3, 0];
    pool.leaving = [{ id: `old-${i}`, domain: 'domain-1', isReclaimable: false, isLeaving: true }];
    pool.advance(1000);
    // The replacement starts before or after the old endpoint has left.
    if (i % 2 === 0) pool.leaving = [];
    pool.advance(500);
    pool.counts['domain-1'] = [4, 0];
    pool.advance(500);
    pool.leaving = [];
    pool.advance(1000);
  }
  t.equal(pool.base.shortage()?.domains.get('domain-1')?.withdrawn, 0);
  pool.advance(40_000);
  t.equal(pool.base.shortage()?.baseTotal, 34);
  t.end();
});

await tap.test('should follow no decrease in a domain with additional endpoints', t => {
  // Guards against a lower base after additional endpoints were drained by others.
  const pool = restoredPool();
  pool.advance(1000);
  pool.counts['domain-1'] = [15, 0];
  pool.leaving = drainingIn('domain-1', 5);
  pool.advance(2000);
  pool.leaving = [];
  pool.advance(40_000);
  t.equal(pool.base.shortage()?.domains.get('domain-1')?.base.regular, 8);
  t.end();
});
