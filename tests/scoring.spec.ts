/**
 * Scores of items: when they are asked for, what counts as one, and what is left of them when something dies.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import {
  BatchLedger,
  carryOver,
  shouldLogFailures,
  StoredEvents,
  retryDelayMs,
  type ItemResult,
} from '@fuchsiahitch/batches';
import { toScoreEnd, type EndpointCall, type EndpointReply } from '@fuchsiahitch/gateway';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { answer, batch, truncatedBody, item, scoredItem } from './gatewayFixtures.js';

const RULES = { maxAttempts: 3, isSingleVersion: false };
const ITEMS = [scoredItem('x'), scoredItem('y'), scoredItem('z', { group: 'g2' })];
const BATCH = batch('b1', ITEMS);

/** A ledger whose item x has a whole text of so many events. */
function withWholeText(events: number): BatchLedger {
  const ledger = new BatchLedger(BATCH, [], RULES);
  ledger.beginAttempt('x');
  for (let number = 1; number <= events; number++)
    ledger.event('x', { number, text: String(number), version: 1 });
  ledger.completed('x');
  return ledger;
}

async function started(...hostIds: readonly string[]): Promise<[GatewayWorld, ...GatewayHost[]]> {
  const world = new GatewayWorld();
  world.addScorers('s1', 's2', 's3');
  world.client.script = call => ({ events: 30 - call.afterEvent, end: { kind: 'done' }, eventMs: 10 });
  world.client.reply = scoreOf;
  const hosts = hostIds.map(id => world.start(id));
  await world.clock.advance(200);
  return [world, ...hosts];
}

let answers = 0;

/** A good answer; each has a proof of its own. */
function scoreOf(call: EndpointCall): Promise<EndpointReply> {
  answers += 1;
  const proof = `${call.target}#${answers}`;
  return Promise.resolve({ kind: 'answered', answer: answer(200, 'good', { proof }) });
}

function failure(): Promise<EndpointReply> {
  return Promise.resolve({ kind: 'answered', answer: answer(500, 'failed') });
}

/** An endpoint that reads a request and never answers. */
function silence(_call: EndpointCall, signal: AbortSignal): Promise<EndpointReply> {
  return new Promise(resolve => {
    signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
  });
}

async function submit(world: GatewayWorld, host: GatewayHost, given = BATCH): Promise<void> {
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
}

async function resultsAt(world: GatewayWorld, host: GatewayHost, id = 'b1'): Promise<readonly ItemResult[]> {
  const page = await world.until(host.batches.read(id, 0, 200));
  return page.kind === 'page' ? page.page.results : [];
}

await tap.test('should list a text only with its score', t => {
  const ledger = withWholeText(2);
  t.same(ledger.unconfirmed(), [], 'a whole text alone is no result');
  t.same(ledger.unscored(), [ITEMS[0]]);
  t.notOk(
    ledger.waiting().some(waiting => waiting.id === 'x'),
    'nor is it generated again',
  );
  ledger.beginScoring('x');
  t.same(ledger.unscored(), [], 'one request at a time');
  ledger.scored('x', 'proof-1');
  ledger.scored('x', 'proof-2');
  t.same(ledger.unconfirmed(), [
    { id: 'x', state: 'completed', text: '1\n2', versions: [1], score: 'proof-1' },
  ]);
  t.end();
});

await tap.test('should end an item that is never scored, and no other', t => {
  // Symptom: a step waits for its deadline with one item missing. Sequence: each request for an item's score is answered
  // with a failure. Cause: it is asked for as long as the batch is open.
  const ledger = withWholeText(2);
  ledger.beginScoring('x');
  ledger.scoringFailed('x', 3, 4);
  t.same(ledger.unconfirmed(), [], 'three of four failures');
  ledger.beginScoring('x');
  ledger.scoringInterrupted('x');
  ledger.beginScoring('x');
  ledger.scoringFailed('x', 1, 4);
  t.match(ledger.unconfirmed(), [{ id: 'x', state: 'terminated', text: '1\n2' }]);
  t.notOk('score' in (ledger.unconfirmed()[0] ?? {}));
  t.end();
});

