/**
 * Connections to endpoints over real sockets: which connection a request uses, and what follows a failure.
 */
import tap, { type Test } from 'tap';
import { errors, Pool, type Dispatcher } from 'undici';
import { ConnectionList, EndpointPools, isNotSentError } from '@fuchsiahitch/clients';
import { GatewayMetrics } from '@fuchsiahitch/gateway';
import { PlatformEndpointClient } from '@fuchsiahitch/platform';
import {
  burst,
  Endpoint,
  failureOf,
  MAX_POLLS,
  POLL_MS,
  send,
  settle,
  waitUntil,
} from './connectionFixtures.js';
import { validResponse } from './platformStandIns.js';

function withEndpoint(run: (t: Test, endpoint: Endpoint) => Promise<void>): (t: Test) => Promise<void> {
  return async t => {
    const endpoint = await Endpoint.start();
    try {
      await run(t, endpoint);
    } finally {
      await endpoint.close();
    }
  };
}

await tap.test('should take the most recently used connection and name why one is opened', t => {
  const list = new ConnectionList<string>();
  const isOpen = (connection: string): boolean => !connection.startsWith('closed');
  t.equal(list.reasonToOpen(), 'first');
  list.add('a');
  t.equal(list.reasonToOpen(), 'all-busy', 'the first one is not open yet');
  list.add('b');
  list.add('closed');
  list.markOpened();
  for (const connection of ['a', 'closed', 'b', 'b']) list.release(connection);
  t.equal(list.takeIdle(isOpen), 'b');
  t.equal(list.takeIdle(isOpen), 'a', 'skips the closed one');
  t.equal(list.takeIdle(isOpen), undefined, 'one release makes a connection available once');
  t.same(list.all(), ['a', 'b']);
  list.remove('closed');
  t.equal(list.reasonToOpen(), 'idle-closed');
  t.equal(list.reasonToOpen(), 'all-busy', 'a closed connection is counted once');
  list.remove('a');
  list.remove('b');
  t.equal(list.reasonToOpen(), 'all-busy', 'connections closed in use were not idle');
  list.release('a');
  t.equal(list.takeIdle(isOpen), undefined, 'a removed connection is not available again');
  const replacement = new ConnectionList<string>(2);
  t.same(
    Array.from({ length: 3 }, () => replacement.reasonToOpen()),
    ['replaced', 'replaced', 'first'],
  );
  t.end();
});

await tap.test(
  'should reuse an idle connection instead of opening one',
  withEndpoint(async (t, endpoint) => {
    // Guards against undici's order: its pool prefers a client whose connection was closed to an idle connection.
    const pool = endpoint.pool();
    await burst(endpoint, pool, 8);
    t.equal(endpoint.server.connections, 8);
    endpoint.sockets[0]?.destroy();
    await waitUntil(() => endpoint.open === 7);
    await settle();
    for (let i = 0; i < 20; i++) {
      t.equal(await send(pool), 'whole');
      await settle();
    }
    t.equal(endpoint.server.connections, 8);
    t.equal(new Set(endpoint.sockets.slice(8)).size, 1, 'always the most recently used one');
    t.same(endpoint.counts.all(), { first: 1, 'all-busy': 7, reused: 20 });
    await pool.close();
  }),
);

await tap.test(
  'should not open a connection after an aborted request',
  withEndpoint(async (t, endpoint) => {
    // Guards against undici reconnecting for an aborted request, which remains in the queue of its client.
    const pool = endpoint.pool();
    t.equal(await burst(endpoint, pool, 10, i => i < 4), 4);
    await waitUntil(() => endpoint.open === 6);
    await settle();
    t.equal(endpoint.server.connections, 10);
    t.equal(pool.size, 6);
    await burst(endpoint, pool, 6);
    t.equal(endpoint.server.connections, 10);
    await pool.close();
  }),
);

await tap.test(
  'should keep a connection whose request was aborted before it was open',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    const abort = new AbortController();
    const sent = failureOf(send(pool, abort.signal));
    abort.abort();
    t.ok(await sent);
    await waitUntil(() => endpoint.server.connections === 1);
    await settle();
    t.equal(await send(pool), 'whole');
    t.equal(endpoint.received, 1, 'the aborted request was not sent');
    await pool.close();
  }),
);

