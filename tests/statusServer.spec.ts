/**
 * Readiness and metrics of a process, over sockets.
 */
import tap from 'tap';
import { Counter, Registry } from 'prom-client';
import { StatusServer, type ProcessStatus } from '@fuchsiahitch/listener';
import { TestLog } from './gatewayFixtures.js';

interface TestStatus extends ProcessStatus {
  readonly log: TestLog;
  ready: boolean;
}

function status(): TestStatus {
  const told = {
    readinessPath: '/ready',
    ready: false,
    isReady: () => told.ready,
    registry: new Registry(),
    log: new TestLog(),
  };
  return told;
}

async function request(
  address: string,
  path: string,
): Promise<{ readonly status: number; readonly body: string }> {
  const response = await fetch(`http://${address}${path}`, { headers: { connection: 'close' } });
  return { status: response.status, body: await response.text() };
}

await tap.test('should tell whether the process is ready', async t => {
  const told = status();
  const server = new StatusServer(told);
  const address = await server.listen('127.0.0.1:0');
  t.equal((await request(address, '/ready')).status, 503);
  told.ready = true;
  t.equal((await request(address, '/ready')).status, 200);
  await server.close();
});

await tap.test('should serve metrics at each of its addresses, from the first call on', async t => {
  const told = status();
  const server = new StatusServer(told);
  const addresses = [await server.listen('127.0.0.1:0'), await server.listen('127.0.0.1:0')];
  new Counter({ name: 'seen_total', help: 'Seen', registers: [told.registry] }).inc(3);
  // Both ask while the application is being built.
  const answers = await Promise.all(addresses.map(address => request(address, '/metrics')));
  for (const { status: code, body } of answers) {
    t.equal(code, 200);
    t.match(body, /seen_total 3/);
  }
  t.equal((await request(addresses[0] ?? '', '/other')).status, 404);
  await server.close();
});