await tap.test('should keep with a text that it is whole, and score it after a takeover', t => {
  // Symptom: an item is generated for seconds once more. Sequence: its owner dies between the last event and the score.
  // Cause: the store has the events, and not that there are no more.
  const ledger = withWholeText(30);
  const kept = new StoredEvents(ledger);
  const records = kept.missing();
  t.match(records, [{ itemId: 'x', wholeEvents: 30 }]);
  kept.keep(records, kept.texts(records));
  t.same(kept.missing(), [], 'once');
  const next = new BatchLedger(BATCH, [], RULES);
  next.resume(records);
  t.same(
    next.unscored().map(({ id }) => id),
    ['x'],
  );
  const cut = new BatchLedger(BATCH, [], RULES);
  cut.resume(records.map(record => ({ ...record, events: record.events.slice(0, 20) })));
  t.same(cut.unscored(), [], 'a part of it is not whole');
  const newer = new BatchLedger(batch('b1', ITEMS, { minVersion: 2 }), [], RULES);
  newer.resume(records);
  t.same(newer.unscored(), [], 'nor is one that is too old');
  t.end();
});

await tap.test('should keep that a text is whole where its events are kept already', t => {
  const ledger = new BatchLedger(BATCH, [], RULES);
  const kept = new StoredEvents(ledger);
  ledger.beginAttempt('x');
  for (let number = 1; number <= 25; number++) ledger.event('x', { number, text: 'a', version: 1 });
  const events = kept.missing();
  kept.keep(events, kept.texts(events));
  ledger.completed('x');
  const end = kept.missing();
  t.same(end, [{ itemId: 'x', events: [], wholeEvents: 25 }]);
  const next = new BatchLedger(BATCH, [], RULES);
  next.resume([...events, ...end]);
  t.equal(next.unscored().length, 1);
  t.end();
});

await tap.test('should use a score of an earlier step only where the same request asked for it', t => {
  const [x = scoredItem('x')] = ITEMS;
  const results: ItemResult[] = [{ id: 'x', state: 'completed', text: 'one', versions: [1], score: 'proof' }];
  const earlier = { batch: BATCH, results, progress: [] };
  const same = new BatchLedger(batch('b2', [x]), [], RULES);
  same.applyCarryOver(carryOver(same.batch, earlier, false));
  t.same(same.unconfirmed(), results);
  const other = { ...x, scoring: { id: 'other', host: 'quests', path: '/score/x', bodyBase64: '' } };
  const again = new BatchLedger(batch('b2', [other]), [], RULES);
  again.applyCarryOver(carryOver(again.batch, earlier, false));
  t.same(again.unconfirmed(), []);
  again.beginScoring('x');
  again.scored('x', 'new');
  t.match(again.unconfirmed(), [{ id: 'x', state: 'completed', text: 'one', score: 'new' }]);
  t.end();
});

await tap.test('should take only a whole success with its proof for a score', t => {
  const whole = { status: 200, headers: [], body: Buffer.alloc(0), proof: 'p' };
  t.same(toScoreEnd({ kind: 'answered', answer: whole, failures: 1 }), { kind: 'scored', score: 'p' });
  t.match(toScoreEnd({ kind: 'answered', answer: { ...whole, proof: undefined }, failures: 0 }), {
    kind: 'not-scored',
  });
  t.match(toScoreEnd({ kind: 'answered', answer: { ...whole, status: 500 }, failures: 4 }), {
    kind: 'failed',
    failures: 4,
  });
  t.match(toScoreEnd({ kind: 'answered', answer: { ...whole, status: 404 }, failures: 0 }), {
    kind: 'not-scored',
  });
  t.match(toScoreEnd({ kind: 'unknown', reason: 'late' }), { kind: 'not-scored', reason: 'late' });
  t.match(toScoreEnd({ kind: 'not-run', reason: 'full', retryAfterMs: 1 }), {
    kind: 'not-scored',
    reason: 'full',
  });
  t.end();
});

await tap.test('should ask again at once, then ever more slowly', t => {
  t.same([1, 2, 3, 4, 5, 6, 7, 50].map(retryDelayMs), [0, 0, 50, 100, 200, 400, 800, 800]);
  t.same(
    [1, 4, 5, 6, 10, 15, 20, 40].filter(count => shouldLogFailures(count)),
    [5, 10, 20, 40],
  );
  t.end();
});

