/**
 * Shares of a pool's endpoints: equal without known work, in proportion to work otherwise, and stable between loads.
 */
import { isDeepStrictEqual } from 'node:util';
import fc from 'fast-check';
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import {
  assignEndpoints,
  presentWork,
  type ModelTargets,
  type ModelWork,
  type SharedEndpoint,
} from '@fuchsiahitch/batches';
import { assignEqually } from './equalShares.js';

const MODELS = ['a', 'b', 'c', 'd'];
const NEWEST = 100;
const TARGETS: ModelTargets = new Map(MODELS.map(model => [model, NEWEST]));
const ONE_TO_TWO = workOf(1, 2, 2, 2);

type Shares = ReadonlyMap<string, readonly string[]>;

function workOf(...amounts: readonly number[]): ModelWork {
  return new Map(amounts.map((amount, i) => [MODELS[i] ?? '', amount]));
}

/** An endpoint that has loaded the newest version of a model; of no model if it is undefined. */
function endpoint(id: string, model: string | undefined, paceMs?: number): SharedEndpoint {
  return { id, versions: new Map(model === undefined ? [] : [[model, NEWEST]]), paceMs };
}

function endpointId(i: number): string {
  return `e${String(i).padStart(3, '0')}`;
}

/** Endpoints of which the first ones have loaded `a`, the next ones `b`, and so on. */
function loaded(...counts: readonly number[]): readonly SharedEndpoint[] {
  const models = counts.flatMap((count, i) => Array.from({ length: count }, () => MODELS[i]));
  return models.map((model, i) => endpoint(endpointId(i), model));
}

function countsOf(shares: Shares): readonly number[] {
  return MODELS.map(model => shares.get(model)?.length ?? 0);
}

function loadedModel({ versions }: SharedEndpoint): string | undefined {
  return [...versions.keys()][0];
}

function assignedModel(shares: Shares, id: string): string | undefined {
  return [...shares].find(([, share]) => share.includes(id))?.[0];
}

/** The endpoints that must load weights because they were assigned to another model. */
function toLoad(endpoints: readonly SharedEndpoint[], shares: Shares): readonly SharedEndpoint[] {
  return endpoints.filter(one => loadedModel(one) !== assignedModel(shares, one.id));
}

interface Settled {
  readonly endpoints: readonly SharedEndpoint[];
  readonly loads: number;
}

/**
 * Applies assignments until they require no load; `atOnce` loads complete before the next assignment. Only loads that
 * `mayLoad` allows are made.
 */
function settle(
  endpoints: readonly SharedEndpoint[],
  work: ModelWork | undefined,
  atOnce = 1,
  mayLoad: (one: SharedEndpoint) => boolean = () => true,
): Settled {
  let present = endpoints;
  for (let loads = 0; loads < 500;) {
    const shares = assignEndpoints(present, TARGETS, work);
    const due = new Set(toLoad(present, shares).filter(mayLoad).slice(0, atOnce));
    if (due.size === 0) return { endpoints: present, loads };
    loads += due.size;
    present = present.map(one =>
      due.has(one) ? endpoint(one.id, assignedModel(shares, one.id), one.paceMs) : one,
    );
  }
  throw new Error('the assignment does not settle');
}

function presentCounts(endpoints: readonly SharedEndpoint[]): readonly number[] {
  return MODELS.map(model => endpoints.filter(one => loadedModel(one) === model).length);
}

/** Greatest number of endpoints by which a model's share differs from the exact proportional number. */
function worstDifference(counts: readonly number[], work: ModelWork): number {
  const total = [...work.values()].reduce((sum, amount) => sum + amount, 0);
  const count = counts.reduce((sum, one) => sum + one, 0);
  const differences = [...work.values()].map((amount, i) =>
    Math.abs((counts[i] ?? 0) - (count * amount) / total),
  );
  return Math.max(...differences);
}

