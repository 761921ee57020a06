/**
 * Requests: exactly one correct outcome each, endpoint selection, retries, and priority of customers over rollouts.
 */
import fc from 'fast-check';
import tap from 'tap';
import { Deadline, SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import type { CallerAnswer, CallerRequest, CallerWork } from '@fuchsiahitch/entry';
import {
  ConcurrencyLimit,
  EndpointPicker,
  EndpointStats,
  RequestQueue,
  RequestRun,
  RetryBudget,
  subsetFor,
  type EndpointView,
  type PickRequest,
} from '@fuchsiahitch/requests';
import { fuzzRuns } from './fuzzRuns.js';
import { SimFleet, type SimHost } from '@fuchsiahitch/testkit';
import { completionLength } from '@fuchsiahitch/testkit';
import { SimTrainer } from '@fuchsiahitch/testkit';

tap.setTimeout(0);

await tap.test('should never send a request that was abandoned while it waited', t => {
  // Guards against a dispatcher that sends a request whose wait timed out and that was reported as not run.
  const run = new RequestRun(1000);
  t.match(run.abandon('deadline'), { kind: 'not-run', reason: 'too-late' });
  t.equal(run.send(), undefined);
  t.end();
});

await tap.test('should not report `not-run` once an attempt may have run', t => {
  const run = new RequestRun(1000);
  const first = run.send() ?? 0;
  t.ok(run.brokenRetryable(first));
  t.match(run.refuse('no-endpoint'), { kind: 'unknown' });
  t.end();
});

await tap.test('should drop answers of an earlier attempt', t => {
  // Guards against using an answer of a broken attempt, whose head can arrive after the next attempt was sent.
  const run = new RequestRun(1000);
  const first = run.send() ?? 0;
  run.brokenRetryable(first);
  const second = run.send() ?? 0;
  t.notOk(run.answerStarted(first));
  t.notOk(run.answered(first, 200, false));
  t.ok(run.answerStarted(second));
  t.ok(run.answered(second, 200, false));
  t.notOk(run.answered(second, 200, false), 'a second end is dropped');
  t.equal(run.droppedEvents(), 3);
  t.match(run.outcome(), { kind: 'completed', status: 200 });
  t.end();
});

await tap.test('should end in one correct outcome under any order of events', t => {
  const event = fc.constantFrom(
    'send',
    'provenNotRun',
    'brokenRetryable',
    'broken',
    'answerStarted',
    'answered',
    'abandon',
    'refuse',
  );
  fc.assert(
    fc.property(fc.array(fc.tuple(event, fc.integer({ min: 0, max: 1 })), { maxLength: 40 }), events => {
      const run = new RequestRun(1);
      let attempt = 0;
      let mayHaveRun = false;
      let outcome = run.outcome();
      for (const [name, lateBy] of events) {
        const attemptNumber = attempt - lateBy;
        const isInFlight = run.phase() === 'sent' || run.phase() === 'answering';
        if (name === 'send') attempt = run.send() ?? attempt;
        else if (name === 'abandon') run.abandon('deadline');
        else if (name === 'refuse') {
          if (run.phase() === 'waiting') run.refuse('no-endpoint');
        } else if (name === 'answered') run.answered(attemptNumber, 200, false);
        else run[name](attemptNumber);
        if (isInFlight && lateBy === 0 && name !== 'provenNotRun' && name !== 'send') mayHaveRun = true;
        if (outcome && run.outcome() !== outcome) return false;
        outcome = run.outcome();
      }
      return outcome?.kind !== 'not-run' || !mayHaveRun;
    }),
    fuzzRuns(500),
  );
  t.end();
});

/** Statistics of an endpoint whose breaker is open. */
function withOpenBreaker(clock: VirtualClock, maxOpenMs: number): EndpointStats {
  const stats = new EndpointStats(clock, 1000, maxOpenMs);
  for (let i = 0; i < 5; i++) {
    stats.began(false);
    stats.ended(false, true);
  }
  return stats;
}

await tap.test('should use an endpoint again after its probe was cancelled', async t => {
  // Guards against a cancelled probe that counts as in flight, so that the breaker never closes.
  const clock = new VirtualClock();
  const stats = withOpenBreaker(clock, 30_000);
  t.notOk(stats.isUsable());
  await clock.advance(1100);
  t.ok(stats.isUsable());
  stats.began(false);
  t.notOk(stats.isUsable(), 'one probe at a time');
  stats.cancelled(false);
  t.ok(stats.isUsable(), 'the next request is the probe');
  stats.began(false);
  stats.ended(false, false);
  t.ok(stats.isUsable());
  t.end();
});

await tap.test('should probe an endpoint that fails repeatedly within the configured time', async t => {
  // Guards against unbounded doubling of the breaker's open time, which leaves a recovered endpoint idle.
  const clock = new VirtualClock();
  const stats = withOpenBreaker(clock, 2000);
  let probes = 0;
  for (let ms = 0; ms < 20_000; ms += 100) {
    await clock.advance(100);
    if (!stats.isUsable()) continue;
    probes += 1;
    stats.began(false);
    stats.ended(false, true);
  }
  t.ok(probes >= 9 && probes <= 12, `${probes} probes in 20 s`);
  t.end();
});

function endpointsOf(clock: VirtualClock, count: number, slots = 16): readonly EndpointView[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `e${i}`,
    domain: 'tekapo',
    pool: 'p',
    isLeaving: false,
    version: '1',
    stats: new EndpointStats(clock),
    limit: new ConcurrencyLimit(slots, 1),
  }));
}

