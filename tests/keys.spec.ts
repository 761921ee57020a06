/**
 * Idempotency keys: a non-idempotent request runs at most once under any failure of hosts and network.
 */
import fc from 'fast-check';
import tap from 'tap';
import {
  homeDomain,
  KEY_RETENTION_MS,
  planSlotMap,
  slotOf,
  SLOTS_PER_DOMAIN,
  type SlotPlanInput,
  type SlotMap,
} from '@fuchsiahitch/requests';
import { fuzzRuns } from './fuzzRuns.js';
import { KeyFleet } from './keyFleet.js';

const IDS = ['h0', 'h1', 'h2'] as const;

async function settledFleet(seed = 1): Promise<KeyFleet> {
  const fleet = new KeyFleet(seed, IDS);
  fleet.plan('h0', IDS);
  await fleet.settle();
  return fleet;
}

/** Returns a key whose slot the host owns. */
function keyOwnedBy(fleet: KeyFleet, id: string): string {
  for (let i = 0; ; i++) {
    const key = `key-${i}`;
    if (fleet.store.map?.slots[slotOf(key)]?.owner === fleet.host(id).holderId) return key;
  }
}

/** Returns the host that is the copy of a key's slot. */
function copyHostOf(fleet: KeyFleet, key: string): string {
  return fleet.store.map?.slots[slotOf(key)]?.copy.split('#')[0] ?? '';
}

await tap.test('should run a key once and return the first answer to resends', async t => {
  const fleet = await settledFleet();
  for (const id of IDS) {
    fleet.arrive(id, 'hold');
    await fleet.clock.advance(500);
  }
  t.equal(fleet.runs.get('hold'), 1);
  t.same(
    fleet.told.map(arrival => arrival.result),
    ['granted', 'answered', 'answered'],
  );
});

await tap.test('should run a key once when arrivals race', async t => {
  // A load balancer may send a resend to another host while the first claim is in progress.
  const fleet = await settledFleet();
  fleet.arrive('h0', 'hold');
  fleet.arrive('h1', 'hold');
  fleet.arrive('h2', 'hold');
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get('hold'), 1);
});

await tap.test('should retain a key when its owner is killed', async t => {
  // The successor must get the record from the copy.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  fleet.arrive('h1', key);
  await fleet.clock.advance(500);
  fleet.host('h0').process.kill();
  fleet.plan('h1', ['h1', 'h2']);
  await fleet.settle();
  fleet.arrive('h2', key);
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get(key), 1);
  t.equal(fleet.lastResult(key), 'answered');
});

await tap.test('should grant nothing at an owner that was paused and replaced', async t => {
  // The former owner resumes with an outdated epoch and without access to the store. Its copy has promised the later
  // epoch and must refuse.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  fleet.host('h0').process.pause();
  fleet.host('h0').isCutOff = true;
  fleet.plan('h1', ['h1', 'h2']);
  await fleet.settle();
  fleet.arrive('h1', key);
  await fleet.clock.advance(500);
  fleet.host('h0').process.resume();
  fleet.arrive('h0', key);
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get(key), 1);
  t.ok(['answered', 'unknown'].includes(fleet.lastResult(key) ?? ''));
});

await tap.test('should grant nothing at an owner whose copy promised a successor', async t => {
  // Owner and copy are alive but cut off from the store. Once the copy has handed its records to the successor, it must
  // not accept new ones in the former epoch.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  const copy = copyHostOf(fleet, key);
  const third = IDS.find(id => id !== 'h0' && id !== copy) ?? 'h2';
  fleet.host('h0').isCutOff = true;
  fleet.host(copy).isCutOff = true;
  fleet.net.cut('h0', third);
  fleet.plan(third, [third]);
  await fleet.settle();
  fleet.arrive('h0', key);
  await fleet.clock.advance(3000);
  fleet.arrive(third, key);
  await fleet.clock.advance(3000);
  t.equal(fleet.runs.get(key), 1);
  t.equal(fleet.lastResult(key), 'granted', 'the successor serves');
});