await tap.test('should ask for a score after the last event of its text, once', async t => {
  const [world, a] = await started('a');
  if (!a) return;
  await submit(world, a);
  await world.clock.advance(250);
  t.equal(world.client.sends.length, 0, 'the texts are not whole yet');
  await world.clock.advance(600);
  const results = await resultsAt(world, a);
  t.equal(results.length, 3);
  t.ok(results.every(({ id, score }) => score?.startsWith(`/score/${id}#`)));
  t.equal(world.client.sends.length, 3);
  const [call] = world.client.sends;
  t.same([call?.method, call?.endpoint.pool], ['POST', 'scorers']);
  world.stop();
});

await tap.test('should score anew what the owner had not listed when it died', async t => {
  // Symptom: texts are generated for a second time, or a score is lost. Sequence: scoring services are away, the owner
  // dies between whole texts and scores; or the store is away, it dies between scores and listing. Cause: what stood in
  // the owner's memory only.
  for (const fault of ['no-scores', 'no-store'] as const) {
    const [world, a, b] = await started('a', 'b');
    if (!a || !b) return;
    if (fault === 'no-scores') world.client.reply = silence;
    await submit(world, a);
    await world.clock.advance(fault === 'no-store' ? 100 : 1800);
    if (fault === 'no-store') {
      a.storeClient.mode = 'away';
      await world.clock.advance(1000);
    }
    a.kill();
    world.expireLease('a');
    world.client.reply = scoreOf;
    const generated = world.client.items.length;
    await resultsAt(world, b);
    await world.clock.advance(1500);
    const results = await resultsAt(world, b);
    t.equal(results.length, 3, fault);
    t.ok(results.every(({ score }) => score !== undefined));
    const again = world.client.items.slice(generated).length;
    t.equal(again, fault === 'no-scores' ? 0 : 3, 'whole texts in the store are not generated again');
    world.stop();
  }
});

await tap.test('should list one score where two owners asked for it', async t => {
  // Symptom: a result's score differs between readers. Sequence: the owner is cut off from the store and goes on; another
  // host takes its batch over; both score the same texts. Cause: results shown, or listed, without the claim.
  const [world, a, b] = await started('a', 'b');
  if (!a || !b) return;
  await submit(world, a);
  await world.clock.advance(100);
  a.storeClient.mode = 'away';
  world.blockedLinks.add('b-a');
  world.expireLease('a');
  await world.clock.advance(600);
  await resultsAt(world, b);
  await world.clock.advance(1000);
  a.storeClient.mode = 'well';
  await world.clock.advance(2000);
  const there = await resultsAt(world, b);
  t.equal(there.length, 3);
  t.same(await resultsAt(world, a), there);
  t.ok(answers > 3, 'both asked');
  world.stop();
});

await tap.test('should go on asking while scoring services are away', async t => {
  // Symptom: items end without a score. Sequence: every scoring service breaks connections, is silent, is full, or
  // answers what is no score, for 4 s. Cause: what says nothing about the text taken for its failure.
  const faults: Readonly<
    Record<string, (call: EndpointCall, signal: AbortSignal) => Promise<EndpointReply>>
  > = {
    silent: silence,
    broken: () => Promise.resolve({ kind: 'broken', text: 'reset' }),
    full: () => Promise.resolve({ kind: 'not-run', reason: 'refused', load: undefined }),
    cut: () =>
      Promise.resolve({ kind: 'answered', answer: answer(200, '', { body: truncatedBody('half') }) }),
    unproved: () => Promise.resolve({ kind: 'answered', answer: answer(200, 'no', { proof: undefined }) }),
  };
  for (const [fault, reply] of Object.entries(faults)) {
    const [world, a] = await started('a');
    if (!a) return;
    world.client.reply = reply;
    await submit(world, a);
    await world.clock.advance(4400);
    t.same(await resultsAt(world, a), [], fault);
    const sends = world.client.sends.length;
    t.ok(sends <= 150, `${fault}: ${sends} requests in 4 s for 3 scores`);
    world.client.reply = scoreOf;
    await world.clock.advance(3500);
    const results = await resultsAt(world, a);
    t.ok(results.length === 3 && results.every(({ score }) => score !== undefined), fault);
    world.stop();
  }
});

