/**
 * Clients of the platform's store and endpoints over sockets: wire format, error classification, connection faults.
 */
import { setMaxListeners } from 'node:events';
import tap from 'tap';
import { Deadline, SystemClock, VirtualClock } from '@fuchsiahitch/base';
import { Retirement, type EndpointCall, type EndpointInfo, type ItemCall } from '@fuchsiahitch/gateway';
import { PlatformEndpointClient, retirementRecord, StoreClient } from '@fuchsiahitch/platform';
import { FakeStore } from './fakeStore.js';
import { ALWAYS_WRITES, TestLog } from './gatewayFixtures.js';
import {
  chunk,
  validResponse,
  LAST_CHUNK,
  StoreStandIn,
  streamHead,
  WireServer,
} from './platformStandIns.js';

const clock = new SystemClock();
const deadline = (ms = 2000): Deadline => Deadline.after(clock, ms);
const NEVER_ABORTED = new AbortController().signal;

async function withStore(run: (store: StoreStandIn, client: StoreClient) => Promise<void>): Promise<void> {
  const store = new StoreStandIn();
  const address = await store.listen();
  await run(store, new StoreClient(address, () => undefined));
  await store.close();
}

await tap.test('should write conditionally, read, list in pages and watch', t =>
  withStore(async (store, client) => {
    const put = { kind: 'put', key: 'a/1', value: 'näme' } as const;
    const first = await client.transact([{ key: 'a/1', version: 0 }], [put], deadline());
    t.ok(first.ok && first.value.succeeded);
    const again = await client.transact([{ key: 'a/1', version: 0 }], [put], deadline());
    t.ok(again.ok && !again.value.succeeded);
    const got = await client.get('a/1', deadline());
    t.ok(got.ok && got.value?.value === 'näme' && first.ok && got.value.version === first.value.version);
    const none = await client.get('a/2', deadline());
    t.ok(none.ok && none.value === undefined);
    store.pageSize = 2;
    for (let i = 2; i <= 5; i++) store.data.put(`a/${i}`, String(i));
    const snapshot = await client.snapshot('a/', deadline());
    t.ok(snapshot.ok && snapshot.value.items.length === 5);
    if (!snapshot.ok) return;
    const pending = client.changes('a/', snapshot.value.revision, 1000, deadline());
    store.data.remove('a/1');
    const changes = await pending;
    t.ok(changes.ok && changes.value.events.some(event => event.key === 'a/1' && event.value === undefined));
    store.data.compact();
    const compacted = await client.changes('a/', 1, 100, deadline());
    t.ok(!compacted.ok && compacted.error === 'compacted');
  }),
);

await tap.test('should classify failed calls to the store', t =>
  withStore(async (store, client) => {
    // Guards against reporting a write as not executed when only its response was lost.
    const put = { kind: 'put', key: 'k', value: 'v' } as const;
    for (const status of [503, 429]) {
      store.failWithStatus = status;
      const refused = await client.transact([], [put], deadline());
      t.ok(!refused.ok && refused.error === 'not-done', String(status));
    }
    store.failWithStatus = 500;
    const failed = await client.transact([], [put], deadline());
    t.ok(!failed.ok && failed.error === 'unknown');
    store.failWithStatus = undefined;
    store.dropNextResponse = true;
    const lost = await client.transact([], [put], deadline());
    t.ok(!lost.ok && lost.error === 'unknown');
    t.equal(store.data.value('k'), 'v');
    store.isUnresponsive = true;
    const timedOut = await client.get('k', deadline(100));
    t.ok(!timedOut.ok && timedOut.error === 'unknown');
    store.isUnresponsive = false;
    t.ok((await client.get('k', deadline())).ok, 'a new connection');
    const unreachable = new StoreClient('127.0.0.1:1', () => undefined);
    const refused = await unreachable.get('k', deadline());
    t.ok(!refused.ok && refused.error === 'not-done');
  }),
);

await tap.test('should grant, renew and revoke leases', t =>
  withStore(async (store, client) => {
    const lease = await client.grantLease(2000, deadline());
    t.ok(lease.ok);
    if (!lease.ok) return;
    await client.transact([], [{ kind: 'put', key: 'k', value: 'v', leaseId: lease.value }], deadline());
    t.equal(store.data.value('k'), 'v');
    const renewed = await client.keepLease(lease.value, deadline());
    t.ok(renewed.ok && renewed.value);
    await client.endLease(lease.value, deadline());
    t.equal(store.data.value('k'), undefined);
    const lost = await client.keepLease(lease.value, deadline());
    t.ok(lost.ok && !lost.value);
  }),
);