const anyVersions = fc.array(fc.option(fc.integer({ min: 0, max: 5 }), { nil: undefined }), {
  minLength: 4,
  maxLength: 4,
});
const anyEndpoints = fc
  .array(
    fc.record({
      versions: anyVersions,
      paceMs: fc.option(fc.integer({ min: 20, max: 150 }), { nil: undefined }),
    }),
    {
      maxLength: 40,
    },
  )
  .map(all =>
    all.map(({ versions, paceMs }, i): SharedEndpoint => {
      const known = versions.flatMap((version, model) =>
        version === undefined ? [] : [[MODELS[model] ?? '', version] as const],
      );
      // Identifiers in another order than the list.
      return { id: `e${(i * 7) % 41}`, versions: new Map(known), paceMs };
    }),
  );
const anyTargets = fc
  .array(fc.integer({ min: 1, max: 5 }), { maxLength: 4 })
  .map(versions => new Map(versions.map((version, i) => [MODELS[i] ?? '', version])));
const anyWork = fc
  .array(fc.integer({ min: 0, max: 3000 }), { minLength: 4, maxLength: 4 })
  .filter(amounts => amounts.some(amount => amount > 0))
  .map(amounts => workOf(...amounts));

await tap.test('should assign equally without known work, whatever the versions and paces', t => {
  // Fails if a pool without demand is served differently than before work was known.
  const noWork = [
    undefined,
    new Map<string, number>(),
    workOf(0, 0, 0, 0),
    workOf(NaN, 1, 1, 1),
    workOf(-1, 2, 2, 2),
  ];
  fc.assert(
    fc.property(anyEndpoints, anyTargets, fc.constantFrom(...noWork), (endpoints, targets, work) => {
      return isDeepStrictEqual(
        [...assignEndpoints(endpoints, targets, work)],
        [...assignEqually(endpoints, targets)],
      );
    }),
    { numRuns: 2000 },
  );
  t.end();
});

await tap.test('should assign every endpoint once and at least one to each model', t => {
  // Fails if a model without work, or with far less than the others, is left without any endpoint.
  fc.assert(
    fc.property(anyEndpoints, anyTargets, anyWork, (endpoints, targets, work) => {
      const shares = assignEndpoints(endpoints, targets, work);
      const assigned = [...shares.values()].flat();
      const isEachAssignedOnce =
        new Set(assigned).size === assigned.length &&
        assigned.length === (targets.size === 0 ? 0 : endpoints.length);
      const hasEachOne = [...shares.values()].every(share => share.length > 0);
      return (
        isDeepStrictEqual([...shares.keys()], [...targets.keys()]) &&
        isEachAssignedOnce &&
        (hasEachOne || endpoints.length < targets.size)
      );
    }),
    { numRuns: 1000 },
  );
  t.end();
});

await tap.test('should not depend on the order of the endpoints', t => {
  // Fails if two hosts with the same view assign different endpoints and undo each other's loads.
  fc.assert(
    fc.property(anyEndpoints, anyTargets, anyWork, (endpoints, targets, work) => {
      const shares = assignEndpoints(endpoints, targets, work);
      return isDeepStrictEqual([...assignEndpoints([...endpoints].reverse(), targets, work)], [...shares]);
    }),
    { numRuns: 500 },
  );
  t.end();
});

await tap.test('should round shares by the largest remainder', t => {
  // Fails if rounding gives the endpoints left over to a model with a smaller remainder.
  const unloaded = (count: number): readonly SharedEndpoint[] =>
    Array.from({ length: count }, (_, i) => endpoint(endpointId(i), undefined));
  const countsFor = (count: number, work: ModelWork): readonly number[] =>
    countsOf(assignEndpoints(unloaded(count), TARGETS, work));
  t.same(countsFor(34, ONE_TO_TWO), [5, 10, 10, 9]);
  t.same(countsFor(32, workOf(10, 12, 15, 20)), [6, 7, 8, 11]);
  t.same(countsFor(10, workOf(1, 1000, 1000, 1000)), [1, 3, 3, 3]);
  t.same(countsFor(5, workOf(0, 0, 0, 7)), [1, 1, 1, 2]);
  t.same(countsFor(34, workOf(3, 3, 3, 3)), [9, 9, 8, 8]);
  t.end();
});