const PICK: PickRequest = {
  pool: 'p',
  ownDomain: 'tekapo',
  domains: [],
  isRollout: false,
  reserve: 0.2,
  prefix: '',
  version: '',
  tried: new Set(),
};

await tap.test('should spread requests although every host has the same outdated report', t => {
  // Guards against selection by the report alone, by which all hosts use the same endpoint until the next report.
  const clock = new VirtualClock();
  const hosts = Array.from({ length: 10 }, (_, i) => ({
    picker: new EndpointPicker(new SeededRandom(i)),
    endpoints: endpointsOf(clock, 8),
  }));
  for (const { endpoints } of hosts) {
    for (const [i, endpoint] of endpoints.entries()) {
      endpoint.stats.onLoadReport({
        inFlight: i === 0 ? 0 : 6,
        queued: 0,
        version: '1',
        startId: 'a',
        isLeaving: false,
      });
    }
  }
  const sent = new Map<string, number>();
  for (let round = 0; round < 8; round++) {
    for (const { picker, endpoints } of hosts) {
      const picked = picker.pick(endpoints, PICK);
      if (!picked) continue;
      picked.stats.began(false);
      sent.set(picked.id, (sent.get(picked.id) ?? 0) + 1);
    }
  }
  const toIdle = sent.get('e0') ?? 0;
  t.ok(toIdle > 8 && toIdle <= 40, `${toIdle} of 80 requests sent to the endpoint reported as idle`);
  t.end();
});

await tap.test('should not prefer an endpoint that fails fast', t => {
  // Guards against an endpoint that fails immediately, looks idle and attracts most requests.
  const clock = new VirtualClock();
  const picker = new EndpointPicker(new SeededRandom(1));
  const endpoints = endpointsOf(clock, 4);
  let sentToFailing = 0;
  for (let i = 0; i < 400; i++) {
    const picked = picker.pick(endpoints, PICK);
    if (!picked) continue;
    picked.stats.began(false);
    const isFailing = picked.id === 'e0';
    if (isFailing) sentToFailing += 1;
    if (isFailing || i % 4 === 0) picked.stats.ended(false, isFailing);
    if (i % 8 === 7)
      for (const one of endpoints) while (one.stats.inFlight() > 0) one.stats.ended(false, false);
  }
  t.ok(sentToFailing < 40, `${sentToFailing} of 400 requests sent to the failing endpoint`);
  t.end();
});

await tap.test('should keep retries within their budget when a third of the endpoints fail', t => {
  const budget = new RetryBudget(0.1, 20);
  const random = new SeededRandom(5);
  let attempts = 0;
  for (let i = 0; i < 2000; i++) {
    budget.requestStarted();
    attempts += 1;
    while (random.below(3) === 0 && budget.take()) attempts += 1;
  }
  t.ok(attempts <= 2000 * 1.1 + 20, `${attempts} attempts of 2000 requests`);
  t.end();
});

