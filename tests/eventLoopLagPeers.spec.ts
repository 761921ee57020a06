/**
 * Event loop lag: pending I/O from other hosts is read before they count as unresponsive.
 */
import tap from 'tap';
import {
  Deadline,
  err,
  ok,
  settle,
  sleep,
  SystemClock,
  VirtualClock,
  type Clock,
  type Result,
} from '@fuchsiahitch/base';
import {
  EndpointDirectory,
  Forwarder,
  ReachabilityMonitor,
  RelayedStore,
  type EndpointReply,
  type ForwardOutcome,
  type Hosts,
} from '@fuchsiahitch/gateway';
import { defineCall, PeerLink, PeerServer, type CallError, type PeerIdentity } from '@fuchsiahitch/protocol';
import * as z from 'zod';
import { FakeStore } from './fakeStore.js';
import {
  answer,
  endpointRecord,
  keys,
  singleHostPoisonGuard,
  JsonRecordDecoder,
  route,
  ScriptedClient,
  testContext,
} from './gatewayFixtures.js';
import { testClientLimits } from './testClientLimits.js';

const KEY = 'fleet-key-for-tests';
const empty = z.strictObject({});
const echo = defineCall('echo', empty, empty);
const asked = defineCall('asked', empty, empty);
const never = defineCall('never', empty, empty);

type Reply = Promise<Result<unknown, CallError>>;

class Counters {
  readonly refusals: string[] = [];
  refused(reason: string): void {
    this.refusals.push(reason);
  }
  sent(): void {
    // Bytes don't matter here.
  }
  received(): void {
    // Nor here.
  }
}

function identity(hostId: string): PeerIdentity {
  return { hostId, incarnation: '1', domain: 'tekapo', programVersion: '0' };
}

/** Peer that answers `asked` on request of the test, and never answers `never`. */
class Peer<T extends Clock> {
  readonly counters = new Counters();
  /** Number of executed `echo` calls. */
  echoed = 0;
  /** Called when a call of `asked` was received. */
  onAsked: () => void = () => undefined;
  /** Answers the pending call of `asked`. */
  answer: () => void = () => undefined;
  private readonly _clock: T;
  private readonly _server: PeerServer;
  private _link: PeerLink | undefined;

  constructor(clock: T) {
    this._clock = clock;
    const common = { fleetKey: KEY, clock, counters: new Counters() };
    this._server = new PeerServer({ ...common, address: '127.0.0.1:0', identity: identity('a') });
    this._server.handle(echo, () => {
      this.echoed += 1;
      return {};
    });
    this._server.handle(never, async () => new Promise(() => undefined));
    this._server.handle(asked, async () => {
      const answered = new Promise<void>(resolve => {
        this.answer = resolve;
      });
      this.onAsked();
      await answered;
      return {};
    });
  }

  async open(): Promise<PeerLink> {
    const address = await this._server.listen();
    const common = { fleetKey: KEY, clock: this._clock, counters: this.counters };
    this._link = new PeerLink({ ...common, address, identity: identity('b') });
    return this._link;
  }

  /** Resolves when the peer has received a call of `asked`. */
  async hasReceivedCall(): Promise<void> {
    await new Promise<void>(resolve => {
      this.onAsked = resolve;
    });
  }

  async close(): Promise<void> {
    this._link?.close();
    await this._server.close();
  }
}

/** Blocks the event loop. */
function blockLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

await tap.test('should accept a reply that arrived while the event loop was blocked', async t => {
  // Guards against taking over batches of a live owner whose reply had arrived but was not read before the time-out.
  const clock = new SystemClock();
  const peer = new Peer(clock);
  const link = await peer.open();
  await link.call(echo, {}, Deadline.after(clock, 5000));
  peer.onAsked = () => {
    // The reply is written when this handler has returned, before the next iteration of the event loop.
    peer.answer();
    setImmediate(() => blockLoop(800));
  };
  const reply = link.call(asked, {}, Deadline.after(clock, 600));
  t.same(await reply, { ok: true, value: {} });
  await peer.close();
});