await tap.test('should report `unknown` when owner and copy were lost together', async t => {
  // Without records, a missing record is no proof that the key did not run.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  fleet.arrive('h2', key);
  await fleet.clock.advance(500);
  const copy = copyHostOf(fleet, key);
  fleet.start('h0');
  fleet.start(copy);
  const rest = IDS.find(id => id !== 'h0' && id !== copy) ?? 'h2';
  fleet.plan(rest, IDS);
  await fleet.settle();
  fleet.arrive(rest, key);
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get(key), 1);
  t.equal(fleet.lastResult(key), 'unknown');
  await fleet.clock.advance(KEY_RETENTION_MS);
  fleet.arrive(rest, 'a-new-key');
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get('a-new-key'), 1, 'serves again after the retention period');
});

await tap.test('should not mistake a restarted host for its former process', async t => {
  // The new process has no records and must not answer for the one that granted the key.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  const copy = copyHostOf(fleet, key);
  const third = IDS.find(id => id !== 'h0' && id !== copy) ?? 'h2';
  fleet.arrive(third, key);
  await fleet.clock.advance(500);
  fleet.start('h0');
  fleet.host(copy).process.pause();
  fleet.plan(third, [third]);
  await fleet.settle();
  fleet.arrive(third, key);
  await fleet.clock.advance(5000);
  t.equal(fleet.lastResult(key), 'unknown', 'while the copy, which has the record, is paused');
  fleet.host(copy).process.resume();
  await fleet.settle();
  fleet.arrive(third, key);
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get(key), 1);
  t.equal(fleet.lastResult(key), 'answered');
});

await tap.test(
  'should grant nothing while owner and copy cannot reach each other, and grant afterwards',
  async t => {
    // A grant by one of them alone would allow both sides of a partition to run the key.
    const fleet = await settledFleet();
    const key = keyOwnedBy(fleet, 'h0');
    fleet.net.cut('h0', copyHostOf(fleet, key));
    fleet.arrive('h0', key);
    await fleet.clock.advance(3000);
    t.equal(fleet.lastResult(key), 'unknown');
    t.equal(fleet.runs.get(key), undefined);
    fleet.net.heal();
    fleet.arrive('h0', key);
    await fleet.clock.advance(3000);
    t.equal(fleet.runs.get(key), 1);
  },
);

await tap.test('should continue to grant while the store is down', async t => {
  const fleet = await settledFleet();
  fleet.store.isDown = true;
  for (let i = 0; i < 20; i++) fleet.arrive(IDS[i % 3] ?? 'h0', `hold-${i}`);
  await fleet.clock.advance(3000);
  t.equal(fleet.runs.size, 20);
});

await tap.test('should report an unreachable owner', async t => {
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  fleet.net.cut('h0', 'h1');
  fleet.arrive('h1', key);
  await fleet.clock.advance(5000);
  t.equal(fleet.lastResult(key), 'unreachable');
});

await tap.test('should refuse a key that is reused for another request', async t => {
  const fleet = await settledFleet();
  const owner = fleet.host('h0').holder;
  const key = keyOwnedBy(fleet, 'h0');
  fleet.arrive('h1', key);
  await fleet.clock.advance(500);
  const claim = { key, fingerprint: 'other', attemptId: 'x', domains: 'list', waitMs: 0, relayed: false };
  t.same(await owner.claim(claim), { kind: 'conflict' });
});

await tap.test('should not report `not-run` at an owner that does not know it was replaced', async t => {
  // A timeout of the call to the copy does not prove that the key did not run: a successor may have granted it.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  const copy = copyHostOf(fleet, key);
  const third = IDS.find(id => id !== 'h0' && id !== copy) ?? 'h2';
  fleet.net.cut('h0', copy);
  fleet.net.cut('h0', third);
  fleet.host('h0').isCutOff = true;
  fleet.plan(third, [copy, third]);
  await fleet.settle();
  fleet.arrive(third, key);
  await fleet.clock.advance(500);
  fleet.arrive('h0', key);
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get(key), 1);
  t.equal(fleet.lastResult(key), 'unknown');
});

