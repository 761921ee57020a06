/**
 * Decisions about batches: what is listed, what is resumed, where items go, which endpoints load.
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
  readClaim,
  readResults,
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

function place(id: string, freePlaces: number, paceMs?: number, domain = 'tekapo'): PlacementEndpoint {
  return { id, domain, freePlaces, paceMs };
}

const REQUEST = { groupEndpointId: undefined, isLong: false, ownDomain: 'tekapo', avoid: new Set<string>() };

await tap.test('should join the events of two attempts without a gap or a repetition', t => {
  // Symptom: a text with doubled or missing pieces. Sequence: the stream breaks after event 2, the next attempt
  // goes on after it, and the endpoint sends event 2 once more. Cause: events counted by arrival.
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

await tap.test('should drop a text when an event has a version that is too old', t => {
  // Symptom: a result that names a version below the batch's bound. Sequence: the endpoint was restarted with
  // older weights between two attempts. Cause: freshness checked once, at the start.
  const progress = new ItemProgress({ minVersion: 3, isSingleVersion: false });
  t.equal(progress.add({ number: 1, text: 'a', version: 3 }), 'added');
  t.equal(progress.add({ number: 2, text: 'b', version: 2 }), 'restart');
  t.equal(progress.lastEventNumber(), 0);
  t.same(progress.versions(), []);
  t.end();
});

await tap.test('should begin anew rather than mix versions where one is demanded', t => {
  const progress = new ItemProgress({ minVersion: 1, isSingleVersion: true });
  progress.add({ number: 1, text: 'a', version: 1 });
  t.notOk(progress.mayContinueWith(2));
  t.equal(progress.add({ number: 2, text: 'b', version: 2 }), 'restart');
  t.end();
});

await tap.test('should show a result only once its position is confirmed', t => {
  // Symptom: two readers see different results at one position. Sequence: the owner shows a result, dies before
  // the store has it, and the next owner lists another one there. Cause: results shown before they are stored.
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

await tap.test('should not run again what a former owner has listed', t => {
  const listed: ItemResult[] = [{ id: 'x', state: 'completed', text: 'one', versions: [1] }];
  const ledger = new BatchLedger(batch('b', [item('x'), item('y')]), listed, RULES);
  t.same(
    ledger.waiting().map(waiting => waiting.id),
    ['y'],
  );
  t.end();
});

await tap.test('should keep each event once, and a text anew that began anew', t => {
  // Symptom: a resumed text joins events of two texts. Sequence: an item's text is dropped, because its next event has
  // a version that may not be joined, and grows past what was kept of the first. Cause: kept events counted by number.
  const rules = { maxAttempts: 3, isSingleVersion: true };
  const ledger = new BatchLedger(batch('b', [item('x')]), [], rules);
  const kept = new StoredEvents(ledger);
  const add = (from: number, to: number, version: number): void => {
    for (let number = from; number <= to; number++)
      ledger.event('x', { number, text: `${version}.${number}`, version });
  };
  const keep = (): readonly number[] => {
    const missing = kept.missing();
    kept.keep(missing, kept.texts(missing));
    return missing.flatMap(({ events }) => [events[0]?.number ?? 0, events.at(-1)?.number ?? 0]);
  };
  add(1, 10, 1);
  t.same(keep(), [], 'a short text is not kept');
  add(11, 30, 1);
  t.same(keep(), [1, 30]);
  t.same(keep(), [], 'nothing is written twice');
  add(31, 35, 1);
  t.same(keep(), [31, 35]);
  add(36, 36, 2);
  add(1, 40, 2);
  t.same(keep(), [1, 40], 'the new text from its beginning');
  t.end();
});

await tap.test('should keep long texts in records that the store takes', t => {
  // Symptom: nothing of a batch is kept any more. Sequence: an item's events of one second are larger than a value of the
  // store; the write is refused, and repeated as it was. Cause: records were cut between items only.
  const ledger = new BatchLedger(batch('b', [item('x')]), [], RULES);
  const kept = new StoredEvents(ledger);
  for (let number = 1; number <= 60; number++)
    ledger.event('x', { number, text: 'x'.repeat(10_000), version: 1 });
  const lasts: (number | undefined)[] = [];
  for (;;) {
    const missing = kept.missing();
    if (missing.length === 0) break;
    t.ok(JSON.stringify(missing).length < 330_000);
    kept.keep(missing, kept.texts(missing));
    lasts.push(missing.at(-1)?.events.at(-1)?.number);
  }
  t.equal(lasts.at(-1), 60);
  t.ok(lasts.length > 3);
  t.end();
});

await tap.test('should take the newest text of an item from kept lists, in their order', t => {
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
    'a list that was written twice is joined',
  );
  t.equal(ledger.progress('y').lastEventNumber(), 0, 'a list whose beginning is missing is no text');
  t.equal(ledger.waiting()[0]?.id, 'x', 'what was begun goes first');
  t.end();
});

await tap.test('should take over what the step before generated, where its versions fit', t => {
  // Symptom: a trainer waits for the same long item in each step until its deadline. Sequence: the item does not end in
  // time, its group comes again in the next step, and is generated from its beginning. Cause: each batch begins anew.
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
  const before = carryOver(next, earlier, false);
  t.same(
    before.results.map(result => result.id),
    ['done'],
    'neither what is too old, nor what belongs to another request or to no item',
  );
  t.same(carryOver(next, earlier, true).results, [], 'one version where one is demanded');
  const ledger = new BatchLedger(next, [], RULES);
  ledger.applyCarryOver(before);
  t.same(
    ledger.unconfirmed().map(result => result.id),
    ['done'],
  );
  t.equal(ledger.progress('begun').lastEventNumber(), 1);
  t.same(
    ledger.waiting().map(waiting => waiting.id),
    ['begun', 'old', 'changed', 'new'],
    'groups that come again go first',
  );
  t.end();
});

await tap.test('should give up an item that fails at each run, and not before', t => {
  // Symptom: a step hangs, or an item is given up too soon. Cause: failures counted with refusals and breaks.
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

await tap.test('should list an item once, whatever comes after its end', t => {
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

await tap.test('should keep a group together, unless its endpoint is full or slow', t => {
  const endpoints = [place('a', 2, 40), place('b', 9, 40), place('c', 9, 200)];
  t.equal(placeItem(endpoints, { ...REQUEST, groupEndpointId: 'a' })?.id, 'a');
  t.equal(
    placeItem([place('a', 0, 40), ...endpoints.slice(1)], { ...REQUEST, groupEndpointId: 'a' })?.id,
    'b',
  );
  t.equal(placeItem(endpoints, { ...REQUEST, groupEndpointId: 'c' })?.id, 'b');
  t.end();
});

await tap.test('should wait for a quick endpoint rather than use a slow one', t => {
  // Symptom: a group is held up for seconds by one item. Sequence: every quick endpoint is full for a moment, the
  // slow one is free. Cause: free places counted without pace.
  const endpoints = [place('quick', 0, 40), place('other', 0, 45), place('slow', 12, 160)];
  t.equal(placeItem(endpoints, REQUEST), undefined);
  t.equal(placeItem([place('slow', 12, 160)], REQUEST)?.id, 'slow', 'the only one serves');
  t.end();
});

await tap.test('should move an old run for a smaller gain than a young one', t => {
  // Symptom: a step waits for one item that runs at an endpoint 1.3 times slower than others, which are idle. Sequence:
  // its estimate was short, so that it went anywhere. Cause: only endpoints of half the pace counted as slow.
  t.notOk(shouldMove(500, 200, 40), 'a young run stays');
  t.ok(shouldMove(1000, 90, 40), 'from a clearly slow endpoint');
  t.notOk(shouldMove(1000, 52, 40));
  t.ok(shouldMove(2000, 52, 40), 'an old run');
  t.notOk(shouldMove(2000, 45, 40), 'paces swing');
  t.end();
});

await tap.test('should send long items to the best pace', t => {
  const endpoints = [place('a', 9, 53), place('b', 3, 40)];
  t.equal(placeItem(endpoints, { ...REQUEST, isLong: true })?.id, 'b');
  t.equal(placeItem(endpoints, REQUEST)?.id, 'a');
  t.end();
});

await tap.test('should not send an item back to where it just failed', t => {
  t.equal(placeItem([place('a', 4), place('b', 1)], { ...REQUEST, avoid: new Set(['a']) })?.id, 'b');
  t.equal(placeItem([place('a', 4)], { ...REQUEST, avoid: new Set(['a']) }), undefined);
  t.end();
});

await tap.test('should share endpoints evenly and keep them with their model', t => {
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
  // An endpoint of `a` is gone and a fresh one comes: only the fresh one changes hands.
  const changed = assignEndpoints([endpoint('0', 5, 9), ...settled.slice(1)], targets);
  t.same(changed.get('a'), ['2', '0']);
  t.same(changed.get('b'), ['3', '4']);
  t.end();
});

await tap.test('should load a version on half of the endpoints, the stale ones first', t => {
  // Symptom: a step begins while all its endpoints load. Sequence: each named version is ordered everywhere at
  // once. Cause: no use made of the version that a step accepts besides the newest.
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

await tap.test('should load first for the trainer whose step has no endpoint', t => {
  // Symptom: a step stands still for half of its time while endpoints load. Sequence: two trainers name versions in
  // the same second; those of the first prepare its next step, the second's step has begun and finds none that is
  // new enough. Cause: due loads taken model by model.
  const at = (id: string, version: number): LoadCandidate => ({ id, version, load: 0, acceptsOrders: true });
  const quests = { model: 'quests', namedVersion: 11, candidates: [at('q1', 10), at('q2', 10), at('q3', 9)] };
  const barks = { model: 'barks', namedVersion: 9, candidates: [at('b1', 7), at('b2', 7), at('b3', 7)] };
  const ids = prioritizeLoads([quests, barks], 1).map(({ id, version }) => `${id}:${version}`);
  t.same(ids, ['b1:9', 'b2:9', 'q3:11', 'b3:9', 'q1:11']);
  t.end();
});

await tap.test('should count an endpoint that loads with what it loads, and give it no second order', t => {
  // Symptom: new weights come a second late. Sequence: two endpoints load version 10 when 11 is named; both are
  // chosen again and answer that they are busy, while others are idle. Cause: loads that run were not counted.
  const loading = { id: 'a', version: 10, load: 0, acceptsOrders: false };
  const idle = { id: 'b', version: 9, load: 4, acceptsOrders: true };
  t.same(prioritizeLoads([{ model: 'm', namedVersion: 11, candidates: [loading, idle] }], 1), [
    { id: 'b', model: 'm', version: 11 },
  ]);
  t.end();
});

await tap.test(
  'should let no more endpoints load than the limit, and pass over one that never does',
  async t => {
    // Symptom: no endpoint gets new weights. Sequence: the orderer of one domain dies, its endpoints are due first.
    // Cause: everybody waits for the first in line.
    const clock = new VirtualClock();
    const window = new LoadWindow(clock, 2500);
    const due = ['1', '2', '3', '4'].map(id => ({ id, version: 2 }));
    const next = (list: typeof due): readonly string[] => window.next(list, 2).map(endpoint => endpoint.id);
    t.same(next(due), ['1', '2']);
    await clock.advance(1000);
    t.same(next(due.slice(1)), ['2', '3'], 'the first has loaded');
    await clock.advance(2000);
    t.same(next(due.slice(1)), ['2', '3', '4'], 'the second has not, and is passed over');
  },
);

await tap.test('should not set an endpoint aside for orders that were not given', async t => {
  // Symptom: an endpoint never gets new weights again. Sequence: it loads one version while the next is named, and
  // answers 'busy' each time. Cause: postponed orders counted as failed tries.
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

await tap.test('should cut results into pages that end with what fits', t => {
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

await tap.test('should refuse records that are damaged', t => {
  t.notOk(readClaim('k', '{"owner":').ok);
  t.notOk(readResults('k', '[{"id":1}]').ok);
  t.notOk(joinBatch('k', ['{}']).ok);
  t.end();
});
