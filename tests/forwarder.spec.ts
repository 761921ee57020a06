/**
 * Request forwarding: retries, guarantees, deadlines, disconnecting callers, spans; and the log rate limit.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import { EndpointDirectory, Forwarder, type CallerRequest, type EndpointReply } from '@fuchsiahitch/gateway';
import { AnswerBudget, GarbageLimit } from '@fuchsiahitch/limits';
import { BoundedWriter, Tracing } from '@fuchsiahitch/telemetry';
import { FakeStore } from './fakeStore.js';
import {
  answer,
  truncatedBody,
  endpointRecord,
  keys,
  singleHostPoisonGuard,
  JsonRecordDecoder,
  route,
  ScriptedClient,
  testContext,
} from './gatewayFixtures.js';
import { testClientLimits } from './testClientLimits.js';

interface Forwarding {
  readonly clock: VirtualClock;
  readonly client: ScriptedClient;
  readonly forwarder: Forwarder;
  readonly stop: AbortController;
}

async function forwarding(tracing?: Tracing, answers?: AnswerBudget): Promise<Forwarding> {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const context = testContext(clock);
  const endpoints = new EndpointDirectory(
    context,
    store.client(),
    keys,
    new JsonRecordDecoder(),
    () => undefined,
  );
  for (const id of ['e1', 'e2', 'e3']) store.put(`${keys.endpointPrefix}${id}`, endpointRecord());
  endpoints.start();
  await clock.advance(100);
  const client = new ScriptedClient(clock);
  const traced = tracing ? { ...context, tracing } : context;
  const poison = singleHostPoisonGuard(context, store.client(), client);
  const budget = answers ?? testClientLimits(clock).answers;
  const forwarder = new Forwarder(traced, endpoints, client, poison, budget);
  return { clock, client, forwarder, stop: context.stop };
}

const REQUEST: CallerRequest = {
  id: 'r1',
  caller: '',
  host: 'quests',
  method: 'POST',
  target: '/run/1',
  headers: [],
  body: Buffer.from('seat 4'),
  waitMs: 1500,
};

const IDEMPOTENT = route({ run: 'idempotent', maxAttempts: 2, targetMs: 200, timeoutMs: 1500 });
const NON_IDEMPOTENT = route({ run: 'non-idempotent', maxAttempts: 3, targetMs: 200, timeoutMs: 1500 });
const NEVER_ABORTED = new AbortController().signal;

/** Replies in sequence and repeats the last one. */
function replySequence(...replies: readonly EndpointReply[]): () => Promise<EndpointReply> {
  let turn = 0;
  return () => Promise.resolve(replies[Math.min(turn++, replies.length - 1)] ?? { kind: 'cancelled' });
}

const REFUSED: EndpointReply = { kind: 'not-run', reason: 'refused', load: undefined };
const BROKEN: EndpointReply = { kind: 'broken', text: 'reset' };

function completeReply(text = 'whole'): EndpointReply {
  return { kind: 'answered', answer: answer(200, text) };
}

await tap.test('should retry an idempotent request on another endpoint after any failure', async t => {
  const { client, forwarder, stop } = await forwarding();
  const truncated = answer(200, '', { body: truncatedBody('ha') });
  for (const failure of [
    BROKEN,
    REFUSED,
    { kind: 'answered', answer: answer(500, 'no') },
    { kind: 'answered', answer: truncated },
    { kind: 'answered', answer: answer(200, 'not the endpoint’s', { proof: undefined }) },
  ] as const) {
    client.sends.length = 0;
    client.reply = replySequence(failure, completeReply());
    const outcome = await forwarder.forward(REQUEST, IDEMPOTENT, NEVER_ABORTED);
    t.ok(outcome.kind === 'answered' && outcome.answer.body.toString() === 'whole');
    t.equal(client.sends.length, 2);
    t.not(client.sends[0]?.endpoint.id, client.sends[1]?.endpoint.id);
  }
  stop.abort();
});

await tap.test('should not retry a non-idempotent request without proof that it did not run', async t => {
  // Guards against running a request twice because a broken connection is taken for "not run".
  const { client, forwarder, stop } = await forwarding();
  client.reply = replySequence(BROKEN, completeReply());
  t.same(await forwarder.forward(REQUEST, NON_IDEMPOTENT, NEVER_ABORTED), {
    kind: 'unknown',
    reason: 'broken',
  });
  t.equal(client.sends.length, 1);
  client.sends.length = 0;
  client.reply = replySequence(REFUSED, completeReply());
  t.equal((await forwarder.forward(REQUEST, NON_IDEMPOTENT, NEVER_ABORTED)).kind, 'answered');
  t.equal(client.sends.length, 2);
  stop.abort();
});

