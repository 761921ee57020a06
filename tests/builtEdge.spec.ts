/**
 * The edge program as it is built for the platform: unexpected bytes of endpoints end neither it nor its answers.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { build, stop, type BuildOptions } from 'esbuild';
import tap from 'tap';
import { StoreStandIn, validResponse, WireServer } from './platformStandIns.js';
import { bytesAheadOf, INTERIM_HEADS, INVALID_BYTES } from './unexpectedBytes.js';

const READY_POLL_MS = 50;
const MAX_READY_POLLS = 300;
const TIMEOUT_MS = 3000;
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_000_000,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

interface EdgeHost {
  start(storeAddress: string): Promise<void>;
  isReady(): Promise<boolean>;
  send(
    request: Readonly<Record<string, unknown>>,
    body?: string,
  ): Promise<{ readonly status: number; readonly body: string }>;
  end(signal: string): Promise<number | null>;
}

type EdgeHostClass = new (
  name: string,
  checkout: string,
  folder: string,
  options: { readonly bounds: Readonly<Record<string, unknown>> },
) => EdgeHost;

async function importFile<T>(file: string): Promise<T> {
  return (await import(path.resolve(file))) as T;
}

/** Builds the programs into a folder of its own, as other tests may be building too. */
async function buildInto(folder: string): Promise<void> {
  const { TARGET_BUILD } = await importFile<{ readonly TARGET_BUILD: BuildOptions }>(
    'utils/bundleOptions.mjs',
  );
  await build({ ...TARGET_BUILD, outdir: path.join(folder, 'target') });
  await stop();
}

const ENDPOINT_RECORD = {
  service: 's',
  version: 'v1',
  zone: 'tekapo',
  slots: 4,
  state: 'ready',
  cold_left_ms: 0,
  seq: 1,
};
/** An import of the module in the bundler's output, whose `require` has any name. */
const ASSERT_IMPORT = /(?<!getBuiltinModule)(?:\(|from ?|import ?)["'](?:node:)?assert["']/;

const route = { name: 'r', host: 'h', prefix: '/a/', type: 'idempotent', service: 's', max_attempts: 3 };
const configuration = {
  version: 1,
  routes: [{ ...route, timeout_ms: TIMEOUT_MS, target_latency_ms: 200 }],
  services: [{ name: 's' }],
  limits: LIMITS,
};

await tap.test('should serve requests after any unexpected bytes of an endpoint', async t => {
  // Guards against an edge that hangs for good: a failed assertion without a message is searched for in the minified bundle.
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fuchsiahitch-built-'));
  const store = new StoreStandIn();
  const endpoint = new WireServer();
  const { EdgeHost } = await importFile<{ readonly EdgeHost: EdgeHostClass }>(
    'platform/upgrade/edgeHost.mjs',
  );
  const edge = new EdgeHost('edge-1', folder, folder, { bounds: {} });
  try {
    await buildInto(folder);
    const address = await endpoint.listen();
    const record = { ...ENDPOINT_RECORD, address };
    store.data.put('servers/i-1', JSON.stringify(record));
    store.data.put('op/config', JSON.stringify(configuration));
    await edge.start(await store.listen());
    for (let i = 0; i < MAX_READY_POLLS && !(await edge.isReady()); i++)
      await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
    let sent = 0;
    const send = async (): Promise<number> => {
      sent += 1;
      const headers = { 'Request-Id': `r${sent}`, 'Deadline-Ms': String(TIMEOUT_MS) };
      const request = { method: 'POST', path: '/a/x', headers, timeoutMs: TIMEOUT_MS };
      return (await edge.send(request, 'x')).status;
    };
    for (const bytes of ['', ...INTERIM_HEADS, ...INVALID_BYTES]) {
      endpoint.answer = (request, socket) =>
        void socket.write(bytesAheadOf(request, bytes) + validResponse(request, 'whole'));
      await send();
      await send();
      endpoint.answer = (request, socket) => void socket.write(validResponse(request, 'whole'));
      t.equal(await send(), 200, JSON.stringify(bytes));
    }
  } finally {
    await edge.end('SIGKILL');
    await endpoint.close();
    await store.close();
    fs.rmSync(folder, { recursive: true, force: true });
  }
});

await tap.test('should build programs without assertions whose text Node.js looks for', async t => {
  // Guards against the same hang by any other failed assertion of a library, wherever it lies in the bundle.
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fuchsiahitch-built-'));
  await buildInto(folder);
  const target = path.join(folder, 'target');
  const files = fs
    .readdirSync(target, { recursive: true, encoding: 'utf8' })
    .filter(file => file.endsWith('.mjs'));
  t.ok(files.length > 2);
  for (const file of files) t.notMatch(fs.readFileSync(path.join(target, file), 'utf8'), ASSERT_IMPORT, file);
  fs.rmSync(folder, { recursive: true, force: true });
});
