/**
 * Records of endpoints that no valid writer writes, at the built edge.
 */
import fs from 'node:fs';
import tap from 'tap';
import { buildPrograms, CrowdHost, ENDPOINT, SMALL_MACHINE } from './crowdHost.js';

const DEPTH = 100_000;
const REQUESTS = 50;

/** Texts of records, by what is odd about them. */
const ODD_RECORDS: Readonly<Record<string, string>> = {
  nested: `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`,
  'nested in a field': `{"service":"s","address":${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}}`,
  'a port out of range': JSON.stringify({ ...ENDPOINT, address: '127.0.0.1:70000' }),
  'a negative port': JSON.stringify({ ...ENDPOINT, address: '127.0.0.1:-1' }),
  'no port': JSON.stringify({ ...ENDPOINT, address: '127.0.0.1' }),
  'no address': JSON.stringify({ ...ENDPOINT, address: 'no such host:1' }),
  'a number too large': JSON.stringify({ ...ENDPOINT, address: '127.0.0.1:1' }).replace(
    /"slots":\d+/,
    '"slots":1e400',
  ),
  'a large number': JSON.stringify({
    ...ENDPOINT,
    address: '127.0.0.1:1',
    slots: 1e300,
    cold_left_ms: 1e300,
    seq: 1e300,
  }),
  'a negative number': JSON.stringify({ ...ENDPOINT, address: '127.0.0.1:1', slots: -1, cold_left_ms: -1 }),
  'no JSON': '\0',
};

const programs = await buildPrograms();
tap.teardown(() => fs.rmSync(programs, { recursive: true, force: true }));

await tap.test('should serve and follow the list of endpoints beside odd records', async t => {
  // Guards against one record that ends each host that reads it, or stops it from following the list.
  const host = new CrowdHost(SMALL_MACHINE);
  for (const [name, text] of Object.entries(ODD_RECORDS)) host.putEndpoint(`odd ${name}`, text);
  await host.start(programs);
  for (let i = 0; i < REQUESTS; i++) t.equal(await host.ordinaryRequest(), 200);
  t.ok(host.isAlive(), 'the process lives');
  await host.moveEndpoint();
  t.equal(await host.ordinaryRequest(), 200, 'the list is followed');
  await host.close();
});