await tap.test('should release a key whose request provably did not run', async t => {
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  const owner = fleet.host('h0').holder;
  const claim = { key, fingerprint: 'f', domains: 'list', waitMs: 0, relayed: false };
  const granted = owner.claim({ ...claim, attemptId: 'one' });
  await fleet.clock.advance(500);
  t.same(await granted, { kind: 'granted' });
  const released = owner.finish({ key, attemptId: 'one', end: 'released', relayed: false });
  await fleet.clock.advance(500);
  t.same(await released, { accepted: true });
  const again = owner.claim({ ...claim, attemptId: 'two' });
  await fleet.clock.advance(500);
  t.same(await again, { kind: 'granted' });
});

await tap.test('should make a resend wait for the answer of a run in progress', async t => {
  const fleet = await settledFleet();
  fleet.arrive('h0', 'slow', 800);
  await fleet.clock.advance(100);
  fleet.arrive('h1', 'slow');
  await fleet.clock.advance(3000);
  t.equal(fleet.runs.get('slow'), 1);
  t.equal(fleet.lastResult('slow'), 'answered');
});

await tap.test('should determine the home domain by the prefix of the key, independent of live hosts', t => {
  t.equal(homeDomain('twizel:abc', ['tekapo', 'twizel']), 'twizel');
  t.equal(homeDomain('abc', ['tekapo', 'twizel']), homeDomain('abc', ['twizel', 'tekapo']));
  t.end();
});

await tap.test('should trim the earlier generations of slots', async t => {
  // Every change adds a generation, and only the owner can remove settled ones. A slot with too many generations can no
  // longer be reassigned.
  const fleet = await settledFleet();
  for (let i = 0; i < 40; i++) {
    fleet.start('h2');
    fleet.plan('h0', i % 2 === 0 ? ['h0', 'h1'] : IDS);
    await fleet.clock.advance(2000);
    for (const id of ['h1', 'h2']) fleet.plan(id, i % 2 === 0 ? ['h0', 'h1'] : IDS);
    await fleet.clock.advance(2000);
  }
  const longest = Math.max(...(fleet.store.map?.slots ?? []).map(slot => slot.older.length));
  t.ok(longest <= 6, `${longest} generations at most`);
  fleet.arrive('h0', 'still-served');
  await fleet.clock.advance(3000);
  t.equal(fleet.runs.get('still-served'), 1);
});

/** Plans until the map no longer changes and returns the number of maps. */
function mapsUntilStable(map: SlotMap | undefined, input: SlotPlanInput): number {
  let maps = 0;
  for (let next = planSlotMap(map, input); next && maps < 20; next = planSlotMap(next, input)) maps += 1;
  return maps;
}

await tap.test('should not report a slot as settled that it no longer owns', async t => {
  // The new owner's message may arrive before the map. The map then has a known epoch, but its change of roles must
  // still be applied, or the former owner could remove generations that have records.
  const fleet = new KeyFleet(7, IDS);
  for (const live of [['h0'], ['h0', 'h1'], ['h0', 'h1'], IDS, IDS]) {
    for (const id of live) {
      fleet.plan(id, live);
      await fleet.clock.advance(2000);
    }
  }
  const wronglySettled = IDS.flatMap(id => {
    const { holder } = fleet.host(id);
    return [...holder.settledSlots()].filter(
      slot => holder.map()?.slots[slot]?.owner !== fleet.host(id).holderId,
    );
  });
  t.same(wronglySettled, []);
});

await tap.test('should rebalance after a join within three maps', t => {
  // The planner must also move slots that it does not own, or every host would need to write a map.
  const live = Array.from({ length: 33 }, (_, i) => `h${i}#1`).sort();
  const input = { domain: 'd', domains: 'x', live: live.slice(1), settled: new Set<number>() };
  const first = planSlotMap(undefined, input);
  const maps = mapsUntilStable(first, { ...input, live });
  t.ok(maps >= 1 && maps <= 3, `${maps} maps`);
  t.end();
});

await tap.test('should distribute slots evenly and move few when a host leaves', t => {
  const live = Array.from({ length: 33 }, (_, i) => `h${i}#1`).sort();
  const input = { domain: 'd', domains: 'x', live, settled: new Set<number>() };
  const first = planSlotMap(undefined, input);
  const afterLeave = planSlotMap(first, { ...input, live: live.slice(1) });
  const moved = afterLeave?.slots.filter((entry, i) => entry.epoch !== first?.slots[i]?.epoch).length ?? 0;
  t.ok(moved <= Math.ceil((2 * SLOTS_PER_DOMAIN) / 33) + 1, `${moved} slots moved`);
  t.ok(mapsUntilStable(afterLeave, { ...input, live: live.slice(1) }) <= 2, 'stable after two more maps');
  t.end();
});

