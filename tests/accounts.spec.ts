/**
 * Client accounts: authentication of callers by key, on all interfaces and towards endpoints.
 */
import fc from 'fast-check';
import tap from 'tap';
import { AccountIndex, decideAccess, type Account, type Credential } from '@fuchsiahitch/accounts';
import { Deadline, SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import { batchIdOf } from '@fuchsiahitch/batches';
import { ConfigurationService } from '@fuchsiahitch/gateway';
import { PlatformRecordDecoder, recordKeys } from '@fuchsiahitch/platform';
import { FakeStore } from './fakeStore.js';
import { GatewayWorld } from './gatewayHosts.js';
import { batch, item, testContext } from './gatewayFixtures.js';
import { PlatformHost } from './platformHost.js';
import { chunk, validResponse, LAST_CHUNK, streamHead } from './platformStandIns.js';

const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 100_000,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};
const ROUTES = [
  { name: 'lookup', host: 'h', prefix: '/a/', type: 'idempotent', service: 's1', max_attempts: 2 },
  { name: 'open', host: 'h', prefix: '/open/', type: 'idempotent', service: 's1', public: true },
  { name: 'talk', host: 'h', prefix: '/talk/', type: 'streaming', service: 's1' },
  { name: 'steps', host: 'h', prefix: '/b/', type: 'rollout', service: 's1', due_ms: 7500, queue_ttl_s: 40 },
];
const ACCOUNTS = [
  { name: 'ann', api_keys: ['ann-1', 'ann-2'], priority: 1 },
  { name: 'bob', api_keys: ['bob-1'] },
];

function configuration(
  version: number,
  tenants: unknown = ACCOUNTS,
): { readonly version: number; readonly tenants: unknown } {
  const fixed = { routes: ROUTES, services: [], limits: LIMITS };
  return { version, ...fixed, tenants };
}

function account(name: string, ...keys: readonly string[]): Account {
  return { name, keys, rank: undefined };
}

function indexOf(accounts: readonly Account[], before?: AccountIndex): AccountIndex {
  const index = AccountIndex.build(accounts, before);
  if (!index.ok) throw new Error(index.error.kind);
  return index.value;
}

const key = (text: string): Credential => ({ kind: 'key', key: text });

await tap.test('should distinguish known, removed and unknown keys', t => {
  const first = indexOf([account('ann', 'a1', 'a2'), account('bob', 'b1')]);
  const second = indexOf([account('ann', 'a2')], first);
  t.same(decideAccess(second, key('a2'), false), { kind: 'granted', accountName: 'ann' });
  t.same(decideAccess(second, key('a1'), false), {
    kind: 'denied',
    reason: 'removed-key',
    accountName: 'ann',
  });
  t.match(decideAccess(second, key('b1'), false), { reason: 'removed-key', accountName: 'bob' });
  t.match(decideAccess(second, key('A2'), false), { reason: 'unknown-key' });
  t.match(decideAccess(second, { kind: 'none' }, false), { reason: 'no-key' });
  t.match(decideAccess(second, { kind: 'unreadable' }, false), { reason: 'unreadable-key' });
  const third = indexOf([account('bob', 'b1', 'a1')], second);
  t.match(
    decideAccess(third, key('a1'), false),
    { kind: 'granted', accountName: 'bob' },
    'assigned to another account',
  );
  t.end();
});

await tap.test('should require no key on public routes or without accounts', t => {
  const index = indexOf([account('ann', 'a1')]);
  t.same(decideAccess(index, { kind: 'none' }, true), { kind: 'public' });
  t.same(decideAccess(index, key('other'), true), { kind: 'public' });
  t.match(decideAccess(index, key('a1'), true), { accountName: 'ann' });
  t.same(decideAccess(undefined, key('other'), false), { kind: 'unmanaged' });
  t.match(decideAccess(indexOf([]), key('a1'), false), { kind: 'denied' }, 'the list of accounts is empty');
  t.end();
});