await tap.test('should settle near the exact shares, and then load nothing', t => {
  // Fails if assignments alternate, or if they stop far from the work.
  const anyCounts = fc.array(fc.integer({ min: 0, max: 12 }), { minLength: 4, maxLength: 4 });
  const amount = fc.integer({ min: 500, max: 2000 });
  const work = fc.tuple(amount, amount, amount, amount).map(amounts => workOf(...amounts));
  fc.assert(
    fc.property(
      anyCounts.filter(counts => counts.reduce((sum, one) => sum + one, 0) >= 8),
      work,
      fc.integer({ min: 1, max: 9 }),
      (counts, amounts, atOnce) => {
        const before = loaded(...counts);
        const { endpoints, loads } = settle(before, amounts, atOnce);
        return loads <= before.length && worstDifference(presentCounts(endpoints), amounts) < 2;
      },
    ),
    { numRuns: 500 },
  );
  t.end();
});

await tap.test('should cost few loads when demand arrives for the first time', t => {
  // Fails if the arrival of demand reassigns endpoints that have a suitable model already.
  for (const [counts, work, most] of [
    [[9, 9, 8, 8], ONE_TO_TWO, 4],
    [[8, 8, 8, 8], workOf(10, 12, 15, 20), 4],
    [[8, 8, 8, 8], workOf(20, 21, 19, 20), 0],
  ] as const) {
    const before = loaded(...counts);
    const first = toLoad(before, assignEndpoints(before, TARGETS, work)).length;
    const { endpoints, loads } = settle(before, work);
    t.comment(
      `${counts.join(' ')}, work ${[...work.values()].join(' : ')}: ${first} loads assigned, ${loads} made one by one, ` +
        `then ${presentCounts(endpoints).join(' ')}`,
    );
    t.ok(first <= most);
    t.ok(loads <= most);
  }
  t.end();
});

await tap.test('should load nothing for work that differs by less than a tenth', t => {
  // Fails if the variation between steps of equal models causes loads, also in pools with many endpoints.
  const amount = fc.integer({ min: 1000, max: 1099 });
  fc.assert(
    fc.property(
      fc.integer({ min: 4, max: 400 }),
      fc.tuple(amount, amount, amount, amount),
      (count, amounts) => {
        const each = MODELS.map((_, i) => Math.floor((count + i) / MODELS.length));
        const before = loaded(...each);
        return toLoad(before, assignEndpoints(before, TARGETS, workOf(...amounts))).length === 0;
      },
    ),
    { numRuns: 500 },
  );
  t.end();
});

await tap.test('should load nothing in a large pool after a change of work by a twentieth', t => {
  // Fails if the exact shares of many endpoints differ by two or more for a variation that occurs at each step.
  const { endpoints } = settle(loaded(58, 114, 114, 114), ONE_TO_TWO);
  for (const work of [workOf(1.05, 2, 2, 2), workOf(1, 1.9, 2, 2), workOf(1, 2, 2, 2.1)])
    t.same(toLoad(endpoints, assignEndpoints(endpoints, TARGETS, work)), []);
  t.end();
});

/** The work of a step with 112 items, one in twenty of them five times as long as the others. */
function stepWork(random: SeededRandom, mean: number): number {
  let work = 0;
  for (let i = 0; i < 112; i++)
    work += (mean / 112) * (random.below(20) === 0 ? 5 : 1) * (0.5 + random.below(1000) / 1000);
  return work;
}

/** The mean work of three steps of each model, of which the last replaces the oldest with each call. */
function variedWork(random: SeededRandom): () => ModelWork {
  const steps = [1, 2, 2, 2].map(mean => [0, 0, 0].map(() => stepWork(random, mean)));
  return () => {
    for (const [i, mean] of [1, 2, 2, 2].entries())
      steps[i] = [...(steps[i] ?? []).slice(1), stepWork(random, mean)];
    return workOf(...steps.map(all => sumOf(all) / all.length));
  };
}

function sumOf(amounts: readonly number[]): number {
  return amounts.reduce((sum, one) => sum + one, 0);
}

