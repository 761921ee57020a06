/**
 * Usage reports of a large fleet with few requests: complete and in time.
 */
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import { SMALL_FLEET, startedFleet, WINDOW_MS } from './usageFleet.js';

await tap.test('should not wait for hosts of a large fleet with few requests', async t => {
  // Guards against waiting for rarely active hosts until the report is almost due.
  const { fleet, truth } = await startedFleet({ ...SMALL_FLEET, hosts: 69 });
  const random = new SeededRandom(6);
  await truth.load(random, 7, 40_000);
  await fleet.clock.advance(8000);
  t.same(truth.mismatches(2, 9), []);
  const lateMs = fleet.duties.arrivals.map(({ atMs }) => atMs % WINDOW_MS);
  t.ok(Math.max(...lateMs) < 2500, `${Math.max(...lateMs)} ms after the end`);
  t.notOk(fleet.hosts.some(host => host.context.log.has('late usage update')));
  fleet.stop();
});