await tap.test('should keep a link whose replies arrive when the event loop resumes', async t => {
  // Guards against counting the event loop's own lag as silence of the link, which breaks all pending calls.
  const clock = new VirtualClock();
  const peer = new Peer(clock);
  const link = await peer.open();
  await link.call(echo, {}, Deadline.after(clock, 5000));
  await clock.advance(10);
  const isAsked = peer.hasReceivedCall();
  const short: Reply = link.call(asked, {}, Deadline.after(clock, 300));
  let isLongOver = false;
  const long = link.call(never, {}, Deadline.after(clock, 30_000)).finally(() => {
    isLongOver = true;
  });
  await isAsked;
  await clock.blockEventLoop(2000, () => peer.answer());
  t.same(await short, { ok: true, value: {} });
  t.same(await link.call(echo, {}, Deadline.after(clock, 1000)), { ok: true, value: {} });
  await clock.advance(1000);
  t.same(peer.counters.refusals, [], 'the link was kept');
  t.notOk(isLongOver, 'its other call is still pending');
  await peer.close();
  t.match(await long, { ok: false, error: { kind: 'broken' } });
});

await tap.test(
  'should abandon an unresponsive peer within 100 ms after the event loop was blocked',
  async t => {
    const clock = new VirtualClock();
    const peer = new Peer(clock);
    const link = await peer.open();
    await link.call(echo, {}, Deadline.after(clock, 5000));
    await clock.advance(10);
    const isAsked = peer.hasReceivedCall();
    const first: Reply = link.call(asked, {}, Deadline.after(clock, 300));
    await isAsked;
    await clock.blockEventLoop(2000, () => undefined);
    await clock.advance(100);
    t.match(await first, { ok: false, error: { kind: 'timed-out' } });
    t.same(peer.counters.refusals, ['silent']);
    await peer.close();
  },
);

await tap.test('should end a call at its time-out while the event loop has no lag', async t => {
  const clock = new VirtualClock();
  const peer = new Peer(clock);
  const link = await peer.open();
  await link.call(echo, {}, Deadline.after(clock, 5000));
  let isOver = false;
  const reply = link.call(never, {}, Deadline.after(clock, 300)).then(result => {
    isOver = true;
    return result;
  });
  await clock.advance(299);
  t.notOk(isOver);
  await clock.advance(1);
  t.ok(isOver);
  t.match(await reply, { ok: false, error: { kind: 'timed-out' } });
  await peer.close();
});

await tap.test(
  'should accept a connection with a delayed handshake and send no expired call on it',
  async t => {
    // Guards against a connection time-out that takes effect before an arrived handshake is read, and against sending
    // calls whose deadline has passed.
    const clock = new VirtualClock();
    const peer = new Peer(clock);
    const link = await peer.open();
    const short = link.call(echo, {}, Deadline.after(clock, 300));
    const long = link.call(echo, {}, Deadline.after(clock, 30_000));
    await clock.blockEventLoop(2000, () => undefined);
    t.same(await long, { ok: true, value: {} });
    t.match(await short, { ok: false, error: { kind: 'not-sent' } });
    t.equal(peer.echoed, 1, 'the expired call was not sent');
    await peer.close();
  },
);

interface MonitorSetup {
  readonly clock: VirtualClock;
  readonly monitor: ReachabilityMonitor;
  /** Answers the pending store call and starts the next one. */
  readonly storeAnswers: () => void;
  readonly stop: AbortController;
}

/** Monitor of a host that always has a pending store call, and whose peers are unresponsive. */
function startMonitor(): MonitorSetup {
  const clock = new VirtualClock();
  const context = testContext(clock);
  const direct = new FakeStore(clock).client();
  let answerGet: () => void = () => undefined;
  direct.get = async () => {
    await new Promise<void>(resolve => {
      answerGet = resolve;
    });
    return ok(undefined);
  };
  const store = new RelayedStore(context, direct);
  const callStore = (): void => void store.get('k', Deadline.after(clock, 60_000));
  callStore();
  const storeAnswers = (): void => {
    answerGet();
    callStore();
  };
  const monitor = new ReachabilityMonitor(context, store, unresponsiveHosts(clock));
  monitor.start();
  return { clock, monitor, storeAnswers, stop: context.stop };
}

function unresponsiveHosts(clock: VirtualClock): Hosts {
  return {
    self: () => ({ hostId: 'a', incarnation: '1', address: 'a' }),
    isSynced: () => true,
    isAlive: () => true,
    onTerminated: () => () => undefined,
    isTerminated: () => false,
    isOwnDomain: () => false,
    isHeld: () => false,
    onKeyChange: () => undefined,
    lastOrders: () => undefined,
    peers: () => [{ hostId: 'b', incarnation: '1', address: 'b' }],
    call: async (_address, _call, _request, timeoutMs) => {
      await sleep(clock, timeoutMs);
      return err({ kind: 'timed-out' });
    },
  };
}

