/**
 * The bounds on what clients may make a host hold, as decisions without sockets.
 */
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import {
  AnswerBudget,
  AnswerBuffer,
  type AnswerReader,
  BatchMemory,
  BodyBudget,
  BodyBuffer,
  ConnectionLimit,
  ConnectionRequests,
  GarbageLimit,
  hostBudget,
  jsonCostBytes,
  LimitReport,
  ReadPace,
  ReadTurns,
  RequestLimit,
  SMALL_BODY_BYTES,
  type LimitedConnection,
  type LimitLine,
} from '@fuchsiahitch/limits';

const MB = 1_000_000;
const FULL_BYTES = 33_554_432;
const TOTAL_BYTES = 36 * MB;
const NEVER = new AbortController().signal;

function createBodies(clock: VirtualClock): BodyBudget {
  return new BodyBudget({ clock, totalBytes: TOTAL_BYTES, idleTimeoutMs: () => 15_000 });
}

function createAnswers(clock: VirtualClock, totalBytes: number, maxWaiting = 2): AnswerBudget {
  const garbage = new GarbageLimit(Infinity, () => undefined);
  return new AnswerBudget({ clock, totalBytes, maxWaiting, garbage, closed: () => undefined });
}

/** A client that is closed by `close`. */
function reader(close: () => void = () => undefined): AnswerReader {
  return { address: '10.0.0.1', close };
}

await tap.test('should keep the sum of all parts below the memory of the machine', t => {
  // Guards against parts that each fit and together exceed the machine.
  for (const memoryMb of [160, 178, 200, 250, 350, 602, 4000]) {
    const budget = hostBudget({ memoryMb, maxDescriptors: 4100 });
    const requestsBytes = budget.callerRequests * 8000;
    const answersBytes = budget.answersBytes + budget.waitingAnswers * 131_072;
    const { runtimeBytes, bodiesBytes, batchesBytes, connectionsBytes } = budget;
    const parts = [runtimeBytes, bodiesBytes, batchesBytes, answersBytes, connectionsBytes];
    const sumBytes = parts.reduce((sum, bytes) => sum + bytes, requestsBytes + budget.garbageBytes);
    t.ok(sumBytes <= memoryMb * MB, `${memoryMb} MB`);
    t.ok(budget.bodiesBytes * 0.95 >= FULL_BYTES, 'one body of full size fits');
    const descriptors = budget.callerConnections + budget.peerConnections + budget.statusConnections;
    t.ok(descriptors <= 4100 - 200);
  }
  t.end();
});

await tap.test('should keep memory for small bodies beside large ones', t => {
  // Guards against ordinary requests that are refused because a few large ones fill the memory.
  const bodies = createBodies(new VirtualClock());
  t.ok(bodies.reserve(FULL_BYTES, () => t.fail('ended')));
  t.notOk(bodies.reserve(1_000_000, () => undefined));
  t.ok(bodies.reserve(SMALL_BODY_BYTES, () => undefined));
  t.end();
});

await tap.test(
  'should let a body without progress give way, and only when others need its memory',
  async t => {
    // Guards against clients that announce a body, send nothing and lock out all others.
    const clock = new VirtualClock();
    const bodies = createBodies(clock);
    const ends: string[] = [];
    bodies.reserve(FULL_BYTES, reason => ends.push(reason));
    await clock.advance(900);
    t.notOk(bodies.reserve(FULL_BYTES, () => undefined));
    await clock.advance(200);
    t.same(ends, []);
    t.ok(bodies.reserve(FULL_BYTES, () => undefined));
    t.same(ends, ['stalled']);
  },
);

await tap.test('should not take a byte now and then for progress', async t => {
  // Guards against clients that keep a reservation by sending a byte a second.
  const clock = new VirtualClock();
  const bodies = createBodies(clock);
  const ends: string[] = [];
  const slow = bodies.reserve(FULL_BYTES, reason => ends.push(reason));
  for (let i = 0; i < 5; i++) {
    await clock.advance(300);
    slow?.received(1);
  }
  t.ok(bodies.reserve(FULL_BYTES, () => undefined));
  t.same(ends, ['stalled']);
});

await tap.test('should keep a body that makes progress, and one that is complete', async t => {
  const clock = new VirtualClock();
  const bodies = createBodies(clock);
  const body = bodies.reserve(FULL_BYTES, () => t.fail('ended'));
  for (let i = 0; i < 5; i++) {
    await clock.advance(600);
    body?.received(8192);
  }
  t.notOk(bodies.reserve(FULL_BYTES, () => undefined));
  body?.complete();
  await clock.advance(60_000);
  t.notOk(bodies.reserve(FULL_BYTES, () => undefined));
  body?.release();
  t.equal(bodies.reservedBytes(), 0);
});

await tap.test('should end a body of which nothing arrives for the idle timeout', async t => {
  // Guards against bodies that are held as long as their clients stay.
  const clock = new VirtualClock();
  const bodies = createBodies(clock);
  const ends: string[] = [];
  bodies.reserve(100, reason => ends.push(reason));
  await clock.advance(14_000);
  t.same(ends, []);
  await clock.advance(2000);
  t.same(ends, ['timeout']);
  t.equal(bodies.reservedBytes(), 0);
});