await tap.test('should rarely load while the work of steps varies around a mean', t => {
  // Fails if each step's work causes loads. Every step names a new version, which each endpoint loads in any case, so a
  // load in ten steps is negligible.
  const nextWork = variedWork(new SeededRandom(11));
  let { endpoints } = settle(loaded(9, 9, 8, 8), ONE_TO_TWO);
  let loads = 0;
  const steps = 1000;
  for (let step = 0; step < steps; step++) {
    const next = settle(endpoints, nextWork());
    endpoints = next.endpoints;
    loads += next.loads;
  }
  t.comment(`${loads} loads in ${steps} steps of varying work`);
  t.ok(loads <= steps / 10, `${loads} loads in ${steps} steps`);
  t.end();
});

await tap.test('should keep shares proportional while endpoints leave and join', t => {
  // Fails if each change of the pool reassigns endpoints that are not concerned.
  const random = new SeededRandom(5);
  let { endpoints } = settle(loaded(9, 9, 8, 8), ONE_TO_TWO);
  let changes = 0;
  let loads = 0;
  for (let round = 0; round < 300; round++) {
    if (endpoints.length > 20 && random.below(2) === 0) {
      const leaving = random.below(endpoints.length);
      endpoints = endpoints.filter((_, i) => i !== leaving);
    } else if (endpoints.length < 40)
      endpoints = [...endpoints, endpoint(endpointId(100 + round), undefined)];
    else continue;
    changes += 1;
    const unloaded = endpoints.filter(one => loadedModel(one) === undefined).length;
    const next = settle(endpoints, ONE_TO_TWO);
    endpoints = next.endpoints;
    loads += next.loads - unloaded;
    t.ok(worstDifference(presentCounts(endpoints), ONE_TO_TWO) < 2);
  }
  t.comment(`${loads} loads beyond those of new endpoints in ${changes} changes`);
  t.ok(loads <= changes / 2);
  t.end();
});

await tap.test('should restore equal shares when demand ends', t => {
  // Fails if the share of a stopped model keeps the other models from returning to equal shares.
  const { endpoints } = settle(loaded(9, 9, 8, 8), ONE_TO_TWO);
  const after = settle(endpoints, undefined);
  const counts = presentCounts(after.endpoints);
  t.ok(Math.max(...counts) - Math.min(...counts) <= 1, counts.join(' '));
  t.end();
});

await tap.test('should leave all endpoints in place for the work that their number suggests', t => {
  // Fails if a restarted host without demand moves endpoints that the others have just loaded.
  const { endpoints } = settle(loaded(9, 9, 8, 8), ONE_TO_TWO);
  t.same(toLoad(endpoints, assignEndpoints(endpoints, TARGETS, presentWork(endpoints, TARGETS))), []);
  const all = loaded(12, 0, 0, 0);
  const counts = countsOf(assignEndpoints(all, TARGETS, presentWork(all, TARGETS)));
  t.same(counts, [9, 1, 1, 1], 'a model without endpoints gets one');
  t.end();
});

/** Two holders of weight orders, each for the endpoints of its domain, with their own views of the work. */
function exchange(
  views: (round: number) => readonly [ModelWork | undefined, ModelWork | undefined],
  rounds: number,
  domainOf: (id: string) => number = id => Number(id.slice(1)) % 2,
): readonly number[] {
  let endpoints = settle(loaded(9, 9, 8, 8), ONE_TO_TWO).endpoints;
  const loadsByRound: number[] = [];
  for (let round = 0; round < rounds; round++) {
    let loads = 0;
    for (const [domain, work] of views(round).entries()) {
      const shares = assignEndpoints(endpoints, TARGETS, work);
      const isOwn = (one: SharedEndpoint): boolean => domainOf(one.id) === domain;
      const due = new Set(toLoad(endpoints, shares).filter(isOwn).slice(0, 4));
      loads += due.size;
      endpoints = endpoints.map(one =>
        due.has(one) ? endpoint(one.id, assignedModel(shares, one.id)) : one,
      );
    }
    loadsByRound.push(loads);
  }
  return loadsByRound;
}

