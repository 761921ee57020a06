/**
 * Idempotency keys: a request that must not be repeated runs at most once, whatever dies.
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

/** A key that the wanted host owns. */
function keyOwnedBy(fleet: KeyFleet, id: string): string {
  for (let i = 0; ; i++) {
    const key = `key-${i}`;
    if (fleet.store.map?.slots[slotOf(key)]?.owner === fleet.host(id).holderId) return key;
  }
}

function copyOf(fleet: KeyFleet, key: string): string {
  return fleet.store.map?.slots[slotOf(key)]?.copy.split('#')[0] ?? '';
}

await tap.test('should run a key once and give resends the first answer', async t => {
  const fleet = await settledFleet();
  for (const id of IDS) {
    fleet.arrive(id, 'hold');
    await fleet.clock.advance(500);
  }
  t.equal(fleet.runs.get('hold'), 1);
  t.same(
    fleet.told.map(told => told.result),
    ['granted', 'answered', 'answered'],
  );
});

await tap.test('should run a key once when two arrivals race', async t => {
  // Symptom: two seats held. Sequence: the balancer sends a resend to another host while the first is being
  // claimed. Cause: nobody between the two hosts decides who runs.
  const fleet = await settledFleet();
  fleet.arrive('h0', 'hold');
  fleet.arrive('h1', 'hold');
  fleet.arrive('h2', 'hold');
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get('hold'), 1);
});

await tap.test('should remember a key when its owner is killed', async t => {
  // Symptom: a hold runs again after a host was replaced. Sequence: granted and run, the owner dies, the
  // resend arrives at its successor. Cause: the memory of the key died with the host.
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
  t.equal(fleet.lastTold(key), 'answered');
});

await tap.test('should grant nothing at an owner that was paused and replaced', async t => {
  // Symptom: a hold runs twice. Sequence: the owner is paused, a successor takes its slots and grants a key,
  // the owner wakes, cannot reach the store, and is asked to grant the same key. Cause: it still believes in
  // its epoch; the copy that it needs has promised the later one.
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
  t.ok(['answered', 'unknown'].includes(fleet.lastTold(key) ?? ''));
});

await tap.test('should grant nothing at an owner whose copy promised a successor', async t => {
  // Symptom: a hold runs twice. Sequence: owner and copy are alive and cut off from the store; a third host takes
  // the slot over and reads the copy's records; the old pair grants a new key, and the successor grants it too.
  // Cause: the copy gave its records away and went on taking new ones in the old epoch.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  const copy = copyOf(fleet, key);
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
  t.equal(fleet.lastTold(key), 'granted', 'the successor serves');
});

await tap.test('should tell unknown when owner and copy were lost together', async t => {
  // Symptom: a hold runs again after a rack failed. Sequence: owner and copy of a slot die before a successor
  // read either. Cause: no record is left; an empty table must not be taken for a new key.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  fleet.arrive('h2', key);
  await fleet.clock.advance(500);
  const copy = copyOf(fleet, key);
  fleet.start('h0');
  fleet.start(copy);
  const rest = IDS.find(id => id !== 'h0' && id !== copy) ?? 'h2';
  fleet.plan(rest, IDS);
  await fleet.settle();
  fleet.arrive(rest, key);
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get(key), 1);
  t.equal(fleet.lastTold(key), 'unknown');
  await fleet.clock.advance(KEY_RETENTION_MS);
  fleet.arrive(rest, 'a-new-key');
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get('a-new-key'), 1, 'serves again after the window');
});

await tap.test('should not take a restarted host for its own predecessor', async t => {
  // Symptom: a hold runs again. Sequence: the owner restarts under the same name and is asked for its records.
  // Cause: an empty process answers "nothing granted" in the name of the one that granted.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  const copy = copyOf(fleet, key);
  const third = IDS.find(id => id !== 'h0' && id !== copy) ?? 'h2';
  fleet.arrive(third, key);
  await fleet.clock.advance(500);
  fleet.start('h0');
  fleet.host(copy).process.pause();
  fleet.plan(third, [third]);
  await fleet.settle();
  fleet.arrive(third, key);
  await fleet.clock.advance(5000);
  t.equal(fleet.lastTold(key), 'unknown', 'while the copy, which knows, is paused');
  fleet.host(copy).process.resume();
  await fleet.settle();
  fleet.arrive(third, key);
  await fleet.clock.advance(5000);
  t.equal(fleet.runs.get(key), 1);
  t.equal(fleet.lastTold(key), 'answered');
});

