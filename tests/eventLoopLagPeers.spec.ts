/**
 * An event loop that runs late: what other hosts have sent is read before they count as silent.
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

/** A link to a peer that answers `asked` when the test says so, and `never` not at all. */
class Peer<T extends Clock> {
  readonly counters = new Counters();
  /** Calls of `echo` that were carried out. */
  echoed = 0;
  /** Called when `asked` has come. */
  onAsked: () => void = () => undefined;
  /** Lets the peer answer `asked`. */
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

  /** Resolves when the peer has a call of `asked`. */
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

/** The process gets no processor time: nothing in it runs. */
function blockLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

await tap.test('should take a reply that arrived while the process was held up', async t => {
  // Symptom: batches are taken over whose owners live, and confirmed it. Sequence: the reply of a peer arrives; the
  // process is held up until the call's time is over. Cause: the time-out comes before the reading.
  const clock = new SystemClock();
  const peer = new Peer(clock);
  const link = await peer.open();
  await link.call(echo, {}, Deadline.after(clock, 5000));
  peer.onAsked = () => {
    // The reply is written when this handler has returned, before the next round of the loop begins.
    peer.answer();
    setImmediate(() => blockLoop(800));
  };
  const reply = link.call(asked, {}, Deadline.after(clock, 600));
  t.same(await reply, { ok: true, value: {} });
  await peer.close();
});

await tap.test('should keep a sound link whose replies come as a late loop reads again', async t => {
  // Symptom: all calls to a sound peer fail at once as `broken`, relays to the store pause for 2 s. Sequence: a call
  // waits; the process is held up for longer than a link may be silent; the peer's reply comes as it goes on. Cause: the
  // process's own delay counts as the silence of the link.
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
  t.notOk(isLongOver, 'its other call waits on');
  await peer.close();
  t.match(await long, { ok: false, error: { kind: 'broken' } });
});

await tap.test('should give a silent peer up within 100 ms after the process was held up', async t => {
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
});

await tap.test('should give a call up at its limit while the loop is on time', async t => {
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
  'should take up a connection whose handshake came late, and write no call on it too late',
  async t => {
    // Symptom: a sound peer gets no calls for a while after a host was held up. Sequence: a connection is made; the process
    // is held up for longer than that may take; the peer's part of the handshake has arrived. Cause: the time-out of the
    // connection comes before the reading. A call whose own time is over by then must not be written any more.
    const clock = new VirtualClock();
    const peer = new Peer(clock);
    const link = await peer.open();
    const short = link.call(echo, {}, Deadline.after(clock, 300));
    const long = link.call(echo, {}, Deadline.after(clock, 30_000));
    await clock.blockEventLoop(2000, () => undefined);
    t.same(await long, { ok: true, value: {} });
    t.match(await short, { ok: false, error: { kind: 'not-sent' } });
    t.equal(peer.echoed, 1, 'the call whose time was over was not written');
    await peer.close();
  },
);

interface Watched {
  readonly clock: VirtualClock;
  readonly monitor: ReachabilityMonitor;
  /** The store's answer to the question under way is read, and the next one asked. */
  readonly storeAnswers: () => void;
  readonly stop: AbortController;
}

/** A host that has a question at the store at all times, and whose peers are silent. */
function watched(): Watched {
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
  const ask = (): void => void store.get('k', Deadline.after(clock, 60_000));
  ask();
  const storeAnswers = (): void => {
    answerGet();
    ask();
  };
  const monitor = new ReachabilityMonitor(context, store, silentHosts(clock));
  monitor.start();
  return { clock, monitor, storeAnswers, stop: context.stop };
}

function silentHosts(clock: VirtualClock): Hosts {
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

await tap.test('should not take itself for cut off while it reads the answers of the store late', async t => {
  // Symptom: hosts are not ready for seconds though the store answers them. Sequence: the process is held up again and
  // again, for longer than the store may be silent; each time the store's answer has arrived. Cause: the host judges by
  // the time since it last read, before it reads.
  const { clock, monitor, storeAnswers, stop } = watched();
  for (let i = 0; i < 12; i++) {
    await clock.blockEventLoop(1000, storeAnswers);
    t.notOk(monitor.isCutOff(), `held up ${i + 1} times`);
  }
  stop.abort();
});

await tap.test('should take itself for cut off though it is held up again and again', async t => {
  const { clock, monitor, stop } = watched();
  let heldMs = 0;
  for (; heldMs < 6000 && !monitor.isCutOff(); heldMs += 200) {
    await clock.blockEventLoop(200, () => undefined);
    // The host decides in the round of the loop after its timer; no time passes in it.
    await settle();
  }
  t.ok(heldMs <= 1800, `known after ${heldMs} ms`);
  stop.abort();
});

interface Forwarding {
  readonly clock: VirtualClock;
  readonly client: ScriptedClient;
  readonly outcome: Promise<ForwardOutcome>;
  /** The answer of the first endpoint arrives. */
  readonly answerFirst: () => void;
  readonly stop: AbortController;
}

/** A request that may be sent to a second endpoint after 120 ms, and waits for the first. */
async function forwarding(): Promise<Forwarding> {
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
  );
  const outcome = forwarder.forward({ ...request, waitMs: 1500 }, safe, new AbortController().signal);
  return { clock, client, outcome, answerFirst, stop: context.stop };
}

await tap.test('should send no request twice whose answer arrived while the process was held up', async t => {
  // Symptom: a host with little processor time sends its endpoints every request twice, and gets later still. Sequence: a
  // request is sent; the process is held up until a second send is due; the answer has arrived. Cause: the second send
  // comes before the reading.
  const { clock, client, outcome, answerFirst, stop } = await forwarding();
  await clock.blockEventLoop(400, answerFirst);
  await clock.advance(200);
  const end = await outcome;
  t.ok(end.kind === 'answered' && end.answer.body.toString() === 'first');
  t.equal(client.sends.length, 1);
  stop.abort();
});

await tap.test('should send a late request twice within 100 ms after the process was held up', async t => {
  const { clock, client, outcome, stop } = await forwarding();
  await clock.blockEventLoop(400, () => undefined);
  await clock.advance(100);
  const end = await outcome;
  t.ok(end.kind === 'answered' && end.answer.body.toString() === 'second');
  t.equal(client.sends.length, 2);
  stop.abort();
});

await tap.test(
  'should send nothing after the time of a request, also where the loop reads once more',
  async t => {
    // The second send is due at 120 ms and the request over at 1500: a late loop's 100 ms more reach past the end.
    const { clock, client, outcome, stop } = await forwarding();
    await clock.blockEventLoop(1450, () => undefined);
    await clock.advance(1000);
    t.equal((await outcome).kind, 'unknown');
    t.equal(client.sends.length, 1);
    stop.abort();
  },
);