await tap.test(
  'should not report a reused connection for a request that is aborted before it is written',
  withEndpoint(async (t, endpoint) => {
    // Guards against a count of reuses that includes requests that no endpoint received.
    const pool = endpoint.pool();
    await send(pool);
    await settle();
    const failure = await new Promise<unknown>(resolve => {
      pool.dispatch(
        { path: '/', method: 'POST', body: 'x' },
        {
          onRequestStart: controller => controller.abort(new Error('aborted by the caller')),
          onResponseError: (_controller, error) => resolve(error),
        },
      );
    });
    t.match(failure, { message: 'aborted by the caller' });
    await settle();
    t.equal(endpoint.received, 1);
    t.same(endpoint.counts.all(), { first: 1 });
    // undici closes the connection of a request that is aborted at this point.
    t.equal(await send(pool), 'whole');
    t.same(endpoint.counts.all(), { first: 1, 'all-busy': 1 });
    await pool.close();
  }),
);

await tap.test(
  'should use one connection for back-to-back requests',
  withEndpoint(async (t, endpoint) => {
    // Guards against a second connection for each sender: the response has ended, but its connection is not idle yet.
    const pool = endpoint.pool();
    await Promise.all(
      Array.from({ length: 8 }, async () => {
        for (let i = 0; i < 20; i++) t.equal(await send(pool), 'whole');
      }),
    );
    t.equal(endpoint.server.connections, 8);
    endpoint.extraHeaders = ['Connection: close'];
    for (let i = 0; i < 20; i++) t.equal(await send(pool), 'whole', 'also if the connection closes instead');
    endpoint.extraHeaders = [];
    t.equal(await send(pool), 'whole');
    const waiting = send(pool);
    const closed = pool.close();
    t.equal(await waiting, 'whole', 'a request that waits for a connection is sent when the pool closes');
    await closed;
    await waitUntil(() => endpoint.open === 0);
  }),
);

await tap.test(
  'should discard a connection that is reset while idle',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    await burst(endpoint, pool, 3);
    for (const socket of endpoint.sockets) socket.resetAndDestroy();
    await waitUntil(() => pool.size === 0);
    await burst(endpoint, pool, 4);
    t.equal(endpoint.server.connections, 7);
    t.same(endpoint.counts.all(), { first: 1, 'all-busy': 3, 'idle-closed': 3 });
    await pool.close();
  }),
);

await tap.test(
  'should send a request once when its idle connection closes as it is chosen',
  withEndpoint(async (t, endpoint) => {
    // Guards against a lost or a repeated request when the close of an idle connection is read only after the choice.
    for (const close of ['resetAndDestroy', 'destroy'] as const) {
      const pool = endpoint.pool();
      for (let i = 0; i < 20; i++) {
        await send(pool);
        await settle();
        const before = endpoint.received;
        endpoint.sockets.at(-1)?.[close]();
        const failure = await failureOf(send(pool));
        t.notOk(
          isNotSentError(failure) && endpoint.received > before,
          'a sent request is not reported as unsent',
        );
        t.ok(endpoint.received <= before + 1, 'sent at most once');
        if (failure === undefined) t.equal(endpoint.received, before + 1);
        await settle();
      }
      await pool.close();
    }
    t.ok((endpoint.counts.all()['idle-closed'] ?? 0) > 0, 'some requests were written to another connection');
  }),
);

await tap.test(
  'should not send a request whose idle connection closes with the endpoint',
  withEndpoint(async (t, endpoint) => {
    // Guards against an outcome that differs from that of a refused connection, after which a request may run elsewhere.
    const pool = endpoint.pool();
    await burst(endpoint, pool, 3);
    const closed = endpoint.close();
    const failures = await Promise.all(Array.from({ length: 3 }, () => failureOf(send(pool))));
    await closed;
    t.ok(failures.every(isNotSentError));
    t.equal(endpoint.received, 3);
    await settle();
    t.equal(pool.size, 0);
    await pool.close();
  }),
);

await tap.test(
  'should fail a written request once when its connection breaks',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    await send(pool);
    await settle();
    const respond = endpoint.server.answer;
    for (const close of ['resetAndDestroy', 'destroy'] as const) {
      const before = endpoint.received;
      endpoint.server.answer = (_request, socket) => void socket[close]();
      const failure = await failureOf(send(pool));
      t.ok(failure, close);
      t.notOk(isNotSentError(failure), 'its outcome is unknown');
      endpoint.server.answer = respond;
      await settle();
      t.equal(endpoint.received, before + 1, 'sent once');
      t.equal(pool.size, 0);
      t.equal(await send(pool), 'whole');
      await settle();
    }
    await pool.close();
  }),
);

await tap.test(
  'should not reuse a connection that the endpoint will close',
  withEndpoint(async (t, endpoint) => {
    for (const header of ['Connection: close', 'Keep-Alive: timeout=1']) {
      const pool = endpoint.pool();
      const before = endpoint.server.connections;
      endpoint.extraHeaders = [header];
      for (let i = 0; i < 3; i++) {
        t.equal(await send(pool), 'whole');
        await settle();
      }
      t.equal(endpoint.server.connections, before + 3, header);
      await waitUntil(() => pool.size === 0);
      await pool.close();
    }
  }),
);