await tap.test('should not retry a request whose answer is dropped for lack of memory', async t => {
  // Guards against sending a request to every endpoint while no answer can be held.
  const garbage = new GarbageLimit(Infinity, () => undefined);
  const options = {
    clock: new VirtualClock(),
    totalBytes: 0,
    maxWaiting: 0,
    garbage,
    closed: () => undefined,
  };
  const budget = new AnswerBudget(options);
  budget.deliver(1, { address: '', close: () => undefined });
  const { client, forwarder, stop } = await forwarding(undefined, budget);
  const large = { kind: 'answered', answer: answer(200, 'whole', { announcedBytes: 1_000_000 }) } as const;
  client.reply = replySequence(large);
  t.same(await forwarder.forward(REQUEST, IDEMPOTENT, NEVER_ABORTED), { kind: 'unknown', reason: 'dropped' });
  t.equal(client.sends.length, 1);
  stop.abort();
});

await tap.test('should report "not run" only with proof from every endpoint', async t => {
  const { client, forwarder, stop } = await forwarding();
  client.reply = replySequence(REFUSED);
  const refused = await forwarder.forward(REQUEST, NON_IDEMPOTENT, NEVER_ABORTED);
  t.ok(refused.kind === 'not-run' && refused.retryAfterMs > 0);
  client.reply = replySequence(BROKEN, REFUSED);
  t.equal((await forwarder.forward(REQUEST, IDEMPOTENT, NEVER_ABORTED)).kind, 'unknown');
  stop.abort();
});

await tap.test('should hedge a slow idempotent request on a second endpoint', async t => {
  // Guards against waiting for one stuck endpoint until the deadline.
  const { clock, client, forwarder, stop } = await forwarding();
  client.reply = (_call, signal) =>
    client.sends.length === 1
      ? new Promise(resolve => signal.addEventListener('abort', () => resolve({ kind: 'cancelled' })))
      : Promise.resolve(completeReply('second'));
  const pending = forwarder.forward(REQUEST, IDEMPOTENT, NEVER_ABORTED);
  await clock.advance(200);
  const outcome = await pending;
  t.ok(outcome.kind === 'answered' && outcome.answer.body.toString() === 'second');
  t.equal(client.sends.length, 2);
  stop.abort();
});

await tap.test('should end at the route’s timeout if the caller waits longer', async t => {
  const { clock, client, forwarder, stop } = await forwarding();
  const aborted: boolean[] = [];
  client.reply = (_call, signal) =>
    new Promise(resolve =>
      signal.addEventListener('abort', () => {
        aborted.push(true);
        resolve({ kind: 'cancelled' });
      }),
    );
  const pending = forwarder.forward({ ...REQUEST, waitMs: 60_000 }, NON_IDEMPOTENT, NEVER_ABORTED);
  await clock.advance(1600);
  t.same(await pending, { kind: 'unknown', reason: 'late' });
  t.same(aborted, [true], 'the endpoint call was aborted');
  stop.abort();
});

await tap.test('should not pass on more than the caller’s remaining time', async t => {
  const { client, forwarder, stop } = await forwarding();
  await forwarder.forward({ ...REQUEST, waitMs: 700 }, NON_IDEMPOTENT, NEVER_ABORTED);
  t.ok((client.sends[0]?.leftMs ?? Infinity) <= 700);
  stop.abort();
});

await tap.test('should abort the endpoint call when the caller disconnects', async t => {
  const { clock, client, forwarder, stop } = await forwarding();
  const caller = new AbortController();
  const aborted: boolean[] = [];
  client.reply = (_call, signal) =>
    new Promise(resolve =>
      signal.addEventListener('abort', () => {
        aborted.push(true);
        resolve({ kind: 'cancelled' });
      }),
    );
  const pending = forwarder.forward(REQUEST, IDEMPOTENT, caller.signal);
  await clock.advance(20);
  caller.abort();
  t.equal((await pending).kind, 'caller-left');
  t.same(aborted, [true]);
  stop.abort();
});

await tap.test('should refuse immediately if there is no endpoint', async t => {
  const { forwarder, stop } = await forwarding();
  const nowhere = route({ run: 'idempotent', pools: [{ pool: 'none', weight: 1 }] });
  t.equal((await forwarder.forward(REQUEST, nowhere, NEVER_ABORTED)).kind, 'not-run');
  stop.abort();
});

await tap.test('should abort the caller’s stream when the endpoint’s stream breaks', async t => {
  // Guards against a truncated stream that looks complete.
  const { client, forwarder, stop } = await forwarding();
  client.reply = replySequence({
    kind: 'answered',
    answer: answer(200, '', { body: truncatedBody('data: 1\n\n') }),
  });
  const seen: string[] = [];
  const outcome = await forwarder.stream(
    REQUEST,
    NON_IDEMPOTENT,
    {
      begin: () => void seen.push('begin'),
      write: chunk => {
        seen.push(chunk.toString());
        return Promise.resolve();
      },
      end: () => void seen.push('end'),
      abort: () => void seen.push('abort'),
    },
    NEVER_ABORTED,
  );
  t.equal(outcome.kind, 'streamed');
  t.same(seen, ['begin', 'data: 1\n\n', 'abort']);
  stop.abort();
});

