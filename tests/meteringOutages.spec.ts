/**
 * Usage reports when a host or the reporter is terminated, or the platform or the store is unreachable.
 */
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import { reporterOf, startedFleet } from './usageFleet.js';

await tap.test(
  'should lose at most a second of a terminated host and nothing of a terminated reporter',
  async t => {
    // Guards against a successor that reports less than the terminated reporter had received.
    for (const seed of [3, 4, 5]) {
      const { fleet, truth } = await startedFleet();
      const random = new SeededRandom(seed);
      await truth.load(random, 20, 9000 + random.below(5000));
      const reporter = reporterOf(fleet);
      fleet.restart(reporter, 'again');
      await truth.load(random, 20, 25_000);
      await fleet.clock.advance(12_000);
      t.same(truth.mismatches(3, 7), [], `seed ${seed}`);
      t.same(fleet.duties.broken, [], `seed ${seed}`);
      fleet.stop();
    }
  },
);

await tap.test('should yield the duty to a host that reaches the platform', async t => {
  const { fleet, truth } = await startedFleet();
  const random = new SeededRandom(30);
  await truth.load(random, 20, 7000);
  const reporter = reporterOf(fleet);
  fleet.duties.unreachableFrom.add(reporter.context.hostId);
  await truth.load(random, 20, 25_000);
  await fleet.clock.advance(10_000);
  t.not(reporterOf(fleet).context.hostId, reporter.context.hostId);
  t.same(truth.mismatches(3, 7), []);
  t.same(fleet.duties.broken, []);
  fleet.stop();
});

await tap.test('should report the windows of a store outage that ends in time', async t => {
  const { fleet, truth } = await startedFleet();
  const random = new SeededRandom(31);
  await truth.load(random, 20, 7000);
  for (const host of fleet.hosts) host.storeClient.mode = 'refusing';
  await truth.load(random, 20, 5000);
  for (const host of fleet.hosts) host.storeClient.mode = 'available';
  await truth.load(random, 20, 15_000);
  await fleet.clock.advance(10_000);
  t.same(truth.mismatches(2, 6), []);
  t.same(fleet.duties.broken, []);
  fleet.stop();
});
