/**
 * Usage reports under random faults of the platform, the reporter and the store: no conflicting reports of a window.
 */
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import { startedFleet } from './usageFleet.js';

await tap.test(
  'should resend the same content after a takeover and violate no rule under faults',
  async t => {
    // Guards against a second, different report of a window after a reporter failed before the answer.
    for (let seed = 10; seed < 22; seed++) {
      const { fleet, truth } = await startedFleet();
      const random = new SeededRandom(seed);
      const modes = ['silent', 'busy', 'unreachable', 'lost', 'late'] as const;
      for (let fault = 0; fault < 4; fault++) {
        await truth.load(random, 10, 1000 + random.below(4000));
        const reporter = fleet.hostAt(fleet.store.value('fuchsiahitch/live/usage') ?? '');
        const mode = modes[random.below(modes.length)] ?? 'available';
        const kind = random.below(4);
        if (kind === 0) fleet.duties.mode = mode;
        if (kind === 1 && reporter) fleet.restart(reporter, `again-${fault}`);
        if (kind === 2 && reporter) fleet.duties.unreachableFrom.add(reporter.context.hostId);
        if (kind === 3 && reporter) reporter.storeClient.mode = 'silent';
        await truth.load(random, 10, 2000 + random.below(4000));
        fleet.duties.mode = 'available';
        fleet.duties.unreachableFrom.clear();
        if (reporter) reporter.storeClient.mode = 'available';
      }
      await fleet.clock.advance(15_000);
      t.same(fleet.duties.broken, [], `seed ${seed}`);
      t.ok(fleet.duties.reports.size >= 5, `seed ${seed}: ${fleet.duties.reports.size} windows`);
      fleet.stop();
    }
  },
);
