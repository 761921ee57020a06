/**
 * The platform adapter: settings, records, batches, and one host end to end.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { spawnSync } from 'node:child_process';
import tap from 'tap';
import { SystemClock } from '@fuchsiahitch/base';
import { decodeBatch, encodePage, parseSettings, PlatformRecordDecoder } from '@fuchsiahitch/platform';
import { requestFingerprint } from '@fuchsiahitch/requests';
import { RuleEvaluator } from '@fuchsiahitch/rules';
import { PlatformHost } from './platformHost.js';
import { chunk, validResponse, LAST_CHUNK, streamHead } from './platformStandIns.js';

const clock = new SystemClock();

const SETTINGS = {
  node_name: 'edge-1',
  ip: '127.0.0.1',
  zone: 'tekapo',
  zones: { tekapo: 'nz', twizel: 'nz' },
  listen: { front: '127.0.0.1:8161', ready: '127.0.0.1:8167' },
  port_range: [7720, 7735],
  data_dir: null,
  bounds: { grace_s: 8, lease_ms: 3000 },
  platform: { address: '127.0.0.1:8169', ttl_min_ms: 1000 },
  something_new: { of: 'tomorrow' },
};

await tap.test('should read settings and ignore unknown fields', t => {
  const settings = parseSettings(JSON.stringify(SETTINGS));
  t.ok(settings.ok);
  if (!settings.ok) return t.end();
  t.match(settings.value, {
    hostId: 'edge-1',
    domain: 'tekapo',
    domains: ['tekapo', 'twizel'],
    peersAddress: '127.0.0.1:7720',
    graceMs: 8000,
    orderHandoverMs: 3000,
    dataFolder: undefined,
  });
  t.end();
});

await tap.test('should report every problem of a settings file', t => {
  const wrong = parseSettings(JSON.stringify({ ...SETTINGS, zone: 5, platform: { address: 'here' } }));
  t.ok(!wrong.ok && wrong.error.problems.length >= 2);
  t.notOk(parseSettings('{').ok);
  t.end();
});

await tap.test('should exit with status 2 and name each invalid setting', t => {
  const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'settings-')), 'node.json');
  fs.writeFileSync(file, JSON.stringify({ ...SETTINGS, zone: 5 }));
  const environment = { PATH: process.env.PATH, FUCHSIAHITCH_NODE_FILE: file };
  const program = 'platform/dist/edge.js';
  const short = spawnSync('node', [program, '--fleet-key', 'short'], { env: environment, encoding: 'utf8' });
  t.equal(short.status, 2);
  t.match(short.stderr, /--fleet-key/);
  const key = ['--fleet-key', 'a-key-that-is-long-enough'];
  const wrong = spawnSync('node', [program, ...key], { env: environment, encoding: 'utf8' });
  t.equal(wrong.status, 2);
  t.match(wrong.stderr, /zone/);
  t.end();
});

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-A_1',
      host: 'h.example',
      prefix: '/a/',
      type: 'idempotent',
      timeout_ms: 1500,
      target_latency_ms: 185,
      priority: 2,
      split: [
        { service: 's1', weight: 90 },
        { service: 's2', weight: 10 },
      ],
      max_attempts: 2,
    },
    {
      name: 'r-b',
      host: 'h.example',
      prefix: '/a/b/',
      type: 'rollout',
      service: 's3',
      max_attempts: 3,
      queue_ttl_s: 40,
      due_ms: 7500,
      single_version: true,
    },
    { name: 'r-c', host: 'h.example', prefix: '/c/', type: 'never heard of', service: 's1' },
  ],
  services: [{ name: 's3', engine: { models: [{ name: 'm1' }, { name: 'm2' }] } }, { name: 's1' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 100_000,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
};

await tap.test('should convert routes to ordered rules that match the longest prefix', t => {
  const decoded = new PlatformRecordDecoder().configuration(JSON.stringify(CONFIGURATION));
  t.ok(decoded);
  if (!decoded) return t.end();
  t.equal(decoded.revision, 7);
  t.same(decoded.models.get('s3'), ['m1', 'm2']);
  const document = { revision: 7, rules: decoded.rules, editIds: [] };
  const evaluator = new RuleEvaluator(document, clock, () => 0);
  const facts = {
    kind: 'service',
    caller: '',
    house: '',
    pool: '',
    domain: '',
    priority: '',
    version: '',
  } as const;
  const decide = (host: string, path: string): string | undefined =>
    evaluator.decide({ ...facts, host, path }).action.route?.run;
  t.equal(decide('h.example', '/a/x'), 'idempotent');
  t.equal(decide('h.example', '/a/b/x'), 'batch');
  t.equal(decide('h.example', '/c/x'), 'non-idempotent', 'an unknown route type is not retried');
  t.equal(decide('h.example', '/d/'), undefined);
  t.equal(decide('other.example', '/a/x'), undefined);
  const batchRoute = decoded.rules.find(rule => rule.then.route?.run === 'batch')?.then.route;
  t.match(batchRoute, { keepMs: 40_000, dueMs: 7500, isSingleVersion: true });
  t.end();
});

await tap.test('should reject incomplete or malformed records', t => {
  const records = new PlatformRecordDecoder();
  t.equal(records.configuration('{"version":8'), undefined);
  t.equal(records.configuration(JSON.stringify({ ...CONFIGURATION, limits: {} })), undefined);
  t.equal(records.endpoint('i', '[]'), undefined);
  t.equal(records.namedVersion('{}'), undefined);
  t.end();
});

await tap.test('should decode an endpoint’s record', t => {
  const record = {
    service: 's3',
    address: '10.0.0.1:80',
    zone: 'tekapo',
    version: 'v1',
    slots: 12,
    state: 'draining',
    cold_left_ms: 0,
    born: 1_787_021_061_968,
    models: [{ name: 'm1', version: 4 }],
    seq: 3,
  };
  const endpoint = new PlatformRecordDecoder().endpoint('i-1', JSON.stringify(record));
  t.match(endpoint, { id: 'i-1', pool: 's3', domain: 'tekapo', slots: 12, isLeaving: true });
  t.equal(endpoint?.startWallMs, record.born);
  t.equal(endpoint?.versions.get('m1'), 4);
  t.end();
});

const SUBMISSION = {
  step: 3,
  model: 'm1',
  min_version: 2,
  group_count: 1,
  items: [
    {
      id: 'x',
      path: '/a/b/x',
      headers: { Model: 'm1', 'Prompt-Prefix': '9c:300,5d:16', 'Length-Hint': '700' },
      body: Buffer.from('prompt').toString('base64'),
      tokens: 940,
      group: 'g',
    },
    { id: 'y', path: '/a/b/y' },
  ],
};

await tap.test('should decode a batch and reject malformed ones', t => {
  const decoded = decodeBatch('b1', 'h.example', Buffer.from(JSON.stringify(SUBMISSION)));
  t.match(decoded, { id: 'b1', minVersion: 2, groupsWanted: 1, step: 3 });
  t.match(decoded?.items[0], { promptKey: '9c:300', expectedTokens: 700, tokens: 940, group: 'g' });
  t.match(decoded?.items[1], { promptKey: '', expectedTokens: 0, group: 'y' });
  t.equal(decodeBatch('b1', 'h', Buffer.from('{"items":5}')), undefined);
  t.equal(decodeBatch('b1', 'h', Buffer.from('nothing')), undefined);
  const page = encodePage({
    total: 2,
    next: 1,
    results: [{ id: 'x', state: 'completed', text: 'a\nb', versions: [2] }],
  });
  t.same(JSON.parse(page), {
    total: 2,
    next: 1,
    results: [{ id: 'x', state: 'completed', text: 'a\nb', versions: [2] }],
  });
  t.end();
});

await tap.test('should serve requests and batches end to end', async t => {
  const host = await PlatformHost.listen(['s1', 's2', 's3']);
  const { store, server, gateway } = host;
  server.answer = (request, socket) => {
    if (!request.target.startsWith('/a/b/')) return void socket.write(validResponse(request, 'whole'));
    socket.write(streamHead(request, 2) + chunk('id: 1\ndata: one\n\nid: 2\ndata: two\n\n') + LAST_CHUNK);
  };
  const headers = { host: 'h.example', 'request-id': 'r1', 'deadline-ms': '3000' };
  const unconfigured = await host.send({ path: '/a/x', headers });
  t.equal(unconfigured.status, 503, 'not 404 before a configuration is loaded');
  t.ok(Number(unconfigured.headers['retry-after']) > 0);

  // Records of other hosts: three endpoints crashed while they ran this request, the last one during its trial.
  const poisonRequest = { caller: 'key-1', host: 'h.example', method: 'POST', target: '/a/deadly' };
  const casePrefix = `fuchsiahitch/live/poison/${requestFingerprint({ ...poisonRequest, body: Buffer.from('body') })}`;
  for (const end of ['end-i-7@0', 'end-i-8@0', 'end-i-9@0']) store.data.put(`${casePrefix}/${end}`, '{}');
  store.data.put(`${casePrefix}/trial-1`, JSON.stringify({ hostId: 'edge-2', endsBefore: 2 }));
  await host.configureAndStart(CONFIGURATION);
  t.ok(gateway.isReady());
  const unusualHeaders = { ...headers, 'content-type': 'not/a type;;', 'transfer-encoding': 'chunked' };
  const served = await host.send({ method: 'POST', path: '/a/x?q=1', headers: unusualHeaders }, 'body');
  t.match(served, { status: 200, body: 'whole' });
  t.equal(served.headers['server-stamp'], 'proof');
  t.equal((await host.send({ path: '/none/', headers })).status, 404);
  const withKey = { ...headers, authorization: 'key-1' };
  const poison = { method: 'POST', path: '/a/deadly' };
  t.equal((await host.send({ ...poison, headers: withKey }, 'body')).status, 400, 'not to be retried');
  t.notOk(server.requests.some(request => request.target === '/a/deadly'));
  t.equal(
    (await host.send({ ...poison, headers }, 'body')).status,
    200,
    'the same request from another caller',
  );
  const large = await host.send({ method: 'POST', path: '/a/x', headers }, 'x'.repeat(100_001));
  t.equal(large.status, 413);

  const submit = { method: 'POST', path: '/a/b/lot', headers: { ...headers, 'request-id': 'b1' } };
  t.equal((await host.send(submit, 'not a batch')).status, 400);
  t.equal((await host.send(submit, JSON.stringify(SUBMISSION))).status, 202);
  t.equal(
    (await host.send(submit, JSON.stringify(SUBMISSION))).status,
    202,
    'a repeated submission is acknowledged',
  );
  const poll = { path: '/v1/lots/b1?after=0', headers: { ...headers, 'wait-ms': '1000' } };
  let page = { total: 0, next: 0, results: [] as { id: string; text: string; versions: number[] }[] };
  for (let i = 0; i < 20 && page.next < 2; i++)
    page = JSON.parse((await host.send(poll)).body) as typeof page;
  t.equal(page.total, 2);
  t.same(page.results.map(result => result.id).sort(), ['x', 'y']);
  t.ok(page.results.every(result => result.text === 'one\ntwo' && result.versions.join() === '2'));
  t.equal((await host.send({ path: '/v1/items/b1?id=x', headers })).body, 'prompt');
  t.equal((await host.send({ path: '/v1/items/b1?id=none', headers })).status, 404);
  t.equal((await host.send({ path: '/v1/lots/none?after=0', headers })).status, 404);
  t.equal((await host.send({ method: 'DELETE', path: '/v1/lots/b1', headers })).status, 200);
  t.equal((await host.send({ method: 'DELETE', path: '/v1/lots/b1', headers })).status, 200);
  store.failWithStatus = 503;
  const withoutStore = await host.send({ path: '/v1/lots/other?after=0', headers });
  t.equal(withoutStore.status, 503, 'not 404 when the store is unreachable');
  host.drain();
  const leaving = await host.send({ path: '/a/x', headers: { ...headers, connection: 'keep-alive' } });
  t.equal(leaving.headers.connection, 'close');
  await host.stop();
});
