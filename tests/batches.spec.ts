/**
 * Logic of batches: listing, resumption, placement of items, and weight loads.
 */
import tap from 'tap';
import {
  carryOver,
  BatchLedger,
  countFitting,
  ItemProgress,
  StoredEvents,
  joinBatch,
  MAX_RECORD_UNITS,
  pageFrom,
  placeItem,
  shouldMove,
  resultPositionOf,
  parseClaim,
  parseResults,
  resultKey,
  assignEndpoints,
  splitBatch,
  type GeneratedEvent,
  type ItemResult,
  type PlacementEndpoint,
} from '@fuchsiahitch/batches';
import {
  endpointsDueForLoad,
  LoadWindow,
  prioritizeLoads,
  SwapPlanner,
  type LoadCandidate,
} from '@fuchsiahitch/orders';
import { VirtualClock } from '@fuchsiahitch/base';
import { batch, item } from './gatewayFixtures.js';

const RULES = { maxAttempts: 3, isSingleVersion: false };

function placementEndpoint(
  id: string,
  freeSlots: number,
  paceMs?: number,
  domain = 'tekapo',
): PlacementEndpoint {
  return { id, domain, freeSlots, paceMs };
}

const REQUEST = { groupEndpointId: undefined, isLong: false, ownDomain: 'tekapo', avoid: new Set<string>() };

await tap.test('should join the events of two attempts without gaps or duplicates', t => {
  // The endpoint that resumes a stream may send the last event again.
  const progress = new ItemProgress({ minVersion: 1, isSingleVersion: false });
  t.equal(progress.add({ number: 1, text: 'a', version: 1 }), 'added');
  t.equal(progress.add({ number: 2, text: 'b', version: 1 }), 'added');
  t.equal(progress.add({ number: 2, text: 'b', version: 1 }), 'repeated');
  t.equal(progress.add({ number: 4, text: 'd', version: 1 }), 'gap');
  t.equal(progress.add({ number: 3, text: 'c', version: 2 }), 'added');
  t.equal(progress.text(), 'a\nb\nc');
  t.same(progress.versions(), [1, 2]);
  t.end();
});

await tap.test('should discard a text when an event has a version that is too old', t => {
  // An endpoint may restart with older weights between attempts, so that every event must be checked.
  const progress = new ItemProgress({ minVersion: 3, isSingleVersion: false });
  t.equal(progress.add({ number: 1, text: 'a', version: 3 }), 'added');
  t.equal(progress.add({ number: 2, text: 'b', version: 2 }), 'restart');
  t.equal(progress.lastEventNumber(), 0);
  t.same(progress.versions(), []);
  t.end();
});

await tap.test('should start over instead of mixing versions if a single version is required', t => {
  const progress = new ItemProgress({ minVersion: 1, isSingleVersion: true });
  progress.add({ number: 1, text: 'a', version: 1 });
  t.notOk(progress.mayContinueWith(2));
  t.equal(progress.add({ number: 2, text: 'b', version: 2 }), 'restart');
  t.end();
});

await tap.test('should show a result only after its position is confirmed', t => {
  // Otherwise the next owner could list another result at a position that readers have already seen.
  const ledger = new BatchLedger(batch('b', [item('x'), item('y')]), [], RULES);
  ledger.beginAttempt('x');
  ledger.event('x', { number: 1, text: 'one', version: 1 });
  ledger.completed('x');
  t.same(ledger.listed(), []);
  t.equal(ledger.unconfirmed().length, 1);
  ledger.confirm(1);
  t.same(ledger.listed(), [{ id: 'x', state: 'completed', text: 'one', versions: [1] }]);
  t.notOk(ledger.isDone());
  t.end();
});

await tap.test('should not run items again that a former owner has listed', t => {
  const listed: ItemResult[] = [{ id: 'x', state: 'completed', text: 'one', versions: [1] }];
  const ledger = new BatchLedger(batch('b', [item('x'), item('y')]), listed, RULES);
  t.same(
    ledger.waiting().map(waiting => waiting.id),
    ['y'],
  );
  t.end();
});

await tap.test('should store each event once, and a restarted text from its start', t => {
  // Stored events must be tracked per text: an item that starts over reuses the event numbers.
  const rules = { maxAttempts: 3, isSingleVersion: true };
  const ledger = new BatchLedger(batch('b', [item('x')]), [], rules);
  const stored = new StoredEvents(ledger);
  const add = (from: number, to: number, version: number): void => {
    for (let number = from; number <= to; number++)
      ledger.event('x', { number, text: `${version}.${number}`, version });
  };
  const storeMissing = (): readonly number[] => {
    const missing = stored.missing();
    stored.keep(missing, stored.currentTextNumbers(missing));
    return missing.flatMap(({ events }) => [events[0]?.number ?? 0, events.at(-1)?.number ?? 0]);
  };
  add(1, 10, 1);
  t.same(storeMissing(), [], 'a short text is not stored');
  add(11, 30, 1);
  t.same(storeMissing(), [1, 30]);
  t.same(storeMissing(), [], 'nothing is written twice');
  add(31, 35, 1);
  t.same(storeMissing(), [31, 35]);
  add(36, 36, 2);
  add(1, 40, 2);
  t.same(storeMissing(), [1, 40], 'the new text from its start');
  t.end();
});

