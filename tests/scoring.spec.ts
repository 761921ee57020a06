/**
 * Scores of items: when they are requested, what counts as a score, and recovery after failures.
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

/** Creates a ledger whose item x has a complete text with this number of events. */
function withCompleteText(events: number): BatchLedger {
  const ledger = new BatchLedger(BATCH, [], RULES);
  ledger.beginAttempt('x');
  for (let number = 1; number <= events; number++)
    ledger.event('x', { number, text: String(number), version: 1 });
  ledger.completed('x');
  return ledger;
}

async function startHosts(...hostIds: readonly string[]): Promise<[GatewayWorld, ...GatewayHost[]]> {
  const world = new GatewayWorld();
  world.addScorers('s1', 's2', 's3');
  world.client.script = call => ({ events: 30 - call.afterEvent, end: { kind: 'done' }, eventMs: 10 });
  world.client.reply = scoreOf;
  const hosts = hostIds.map(id => world.start(id));
  await world.clock.advance(200);
  return [world, ...hosts];
}

let answerCount = 0;

/** Answers successfully, each time with a different proof. */
function scoreOf(call: EndpointCall): Promise<EndpointReply> {
  answerCount += 1;
  const proof = `${call.target}#${answerCount}`;
  return Promise.resolve({ kind: 'answered', answer: answer(200, 'good', { proof }) });
}

function failure(): Promise<EndpointReply> {
  return Promise.resolve({ kind: 'answered', answer: answer(500, 'failed') });
}

