/**
 * Late and extra responses of an endpoint, over sockets: none is taken for the response to another request.
 */
import type { Socket } from 'node:net';
import tap from 'tap';
import { Deadline, SystemClock } from '@fuchsiahitch/base';
import { StoreClient } from '@fuchsiahitch/platform';
import { settle, waitUntil } from './connectionFixtures.js';
import { batchItem, order, report, request, TIMEOUT_MS, withWorld } from './endpointWays.js';
import { validResponse, type WireRequest } from './platformStandIns.js';

const REFUSAL = ['Not-Executed: 1'] as const;

function named(request_: WireRequest, id: string): WireRequest {
  return { ...request_, headers: { ...request_.headers, 'request-id': id } };
}

/** A response without an identifier, or with that of another request. */
function foreign(received: WireRequest, status: string, body: string, hasId: boolean): string {
  const text = validResponse(named(received, 'r0'), body, status, REFUSAL);
  return hasId ? text : text.replace('Request-Id: r0\r\n', '');
}

await tap.test(
  'should not take the refusal of another request for a refusal of its own',
  withWorld(async world => {
    // Guards against running a request a second time that its endpoint runs, after a late extra refusal of an earlier one.
    const { t, server } = world;
    for (const way of [request, batchItem])
      for (const status of ['503 Service Unavailable', '421 Misdirected Request', '429 Too Many Requests'])
        for (const hasId of [true, false]) {
          server.answer = (received, socket) =>
            void socket.write(foreign(received, status, '', hasId) + validResponse(received, 'whole'));
          t.match(await way(world, 'r1'), { kind: 'broken' }, `${status}, identifier ${String(hasId)}`);
        }
  }),
);

await tap.test(
  'should not take a response without an identifier for a result',
  withWorld(async world => {
    // Guards against a failure or an end of an item that its endpoint never reported.
    const { t, server } = world;
    for (const way of [request, batchItem])
      for (const status of ['200 OK', '500 Internal Server Error', '422 Unprocessable Entity']) {
        server.answer = (received, socket) => void socket.write(foreign(received, status, '', false));
        t.match(await way(world, 'r1'), { kind: 'broken' }, status);
      }
  }),
);

await tap.test(
  'should not take the response to a request for that to an order or a report',
  withWorld(async world => {
    // Guards against an order that counts as accepted, and a version that counts as loaded, by a late response.
    const { t, server } = world;
    for (const status of ['202 Accepted', '200 OK', '409 Conflict', '503 Service Unavailable']) {
      const body = JSON.stringify({ models: [{ name: 'm', version: 3 }], seq: 7 });
      server.answer = (received, socket) => void socket.write(foreign(received, status, body, true));
      t.equal(await order(world, ''), 'unknown', status);
      t.equal(await report(world, ''), undefined, status);
    }
  }),
);

await tap.test(
  'should send an order on a connection without earlier orders and reports',
  withWorld(async world => {
    // Guards against an order that counts as accepted by the late response to another one, since neither names its request.
    const { t, server } = world;
    const sockets: Socket[] = [];
    server.answer = (received, socket) => {
      sockets.push(socket);
      const body = received.method === 'GET' ? JSON.stringify({ seq: 7 }) : '';
      socket.write(validResponse(received, body));
    };
    for (const way of [report, report, order, order, report, request]) {
      await way(world, 'r1');
      await settle();
    }
    const [first, second, third, fourth, fifth] = sockets;
    t.equal(second, first, 'a report may follow a report');
    t.equal(new Set([first, third, fourth]).size, 3, 'an order follows neither');
    t.equal(fifth, first, 'nor does a report follow an order');
    t.equal(server.connections, 3, 'a request may follow any of them');
  }),
);

await tap.test(
  'should close only the connection with a foreign response, before its next request',
  withWorld(async world => {
    // Guards against giving the late response to the request after the one that was refused by mistake.
    const { t, server } = world;
    const sockets: Socket[] = [];
    server.answer = (received, socket) => {
      sockets.push(socket);
      if (sockets.length === 2) for (const open of sockets) open.write(validResponse(received, ''));
    };
    // Two requests at a time, so that there are two connections; the first gets the response of the second.
    const both = await Promise.all([request(world, 'r1'), request(world, 'r2')]);
    t.same(both.map(reply => (reply as { readonly kind: string }).kind).sort(), ['answered', 'broken']);
    await waitUntil(() => server.closed === 1);
    server.answer = (received, socket) => void socket.write(validResponse(received, ''));
    t.match(await request(world, 'r3'), { kind: 'answered' });
    t.equal(server.connections, 2, 'the other connection is still used');
  }),
);

await tap.test(
  'should send a request again on another connection than before',
  withWorld(async world => {
    // Guards against a late response to an item's earlier attempt, which bears the same identifier as the response to the later.
    const { t, server } = world;
    const sockets = new Map<string, Set<Socket>>();
    server.answer = (received, socket) => {
      const id = received.headers['request-id'] ?? '';
      sockets.set(id, (sockets.get(id) ?? new Set()).add(socket));
      socket.write(validResponse(received, '', '500 Internal Server Error'));
    };
    for (const id of ['x', 'x', 'x', 'y', 'z']) {
      t.match(await batchItem(world, id), { kind: 'failed' });
      await settle();
    }
    t.equal(sockets.get('x')?.size, 3);
    t.equal(server.connections, 3, 'other items use the same connections');
  }),
);

await tap.test(
  'should not take an extra response of the store for that to its next call',
  withWorld(async ({ t, server, endpoint }) => {
    // Guards against a write that counts as executed by an extra response to the call before it.
    const store = new StoreClient(endpoint.address, () => undefined);
    const found = (value: string): string =>
      JSON.stringify({ key: 'k', value: Buffer.from(value).toString('base64'), revision: 1 });
    for (const isLate of [false, true]) {
      const respond = (received: WireRequest, socket: Socket): void => {
        socket.write(validResponse(received, found('own')));
        const sendExtra = (): void => void socket.write(validResponse(received, found('extra')));
        if (isLate) setImmediate(sendExtra);
        else sendExtra();
      };
      server.answer = respond;
      for (let i = 0; i < 5; i++) {
        const item = await store.get('k', Deadline.after(new SystemClock(), TIMEOUT_MS));
        t.match(item, { ok: true, value: { value: 'own' } });
        await settle();
      }
    }
  }),
);