await tap.test('should answer a request to retire a storage host', async t => {
  // Guards against losing a request that was read while the store was unreachable or compacted its history.
  const virtual = new VirtualClock();
  const store = new FakeStore(virtual);
  const client = store.client();
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const retirement = new Retirement(retirementRecord('storage-1'), client, virtual, new TestLog());
  void retirement.run(stop.signal);
  const watches = t.capture(client, 'changes', client.changes.bind(client));
  await virtual.advance(60_000);
  t.ok(watches().length <= 5, 'at most one watch call per 15 s');
  store.put('op/retire/storage-2', '{}');
  store.put('op/retire/storage-12', '{}');
  await virtual.advance(100);
  t.same(store.keys('status/'), []);
  store.put('op/retire/storage-1', '{}');
  await virtual.advance(100);
  t.same(store.keys('status/'), ['status/retire/storage-1']);
  t.same(JSON.parse(store.value('status/retire/storage-1') ?? ''), { state: 'completed' });
  for (const fault of ['refusing', 'compacted'] as const) {
    store.remove('status/retire/storage-1');
    if (fault === 'refusing') client.mode = 'refusing';
    store.put('op/retire/storage-1', '{}');
    if (fault === 'compacted') store.compact();
    await virtual.advance(17_000);
    client.mode = 'available';
    await virtual.advance(1000);
    t.same(store.keys('status/'), ['status/retire/storage-1'], fault);
  }
  stop.abort();
});

async function withServer(
  run: (server: WireServer, endpoint: EndpointInfo, client: PlatformEndpointClient) => Promise<void>,
): Promise<void> {
  const server = new WireServer();
  const address = await server.listen();
  const endpoint: EndpointInfo = {
    id: 'i-1',
    startWallMs: 0,
    address,
    pool: 's',
    domain: 'tekapo',
    slots: 4,
    isLeaving: false,
    versions: new Map([['m1', 2]]),
  };
  await run(server, endpoint, new PlatformEndpointClient());
  await server.close();
}

function call(endpoint: EndpointInfo, overrides: Partial<EndpointCall> = {}): EndpointCall {
  return {
    guard: ALWAYS_WRITES,
    endpoint,
    accountName: undefined,
    method: 'POST',
    target: '/a/x?y=%20z',
    headers: [
      ['Host', 'h.example'],
      ['Request-Id', 'r1'],
      ['Deadline-Ms', '99999'],
      ['X-Odd', 'Value'],
      ['Connection', 'keep-alive, X-Hop'],
      ['X-Hop', '1'],
    ],
    body: Buffer.from('seat 4'),
    leftMs: 700.9,
    ...overrides,
  };
}

async function read(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const part of body) chunks.push(part);
  return Buffer.concat(chunks).toString();
}

await tap.test('should forward a request unchanged, with its remaining deadline', t =>
  withServer(async (server, endpoint, client) => {
    const reply = await client.send(call(endpoint), NEVER_ABORTED);
    t.ok(reply.kind === 'answered' && reply.answer.proof === 'proof');
    if (reply.kind === 'answered') t.equal(await read(reply.answer.body), 'whole');
    const [request] = server.requests;
    t.match(request, { method: 'POST', target: '/a/x?y=%20z' });
    t.equal(request?.body.toString(), 'seat 4');
    t.match(request?.headers, {
      host: 'h.example',
      'request-id': 'r1',
      'deadline-ms': '700',
      'expect-instance': 'i-1',
      'x-odd': 'Value',
    });
    t.equal(request?.headers['x-hop'], undefined);
    const otherMethod = await client.send(
      call(endpoint, { method: 'PROPFIND', body: undefined }),
      NEVER_ABORTED,
    );
    t.equal(otherMethod.kind, 'answered');
  }),
);