await tap.test('should prefer the endpoint that caches a prefix unless it is overloaded', t => {
  const clock = new VirtualClock();
  const picker = new EndpointPicker(new SeededRandom(1));
  const endpoints = endpointsOf(clock, 4);
  const request = { ...PICK, prefix: 'which stars' };
  const first = picker.pick(endpoints, request)?.id;
  t.equal(picker.pick(endpoints, request)?.id, first);
  const preferred = endpoints.find(endpoint => endpoint.id === first);
  for (let i = 0; i < 5; i++) preferred?.stats.began(false);
  t.not(picker.pick(endpoints, request)?.id, first, 'the prefix is a preference only');
  t.end();
});

await tap.test('should use a small subset of many endpoints, evenly distributed over hosts', t => {
  const ids = Array.from({ length: 130 }, (_, i) => `e${i}`);
  const uses = new Map<string, number>();
  for (let h = 0; h < 33; h++)
    for (const id of subsetFor(`h${h}`, ids)) uses.set(id, (uses.get(id) ?? 0) + 1);
  t.equal(subsetFor('h0', ids).length, 16);
  t.ok(Math.max(...uses.values()) <= 12, `at most ${Math.max(...uses.values())} hosts at one endpoint`);
  t.ok(uses.size >= 120, `${uses.size} of 130 endpoints used`);
  t.end();
});

await tap.test('should refuse immediately when the expected wait exceeds the deadline', async t => {
  const clock = new VirtualClock();
  const queue = new RequestQueue(clock, 100);
  const refused: string[] = [];
  for (let i = 0; i < 10; i++)
    queue.enqueue(
      'customer',
      Deadline.after(clock, 60_000),
      () => false,
      r => refused.push(r),
    );
  let sendsLeft = 1;
  queue.enqueue(
    'customer-high',
    Deadline.after(clock, 60_000),
    () => sendsLeft-- > 0,
    r => refused.push(r),
  );
  queue.dispatch();
  queue.enqueue(
    'customer',
    Deadline.after(clock, 100),
    () => false,
    r => refused.push(r),
  );
  t.same(refused, ['too-late']);
  t.ok(queue.expectedWaitMs('customer') > 100);
  await clock.advance(61_000);
  t.equal(refused.length, 11, 'all others were refused at their deadlines');
});

await tap.test('should adjust the concurrency limit to load reports', t => {
  const limit = new ConcurrencyLimit(16, 4);
  t.equal(limit.value(), 4);
  limit.recordUsage(4);
  limit.onLoadReport(0, 8);
  t.equal(limit.value(), 5);
  limit.onLoadReport(5, 16);
  t.equal(limit.value(), 4);
  t.equal(limit.rolloutLimit(0.2), 3, 'the reserve is rounded in favor of customers');
  t.equal(new ConcurrencyLimit(1, 4).rolloutLimit(0.2), 0);
  t.end();
});

async function fleetOf(engineSlots = 4): Promise<SimFleet> {
  return SimFleet.start({
    seed: 3,
    domains: ['tekapo', 'twizel'],
    hostsPerDomain: 2,
    enginesPerDomain: 1,
    engineSlots,
  });
}

interface PendingRequest {
  answer: CallerAnswer | undefined;
  readonly left: AbortController;
  text: string;
}

function send(
  host: SimHost,
  work: Partial<CallerWork> & { readonly kind: CallerWork['kind'] },
  options: Partial<CallerRequest> = {},
): PendingRequest {
  const running: PendingRequest = { answer: undefined, left: new AbortController(), text: '' };
  const onChunks = (chunks: readonly { readonly text: string }[]): void => {
    for (const chunk of chunks) running.text += chunk.text;
  };
  const defaults = {
    completion: { kind: 'completion', prompt: 'stars', maxTokens: 100, onChunks },
    service: {
      kind: 'service',
      method: 'POST',
      path: '/holds',
      headers: { 'idempotency-key': options.key ?? 'none' },
      body: undefined,
    },
  } as const;
  const request: CallerRequest = {
    kind: work.kind,
    pool: work.kind === 'completion' ? 'gen-pool' : 'skybook',
    caller: 'web',
    house: 'guides',
    priority: 'normal',
    timeoutMs: 10_000,
    key: undefined,
    trace: undefined,
    left: running.left.signal,
    ...options,
    work: { ...defaults[work.kind], ...work } as CallerWork,
  };
  host.process.run(() => {
    void host.ready.requests.run(request).then(answer => {
      running.answer = answer;
    });
  });
  return running;
}