await tap.test('should converge for two holders whose views differ by a step', t => {
  // Fails if a lost announcement lets two holders undo each other's loads.
  const random = new SeededRandom(3);
  let total = 0;
  const trials = 50;
  for (let trial = 0; trial < trials; trial++) {
    // The second holder has missed the last step of each model.
    const nextWork = variedWork(random);
    const [other, one] = [nextWork(), nextWork()];
    const loads = exchange(() => [one, other], 40);
    t.same(sumOf(loads.slice(8)), 0, 'no loads after the first rounds');
    total += sumOf(loads);
  }
  t.comment(`${total} loads in ${trials} trials`);
  t.end();
});

await tap.test('should converge once a holder without demand receives it', t => {
  // A holder without demand assigns equally. Fails if loads go on after both holders have the same demand.
  const loads = exchange(round => (round < 5 ? [ONE_TO_TWO, undefined] : [ONE_TO_TWO, ONE_TO_TWO]), 40);
  t.comment(`loads by round: ${loads.slice(0, 12).join(' ')}`);
  t.equal(sumOf(loads.slice(8)), 0);
  t.end();
});

await tap.test('should stop loading for two holders whose views differ for good', t => {
  // Fails if a holder that receives no announcements and one that does undo each other's loads forever.
  for (const other of [undefined, workOf(1, 1, 2, 2), workOf(2, 2, 2, 1)]) {
    const text = other ? [...other.values()].join(' : ') : 'no work';
    const late: number[] = [];
    let total = 0;
    for (let seed = 0; seed < 50; seed++) {
      const random = new SeededRandom(seed);
      const domains = Array.from({ length: 34 }, () => random.below(2));
      const loads = exchange(
        () => [ONE_TO_TWO, other],
        60,
        id => domains[Number(id.slice(1))] ?? 0,
      );
      total += sumOf(loads);
      if (sumOf(loads.slice(30)) > 0) late.push(seed);
    }
    t.comment(`other view ${text}: ${total} loads in 50 layouts of the domains`);
    t.same(late, [], text);
  }
  t.end();
});

/** Endpoints like `loaded`, with paces by position. */
function paced(
  counts: readonly number[],
  paceOf: (i: number) => number | undefined,
): readonly SharedEndpoint[] {
  return loaded(...counts).map((one, i) => ({ ...one, paceMs: paceOf(i) }));
}

function fastCounts(endpoints: readonly SharedEndpoint[]): readonly number[] {
  return presentCounts(endpoints.filter(({ paceMs }) => paceMs !== undefined && paceMs < 40));
}

await tap.test('should spread fast endpoints when endpoints change models', t => {
  // Fails if a model loses only its fast endpoints, or only its slow ones, to another.
  const before = paced([12, 12, 4, 4], i => (i % 4 === 0 ? 28 : 56 + (i % 10)));
  t.same(fastCounts(before), [3, 3, 1, 1]);
  const { endpoints } = settle(before, workOf(1, 1, 1, 1));
  t.ok(Math.max(...presentCounts(endpoints)) <= 9);
  t.same(fastCounts(endpoints), [2, 2, 2, 2]);
  const unloaded = paced([0, 0, 0, 0], () => undefined);
  t.same(unloaded, []);
  const fresh = Array.from({ length: 32 }, (_, i) => endpoint(endpointId(i), undefined, i < 8 ? 28 : 60));
  t.same(fastCounts(settle(fresh, workOf(1, 1, 1, 1)).endpoints), [2, 2, 2, 2]);
  t.end();
});

await tap.test('should exchange one fast endpoint for a model without any', t => {
  // Fails if one model has all fast endpoints and its step is done while others wait for their longest items.
  const before = paced([8, 8, 8, 8], i => (i < 8 ? 28 : 60));
  const { endpoints, loads } = settle(before, workOf(1, 1, 1, 1), 40);
  t.same(presentCounts(endpoints), [8, 8, 8, 8]);
  t.same(fastCounts(endpoints), [5, 1, 1, 1]);
  t.equal(loads, 6, 'two loads for each exchange');
  t.end();
});