await tap.test('should drop and count log lines above the rate limit or while the reader stalls', t => {
  // Guards against unbounded memory when the log collector stalls or every request logs an error.
  const lines: string[] = [];
  const sink = { write: (text: string) => void lines.push(text), pendingBytes: () => pendingBytes };
  let pendingBytes = 0;
  let nowMs = 0;
  const limits = { maxPendingBytes: 100, linesPerSecond: 10, burstLines: 5 };
  const writer = new BoundedWriter(sink, limits, () => nowMs);
  for (let i = 0; i < 20; i++) writer.write(`${i}`);
  t.equal(lines.length, 5);
  t.equal(writer.dropped(), 15);
  nowMs = 1000;
  writer.write('later');
  t.match(lines[5], /"lines":15/);
  t.equal(lines[6], 'later\n');
  pendingBytes = 101;
  writer.write('stuck');
  t.equal(writer.dropped(), 1);
  t.end();
});

await tap.test('should record a span for each hop of a request', async t => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'spans-'));
  const file = path.join(folder, 'spans.jsonl');
  const { client, forwarder, stop } = await forwarding(await Tracing.open(file, 'host-a'));
  const replies: EndpointReply[] = [
    { kind: 'not-run', reason: 'refused', load: undefined },
    { kind: 'answered', answer: answer(200, 'whole') },
  ];
  client.reply = () => Promise.resolve(replies.shift() ?? { kind: 'broken', text: 'no reply left' });
  const parent = '4bf92f3577b34da6a3ce929d0e0e4736';
  const trace = `00-${parent}-00f067aa0ba902b7-01`;
  await forwarder.forward({ ...REQUEST, trace }, route({ run: 'idempotent' }), new AbortController().signal);
  stop.abort();
  const lines = await readLines(file, 3);
  const spans = lines.map(line => JSON.parse(line) as Span);
  const caller = spans.find(span => span.name === 'caller');
  t.ok(spans.every(span => span.traceId === parent));
  t.equal(caller?.parentSpanId, '00f067aa0ba902b7');
  t.same(
    spans.filter(span => span.name === 'endpoint').map(span => [span.parentSpanId, span.attributes.end]),
    [
      [caller?.spanId, 'not-run'],
      [caller?.spanId, 'answered'],
    ],
  );
  t.equal(caller?.attributes.outcome, 'answered');
  fs.rmSync(folder, { recursive: true });
});

interface Span {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
  readonly name: string;
  readonly attributes: { readonly end?: string; readonly outcome?: string };
}

/** Polls a file that is being written until it has `count` lines. */
async function readLines(file: string, count: number): Promise<readonly string[]> {
  for (;;) {
    const text = fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : '';
    const lines = text.split('\n').filter(line => line !== '');
    if (lines.length >= count) return lines;
    await new Promise(resolve => setImmediate(resolve));
  }
}

await tap.test('should end answers without end, and deliver others meanwhile', async t => {
  // Guards against a faulty endpoint that takes the memory of the host with the answers to a few requests.
  const { client, forwarder, stop } = await forwarding();
  const block = Buffer.alloc(256 * 1024);
  const state = { sent: 0, held: 0, mostHeld: 0 };
  async function* endlessBody(): AsyncGenerator<Buffer> {
    let own = 0;
    try {
      while (state.sent < 1000) {
        state.sent += 1;
        own += block.length;
        state.held += block.length;
        state.mostHeld = Math.max(state.mostHeld, state.held);
        await new Promise(resolve => setImmediate(resolve));
        yield block;
      }
    } finally {
      state.held -= own;
    }
  }
  client.reply = ({ target }) => {
    const body = target === '/run/endless' ? endlessBody() : undefined;
    const whole = answer(200, 'whole');
    return Promise.resolve({ kind: 'answered', answer: body ? { ...whole, body } : whole });
  };
  const request = { ...REQUEST, target: '/run/endless' };
  const endless = Array.from({ length: 4 }, () => forwarder.forward(request, NON_IDEMPOTENT, NEVER_ABORTED));
  const other = await forwarder.forward(REQUEST, NON_IDEMPOTENT, NEVER_ABORTED);
  t.equal(other.kind, 'answered');
  t.match(await Promise.all(endless), Array(4).fill({ kind: 'unknown', reason: 'broken' }));
  t.equal(state.held, 0, 'every body was closed');
  t.ok(state.mostHeld <= 48 * 1024 * 1024, `${state.mostHeld} bytes at once`);
  t.match(await forwarder.forward(REQUEST, NON_IDEMPOTENT, NEVER_ABORTED), { kind: 'answered' });
  stop.abort();
});