await tap.test('should split long texts into records that the store accepts', t => {
  // The unstored events of a single item may exceed the maximum size of a record.
  const ledger = new BatchLedger(batch('b', [item('x')]), [], RULES);
  const stored = new StoredEvents(ledger);
  for (let number = 1; number <= 60; number++)
    ledger.event('x', { number, text: 'x'.repeat(10_000), version: 1 });
  const lastStored: (number | undefined)[] = [];
  for (;;) {
    const missing = stored.missing();
    if (missing.length === 0) break;
    t.ok(JSON.stringify(missing).length < 330_000);
    stored.keep(missing, stored.currentTextNumbers(missing));
    lastStored.push(missing.at(-1)?.events.at(-1)?.number);
  }
  t.equal(lastStored.at(-1), 60);
  t.ok(lastStored.length > 3);
  t.end();
});

await tap.test('should resume the newest text of an item from stored lists in their order', t => {
  const ledger = new BatchLedger(batch('b', [item('x'), item('y')]), [], RULES);
  const events = (from: number, to: number, version: number): GeneratedEvent[] =>
    Array.from({ length: to - from + 1 }, (_, i) => ({
      number: from + i,
      text: `${version}.${from + i}`,
      version,
    }));
  ledger.resume([
    { itemId: 'x', events: events(1, 3, 1) },
    { itemId: 'x', events: events(4, 5, 1) },
    { itemId: 'x', events: events(1, 2, 2) },
    { itemId: 'x', events: events(3, 4, 2) },
    { itemId: 'x', events: events(3, 6, 2) },
    { itemId: 'y', events: events(2, 3, 1) },
  ]);
  t.equal(
    ledger.progress('x').text(),
    '2.1\n2.2\n2.3\n2.4\n2.5\n2.6',
    'a list that was written twice is merged',
  );
  t.equal(ledger.progress('y').lastEventNumber(), 0, 'a list without its start is ignored');
  t.equal(ledger.waiting()[0]?.id, 'x', 'started items come first');
  t.end();
});

await tap.test('should carry over texts of the previous step with suitable versions', t => {
  // A long item that starts over in every step would never end in time.
  const same = [item('done'), item('old'), item('begun')];
  const text = (id: string, versions: readonly number[]): ItemResult => ({
    id,
    state: 'completed',
    text: id,
    versions,
  });
  const earlier = {
    batch: batch('b1', [...same, item('changed'), item('other')]),
    results: [text('done', [3, 4]), text('old', [2]), text('changed', [4]), text('other', [4])],
    progress: [{ itemId: 'begun', events: [{ number: 1, text: 'a', version: 3 }] }],
  };
  const changed = item('changed', { bodyBase64: 'AAAA' });
  const next = batch('b2', [item('new', { group: 'g9' }), ...same, changed], { minVersion: 3 });
  const carried = carryOver(next, earlier, false);
  t.same(
    carried.results.map(result => result.id),
    ['done'],
    'no text that is too old, of another request or of no item',
  );
  t.same(carryOver(next, earlier, true).results, [], 'a single version if required');
  const ledger = new BatchLedger(next, [], RULES);
  ledger.applyCarryOver(carried);
  t.same(
    ledger.unconfirmed().map(result => result.id),
    ['done'],
  );
  t.equal(ledger.progress('begun').lastEventNumber(), 1);
  t.same(
    ledger.waiting().map(waiting => waiting.id),
    ['begun', 'old', 'changed', 'new'],
    'repeated groups come first',
  );
  t.end();
});

await tap.test('should terminate an item after the maximum number of failures', t => {
  // Interruptions must not count as failures.
  const ledger = new BatchLedger(batch('b', [item('x')]), [], RULES);
  for (const end of ['interrupted', 'failed', 'interrupted', 'failed'] as const) {
    ledger.beginAttempt('x');
    ledger[end]('x');
    t.equal(ledger.waiting().length, 1, end);
  }
  ledger.beginAttempt('x');
  ledger.failed('x');
  t.equal(ledger.unconfirmed()[0]?.state, 'terminated');
  t.end();
});

await tap.test('should list an item once, regardless of later events', t => {
  const ledger = new BatchLedger(batch('b', [item('x')]), [], RULES);
  ledger.beginAttempt('x');
  ledger.completed('x');
  ledger.impossible('x');
  ledger.terminateUnfinished();
  t.equal(ledger.unconfirmed().length, 1);
  t.end();
});