await tap.test(
  'should grant nothing while owner and copy cannot reach each other, and grant after',
  async t => {
    // Symptom: two halves of a domain both run a hold. Sequence: a cut between owner and copy; the key arrives
    // on both sides. Cause: one of them alone would have to guess.
    const fleet = await settledFleet();
    const key = keyOwnedBy(fleet, 'h0');
    fleet.net.cut('h0', copyOf(fleet, key));
    fleet.arrive('h0', key);
    await fleet.clock.advance(3000);
    t.equal(fleet.lastTold(key), 'unknown');
    t.equal(fleet.runs.get(key), undefined);
    fleet.net.heal();
    fleet.arrive('h0', key);
    await fleet.clock.advance(3000);
    t.equal(fleet.runs.get(key), 1);
  },
);

await tap.test('should keep granting while the store is down', async t => {
  const fleet = await settledFleet();
  fleet.store.isDown = true;
  for (let i = 0; i < 20; i++) fleet.arrive(IDS[i % 3] ?? 'h0', `hold-${i}`);
  await fleet.clock.advance(3000);
  t.equal(fleet.runs.size, 20);
});

await tap.test('should tell unknown when the owner cannot be reached', async t => {
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  fleet.net.cut('h0', 'h1');
  fleet.arrive('h1', key);
  await fleet.clock.advance(5000);
  t.equal(fleet.lastTold(key), 'unreachable');
});

await tap.test('should refuse a key with another request', async t => {
  const fleet = await settledFleet();
  const owner = fleet.host('h0').holder;
  const key = keyOwnedBy(fleet, 'h0');
  fleet.arrive('h1', key);
  await fleet.clock.advance(500);
  const claim = { key, fingerprint: 'other', attemptId: 'x', domains: 'list', waitMs: 0, relayed: false };
  t.same(await owner.claim(claim), { kind: 'conflict' });
});

await tap.test('should not tell not run when the owner was replaced without knowing', async t => {
  // Symptom: a caller is told "not run", books anew, and holds two seats. Sequence: the owner is cut off with a
  // claim on the way to its copy; a successor takes over and grants a resend, which runs; the owner's call to
  // the copy times out. Cause: silence of the copy was taken for proof that the key never ran.
  const fleet = await settledFleet();
  const key = keyOwnedBy(fleet, 'h0');
  const copy = copyOf(fleet, key);
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
  t.equal(fleet.lastTold(key), 'unknown');
});