await tap.test('should score in time while half of the scoring services are dark', async t => {
  const [world, a] = await started('a');
  if (!a) return;
  world.addScorers('s4');
  await world.clock.advance(100);
  const dark = new Set(['s1', 's2']);
  world.client.reply = (call, signal) => (dark.has(call.endpoint.id) ? silence(call, signal) : scoreOf(call));
  await submit(world, a);
  await world.clock.advance(1900);
  t.equal((await resultsAt(world, a)).length, 3);
  world.stop();
});

await tap.test('should end the items that scoring services always fail, at once', async t => {
  const [world, a] = await started('a');
  if (!a) return;
  world.addScorers('s4');
  await world.clock.advance(100);
  world.client.reply = call => (call.target === '/score/x' ? failure() : scoreOf(call));
  await submit(world, a);
  await world.clock.advance(1200);
  const results = await resultsAt(world, a);
  t.same(results.map(({ id, state }) => `${id} ${state}`).sort(), [
    'x terminated',
    'y completed',
    'z completed',
  ]);
  const failures = world.client.sends.filter(call => call.target === '/score/x').length;
  t.ok(failures >= 4, `${failures} failures: as many as the route allows`);
  world.stop();
});

await tap.test('should drop what it asks for when its batch ends, and pass it on when it leaves', async t => {
  for (const how of ['end', 'leave'] as const) {
    const [world, a, b] = await started('a', 'b');
    if (!a || !b) return;
    let dropped = 0;
    world.client.reply = (call, signal) => {
      signal.addEventListener('abort', () => (dropped += 1));
      return silence(call, signal);
    };
    await submit(world, a);
    await world.clock.advance(700);
    const sent = world.client.sends.length;
    t.ok(sent >= 3);
    if (how === 'leave') {
      world.client.reply = scoreOf;
      await world.until(a.batches.handOver());
    } else {
      await world.until(a.batches.end('b1'));
    }
    await world.clock.advance(1000);
    t.ok(dropped >= 3, `${how}: endpoints were told`);
    if (how === 'end') t.equal(world.client.sends.length, sent, 'nothing is asked for any more');
    const results = await resultsAt(world, b);
    t.equal(results.length, how === 'leave' ? 3 : 0);
    t.equal(world.client.items.length, 3, 'nothing is generated again');
    world.stop();
  }
});

await tap.test('should leave places of each scoring service to callers', async t => {
  // Symptom: callers wait while a batch ends. Sequence: 40 items end at the same moment, and all are scored at services
  // of six places. Cause: work that may wait takes every place.
  const [world, a] = await started('a');
  if (!a) return;
  world.store.put(
    'endpoints/e1',
    JSON.stringify({ ...JSON.parse(world.store.value('endpoints/e1') ?? ''), slots: 40 }),
  );
  await world.clock.advance(200);
  const inFlight = new Map<string, number>();
  let most = 0;
  world.client.reply = async call => {
    const { id } = call.endpoint;
    const now = (inFlight.get(id) ?? 0) + 1;
    inFlight.set(id, now);
    most = Math.max(most, now);
    await new Promise<void>(resolve => void world.clock.after(43, resolve));
    inFlight.set(id, (inFlight.get(id) ?? 0) - 1);
    return scoreOf(call);
  };
  const items = Array.from({ length: 40 }, (_, i) => scoredItem(`i${i}`));
  await submit(world, a, batch('b1', items));
  await world.clock.advance(2500);
  t.ok(most <= 3, `${most} of 6 places at the most`);
  t.equal((await resultsAt(world, a)).length, 40);
  world.stop();
});

await tap.test('should wait for the store with scores, and ask for none again', async t => {
  const [world, a] = await started('a');
  if (!a) return;
  await submit(world, a);
  a.storeClient.mode = 'silent';
  await world.clock.advance(4000);
  t.equal(world.client.sends.length, 3);
  a.storeClient.mode = 'well';
  await world.clock.advance(2500);
  t.equal((await resultsAt(world, a)).length, 3);
  t.equal(world.client.sends.length, 3);
  world.stop();
});

await tap.test('should list an item that asks for no score as it is', async t => {
  const [world, a] = await started('a');
  if (!a) return;
  await submit(world, a, batch('b1', [item('x')]));
  await world.clock.advance(800);
  const [result] = await resultsAt(world, a);
  t.equal(result?.state, 'completed');
  t.notOk(result && 'score' in result);
  t.equal(world.client.sends.length, 0);
  world.stop();
});
