/**
 * The ways to an endpoint over sockets, and what their senders conclude from its bytes.
 */
import { setMaxListeners } from 'node:events';
import type { Test } from 'tap';
import type { EndpointCall, EndpointInfo, ItemCall } from '@fuchsiahitch/gateway';
import { PlatformEndpointClient } from '@fuchsiahitch/platform';
import { ALWAYS_WRITES } from './gatewayFixtures.js';
import { WireServer } from './platformStandIns.js';

const NEVER_ABORTED = new AbortController().signal;
setMaxListeners(0, NEVER_ABORTED);
export const TIMEOUT_MS = 500;

export interface World {
  readonly t: Test;
  readonly server: WireServer;
  readonly client: PlatformEndpointClient;
  readonly endpoint: EndpointInfo;
}

export function withWorld(run: (world: World) => Promise<void>): (t: Test) => Promise<void> {
  return async t => {
    const server = new WireServer();
    const address = await server.listen();
    const endpoint = {
      id: 'i-1',
      startWallMs: 0,
      address,
      pool: 's',
      domain: 'd',
      slots: 4,
      isLeaving: false,
      versions: new Map<string, number>(),
    };
    try {
      await run({ t, server, client: new PlatformEndpointClient(), endpoint });
    } finally {
      await server.close();
    }
  };
}

export function call(endpoint: EndpointInfo, id: string): EndpointCall {
  return {
    guard: ALWAYS_WRITES,
    endpoint,
    accountName: undefined,
    method: 'POST',
    target: '/a',
    headers: [['Request-Id', id]],
    body: Buffer.from('x'),
    leftMs: TIMEOUT_MS,
  };
}

function itemCall(endpoint: EndpointInfo, itemId: string): ItemCall {
  return { ...call(endpoint, itemId), itemId, host: 'h', headers: {}, body: Buffer.from('x'), afterEvent: 0 };
}

/** A way to an endpoint; returns what its sender concludes from the response. */
export type Way = (world: World, id: string) => Promise<unknown>;

export const request: Way = async ({ client, endpoint }, id) =>
  client.send(call(endpoint, id), NEVER_ABORTED);
export const batchItem: Way = async ({ client, endpoint }, id) => {
  const listener = { began: () => true, event: () => true };
  return client.runItem(itemCall(endpoint, id), listener, NEVER_ABORTED);
};
export const order: Way = async ({ client, endpoint }) =>
  client.order(
    { endpoint, model: 'm', version: 3, holder: 'h', fencingToken: 1, expectedSequence: 0 },
    TIMEOUT_MS,
  );
export const report: Way = async ({ client, endpoint }) => client.report(endpoint, TIMEOUT_MS);