await tap.test(
  'should not give an extra response on an idle connection to the next request',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    const respond = endpoint.server.answer;
    // Immediately after the response, in the next turn, and later: `isLate` waits until the connection is idle.
    for (const isLate of [false, true]) {
      endpoint.server.answer = (request, socket) => {
        socket.write(validResponse(request, 'whole'));
        if (!isLate) setImmediate(() => socket.write(validResponse(request, 'extra')));
        endpoint.sockets.push(socket);
      };
      t.equal(await send(pool), 'whole');
      await settle();
      const [last] = endpoint.server.requests.slice(-1);
      if (isLate && last) endpoint.sockets.at(-1)?.write(validResponse(last, 'extra'));
      await waitUntil(() => pool.size === 0);
      endpoint.server.answer = respond;
      t.equal(await send(pool), 'whole');
      await settle();
    }
    t.equal(endpoint.server.connections, 3, 'one after each extra response');
    await pool.close();
  }),
);

await tap.test(
  'should report a refused connection as not sent and keep nothing of it',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    await endpoint.close();
    const failures = await Promise.all(Array.from({ length: 20 }, () => failureOf(send(pool))));
    t.ok(failures.every(isNotSentError));
    await settle();
    t.equal(pool.size, 0);
    t.same(endpoint.counts.all(), {});
    await pool.close();
    t.ok((await failureOf(send(pool))) instanceof errors.ClientClosedError);
  }),
);

await tap.test(
  'should fail an invalid request without occupying a connection',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    await send(pool);
    await settle();
    const invalid = pool.request({ path: '/', method: 'POST', headers: { 'x-bad': 'a\nb' } });
    await t.rejects(invalid, errors.InvalidArgumentError);
    await settle();
    t.equal(await send(pool), 'whole');
    t.equal(endpoint.server.connections, 1);
    await pool.close();
  }),
);

await tap.test(
  'should reduce the number of connections to what is used',
  withEndpoint(async (t, endpoint) => {
    // Guards against rotating over all idle connections, which would keep each of them open.
    endpoint.extraHeaders = ['Keep-Alive: timeout=3'];
    const pool = endpoint.pool();
    await burst(endpoint, pool, 40);
    t.equal(endpoint.open, 40);
    // Idle connections close one second after their last request: 2 s before the time-out that the endpoint states.
    for (let i = 0; i < MAX_POLLS && endpoint.open > 2; i++) {
      await burst(endpoint, pool, 2);
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    t.equal(endpoint.open, 2);
    t.equal(endpoint.server.connections, 40);
    await waitUntil(() => pool.size === 2);
    await pool.close();
  }),
);

await tap.test(
  'should finish running requests when it closes',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    await burst(endpoint, pool, 3);
    endpoint.isHolding = true;
    const abort = new AbortController();
    const finishing = send(pool);
    const aborted = failureOf(send(pool, abort.signal));
    await waitUntil(() => endpoint.received === 5);
    let isClosed = false;
    const closed = pool.close().then(() => (isClosed = true));
    await waitUntil(() => endpoint.open === 2);
    t.ok((await failureOf(send(pool))) instanceof errors.ClientClosedError, 'accepts no further request');
    abort.abort();
    t.ok(await aborted);
    await waitUntil(() => endpoint.open === 1);
    t.notOk(isClosed, 'one request is still running');
    endpoint.respondToHeld();
    t.equal(await finishing, 'whole');
    await closed;
    await waitUntil(() => endpoint.open === 0);
    t.equal(endpoint.server.connections, 3, 'none was opened for the aborted request');
    await pool.close();
  }),
);

await tap.test(
  'should fail running requests when it is destroyed',
  withEndpoint(async (t, endpoint) => {
    const pool = endpoint.pool();
    endpoint.isHolding = true;
    const running = failureOf(send(pool));
    await waitUntil(() => endpoint.received === 1);
    await pool.destroy();
    t.ok(await running);
    t.ok(await failureOf(send(pool)));
    await pool.close();
    await waitUntil(() => endpoint.open === 0);
  }),
);

await tap.test(
  'should use new connections after an address is replaced',
  withEndpoint(async (t, endpoint) => {
    const pools = new EndpointPools(endpoint.counts.add);
    await burst(endpoint, pools.poolFor(endpoint.address), 2);
    endpoint.isHolding = true;
    const running = send(pools.poolFor(endpoint.address));
    await waitUntil(() => endpoint.received === 3);
    pools.replace(endpoint.address);
    pools.replace(endpoint.address);
    await waitUntil(() => endpoint.open === 1);
    endpoint.respondToHeld();
    t.equal(await running, 'whole', 'a running request finishes');
    await waitUntil(() => endpoint.open === 0);
    await burst(endpoint, pools.poolFor(endpoint.address), 3);
    t.same(endpoint.counts.all(), { first: 1, 'all-busy': 2, reused: 1, replaced: 2 });
    pools.replace(endpoint.address);
  }),
);