await tap.test('should reject lists with a duplicate account or key', t => {
  t.match(AccountIndex.build([account('ann', 'a'), account('ann', 'b')]), {
    error: { kind: 'duplicate-name' },
  });
  t.match(AccountIndex.build([account('ann', 'a'), account('bob', 'a')]), {
    error: { kind: 'duplicate-key', names: ['ann', 'bob'] },
  });
  t.ok(AccountIndex.build([account('ann', 'a', 'a')]).ok, 'a key may be repeated within an account');
  t.end();
});

await tap.test('should grant a key to the account that holds it, regardless of earlier versions', t => {
  const names = fc.constantFrom('ann', 'bob', 'cat');
  const keys = fc.constantFrom('k1', 'k2', 'k3', 'k4');
  const version = fc.uniqueArray(fc.tuple(keys, names), { selector: ([held]) => held });
  fc.assert(
    fc.property(fc.array(version, { minLength: 1, maxLength: 5 }), versions => {
      let index: AccountIndex | undefined;
      for (const keyOwners of versions) {
        const owners = new Map<string, string>(keyOwners);
        const accounts = ['ann', 'bob', 'cat'].map(name =>
          account(name, ...keyOwners.filter(([, owner]) => owner === name).map(([text]) => text)),
        );
        index = indexOf(accounts, index);
        for (const text of ['k1', 'k2', 'k3', 'k4']) {
          const access = decideAccess(index, key(text), false);
          const granted = access.kind === 'granted' ? access.accountName : undefined;
          if (granted !== owners.get(text)) return false;
        }
      }
      return true;
    }),
    { seed: 34 },
  );
  t.end();
});

/** Accounts that count how often their fields and keys are read. */
function countingAccounts(accounts: readonly Account[]): {
  accounts: readonly Account[];
  reads: () => number;
} {
  let reads = 0;
  const counting = <T extends object>(target: T): T =>
    new Proxy(target, {
      get: (from, name, receiver) => {
        reads += 1;
        return Reflect.get(from, name, receiver) as unknown;
      },
    });
  const counted = accounts.map(given => counting({ ...given, keys: counting(given.keys) }));
  return { accounts: counted, reads: () => reads };
}

/** Processor time of a call, which waiting for other processes of the machine does not add to. */
function processorMs(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
}

await tap.test('should index 5,000 accounts without blocking the event loop', t => {
  // Fails if the work for an account grows with the number of accounts, or if one index holds up requests.
  const random = new SeededRandom(34);
  const accounts = Array.from({ length: 5000 }, (_, i) =>
    account(`account-${i}`, ...Array.from({ length: 4 }, () => random.id())),
  );
  const counted = countingAccounts(accounts);
  indexOf(counted.accounts);
  t.ok(counted.reads() <= 5000 * 16, `${counted.reads() / 5000} reads per account with 4 keys`);
  const takesMs = Array.from({ length: 9 }, () => processorMs(() => indexOf(accounts)));
  t.ok(Math.min(...takesMs) < 20, `an index in ${Math.min(...takesMs).toFixed(1)} ms of processor time`);
  t.end();
});

await tap.test('should keep the current configuration when accounts are contradictory', async t => {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const context = testContext(clock);
  const service = new ConfigurationService(context, store.client(), recordKeys, new PlatformRecordDecoder());
  const put = async (content: object): Promise<void> => {
    store.put(recordKeys.configurationKey, JSON.stringify(content));
    await clock.advance(200);
  };
  service.start();
  await put(configuration(1));
  await put(configuration(2, [...ACCOUNTS, { name: 'cat', api_keys: ['ann-1'] }]));
  t.match(service.access(key('ann-1'), false), { kind: 'granted', accountName: 'ann', revision: 1 });
  t.ok(context.log.has('contradictory accounts, keeping the configuration in force'));
  await put(configuration(3, [{ name: 'cat' }]));
  await put(configuration(4, [{ name: 5, api_keys: ['x'] }]));
  t.match(
    service.access(key('ann-1'), false),
    { accountName: 'ann', revision: 1 },
    'accounts with missing fields',
  );
  await put(configuration(5, [{ name: 'cat', api_keys: ['ann-1'], more: 1 }]));
  t.match(service.access(key('ann-1'), false), { accountName: 'cat', revision: 5 });
  t.notMatch(JSON.stringify(context.log.lines), /ann-1/, 'no key is logged');
  context.stop.abort();
});