await tap.test('should join chunks of any size, and report a body that is too long', t => {
  for (const chunkBytes of [1, 1000, 65_536]) {
    const body = new BodyBuffer(undefined, 200_000);
    let sent = Buffer.alloc(0);
    while (sent.length + chunkBytes <= (chunkBytes === 1 ? 20_000 : 200_000)) {
      const chunk = Buffer.alloc(chunkBytes, sent.length % 251);
      body.add(chunk);
      sent = Buffer.concat([sent, chunk]);
    }
    t.ok(body.whole().equals(sent), `${chunkBytes}`);
  }
  t.ok(new BodyBuffer(undefined, 1000).capacityWith(1001) > 1000);
  t.equal(new BodyBuffer(FULL_BYTES, FULL_BYTES).capacityBytes(), 16_384);
  t.end();
});

await tap.test('should read bodies in tiny chunks one at a time', t => {
  // Guards against a loop that parses tiny chunks of many clients in one turn, and renews no lease meanwhile.
  const turns: (() => void)[] = [];
  const limit = new ReadTurns(run => turns.push(run));
  const paused = new Set<number>();
  const paces = [0, 1, 2].map(
    i => new ReadPace({ pause: () => paused.add(i), resume: () => paused.delete(i) }),
  );
  for (const pace of paces) for (let i = 0; i < 1000; i++) limit.read(pace, 1);
  t.equal(paused.size, 3);
  turns.shift()?.();
  t.equal(paused.size, 2);
  turns.shift()?.();
  turns.shift()?.();
  t.equal(paused.size, 0);
  const usual = new ReadPace({ pause: () => t.fail('paused'), resume: () => undefined });
  for (let i = 0; i < 1000; i++) limit.read(usual, 1000);
  t.end();
});

class TestConnection implements LimitedConnection {
  isClosed = false;
  bytes = 0;

  receivedBytes(): number {
    return this.bytes;
  }

  close(): void {
    this.isClosed = true;
  }
}

function createConnections(clock: VirtualClock): {
  readonly limit: ConnectionLimit<TestConnection>;
  readonly reasons: string[];
} {
  const reasons: string[] = [];
  const limit = new ConnectionLimit<TestConnection>({
    clock,
    maxConnections: 3,
    maxHeadBytes: 120_000,
    closed: reason => reasons.push(reason),
  });
  return { limit, reasons };
}

await tap.test('should close the connection without a request for longest in favour of a new one', t => {
  // Guards against silent connections that keep out ordinary clients.
  const { limit, reasons } = createConnections(new VirtualClock());
  const [silent, busy, used, fresh] = Array.from({ length: 4 }, () => new TestConnection());
  for (const connection of [busy, used, silent]) if (connection) limit.add(connection);
  if (busy) limit.requestBegan(busy);
  if (used) limit.requestBegan(used);
  if (used) limit.requestEnded(used);
  if (fresh) limit.add(fresh);
  t.same(
    [silent, busy, used, fresh].map(connection => connection?.isClosed),
    [true, false, false, false],
  );
  t.same(reasons, ['connections']);
  t.end();
});

await tap.test('should close the oldest unfinished heads while all take too much', async t => {
  // Guards against unfinished heads, whose parsed headers take many times their size.
  const clock = new VirtualClock();
  const { limit, reasons } = createConnections(clock);
  const [oldest, newest] = [new TestConnection(), new TestConnection()];
  for (const connection of [oldest, newest]) {
    limit.add(connection);
    connection.bytes = 8000;
  }
  await clock.advance(300);
  t.same([oldest.isClosed, newest.isClosed], [true, false]);
  t.same(reasons, ['heads']);
});

await tap.test(
  'should run some requests of a connection at a time, and close one that overruns the host',
  t => {
    // Guards against pipelined requests that are all handled at once.
    const limit = new RequestLimit(6);
    const first = new ConnectionRequests<number>(limit);
    t.same(
      [1, 2, 3, 4, 5, 6].map(i => first.arrived(i)),
      ['run', 'run', 'run', 'run', 'wait', 'wait'],
    );
    t.equal(first.arrived(7), 'close');
    t.equal(new ConnectionRequests<number>(limit).arrived(1), 'refuse');
    t.equal(first.ended(), 5);
    t.same(first.closed(), [6]);
    for (let i = 0; i < 4; i++) first.ended();
    t.equal(limit.requests(), 0);
    t.end();
  },
);

await tap.test('should close a connection that goes on after a refusal', t => {
  // Guards against requests that are held behind a refusal whose answer ends their connection.
  const limit = new RequestLimit(1);
  limit.changed(1);
  const refused = new ConnectionRequests<number>(limit);
  t.equal(refused.arrived(1), 'refuse');
  limit.changed(-1);
  t.equal(refused.arrived(2), 'close');
  t.equal(limit.requests(), 0);
  t.end();
});