await tap.test(
  'should bound the number of pools and close the evicted one',
  withEndpoint(async (t, endpoint) => {
    // Guards against connections that stay open although no pool lists them.
    const pools = new EndpointPools(endpoint.counts.add);
    const pool = pools.poolFor(endpoint.address);
    await burst(endpoint, pool, 2);
    endpoint.isHolding = true;
    const running = send(pool);
    await waitUntil(() => endpoint.received === 3);
    for (let i = 0; i < 2000; i++) pools.poolFor(`127.0.0.1:${10_000 + i}`);
    await waitUntil(() => endpoint.open === 1);
    endpoint.respondToHeld();
    t.equal(await running, 'whole', 'a running request finishes');
    await waitUntil(() => endpoint.open === 0);
    t.not(pools.poolFor(endpoint.address), pool);
  }),
);

await tap.test(
  'should report the connection events of the client of endpoints',
  withEndpoint(async (t, endpoint) => {
    const client = new PlatformEndpointClient(endpoint.counts.add);
    const { address } = endpoint;
    const info = { id: 'i-1', address, pool: 's', domain: 'tekapo', slots: 4, isLeaving: false };
    const target = { ...info, startWallMs: 0, versions: new Map<string, number>() };
    for (let i = 0; i < 2; i++) {
      // The body of the response is no report.
      t.equal(await client.report(target, 1000), undefined);
      await settle();
    }
    t.same(endpoint.counts.all(), { first: 1, reused: 1 });
    client.dropConnections(address);
  }),
);

await tap.test('should count connection events by event and reason', async t => {
  const { registry, endpointConnections } = new GatewayMetrics();
  endpointConnections.inc({ event: 'opened', reason: 'all-busy' });
  endpointConnections.inc({ event: 'reused', reason: '' });
  const text = await registry.metrics();
  t.match(text, 'fuchsiahitch_endpoint_connections_total{event="opened",reason="all-busy"} 1');
  t.match(text, 'fuchsiahitch_endpoint_connections_total{event="reused",reason=""} 1');
});

const BURST_SIZE = 64;
const BURSTS = 10;
/** Every tenth request is aborted. */
const isTenth = (index: number): boolean => index % 10 === 9;
const ABORTED_PER_BURST = 6;

/**
 * The first burst sends all requests at once, and the later ones in waves of the given size. Returns the number of
 * connections opened.
 */
async function openedInBursts(endpoint: Endpoint, pool: Dispatcher, waveSize: number): Promise<number> {
  const before = endpoint.server.connections;
  await burst(endpoint, pool, BURST_SIZE, isTenth);
  for (let i = 1; i < BURSTS; i++) {
    for (let sent = 0; sent < BURST_SIZE; sent += waveSize)
      await burst(endpoint, pool, waveSize, index => isTenth(sent + index));
  }
  // The pool of undici connects again after an aborted request, which takes several turns of the event loop.
  await new Promise(resolve => setTimeout(resolve, POLL_MS * 10));
  return endpoint.server.connections - before;
}

await tap.test(
  'should open fewer connections than the pool of undici in bursts with aborted requests',
  withEndpoint(async (t, endpoint) => {
    // The interval of 4 s between bursts is left out: it is below the time-out of idle connections of both pools.
    endpoint.extraHeaders = ['Keep-Alive: timeout=10'];
    for (const waveSize of [64, 16]) {
      const previous = new Pool(`http://${endpoint.address}`, { pipelining: 1 });
      const openedBefore = await openedInBursts(endpoint, previous, waveSize);
      await previous.close();
      const pool = endpoint.pool();
      const opened = await openedInBursts(endpoint, pool, waveSize);
      await pool.close();
      t.comment(
        `connections opened for ${BURSTS * BURST_SIZE} requests in waves of ${waveSize}: ${openedBefore} and ${opened}`,
      );
      t.ok(opened < openedBefore);
      // Only what is needed: an aborted request closes its connection, and each wave needs one for each request.
      const lost = ABORTED_PER_BURST * BURSTS;
      const lostBeforeLastBurst = lost - ABORTED_PER_BURST;
      const needed = waveSize === BURST_SIZE ? BURST_SIZE + lostBeforeLastBurst : waveSize + lost;
      t.ok(opened <= Math.max(BURST_SIZE, needed), `at most ${needed}`);
    }
  }),
);