/** Reads a request and never answers. */
function hang(_call: EndpointCall, signal: AbortSignal): Promise<EndpointReply> {
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
  const ledger = withCompleteText(2);
  t.same(ledger.unconfirmed(), [], 'a complete text without a score is no result');
  t.same(ledger.unscored(), [ITEMS[0]]);
  t.notOk(
    ledger.waiting().some(waiting => waiting.id === 'x'),
    'it is not generated again',
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

await tap.test('should terminate only the item whose scoring always fails', t => {
  // Fails if a score is requested until the batch ends, so that the step waits for its deadline.
  const ledger = withCompleteText(2);
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

await tap.test('should record that a text is complete, and score it after a takeover', t => {
  // Fails if the store has all events of a text but no completion mark: the next owner then generates it again.
  const ledger = withCompleteText(30);
  const stored = new StoredEvents(ledger);
  const records = stored.missing();
  t.match(records, [{ itemId: 'x', wholeEvents: 30 }]);
  stored.keep(records, stored.currentTextNumbers(records));
  t.same(stored.missing(), [], 'once');
  const next = new BatchLedger(BATCH, [], RULES);
  next.resume(records);
  t.same(
    next.unscored().map(({ id }) => id),
    ['x'],
  );
  const truncated = new BatchLedger(BATCH, [], RULES);
  truncated.resume(records.map(record => ({ ...record, events: record.events.slice(0, 20) })));
  t.same(truncated.unscored(), [], 'a part of it is not complete');
  const newer = new BatchLedger(batch('b1', ITEMS, { minVersion: 2 }), [], RULES);
  newer.resume(records);
  t.same(newer.unscored(), [], 'nor is one that is too old');
  t.end();
});

await tap.test('should record the completion of a text whose events are already recorded', t => {
  const ledger = new BatchLedger(BATCH, [], RULES);
  const stored = new StoredEvents(ledger);
  ledger.beginAttempt('x');
  for (let number = 1; number <= 25; number++) ledger.event('x', { number, text: 'a', version: 1 });
  const events = stored.missing();
  stored.keep(events, stored.currentTextNumbers(events));
  ledger.completed('x');
  const end = stored.missing();
  t.same(end, [{ itemId: 'x', events: [], wholeEvents: 25 }]);
  const next = new BatchLedger(BATCH, [], RULES);
  next.resume([...events, ...end]);
  t.equal(next.unscored().length, 1);
  t.end();
});

await tap.test('should reuse a score of an earlier step only for the same score request', t => {
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

await tap.test('should accept only a complete success with proof as a score', t => {
  const success = { status: 200, headers: [], body: Buffer.alloc(0), proof: 'p' };
  t.same(toScoreEnd({ kind: 'answered', answer: success, failures: 1 }), { kind: 'scored', score: 'p' });
  t.match(toScoreEnd({ kind: 'answered', answer: { ...success, proof: undefined }, failures: 0 }), {
    kind: 'not-scored',
  });
  t.match(toScoreEnd({ kind: 'answered', answer: { ...success, status: 500 }, failures: 4 }), {
    kind: 'failed',
    failures: 4,
  });
  t.match(toScoreEnd({ kind: 'answered', answer: { ...success, status: 404 }, failures: 0 }), {
    kind: 'not-scored',
  });
  t.match(toScoreEnd({ kind: 'unknown', reason: 'late' }), { kind: 'not-scored', reason: 'late' });
  t.match(toScoreEnd({ kind: 'not-run', reason: 'full', retryAfterMs: 1 }), {
    kind: 'not-scored',
    reason: 'full',
  });
  t.end();
});

await tap.test('should retry immediately, then with increasing delays', t => {
  t.same([1, 2, 3, 4, 5, 6, 7, 50].map(retryDelayMs), [0, 0, 50, 100, 200, 400, 800, 800]);
  t.same(
    [1, 4, 5, 6, 10, 15, 20, 40].filter(count => shouldLogFailures(count)),
    [5, 10, 20, 40],
  );
  t.end();
});

await tap.test('should request a score once, after the last event of its text', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  await submit(world, a);
  await world.clock.advance(250);
  t.equal(world.client.sends.length, 0, 'the texts are not complete yet');
  await world.clock.advance(600);
  const results = await resultsAt(world, a);
  t.equal(results.length, 3);
  t.ok(results.every(({ id, score }) => score?.startsWith(`/score/${id}#`)));
  t.equal(world.client.sends.length, 3);
  const [call] = world.client.sends;
  t.same([call?.method, call?.endpoint.pool], ['POST', 'scorers']);
  world.stop();
});

await tap.test('should score again what a crashed owner had not listed', async t => {
  // The owner crashes before the scores arrive, or before the scored results are listed.
  for (const fault of ['no-scores', 'no-store'] as const) {
    const [world, a, b] = await startHosts('a', 'b');
    if (!a || !b) return;
    if (fault === 'no-scores') world.client.reply = hang;
    await submit(world, a);
    await world.clock.advance(fault === 'no-store' ? 100 : 1800);
    if (fault === 'no-store') {
      a.storeClient.mode = 'refusing';
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
    t.equal(again, fault === 'no-scores' ? 0 : 3, 'complete texts in the store are not generated again');
    world.stop();
  }
});

await tap.test('should list one score if two owners requested it', async t => {
  // Fails if an owner without a valid claim shows or lists results: scores then differ between readers.
  const [world, a, b] = await startHosts('a', 'b');
  if (!a || !b) return;
  await submit(world, a);
  await world.clock.advance(100);
  a.storeClient.mode = 'refusing';
  world.blockedLinks.add('b-a');
  world.expireLease('a');
  await world.clock.advance(600);
  await resultsAt(world, b);
  await world.clock.advance(1000);
  a.storeClient.mode = 'available';
  await world.clock.advance(2000);
  const there = await resultsAt(world, b);
  t.equal(there.length, 3);
  t.same(await resultsAt(world, a), there);
  t.ok(answerCount > 3, 'both requested scores');
  world.stop();
});

await tap.test('should retry while scoring services are unavailable', async t => {
  // Fails if errors that are unrelated to a text count as failures of the text, and terminate its item.
  const faults: Readonly<
    Record<string, (call: EndpointCall, signal: AbortSignal) => Promise<EndpointReply>>
  > = {
    silent: hang,
    broken: () => Promise.resolve({ kind: 'broken', text: 'reset' }),
    full: () => Promise.resolve({ kind: 'not-run', reason: 'refused', load: undefined }),
    cut: () =>
      Promise.resolve({ kind: 'answered', answer: answer(200, '', { body: truncatedBody('half') }) }),
    unproved: () => Promise.resolve({ kind: 'answered', answer: answer(200, 'no', { proof: undefined }) }),
  };
  for (const [fault, reply] of Object.entries(faults)) {
    const [world, a] = await startHosts('a');
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

await tap.test('should score in time while half of the scoring services are unresponsive', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.addScorers('s4');
  await world.clock.advance(100);
  const down = new Set(['s1', 's2']);
  world.client.reply = (call, signal) => (down.has(call.endpoint.id) ? hang(call, signal) : scoreOf(call));
  await submit(world, a);
  await world.clock.advance(1900);
  t.equal((await resultsAt(world, a)).length, 3);
  world.stop();
});

await tap.test('should terminate items immediately whose scoring always fails', async t => {
  const [world, a] = await startHosts('a');
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

await tap.test(
  'should abort score requests at the end of a batch, and hand them over at shutdown',
  async t => {
    for (const how of ['end', 'leave'] as const) {
      const [world, a, b] = await startHosts('a', 'b');
      if (!a || !b) return;
      let dropped = 0;
      world.client.reply = (call, signal) => {
        signal.addEventListener('abort', () => (dropped += 1));
        return hang(call, signal);
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
      t.ok(dropped >= 3, `${how}: requests were aborted`);
      if (how === 'end') t.equal(world.client.sends.length, sent, 'nothing more is requested');
      const results = await resultsAt(world, b);
      t.equal(results.length, how === 'leave' ? 3 : 0);
      t.equal(world.client.items.length, 3, 'nothing is generated again');
      world.stop();
    }
  },
);

await tap.test('should leave slots of each scoring service to callers', async t => {
  // Fails if background score requests occupy all slots of a service, so that callers wait.
  const [world, a] = await startHosts('a');
  if (!a) return;
  world.store.put(
    'endpoints/e1',
    JSON.stringify({ ...JSON.parse(world.store.value('endpoints/e1') ?? ''), slots: 40 }),
  );
  await world.clock.advance(200);
  const inFlight = new Map<string, number>();
  let mostInFlight = 0;
  world.client.reply = async call => {
    const { id } = call.endpoint;
    const now = (inFlight.get(id) ?? 0) + 1;
    inFlight.set(id, now);
    mostInFlight = Math.max(mostInFlight, now);
    await new Promise<void>(resolve => void world.clock.after(43, resolve));
    inFlight.set(id, (inFlight.get(id) ?? 0) - 1);
    return scoreOf(call);
  };
  const items = Array.from({ length: 40 }, (_, i) => scoredItem(`i${i}`));
  await submit(world, a, batch('b1', items));
  await world.clock.advance(2500);
  t.ok(mostInFlight <= 3, `${mostInFlight} of 6 slots at most`);
  t.equal((await resultsAt(world, a)).length, 40);
  world.stop();
});

await tap.test(
  'should retain scores during an outage of the store without requesting them again',
  async t => {
    const [world, a] = await startHosts('a');
    if (!a) return;
    await submit(world, a);
    a.storeClient.mode = 'silent';
    await world.clock.advance(4000);
    t.equal(world.client.sends.length, 3);
    a.storeClient.mode = 'available';
    await world.clock.advance(2500);
    t.equal((await resultsAt(world, a)).length, 3);
    t.equal(world.client.sends.length, 3);
    world.stop();
  },
);

await tap.test('should list an item without a score request after its completion', async t => {
  const [world, a] = await startHosts('a');
  if (!a) return;
  await submit(world, a, batch('b1', [item('x')]));
  await world.clock.advance(800);
  const [result] = await resultsAt(world, a);
  t.equal(result?.state, 'completed');
  t.notOk(result && 'score' in result);
  t.equal(world.client.sends.length, 0);
  world.stop();
});