const RUNS = fuzzRuns(40);
const HOSTS = ['h0', 'h1', 'h2', 'h3'] as const;

const host = fc.constantFrom(...HOSTS);
const actionArbitrary = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant('arrive' as const),
      at: host,
      key: fc.integer({ min: 0, max: 11 }),
      runDelayMs: fc.constantFrom(1, 50, 900),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constant('release' as const),
      at: host,
      key: fc.integer({ min: 0, max: 11 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constant('plan' as const),
      at: host,
      live: fc.subarray([...HOSTS], { minLength: 1 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('restart' as const), at: host }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('pause' as const), at: host }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('wake' as const), at: host }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cut' as const), at: host, to: host }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('heal' as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant('loss' as const), share: fc.constantFrom(0, 0.05, 0.3) }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('store' as const), isDown: fc.boolean() }) },
  {
    weight: 2,
    arbitrary: fc.record({ do: fc.constant('platform' as const), at: host, isCutOff: fc.boolean() }),
  },
);
type Action = typeof actionArbitrary extends fc.Arbitrary<infer S> ? S : never;

function apply(fleet: KeyFleet, action: Action): void {
  switch (action.do) {
    case 'arrive':
      return fleet.arrive(action.at, `key-${action.key}`, action.runDelayMs);
    case 'release':
      return fleet.arriveReleased(action.at, `key-${action.key}`);
    case 'plan':
      return fleet.plan(action.at, action.live);
    case 'restart':
      fleet.start(action.at);
      return;
    case 'pause':
      return fleet.host(action.at).process.pause();
    case 'wake':
      return fleet.host(action.at).process.resume();
    case 'cut':
      return fleet.net.cut(action.at, action.to);
    case 'heal':
      return fleet.net.heal();
    case 'loss':
      fleet.net.lossRate = action.share;
      return;
    case 'store':
      fleet.store.isDown = action.isDown;
      return;
    case 'platform':
      fleet.host(action.at).isCutOff = action.isCutOff;
  }
}

tap.setTimeout(0);

await tap.test(
  'should run no key twice under random faults, and serve after they end',
  { timeout: 0 },
  async t => {
    let grants = 0;
    const property = fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(fc.tuple(actionArbitrary, fc.constantFrom(0, 3, 20, 150, 1200)), {
        minLength: 20,
        maxLength: 60,
      }),
      async (seed, actions) => {
        const fleet = new KeyFleet(seed, HOSTS);
        fleet.plan('h0', HOSTS);
        await fleet.settle();
        for (const [action, waitMs] of actions) {
          apply(fleet, action);
          await fleet.clock.advance(waitMs);
        }
        for (const id of HOSTS) {
          fleet.host(id).process.resume();
          fleet.host(id).isCutOff = false;
        }
        fleet.net.heal();
        fleet.net.lossRate = 0;
        fleet.store.isDown = false;
        fleet.plan('h1', HOSTS);
        await fleet.clock.advance(10_000);
        for (let i = 0; i < 12; i++) fleet.arrive(HOSTS[i % 4] ?? 'h0', `key-${i}`);
        await fleet.clock.advance(10_000);
        for (const [key, runs] of fleet.runs) if (runs > 1) throw new Error(`${key} ran ${runs} times`);
        for (const arrival of fleet.told) {
          if (arrival.result === 'not-run' && arrival.runsBefore > 0)
            throw new Error(`${arrival.key} was reported as not run but ran`);
        }
        const last = fleet.told.slice(-12);
        if (last.some(arrival => arrival.result === 'unreachable'))
          throw new Error('unreachable after all faults ended');
        grants += fleet.told.filter(arrival => arrival.result === 'granted').length;
      },
    );
    await fc.assert(property, RUNS);
    t.ok(grants > RUNS.numRuns, `${grants} grants in ${RUNS.numRuns} runs`);
  },
);