function expectedText(prompt: string): string {
  return Array.from({ length: completionLength(prompt) }, (_, i) => `${i} `).join('');
}

await tap.test(
  'should resume a stream at another engine after a crash without duplicated or lost tokens',
  async t => {
    // Guards against a resumption that does not continue exactly after the tokens already forwarded to the caller.
    const fleet = await fleetOf();
    const running = send(fleet.host('tekapo-0'), { kind: 'completion', prompt: 'a long tail' });
    await fleet.until('streaming', () => running.text.length > 20);
    for (const engine of fleet.engines.values()) if (engine.inFlight > 0) engine.crash(60_000);
    await fleet.until('answered', () => running.answer !== undefined);
    t.match(running.answer?.outcome, { kind: 'completed' });
    t.equal(running.text, expectedText('a long tail'));
    await fleet.stop();
  },
);

await tap.test('should report `unknown` and run once when the answer of a keyed request is lost', async t => {
  const fleet = await fleetOf();
  fleet.services.loseAnswers = 1;
  const first = send(fleet.host('tekapo-0'), { kind: 'service' }, { key: 'seat-4' });
  await fleet.until('told', () => first.answer !== undefined);
  t.match(first.answer?.outcome, { kind: 'unknown', reason: 'connection-lost' });
  const again = send(fleet.host('twizel-1'), { kind: 'service' }, { key: 'seat-4' });
  await fleet.until('answered again', () => again.answer !== undefined);
  t.match(again.answer?.outcome, { kind: 'unknown', reason: 'answer-not-kept' });
  t.equal(fleet.services.executionCounts.get('seat-4'), 1);
  await fleet.stop();
});

await tap.test('should not repeat a non-idempotent request without a key', async t => {
  const fleet = await fleetOf();
  fleet.services.loseAnswers = 1;
  const running = send(fleet.host('tekapo-0'), { kind: 'service' });
  await fleet.until('told', () => running.answer !== undefined);
  t.match(running.answer?.outcome, { kind: 'unknown' });
  t.equal(fleet.services.executionCounts.get('none'), 1);
  await fleet.stop();
});

await tap.test('should retry a refused request with a key and run it once', async t => {
  const fleet = await fleetOf();
  fleet.services.refuse = 1;
  const running = send(fleet.host('tekapo-0'), { kind: 'service' }, { key: 'busy' });
  await fleet.until('told', () => running.answer !== undefined);
  t.match(running.answer?.outcome, { kind: 'completed' });
  t.equal(fleet.services.executionCounts.get('busy'), 1);
  await fleet.stop();
});

await tap.test('should release the key of a request that ended as `not-run`', async t => {
  const fleet = await fleetOf();
  fleet.services.refuse = 10;
  const first = send(fleet.host('tekapo-0'), { kind: 'service' }, { key: 'later' });
  await fleet.until('told', () => first.answer !== undefined);
  t.match(first.answer?.outcome, { kind: 'not-run' });
  t.equal(fleet.services.executionCounts.get('later'), undefined);
  fleet.services.refuse = 0;
  const again = send(fleet.host('tekapo-1'), { kind: 'service' }, { key: 'later' });
  await fleet.until('answered again', () => again.answer !== undefined);
  t.match(again.answer?.outcome, { kind: 'completed' });
  t.equal(fleet.services.executionCounts.get('later'), 1);
  await fleet.stop();
});

await tap.test('should abandon a waiting request immediately when its caller disconnects', async t => {
  const fleet = await fleetOf(1);
  const host = fleet.host('tekapo-0');
  const busy = [1, 2].map(() => send(host, { kind: 'completion', prompt: 'a very long tail' }));
  await fleet.clock.advance(100);
  const waiting = send(fleet.host('tekapo-0'), { kind: 'completion', prompt: 'next' });
  await fleet.clock.advance(100);
  t.equal(waiting.answer, undefined);
  waiting.left.abort();
  await fleet.clock.advance(10);
  t.match(waiting.answer?.outcome, { kind: 'not-run', reason: 'caller-left' });
  await fleet.until('others answered', () => busy.every(one => one.answer !== undefined));
  t.equal(waiting.text, '');
  await fleet.stop();
});