await tap.test('should not deny access based on accounts that may be stale', async t => {
  // Guards against rejecting a new key on a host that cannot reach the store.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const context = testContext(clock);
  const client = store.client();
  const service = new ConfigurationService(context, client, recordKeys, new PlatformRecordDecoder());
  store.put(recordKeys.configurationKey, JSON.stringify(configuration(1)));
  service.start();
  await clock.advance(200);
  t.equal(service.access(key('new'), false).kind, 'denied');
  client.mode = 'refusing';
  await clock.advance(5000);
  t.equal(service.access(key('new'), false).kind, 'unsure');
  t.equal(service.access(key('ann-1'), false).kind, 'granted', 'known keys are still served');
  t.equal(service.access({ kind: 'none' }, true).kind, 'public');
  context.stop.abort();
});

await tap.test('should require a key from every caller and send endpoints only the account name', async t => {
  // Guards against unauthenticated requests, keys sent to servers, and account names set by callers.
  const host = await PlatformHost.start(configuration(1), ['s1']);
  const { server } = host;
  server.answer = (request, socket) => void socket.write(validResponse(request, 'whole'));
  const ask = async (path: string, headers: Record<string, string | string[]>): Promise<number> =>
    (await host.send({ method: 'POST', path, headers: { host: 'h', 'request-id': 'r', ...headers } }, 'x'))
      .status;
  const denied: readonly Record<string, string | string[]>[] = [
    {},
    { authorization: 'Token nobody' },
    { authorization: 'Bearer ann-1' },
    { authorization: 'ann-1' },
    { authorization: 'Token ANN-1' },
    { authorization: 'Token ' },
    { authorization: 'Token ann-1 bob-1' },
  ];
  for (const headers of denied)
    for (const path of ['/a/x', '/talk/x', '/b/x', '/v1/lots/x', '/v1/items/x?id=1'])
      t.equal(await ask(path, headers), 401, `${path} ${JSON.stringify(headers)}`);
  t.equal(server.requests.length, 0, 'no request ran');
  t.equal(await ask('/a/x', { authorization: 'Token ann-2', tenant: 'bob' }), 200);
  t.equal(await ask('/a/x', { authorization: 'token  bob-1', Tenant: ['ann', 'cat'] }), 200);
  t.equal(await ask('/talk/x', { authorization: 'Token ann-1', connection: 'Tenant' }), 200);
  t.equal(await ask('/open/x', { tenant: 'ann' }), 200);
  t.equal(await ask('/open/x', { authorization: 'Token nobody' }), 200);
  t.same(
    server.requests.map(({ headers }) => headers.tenant),
    ['ann', 'bob', 'ann', undefined, undefined],
  );
  t.notMatch(JSON.stringify(server.requests), /ann-\d|bob-\d|nobody/, 'no key is sent to a server');
  t.notMatch(JSON.stringify(host.log.lines), /ann-\d|bob-\d|nobody/, 'no key is logged');
  await host.stop();
});

await tap.test('should reject requests with two authorization headers', async t => {
  // Guards against parsers that use different headers of the request.
  const host = await PlatformHost.start(configuration(1), ['s1']);
  const headers = ['Host', 'h', 'Authorization', 'Token ann-1', 'Authorization', 'Token bob-1'];
  t.equal((await host.send({ path: '/a/x', headers: headers })).status, 401);
  t.equal(host.server.requests.length, 0);
  await host.stop();
});