await tap.test('should run interrupted items first, then the longest', t => {
  const items = [
    item('short', { expectedTokens: 10 }),
    item('long', { expectedTokens: 900 }),
    item('broken', { expectedTokens: 20 }),
  ];
  const ledger = new BatchLedger(batch('b', items), [], RULES);
  ledger.beginAttempt('broken');
  ledger.interrupted('broken');
  t.same(
    ledger.waiting().map(waiting => waiting.id),
    ['broken', 'long', 'short'],
  );
  t.end();
});

await tap.test('should place a group together unless its endpoint is full or slow', t => {
  const endpoints = [
    placementEndpoint('a', 2, 40),
    placementEndpoint('b', 9, 40),
    placementEndpoint('c', 9, 200),
  ];
  t.equal(placeItem(endpoints, { ...REQUEST, groupEndpointId: 'a' })?.id, 'a');
  t.equal(
    placeItem([placementEndpoint('a', 0, 40), ...endpoints.slice(1)], { ...REQUEST, groupEndpointId: 'a' })
      ?.id,
    'b',
  );
  t.equal(placeItem(endpoints, { ...REQUEST, groupEndpointId: 'c' })?.id, 'b');
  t.end();
});

await tap.test('should wait for a fast endpoint instead of using a slow one', t => {
  // One item at a slow endpoint delays its complete group.
  const endpoints = [
    placementEndpoint('quick', 0, 40),
    placementEndpoint('other', 0, 45),
    placementEndpoint('slow', 12, 160),
  ];
  t.equal(placeItem(endpoints, REQUEST), undefined);
  t.equal(
    placeItem([placementEndpoint('slow', 12, 160)], REQUEST)?.id,
    'slow',
    'a slow endpoint is used if it is the only one',
  );
  t.end();
});

await tap.test('should move an item that has run for long for a smaller gain', t => {
  // A long item with a short estimate may run at a moderately slow endpoint and delay its step.
  t.notOk(shouldMove(500, 200, 40), 'stays before the minimum time');
  t.ok(shouldMove(1000, 90, 40), 'from a clearly slow endpoint');
  t.notOk(shouldMove(1000, 52, 40));
  t.ok(shouldMove(2000, 52, 40), 'after a long run');
  t.notOk(shouldMove(2000, 45, 40), 'within the variation of paces');
  t.end();
});

await tap.test('should place long items at the fastest endpoint', t => {
  const endpoints = [placementEndpoint('a', 9, 53), placementEndpoint('b', 3, 40)];
  t.equal(placeItem(endpoints, { ...REQUEST, isLong: true })?.id, 'b');
  t.equal(placeItem(endpoints, REQUEST)?.id, 'a');
  t.end();
});

await tap.test('should not place an item at an endpoint where it just failed', t => {
  t.equal(
    placeItem([placementEndpoint('a', 4), placementEndpoint('b', 1)], { ...REQUEST, avoid: new Set(['a']) })
      ?.id,
    'b',
  );
  t.equal(placeItem([placementEndpoint('a', 4)], { ...REQUEST, avoid: new Set(['a']) }), undefined);
  t.end();
});

await tap.test('should assign endpoints evenly and keep their models', t => {
  const endpoint = (id: string, a: number, b: number): Parameters<typeof assignEndpoints>[0][number] => ({
    id,
    versions: new Map([
      ['a', a],
      ['b', b],
    ]),
  });
  const targets = new Map([
    ['a', 5],
    ['b', 9],
  ]);
  const settled = [endpoint('1', 5, 2), endpoint('2', 4, 2), endpoint('3', 1, 9), endpoint('4', 1, 8)];
  const shares = assignEndpoints(settled, targets);
  t.same(shares.get('a'), ['1', '2']);
  t.same(shares.get('b'), ['3', '4']);
  // An endpoint of `a` is replaced: only the new one is assigned.
  const changed = assignEndpoints([endpoint('0', 5, 9), ...settled.slice(1)], targets);
  t.same(changed.get('a'), ['2', '0']);
  t.same(changed.get('b'), ['3', '4']);
  t.end();
});

await tap.test('should load a version on half of the endpoints, the stale ones first', t => {
  // Otherwise a step would start while all its endpoints load.
  const at = (id: string, version: number, load = 0): Parameters<typeof endpointsDueForLoad>[0][number] => ({
    id,
    version,
    load,
    acceptsOrders: true,
  });
  t.same(endpointsDueForLoad([at('1', 1, 5), at('2', 1, 0), at('3', 1, 2), at('4', 1, 1)], 2, 1), ['2', '4']);
  t.same(endpointsDueForLoad([at('1', 1), at('2', 2), at('3', 1), at('4', 2)], 3, 1), ['1', '3']);
  t.same(endpointsDueForLoad([at('1', 2), at('2', 3), at('3', 2), at('4', 3)], 3, 1), []);
  t.same(endpointsDueForLoad([at('1', 1)], 2, 1), ['1'], 'a single endpoint loads each version');
  t.same(endpointsDueForLoad([at('1', 0), at('2', 0), at('3', 0)], 5, 1), ['1', '2', '3'], 'all are too old');
  t.end();
});

