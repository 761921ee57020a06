/**
 * The status server's readiness and metrics, over sockets.
 */
import tap from 'tap';
import { Counter, Registry } from 'prom-client';
import { SystemClock } from '@fuchsiahitch/base';
import { StatusServer, type ProcessStatus } from '@fuchsiahitch/listener';
import { TestLog } from './gatewayFixtures.js';

interface TestStatus extends ProcessStatus {
  readonly log: TestLog;
  ready: boolean;
}

function createStatus(): TestStatus {
  const status = {
    readinessPath: '/ready',
    ready: false,
    isReady: () => status.ready,
    registry: new Registry(),
    log: new TestLog(),
    clock: new SystemClock(),
    maxConnections: 100,
    closedForOthers: () => undefined,
  };
  return status;
}

async function request(
  address: string,
  path: string,
): Promise<{ readonly status: number; readonly body: string }> {
  const response = await fetch(`http://${address}${path}`, { headers: { connection: 'close' } });
  return { status: response.status, body: await response.text() };
}

await tap.test('should report whether the process is ready', async t => {
  const status = createStatus();
  const server = new StatusServer(status);
  const address = await server.listen('127.0.0.1:0');
  t.equal((await request(address, '/ready')).status, 503);
  status.ready = true;
  t.equal((await request(address, '/ready')).status, 200);
  await server.close();
});

await tap.test('should serve metrics at all of its addresses from the first request on', async t => {
  const status = createStatus();
  const server = new StatusServer(status);
  const addresses = [await server.listen('127.0.0.1:0'), await server.listen('127.0.0.1:0')];
  new Counter({ name: 'seen_total', help: 'Seen', registers: [status.registry] }).inc(3);
  // Both requests arrive while the application is being loaded.
  const answers = await Promise.all(addresses.map(address => request(address, '/metrics')));
  for (const { status: code, body } of answers) {
    t.equal(code, 200);
    t.match(body, /seen_total 3/);
  }
  t.equal((await request(addresses[0] ?? '', '/other')).status, 404);
  await server.close();
});