await tap.test('should not consider itself isolated while it reads store answers late', async t => {
  // Guards against judging the store by the time since the last read before pending answers are read.
  const { clock, monitor, storeAnswers, stop } = startMonitor();
  for (let i = 0; i < 12; i++) {
    await clock.blockEventLoop(1000, storeAnswers);
    t.notOk(monitor.isIsolated(), `blocked ${i + 1} times`);
  }
  stop.abort();
});

await tap.test('should consider itself isolated although its event loop is blocked repeatedly', async t => {
  const { clock, monitor, stop } = startMonitor();
  let blockedMs = 0;
  for (; blockedMs < 6000 && !monitor.isIsolated(); blockedMs += 200) {
    await clock.blockEventLoop(200, () => undefined);
    // The monitor decides in the event loop iteration after its timer, during which no time passes.
    await settle();
  }
  t.ok(blockedMs <= 1800, `detected after ${blockedMs} ms`);
  stop.abort();
});

interface ForwardingSetup {
  readonly clock: VirtualClock;
  readonly client: ScriptedClient;
  readonly outcome: Promise<ForwardOutcome>;
  /** Delivers the answer of the first endpoint. */
  readonly answerFirst: () => void;
  readonly stop: AbortController;
}

/** Forwards a request that may be hedged after 120 ms, and waits for the first endpoint. */
async function startForwarding(): Promise<ForwardingSetup> {
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
  for (const id of ['e1', 'e2']) store.put(`${keys.endpointPrefix}${id}`, endpointRecord());
  endpoints.start();
  await clock.advance(100);
  const client = new ScriptedClient(clock);
  let answerFirst: () => void = () => undefined;
  const first = new Promise<EndpointReply>(resolve => {
    answerFirst = () => resolve({ kind: 'answered', answer: answer(200, 'first') });
  });
  const second: EndpointReply = { kind: 'answered', answer: answer(200, 'second') };
  client.reply = async () => (client.sends.length === 1 ? first : second);
  const safe = route({ run: 'idempotent', maxAttempts: 2, targetMs: 200, timeoutMs: 1500 });
  const request = {
    id: 'r1',
    caller: '',
    host: 'quests',
    method: 'GET',
    target: '/',
    headers: [],
    body: undefined,
  };
  const forwarder = new Forwarder(
    context,
    endpoints,
    client,
    singleHostPoisonGuard(context, store.client(), client),
    testClientLimits(context.clock).answers,
  );
  const outcome = forwarder.forward({ ...request, waitMs: 1500 }, safe, new AbortController().signal);
  return { clock, client, outcome, answerFirst, stop: context.stop };
}

await tap.test(
  'should not hedge a request whose answer arrived while the event loop was blocked',
  async t => {
    // Guards against a hedge that is sent before an answer which has already arrived is read.
    const { clock, client, outcome, answerFirst, stop } = await startForwarding();
    await clock.blockEventLoop(400, answerFirst);
    await clock.advance(200);
    const end = await outcome;
    t.ok(end.kind === 'answered' && end.answer.body.toString() === 'first');
    t.equal(client.sends.length, 1);
    stop.abort();
  },
);

await tap.test('should hedge a request within 100 ms after the event loop was blocked', async t => {
  const { clock, client, outcome, stop } = await startForwarding();
  await clock.blockEventLoop(400, () => undefined);
  await clock.advance(100);
  const end = await outcome;
  t.ok(end.kind === 'answered' && end.answer.body.toString() === 'second');
  t.equal(client.sends.length, 2);
  stop.abort();
});

await tap.test(
  'should send nothing after the deadline of a request, even if pending I/O is read first',
  async t => {
    // The hedge is due at 120 ms and the deadline at 1500 ms; the 100 ms allowed for lag extend past the deadline.
    const { clock, client, outcome, stop } = await startForwarding();
    await clock.blockEventLoop(1450, () => undefined);
    await clock.advance(1000);
    t.equal((await outcome).kind, 'unknown');
    t.equal(client.sends.length, 1);
    stop.abort();
  },
);
