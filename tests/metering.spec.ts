/**
 * Usage metering and reporting: each window is reported once, completely and in time.
 */
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import { ClockEstimator, UsageLedger, UsageMeter } from '@fuchsiahitch/metering';
import { startedFleet, WINDOW_MS } from './usageFleet.js';

await tap.test('should estimate true time by the median clock when some clocks jump', t => {
  const estimator = new ClockEstimator();
  t.equal(estimator.offsetMs(0), undefined);
  for (const [i, skewMs] of [0, 5, -5, 2000, 2000].entries())
    estimator.observe(`h${i}`, 1_000_000 + 100 + skewMs, 100);
  t.equal(estimator.offsetMs(100), 1_000_005);
  estimator.observe('h3', 1_000_200, 200);
  t.equal(estimator.offsetMs(200), 1_000_000);
  t.equal(estimator.offsetMs(60_000), undefined, 'expired samples are ignored');
  t.end();
});

await tap.test('should count a request once and in the window in which it was sent', t => {
  const meter = new UsageMeter({ windowMs: 1000, keepMs: 5000 });
  const open = meter.sent('ann', 900);
  meter.sent('ann', 950).ended(true);
  meter.sent('bob', 960).ended(false);
  t.same(meter.nextUpdate(2000).windows, [], 'no windows before the clock offset is known');
  meter.setClockOffset(10_000);
  t.same(
    meter.nextUpdate(1050).windows,
    [{ window: 10, counts: { ann: 1 }, isFinal: false }],
    'not over on all hosts',
  );
  t.same(meter.nextUpdate(1200).windows[0]?.isFinal, false, 'a request is in flight');
  open.ended(true);
  open.ended(true);
  t.same(meter.nextUpdate(1200).windows[0], { window: 10, counts: { ann: 2 }, isFinal: true });
  meter.nextUpdate(1200).told();
  t.notOk(meter.hasUnreported());
  meter.markDecided(10);
  t.same(
    meter.nextUpdate(2200).windows,
    [{ window: 11, counts: {}, isFinal: true }],
    'the next window is final, so that the reporter does not wait for this host',
  );
  t.end();
});

await tap.test('should retain undelivered counts for a limited time and return them when they expire', t => {
  const meter = new UsageMeter({ windowMs: 1000, keepMs: 5000 });
  meter.setClockOffset(0);
  meter.sent('ann', 500).ended(true);
  t.same(meter.takeExpired(5900), []);
  t.same(meter.takeExpired(6100), [{ window: 0, counts: { ann: 1 }, isFinal: true }]);
  t.same(
    meter.nextUpdate(6100).windows.filter(({ counts }) => Object.keys(counts).length > 0),
    [],
  );
  t.end();
});

await tap.test('should sum the counts of processes and replace earlier counts of the same process', t => {
  const ledger = new UsageLedger();
  const record = (hostId: string, incarnation: string, ann: number, isFinal = false): void =>
    ledger.told({ hostId, incarnation, windows: [{ window: 7, counts: { ann }, isFinal }] });
  record('a', '1', 2);
  record('a', '1', 3, true);
  record('a', '2', 4);
  record('b', '1', 5, true);
  t.same(ledger.countsOf(7), { ann: 12 });
  t.same(ledger.missing(7), [{ hostId: 'a', incarnation: '2' }]);
  t.same(ledger.missing(8).length, 3, 'recently busy processes');
  t.same(ledger.missing(12), []);
  ledger.dropThrough(7);
  t.same(ledger.countsOf(7), {});
  t.end();
});

await tap.test('should report every window completely, in time and once', async t => {
  const { fleet, truth } = await startedFleet();
  const random = new SeededRandom(1);
  await truth.load(random, 20, 30_000);
  await fleet.clock.advance(8000);
  t.same(truth.mismatches(2, 7), []);
  t.same(fleet.duties.broken, []);
  t.ok(fleet.duties.arrivals.length <= fleet.duties.reports.size, 'each sent once');
  const lateMs = fleet.duties.arrivals.map(({ atMs }) => atMs % WINDOW_MS);
  t.ok(Math.max(...lateMs) < 2500, 'as soon as all counts have arrived');
  fleet.stop();
});

await tap.test('should report by true time when clocks are wrong or jump', async t => {
  const { fleet, truth } = await startedFleet();
  const random = new SeededRandom(2);
  for (const [i, host] of fleet.hosts.entries()) host.skewMs = [0, 3, -4, 2000, -2000, 1, 0, 2, -1][i] ?? 0;
  await truth.load(random, 20, 12_000);
  for (const host of fleet.hosts.slice(0, 4)) host.skewMs += 2000;
  await truth.load(random, 20, 5000);
  for (const host of fleet.hosts.slice(0, 4)) host.skewMs -= 2000;
  await truth.load(random, 20, 13_000);
  await fleet.clock.advance(8000);
  t.same(truth.mismatches(2, 7), []);
  fleet.stop();
});