await tap.test('should report not-run only with proof', t =>
  withServer(async (server, endpoint, client) => {
    const send = async (): Promise<unknown> => client.send(call(endpoint), NEVER_ABORTED);
    server.answer = (request, socket) =>
      void socket.write(
        validResponse(request, '', '503 Service Unavailable', ['Not-Executed: 1', 'Server-Load: 4,9,4']),
      );
    t.match(await send(), { kind: 'not-run', reason: 'refused', load: { running: 4, waiting: 9 } });
    server.answer = (request, socket) =>
      void socket.write(validResponse(request, '', '421 Misdirected Request'));
    t.match(await send(), { kind: 'not-run', reason: 'other-instance' });
    server.answer = (request, socket) =>
      void socket.write(validResponse(request, '', '503 Service Unavailable'));
    t.match(await send(), { kind: 'answered' });
    server.answer = (_request, socket) => void socket.resetAndDestroy();
    t.match(await send(), { kind: 'broken' });
    const unreachableEndpoint = { ...endpoint, address: '127.0.0.1:1' };
    t.match(await client.send(call(unreachableEndpoint), NEVER_ABORTED), {
      kind: 'not-run',
      reason: 'unreachable',
    });
  }),
);

await tap.test('should distinguish a terminated endpoint from a broken connection', t =>
  withServer(async (server, endpoint, client) => {
    server.answer = (_request, socket) => void socket.resetAndDestroy();
    t.match(await client.send(call(endpoint), NEVER_ABORTED), { kind: 'broken' });
    t.notOk(await client.hasTerminated(endpoint), 'still listening');
    server.answer = () => void server.close();
    t.match(await client.send(call(endpoint), NEVER_ABORTED), { kind: 'broken' });
    t.ok(await client.hasTerminated(endpoint), 'no longer listening');
    // A record may contain an invalid port.
    t.notOk(await client.hasTerminated({ ...endpoint, address: '127.0.0.1:99999' }), 'inconclusive');
  }),
);

await tap.test('should send a request only once when its connection breaks', t =>
  withServer(async (server, endpoint, client) => {
    // Guards against implicit retries in the HTTP library when a reused connection is closed.
    const first = await client.send(call(endpoint), NEVER_ABORTED);
    if (first.kind === 'answered') await read(first.answer.body);
    server.answer = (_request, socket) => void socket.destroy();
    const before = server.requests.length;
    t.match(await client.send(call(endpoint), NEVER_ABORTED), { kind: 'broken' });
    t.equal(server.requests.length, before + 1);
  }),
);

await tap.test('should not match an extra response to the next request', t =>
  withServer(async (server, endpoint, client) => {
    // Guards against matching responses by order only: an extra response on a connection would reach another caller.
    server.answer = (request, socket) => {
      const other = { ...request, headers: { ...request.headers, 'request-id': 'r0' } };
      socket.write(validResponse(other, 'of another'));
    };
    t.match(await client.send(call(endpoint), NEVER_ABORTED), { kind: 'broken' });
    server.answer = (request, socket) => {
      socket.write(validResponse(request, 'whole') + validResponse(request, 'and one more'));
    };
    const reply = await client.send(call(endpoint), NEVER_ABORTED);
    if (reply.kind === 'answered') t.equal(await read(reply.answer.body), 'whole');
    server.answer = (request, socket) => void socket.write(validResponse(request, 'next'));
    const next = await client.send(call(endpoint), NEVER_ABORTED);
    if (next.kind === 'answered') t.equal(await read(next.answer.body), 'next');
    t.ok(server.connections >= 3, 'connections with mismatched responses are not reused');
  }),
);