await tap.test('should read answers one after the other while clients do not read theirs', async t => {
  // Guards against answers that are held for all clients that asked at once.
  const clock = new VirtualClock();
  const answers = createAnswers(clock, 2 * MB);
  let closed = 0;
  const unread = answers.deliver(
    1.5 * MB,
    reader(() => (closed += 1)),
  );
  const next = answers.read();
  let isRead = false;
  const begun = next.begin(MB, NEVER).then(() => (isRead = true));
  await answers.read().begin(1000, NEVER);
  await clock.advance(1000);
  t.notOk(isRead);
  await clock.advance(1500);
  await begun;
  t.equal(closed, 1);
  t.equal(answers.heldBytes(), MB + 1000);
  unread.release();
  next.release();
  t.equal(answers.heldBytes(), 1000);
});

await tap.test('should stop waiting for room when the request is given up', async t => {
  const clock = new VirtualClock();
  const answers = createAnswers(clock, MB);
  answers.deliver(MB, reader());
  const left = new AbortController();
  const begun = answers.read().begin(MB, left.signal);
  left.abort();
  await begun;
  t.equal(answers.heldBytes(), MB);
});

await tap.test('should drop an answer when too many others wait for room', async t => {
  // Guards against the beginnings of answers that wait on hundreds of connections.
  const answers = createAnswers(new VirtualClock(), MB, 1);
  answers.deliver(MB, reader());
  const left = new AbortController();
  const waiting = answers.read().begin(MB, left.signal);
  t.equal(await answers.read().begin(MB, NEVER), false);
  t.equal(await answers.read().begin(1000, NEVER), true, 'a small answer never waits');
  left.abort();
  t.equal(await waiting, true);
});

await tap.test('should close the stream that has stalled for longest when there is no room', t => {
  // Guards against streams that are held as long as their clients stay.
  const answers = createAnswers(new VirtualClock(), 600_000);
  const closed: string[] = [];
  const stall = (name: string) => answers.stall(reader(() => closed.push(name)));
  stall('a');
  const readOn = stall('b');
  t.same(closed, []);
  stall('c');
  t.same(closed, ['a']);
  readOn.release();
  stall('d');
  t.same(closed, ['a']);
  stall('e');
  t.same(closed, ['a', 'c']);
  t.end();
});

await tap.test('should keep batches within their memory, and adopt more of those that are accepted', t => {
  // Guards against batches of legal size that are each held until they end.
  let openBytes = 0;
  const memory = new BatchMemory(10 * MB, () => openBytes);
  t.ok(memory.mayAccept(20 * MB), 'a single one');
  openBytes = 8 * MB;
  t.ok(memory.mayAccept(2 * MB));
  t.notOk(memory.mayAccept(3 * MB));
  t.ok(memory.mayAdopt(3 * MB));
  t.notOk(memory.mayAdopt(13 * MB));
  t.end();
});

await tap.test('should join an answer of any announced length', t => {
  // Guards against memory that is taken for a length that an endpoint only announces.
  for (const announcedBytes of [undefined, 6, 10_000_000_000]) {
    const buffer = new AnswerBuffer(announcedBytes);
    buffer.add(Buffer.from('abc'));
    buffer.add(Buffer.from('def'));
    t.equal(buffer.whole().toString(), 'abcdef', `announced: ${announcedBytes ?? 'nothing'}`);
  }
  t.end();
});

await tap.test('should estimate what a JSON text becomes', t => {
  // Guards against batches that fit as a body and not as objects.
  t.equal(jsonCostBytes(Buffer.from('['.repeat(100))), 'too-deep');
  const text = JSON.stringify({ items: Array.from({ length: 1000 }, () => ({ id: 'a', path: '/b' })) });
  t.ok(Number(jsonCostBytes(Buffer.from(text))) > 10 * text.length);
  const long = JSON.stringify({ body: '[{,:"\\'.repeat(10_000) });
  t.ok(Number(jsonCostBytes(Buffer.from(long))) < 2.1 * long.length);
  t.end();
});

await tap.test('should count every refusal, and write a line a second for each limit', async t => {
  // Guards against logs that a crowd of refused clients floods.
  const clock = new VirtualClock();
  const lines: LimitLine[] = [];
  let count = 0;
  const report = new LimitReport(
    clock,
    () => (count += 1),
    line => lines.push(line),
  );
  for (let i = 0; i < 100; i++) report.refused('body-memory', `10.0.0.${i}`);
  t.equal(lines.length, 1);
  await clock.advance(1500);
  t.equal(count, 100);
  t.same(lines.at(-1), { limit: 'body-memory', refusals: 99, client: '10.0.0.99' });
});

await tap.test('should collect what was released before the next large buffer is allocated', t => {
  // Guards against freed bodies that are still resident when the next one arrives.
  const kinds: string[] = [];
  const garbage = new GarbageLimit(8 * MB, kind => kinds.push(kind));
  garbage.beforeAllocating(FULL_BYTES);
  garbage.released(FULL_BYTES);
  t.same(kinds, []);
  garbage.beforeAllocating(FULL_BYTES);
  for (let i = 0; i < 9; i++) garbage.passed(MB);
  t.same(kinds, ['all', 'young']);
  t.end();
});