await tap.test('should free a key whose request was proved not to have run', async t => {
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

await tap.test('should wait for the first answer when a resend comes while it runs', async t => {
  const fleet = await settledFleet();
  fleet.arrive('h0', 'slow', 800);
  await fleet.clock.advance(100);
  fleet.arrive('h1', 'slow');
  await fleet.clock.advance(3000);
  t.equal(fleet.runs.get('slow'), 1);
  t.equal(fleet.lastTold('slow'), 'answered');
});

await tap.test('should send a key home by its prefix, whoever lives', t => {
  t.equal(homeDomain('twizel:abc', ['tekapo', 'twizel']), 'twizel');
  t.equal(homeDomain('abc', ['tekapo', 'twizel']), homeDomain('abc', ['twizel', 'tekapo']));
  t.end();
});

await tap.test('should shorten the chains of slots, so that they can always change', async t => {
  // Symptom: after some days a slot stays without an owner. Sequence: hosts come and go, one host plans all changes,
  // and each leaves one more generation in the slots of the others. Cause: only an owner knows that its slot is
  // settled, and owners that never plan never said so.
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

/** Plans until nothing is left to change, and counts the maps that were written. */
function mapsUntilStable(map: SlotMap | undefined, input: SlotPlanInput): number {
  let maps = 0;
  for (let next = planSlotMap(map, input); next && maps < 20; next = planSlotMap(next, input)) maps += 1;
  return maps;
}

await tap.test('should call no slot settled that it does not own any more', async t => {
  // Symptom: a hold runs twice after two changes of hosts. Sequence: owner and copy change roles, and the new owner
  // reaches the old one before the map does; the old one goes on calling the slot settled and, planning next,
  // forgets the generation that holds its records. Cause: the epoch was no news any more, so the role was not read.
  const fleet = new KeyFleet(7, IDS);
  for (const live of [['h0'], ['h0', 'h1'], ['h0', 'h1'], IDS, IDS]) {
    for (const id of live) {
      fleet.plan(id, live);
      await fleet.clock.advance(2000);
    }
  }
  const wrong = IDS.flatMap(id => {
    const { holder } = fleet.host(id);
    return [...holder.settledSlots()].filter(
      slot => holder.map()?.slots[slot]?.owner !== fleet.host(id).holderId,
    );
  });
  t.same(wrong, []);
});

await tap.test('should even out a host that joined within three maps', t => {
  // Symptom: each join costs a map for each host. Sequence: a host joins and the first planner moves only slots
  // that it owns itself. Cause: all others looked unsettled to it.
  const live = Array.from({ length: 33 }, (_, i) => `h${i}#1`).sort();
  const input = { domain: 'd', domains: 'x', live: live.slice(1), settled: new Set<number>() };
  const first = planSlotMap(undefined, input);
  const maps = mapsUntilStable(first, { ...input, live });
  t.ok(maps >= 1 && maps <= 3, `${maps} maps`);
  t.end();
});

await tap.test('should spread slots evenly and move few when a host leaves', t => {
  const live = Array.from({ length: 33 }, (_, i) => `h${i}#1`).sort();
  const input = { domain: 'd', domains: 'x', live, settled: new Set<number>() };
  const first = planSlotMap(undefined, input);
  const left = planSlotMap(first, { ...input, live: live.slice(1) });
  const moved = left?.slots.filter((entry, i) => entry.epoch !== first?.slots[i]?.epoch).length ?? 0;
  t.ok(moved <= Math.ceil((2 * SLOTS_PER_DOMAIN) / 33) + 1, `${moved} slots moved`);
  t.ok(mapsUntilStable(left, { ...input, live: live.slice(1) }) <= 2, 'stable after two more maps');
  t.end();
});

const RUNS = fuzzRuns(40);
const HOSTS = ['h0', 'h1', 'h2', 'h3'] as const;

const host = fc.constantFrom(...HOSTS);
const step = fc.oneof(
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
      do: fc.constant('unrun' as const),
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
type Step = typeof step extends fc.Arbitrary<infer S> ? S : never;

function apply(fleet: KeyFleet, one: Step): void {
  switch (one.do) {
    case 'arrive':
      return fleet.arrive(one.at, `key-${one.key}`, one.runDelayMs);
    case 'unrun':
      return fleet.arriveUnrun(one.at, `key-${one.key}`);
    case 'plan':
      return fleet.plan(one.at, one.live);
    case 'restart':
      fleet.start(one.at);
      return;
    case 'pause':
      return fleet.host(one.at).process.pause();
    case 'wake':
      return fleet.host(one.at).process.resume();
    case 'cut':
      return fleet.net.cut(one.at, one.to);
    case 'heal':
      return fleet.net.heal();
    case 'loss':
      fleet.net.lossShare = one.share;
      return;
    case 'store':
      fleet.store.isDown = one.isDown;
      return;
    case 'platform':
      fleet.host(one.at).isCutOff = one.isCutOff;
  }
}

tap.setTimeout(0);

await tap.test(
  'should run no key twice under random faults, and serve when they end',
  { timeout: 0 },
  async t => {
    let grants = 0;
    const property = fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(fc.tuple(step, fc.constantFrom(0, 3, 20, 150, 1200)), { minLength: 20, maxLength: 60 }),
      async (seed, steps) => {
        const fleet = new KeyFleet(seed, HOSTS);
        fleet.plan('h0', HOSTS);
        await fleet.settle();
        for (const [one, waitMs] of steps) {
          apply(fleet, one);
          await fleet.clock.advance(waitMs);
        }
        for (const id of HOSTS) {
          fleet.host(id).process.resume();
          fleet.host(id).isCutOff = false;
        }
        fleet.net.heal();
        fleet.net.lossShare = 0;
        fleet.store.isDown = false;
        fleet.plan('h1', HOSTS);
        await fleet.clock.advance(10_000);
        for (let i = 0; i < 12; i++) fleet.arrive(HOSTS[i % 4] ?? 'h0', `key-${i}`);
        await fleet.clock.advance(10_000);
        for (const [key, runs] of fleet.runs) if (runs > 1) throw new Error(`${key} ran ${runs} times`);
        for (const told of fleet.told) {
          if (told.result === 'not-run' && told.runsBefore > 0)
            throw new Error(`${told.key} was told not run, and ran`);
        }
        const last = fleet.told.slice(-12);
        if (last.some(told => told.result === 'unreachable'))
          throw new Error('unreachable after all faults ended');
        grants += fleet.told.filter(told => told.result === 'granted').length;
      },
    );
    await fc.assert(property, RUNS);
    t.ok(grants > RUNS.numRuns, `${grants} grants in ${RUNS.numRuns} runs`);
  },
);