await tap.test('should not accept a truncated response', t =>
  withServer(async (server, endpoint, client) => {
    for (const length of ['Content-Length: 50', 'Transfer-Encoding: chunked']) {
      server.answer = (_request, socket) => {
        socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: p\r\n${length}\r\n\r\n`);
        socket.write(length.startsWith('C') ? 'half' : chunk('half'), () => socket.destroy());
      };
      const reply = await client.send(call(endpoint), NEVER_ABORTED);
      t.equal(reply.kind, 'answered');
      if (reply.kind === 'answered') await t.rejects(read(reply.answer.body), length);
    }
    server.answer = (_request, socket) => {
      socket.write('HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: p\r\n\r\nto the end', () =>
        socket.end(),
      );
    };
    const reply = await client.send(call(endpoint), NEVER_ABORTED);
    if (reply.kind === 'answered') t.equal(await read(reply.answer.body), 'to the end');
    server.answer = (_request, socket) => void socket.write('this is no answer\r\n\r\n');
    t.match(await client.send(call(endpoint), NEVER_ABORTED), { kind: 'broken' });
  }),
);

await tap.test('should fail a close-delimited response when its connection is reset', t =>
  withServer(async (server, endpoint, client) => {
    // Guards against undici treating a reset as the regular end: a truncated response would look complete.
    let isReset = false;
    server.answer = (_request, socket) => {
      socket.write('HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: p\r\nConnection: close\r\n\r\nhalf');
      readingBegan.then(
        () => socket.resetAndDestroy(),
        () => undefined,
      );
    };
    let onReading: () => void = () => undefined;
    const readingBegan = new Promise<void>(resolve => {
      onReading = resolve;
    });
    const reply = await client.send(call(endpoint), NEVER_ABORTED);
    t.equal(reply.kind, 'answered');
    if (reply.kind !== 'answered') return;
    try {
      for await (const part of reply.answer.body) {
        t.equal(part.toString(), 'half');
        onReading();
      }
    } catch {
      isReset = true;
    }
    t.ok(isReset);
  }),
);

await tap.test('should detect a reset that arrives before the body is read', t =>
  withServer(async (server, endpoint, client) => {
    // Guards against tracking resets only once the body is being read.
    for (let i = 0; i < 5; i++) {
      server.answer = (_request, socket) => {
        socket.write(
          'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: p\r\nConnection: close\r\n\r\nhalf',
          () => {
            setImmediate(() => socket.resetAndDestroy());
          },
        );
      };
      const reply = await client.send(call(endpoint), NEVER_ABORTED);
      if (reply.kind !== 'answered') {
        t.equal(reply.kind, 'broken');
        continue;
      }
      while (server.closed <= i) await new Promise(resolve => setImmediate(resolve));
      for (let turn = 0; turn < 20; turn++) await new Promise(resolve => setImmediate(resolve));
      await t.rejects(read(reply.answer.body), 'a truncated response');
    }
  }),
);

await tap.test('should close the connection of a cancelled request', t =>
  withServer(async (server, endpoint, client) => {
    // Guards against endpoints that keep working for disconnected callers.
    const abort = new AbortController();
    server.answer = () => abort.abort();
    t.match(await client.send(call(endpoint), abort.signal), { kind: 'cancelled' });
    for (let i = 0; i < 200 && server.closed === 0; i++) await new Promise(resolve => setImmediate(resolve));
    t.equal(server.closed, 1);
  }),
);

await tap.test('should write no byte of a request that its guard withholds', t =>
  withServer(async (server, endpoint, client) => {
    // Guards against a request that reaches an endpoint which was found to leave while the connection was opened.
    const { signal } = new AbortController();
    const withheld = { kind: 'not-run', reason: 'withheld' };
    const guard = { mayWrite: () => false };
    t.match(await client.send(call(endpoint, { guard }), signal), withheld);
    const listener = { began: () => true, event: () => true };
    t.match(await client.runItem({ ...itemCall(endpoint), guard }, listener, signal), withheld);
    t.equal(server.requests.length, 0);
    const reply = await client.send(call(endpoint), signal);
    t.ok(reply.kind === 'answered' && (await read(reply.answer.body)) === 'whole');
    t.equal(server.requests.length, 1);
  }),
);

function itemCall(endpoint: EndpointInfo, afterEvent = 0): ItemCall {
  return {
    guard: ALWAYS_WRITES,
    endpoint,
    itemId: 'x',
    accountName: undefined,
    host: 'h.example',
    target: '/a/b/x',
    headers: { Model: 'm1', 'Token-Count': '16,400', Host: 'wrong', 'Last-Event-Id': '99' },
    body: Buffer.from('prompt'),
    afterEvent,
    leftMs: 30_000,
  };
}

await tap.test('should read an item’s events with their weight versions', t =>
  withServer(async (server, endpoint, client) => {
    const events: unknown[] = [];
    const listener = {
      began: () => true,
      event: (event: unknown) => {
        events.push(event);
        return true;
      },
    };
    server.answer = (request, socket) => {
      socket.write(streamHead(request, 2));
      socket.write(chunk('id: 4\ndata: a\n\nid: 5\nda'));
      socket.write(chunk('ta: b\n\nweight-versions: 3\nid: 6\ndata: c\n\n') + LAST_CHUNK);
    };
    const end = await client.runItem(itemCall(endpoint, 3), listener, NEVER_ABORTED);
    t.same(end, { kind: 'done' });
    t.same(events, [
      { number: 4, text: 'a', version: 2 },
      { number: 5, text: 'b', version: 2 },
      { number: 6, text: 'c', version: 3 },
    ]);
    t.match(server.requests[0]?.headers, {
      host: 'h.example',
      'request-id': 'x',
      'last-event-id': '3',
      model: 'm1',
      'expect-instance': 'i-1',
    });
  }),
);

await tap.test('should classify the end of an item’s attempt', t =>
  withServer(async (server, endpoint, client) => {
    const seen: number[] = [];
    const listener = {
      began: () => true,
      event: (event: { readonly number: number }) => {
        seen.push(event.number);
        return true;
      },
    };
    const run = async (): Promise<unknown> => client.runItem(itemCall(endpoint), listener, NEVER_ABORTED);
    server.answer = (request, socket) => {
      // The stream breaks in the middle of an event: only complete events count.
      socket.write(streamHead(request, 2) + chunk('id: 1\ndata: a\n\nid: 2\ndata: b'), () =>
        socket.destroy(),
      );
    };
    t.match(await run(), { kind: 'broken' });
    t.same(seen, [1]);
    server.answer = (request, socket) =>
      void socket.write(validResponse(request, '', '500 Internal Server Error'));
    t.match(await run(), { kind: 'failed', status: 500 });
    server.answer = (request, socket) =>
      void socket.write(validResponse(request, '', '422 Unprocessable Entity'));
    t.match(await run(), { kind: 'impossible' });
    server.answer = (request, socket) =>
      void socket.write(validResponse(request, '', '503 Service Unavailable', ['Not-Executed: 1']));
    t.match(await run(), { kind: 'not-run', reason: 'refused' });
  }),
);

await tap.test('should order a weight version and read the endpoint’s report', t =>
  withServer(async (server, endpoint, client) => {
    server.answer = (request, socket) => {
      const report = { models: [{ name: 'm1', version: 2 }], busy: true, seq: 5 };
      const isReport = request.target === '/v1/report';
      socket.write(
        validResponse(request, isReport ? JSON.stringify(report) : '', isReport ? '200 OK' : '202 Accepted'),
      );
    };
    t.match(await client.report(endpoint, 500), { isBusy: true, sequence: 5 });
    const order = {
      endpoint,
      model: 'm1',
      version: 3,
      holder: 'edge-1',
      fencingToken: 41,
      expectedSequence: 5,
    };
    t.equal(await client.order(order, 500), 'accepted');
    t.same(JSON.parse(server.requests[1]?.body.toString() ?? ''), {
      op: 'version',
      model: 'm1',
      version: 3,
      mode: 'retain',
      holder: 'edge-1',
      fence_token: 41,
      expected: 5,
    });
    server.answer = (request, socket) => void socket.write(validResponse(request, '', '409 Conflict'));
    t.equal(await client.order(order, 500), 'busy');
    server.answer = () => undefined;
    t.equal(await client.order(order, 50), 'unknown');
    t.equal(await client.report(endpoint, 50), undefined);
  }),
);

await tap.test('should not take a response that breaks off for the acceptance of an order', t =>
  withServer(async (server, endpoint, client) => {
    // Guards against an order that counts as accepted although its response is none: the end of a discarded body has no error.
    const order = { endpoint, model: 'm1', version: 3, holder: 'h', fencingToken: 1, expectedSequence: 0 };
    for (const rest of ['Content-Length: 5\r\n\r\nab', 'Transfer-Encoding: chunked\r\n\r\nzz\r\n', '\r\n'])
      for (const status of ['200 OK', '202 Accepted']) {
        server.answer = (_request, socket) => {
          socket.write(`HTTP/1.1 ${status}\r\n${rest}`, () => setImmediate(() => socket.resetAndDestroy()));
        };
        t.equal(await client.order(order, 500), 'unknown', `${status} ${rest}`);
      }
  }),
);