await tap.test('should not retry a request after its key was removed', async t => {
  // Guards against a retry at the next endpoint with a key that is no longer valid.
  const host = await PlatformHost.start(configuration(1), ['s1', 's1']);
  const { server } = host;
  server.answer = (request, socket) => {
    void host.configure(configuration(2, [ACCOUNTS[1]])).then(() => {
      socket.write(
        `HTTP/1.1 503 Busy\r\nRequest-Id: ${request.headers['request-id'] ?? ''}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
    });
  };
  const headers = { host: 'h', 'request-id': 'r', authorization: 'Token ann-1', 'deadline-ms': '5000' };
  const answered = await host.send({ method: 'POST', path: '/a/x', headers }, 'x');
  t.equal(answered.status, 401);
  t.equal(server.requests.length, 1);
  await host.stop();
});

const SUBMISSION = {
  model: 'm1',
  min_version: 1,
  group_count: 1,
  items: [
    {
      id: 'x',
      path: '/b/x',
      headers: { Tenant: 'bob', Authorization: 'Token bob-1', Model: 'm1' },
      body: Buffer.from('prompt').toString('base64'),
      group: 'g',
    },
  ],
};

await tap.test('should restrict a batch to its account, regardless of which of its keys is used', async t => {
  // Guards against another account that reads, ends or replaces a batch by its identifier.
  const host = await PlatformHost.start(configuration(1), ['s1']);
  const { server } = host;
  server.answer = (request, socket) =>
    void socket.write(streamHead(request, 2) + chunk('id: 1\ndata: one\n\n') + LAST_CHUNK);
  const as = (name: string): Record<string, string> => ({
    host: 'h',
    'request-id': 'b1',
    'wait-ms': '1000',
    authorization: `Token ${name}`,
  });
  const submit = async (name: string): Promise<number> =>
    (await host.send({ method: 'POST', path: '/b/lot', headers: as(name) }, JSON.stringify(SUBMISSION)))
      .status;
  const read = async (name: string): Promise<number> =>
    (await host.send({ path: '/v1/lots/b1?after=0', headers: as(name) })).status;
  t.equal(await submit('ann-1'), 202);
  t.equal(await read('bob-1'), 404);
  t.equal((await host.send({ path: '/v1/items/b1?id=x', headers: as('bob-1') })).status, 404);
  t.equal((await host.send({ method: 'DELETE', path: '/v1/lots/b1', headers: as('bob-1') })).status, 404);
  t.equal(await read('ann-2'), 200);
  t.equal((await host.send({ path: '/v1/items/b1?id=x', headers: as('ann-2') })).body, 'prompt');
  await host.waitUntil(() => server.requests.length > 0);
  t.same(
    server.requests.map(request => [request.headers.tenant, request.headers.authorization]),
    [['ann', undefined]],
  );
  t.equal(await submit('bob-1'), 202, 'under the same identifier');
  await host.waitUntil(() => server.requests.length > 1);
  t.same(server.requests[1]?.headers.tenant, 'bob');
  await host.configure(configuration(2, [{ name: 'ann', api_keys: ['ann-3'] }]));
  t.equal(await read('ann-1'), 401);
  t.equal(await read('ann-3'), 200, 'a newer key of the account');
  t.equal((await host.send({ method: 'DELETE', path: '/v1/lots/b1', headers: as('ann-3') })).status, 200);
  t.notMatch(JSON.stringify(host.store.data.keys('').map(name => host.store.data.value(name))), /ann-1/);
  await host.stop();
});

await tap.test('should send the account of a batch to endpoints after a takeover', async t => {
  // Guards against a new owner that runs the items without the account of the submitter.
  const world = new GatewayWorld();
  const [a, b] = [world.start('a'), world.start('b')];
  await world.clock.advance(200);
  world.client.script = () => ({ events: 100, eventMs: 50, end: { kind: 'done' } });
  const id = batchIdOf('ann', 'b1');
  const work = batch(id, [item('x'), item('y')], { accountName: 'ann' });
  await world.until(a.batches.submit(work, Deadline.after(world.clock, 3000)));
  await world.clock.advance(300);
  a.kill();
  world.expireLease('a');
  t.match(await world.until(b.batches.read(id, 0, 0)), { kind: 'page' });
  await world.clock.advance(300);
  const accounts = world.client.items.map(({ accountName }) => accountName);
  t.ok(accounts.length >= 4, 'both owners sent both items');
  t.same([...new Set(accounts)], ['ann']);
  t.notSame(batchIdOf('bob', 'b1'), id);
  t.notSame(batchIdOf(undefined, id), id, 'no caller can address a batch of another account');
  world.stop();
});