await tap.test('should serve customers without delay while rollouts fill the engines', async t => {
  // The reserve serves the first customers; rollouts are preempted for the others and resumed later.
  const fleet = await fleetOf(6);
  const spec = {
    trainer: 'tekapo:tuner',
    step: 1,
    house: 'guides',
    pool: 'gen-pool',
    groups: Array.from({ length: 40 }, (_, i) => ({
      prompt: `${i} long tail`,
      samples: 1,
      expectedTokens: 0,
    })),
    maxTokens: 100,
    stalenessVersions: 5,
    stalenessMs: 600_000,
    deadlineMs: 600_000,
  };
  const trainer = new SimTrainer(fleet, spec, true);
  void trainer.run();
  await fleet.until('rollouts run', () => [...fleet.engines.values()].every(engine => engine.inFlight >= 3));
  await fleet.clock.advance(300);
  const startMs = fleet.clock.nowMs();
  const customers = Array.from({ length: 6 }, () =>
    send(fleet.host('tekapo-0'), { kind: 'completion', prompt: 'quick' }),
  );
  await fleet.until('customers answered', () => customers.every(one => one.answer !== undefined));
  const tookMs = fleet.clock.nowMs() - startMs;
  t.ok(customers.every(one => one.answer?.outcome.kind === 'completed'));
  t.ok(tookMs < 800, `${tookMs} ms on the virtual clock; a rollout takes 1,300`);
  await fleet.until('step over', () => trainer.end !== undefined, 200_000);
  t.equal(trainer.deliveries.length, 40, 'preempted rollouts were resumed');
  await fleet.stop();
});

await tap.test(
  'should send nothing from any host to a leaving engine after 3 s, with the list and the store unreachable',
  async t => {
    // Guards against hosts that learn of leaving engines from the list only, not from reports, answers or peers.
    const fleet = await SimFleet.start({
      seed: 9,
      domains: ['tekapo'],
      hostsPerDomain: 4,
      enginesPerDomain: 2,
    });
    fleet.cutBetween(fleet.processNames('tekapo'), ['store', 'list']);
    fleet.engine('tekapo-engine-0').isLeaving = true;
    await fleet.clock.advance(3000);
    const seen = [...fleet.hosts.values()].map(host =>
      host.ready.membership.leaving.isLeaving('tekapo-engine-0'),
    );
    t.same(seen, [true, true, true, true]);
    const before = fleet.engine('tekapo-engine-0').made.size;
    const running = [...fleet.hosts.values()].map(host => send(host, { kind: 'completion' }));
    await fleet.until('answered', () => running.every(one => one.answer !== undefined));
    t.ok(running.every(one => one.answer?.outcome.kind === 'completed'));
    t.equal(fleet.engine('tekapo-engine-0').made.size, before);
    await fleet.stop();
  },
);

await tap.test(
  'should serve from its own domain when it is partitioned from the others and the platform',
  async t => {
    const fleet = await fleetOf();
    fleet.cutBetween(fleet.processNames('tekapo'), ['store', 'list', ...fleet.processNames('twizel')]);
    await fleet.clock.advance(20_000);
    const running = [
      send(fleet.host('tekapo-0'), { kind: 'completion' }),
      send(fleet.host('tekapo-1'), { kind: 'service' }, { key: 'tekapo:hold-9' }),
      send(fleet.host('twizel-0'), { kind: 'completion' }),
    ];
    await fleet.until('answered', () => running.every(one => one.answer !== undefined));
    t.same(
      running.map(one => one.answer?.outcome.kind),
      ['completed', 'completed', 'completed'],
    );
    const foreign = send(fleet.host('twizel-1'), { kind: 'service' }, { key: 'tekapo:hold-9' });
    await fleet.until('told', () => foreign.answer !== undefined);
    t.match(foreign.answer?.outcome, { kind: 'unknown', reason: 'key-owner-unreachable' });
    t.equal(fleet.services.executionCounts.get('tekapo:hold-9'), 1);
    await fleet.stop();
  },
);