await tap.test('should exchange none between models with a fast endpoint each', t => {
  const before = paced([8, 8, 8, 8], i => (i < 5 || i === 8 || i === 16 || i === 24 ? 28 : 60));
  t.equal(settle(before, workOf(1, 1, 1, 1)).loads, 0);
  const oneAbove = paced([8, 8, 8, 8], i => (i < 2 || i === 8 || i === 16 ? 28 : 60));
  t.equal(settle(oneAbove, workOf(1, 1, 1, 1)).loads, 0, 'a surplus of one');
  t.end();
});

await tap.test('should exchange none for similar or unknown paces, or without work', t => {
  // Fails if the variation of measured paces, or paces that are not measured yet, cause loads.
  const similar = paced([8, 8, 8, 8], i => (i < 8 ? 50 : 65));
  t.equal(settle(similar, workOf(1, 1, 1, 1)).loads, 0);
  const unknown = paced([8, 8, 8, 8], i => (i < 8 ? 28 : i % 8 === 0 ? undefined : 60));
  t.equal(settle(unknown, workOf(1, 1, 1, 1)).loads, 0);
  const different = paced([8, 8, 8, 8], i => (i < 8 ? 28 : 60));
  t.equal(settle(different, undefined).loads, 0);
  t.end();
});

await tap.test('should not take endpoints on busy machines for the slow class', t => {
  // Fails if a few endpoints that are slow for the moment make all others count as fast.
  const before = paced([8, 8, 8, 8], i => (i < 8 ? 28 : i % 8 === 0 ? 150 : 60));
  t.same(fastCounts(settle(before, workOf(1, 1, 1, 1), 40).endpoints), [5, 1, 1, 1]);
  t.end();
});

/** Seconds until the last item of each step has a slot, for steps of four models on endpoints with eight slots. */
function lastSlotWaits(counts: readonly number[], seed: number): readonly number[] {
  const [slotsPerEndpoint, paceMs, intervalMs, steps] = [8, 50, 4000, 40] as const;
  const random = new SeededRandom(seed);
  return MODELS.map((_, model) => {
    const freeAtMs = Array.from({ length: (counts[model] ?? 0) * slotsPerEndpoint }, () => 0);
    const items = model === 0 ? 8 * 8 : 16 * 8;
    let worstMs = 0;
    for (let step = 0; step < steps; step++) {
      const submittedMs = step * intervalMs;
      for (let item = 0; item < items; item++) {
        // One in twenty items is seven times as long as the others, whose mean is 20 events.
        const events = (10 + random.below(21)) * (random.below(20) === 0 ? 7 : 1);
        const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
        const startMs = Math.max(submittedMs, freeAtMs[slot] ?? 0);
        freeAtMs[slot] = startMs + events * paceMs;
        worstMs = Math.max(worstMs, startMs - submittedMs);
      }
    }
    return worstMs;
  });
}

await tap.test('should give the last item of each step a slot earlier than equal shares do', t => {
  // Load test: work 1 : 2 : 2 : 2 on 34 endpoints, of which seven are lost.
  const left = <T>(all: readonly T[]): readonly T[] => all.filter((_, i) => i % 5 !== 0);
  const byWork = settle(left(settle(loaded(9, 9, 8, 8), ONE_TO_TWO).endpoints), ONE_TO_TWO).endpoints;
  const equal = settle(left(loaded(9, 9, 8, 8)), undefined).endpoints;
  const waits = (endpoints: readonly SharedEndpoint[]): number => {
    const seeds = [1, 2, 3, 4, 5].map(seed => lastSlotWaits(presentCounts(endpoints), seed));
    t.comment(
      `endpoints ${presentCounts(endpoints).join(' ')}: longest wait for a slot by model (ms) `,
      seeds.map(one => one.join(' ')).join(', '),
    );
    return sumOf(seeds.map(one => Math.max(...one))) / seeds.length;
  };
  const [equalMs, byWorkMs] = [waits(equal), waits(byWork)];
  t.comment(`mean of the longest waits: equal shares ${equalMs} ms, by work ${byWorkMs} ms`);
  t.equal(equal.length, byWork.length);
  t.ok(byWorkMs < 0.8 * equalMs);
  t.end();
});