await tap.test('should load first for the trainer whose step has no usable endpoint', t => {
  // Loads that prepare the next step of one trainer must not delay a running step of another.
  const at = (id: string, version: number): LoadCandidate => ({ id, version, load: 0, acceptsOrders: true });
  const quests = { model: 'quests', namedVersion: 11, candidates: [at('q1', 10), at('q2', 10), at('q3', 9)] };
  const barks = { model: 'barks', namedVersion: 9, candidates: [at('b1', 7), at('b2', 7), at('b3', 7)] };
  const ids = prioritizeLoads([quests, barks], 1).map(({ id, version }) => `${id}:${version}`);
  t.same(ids, ['b1:9', 'b2:9', 'q3:11', 'b3:9', 'q1:11']);
  t.end();
});

await tap.test('should count a loading endpoint with its new version and not order it again', t => {
  // An endpoint that is loading would refuse the order as busy while others are idle.
  const loading = { id: 'a', version: 10, load: 0, acceptsOrders: false };
  const idle = { id: 'b', version: 9, load: 4, acceptsOrders: true };
  t.same(prioritizeLoads([{ model: 'm', namedVersion: 11, candidates: [loading, idle] }], 1), [
    { id: 'b', model: 'm', version: 11 },
  ]);
  t.end();
});

await tap.test('should limit concurrent loads and skip an endpoint that does not load', async t => {
  // Endpoints of a domain without an orderer must not block the others.
  const clock = new VirtualClock();
  const window = new LoadWindow(clock, 2500);
  const due = ['1', '2', '3', '4'].map(id => ({ id, version: 2 }));
  const next = (list: typeof due): readonly string[] => window.next(list, 2).map(endpoint => endpoint.id);
  t.same(next(due), ['1', '2']);
  await clock.advance(1000);
  t.same(next(due.slice(1)), ['2', '3'], 'the first has loaded');
  await clock.advance(2000);
  t.same(next(due.slice(1)), ['2', '3', '4'], 'the second has not and is skipped');
});

await tap.test('should not exclude an endpoint for orders that were not given', async t => {
  // Postponed orders must not count as failed tries.
  const clock = new VirtualClock();
  const planner = new SwapPlanner(clock, {
    maxSwappingShare: 1,
    loadsPerSecond: 1000,
    swapTimeoutMs: 4000,
    maxTries: 3,
  });
  planner.setTarget({ pool: 'p', version: 2, sequence: 2, share: 1 });
  for (let i = 0; i < 10; i++) {
    t.equal(planner.next([{ id: 'e', isUsable: true }], 1).length, 1, `turn ${i}`);
    planner.postponed('e');
    await clock.advance(100);
  }
  t.same(planner.excludedEndpoints(), []);
});

await tap.test('should split results into pages of limited size', t => {
  const results = Array.from({ length: 30 }, (_, i): ItemResult => ({
    id: `${i}`,
    state: 'completed',
    text: 'x'.repeat(50_000),
    versions: [1],
  }));
  const first = pageFrom(results, 40, 0);
  t.ok(first.results.length > 0 && first.results.length < 30);
  t.equal(first.next, first.results.length);
  t.equal(first.total, 40);
  const huge: ItemResult = { id: 'h', state: 'completed', text: 'x'.repeat(900_000), versions: [1] };
  t.equal(pageFrom([huge], 1, 0).results.length, 1, 'at least one');
  t.same(pageFrom(results, 40, 99), { total: 40, results: [], next: 99 });
  t.equal(countFitting([huge, huge]), 1);
  t.end();
});

await tap.test('should read back a batch that was written in parts', t => {
  const large = batch(
    'b',
    Array.from({ length: 20 }, (_, i) => item(`i${i}`, { bodyBase64: 'é'.repeat(40_000) })),
  );
  const parts = splitBatch(large);
  t.ok(parts.length > 1);
  t.ok(parts.every(part => part.length <= MAX_RECORD_UNITS));
  const joined = joinBatch('k', parts);
  t.ok(joined.ok && joined.value.items.length === 20);
  t.equal(resultPositionOf(resultKey('b', 42)), 42);
  t.end();
});

await tap.test('should reject damaged records', t => {
  t.notOk(parseClaim('k', '{"owner":').ok);
  t.notOk(parseResults('k', '[{"id":1}]').ok);
  t.notOk(joinBatch('k', ['{}']).ok);
  t.end();
});
