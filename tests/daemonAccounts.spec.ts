/**
 * Client accounts at the daemon: the caller interface and the operator interface.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import tap from 'tap';
import { readAccountsFile } from '@fuchsiahitch/accounts';
import { TestFleet } from '@fuchsiahitch/testkit';

tap.setTimeout(0);

const FILE = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'accounts-')), 'accounts.yaml');
const ACCOUNTS =
  'accounts:\n  - name: ann\n    keys: [ann-1, ann-2]\n    rank: 1\n  - name: bob\n    keys: [bob-1]\n';

await tap.test('should report all problems of an accounts file without its keys', t => {
  t.ok(readAccountsFile(ACCOUNTS).ok);
  const invalidFiles = [
    'accounts:\n  - name: Ann\n    keys: [secret-1]\n  - keys: secret-1\n',
    'accounts: secret-1',
    'accounts:\n  - {name: ann, keys: [secret-1]',
    'accounts:\n  - name: ann\n    keys: [secret-1]\n    more: 1\n',
  ];
  for (const text of invalidFiles) {
    const read = readAccountsFile(text);
    t.notOk(read.ok, text);
    t.notMatch(JSON.stringify(read), /secret-1/);
  }
  t.end();
});

await tap.test('should authenticate callers by key and send services only the account name', async t => {
  // Guards against trusting an account name that the caller sends without a key.
  fs.writeFileSync(FILE, ACCOUNTS);
  const fleet = await TestFleet.start({
    domains: ['tekapo'],
    hostsPerDomain: 1,
    enginesPerDomain: 1,
    servicesPerDomain: 1,
    accountsFile: FILE,
  });
  const [service] = fleet.services;
  const serviceStatus = async (authorization: string): Promise<number> => {
    const headers = { authorization, 'fuchsiahitch-caller': 'bob' };
    return (await fleet.call('tekapo-0', 'callers', '/svc/skybook/listings', { headers })).status;
  };
  const completionStatus = async (authorization: string): Promise<number> => {
    const body = { model: 'gen-pool', prompt: 'p', max_tokens: 2 };
    return (await fleet.call('tekapo-0', 'callers', '/v1/completions', { body, headers: { authorization } }))
      .status;
  };
  for (const header of ['', 'Bearer nobody', 'Token ann-1', 'Bearer ANN-1', 'Bearer ann-1, Bearer bob-1']) {
    t.equal(await serviceStatus(header), 401, header);
    t.equal(await completionStatus(header), 401, header);
  }
  t.equal(service?.lookups.length, 0);
  t.equal(await serviceStatus('Bearer ann-2'), 200);
  t.equal(await completionStatus('bearer ann-1'), 200);
  t.match(service?.lookups[0], { 'fuchsiahitch-caller': 'ann' });
  t.equal(service?.lookups[0]?.authorization, undefined);

  const shown = await fleet.call('tekapo-0', 'operators', '/v1/accounts');
  t.match(JSON.parse(shown.text), [{ name: 'ann', rank: 1 }, { name: 'bob' }]);
  t.notMatch(shown.text, /ann-1|bob-1/);
  const explain = async (key: string): Promise<unknown> =>
    JSON.parse((await fleet.call('tekapo-0', 'operators', '/v1/accounts/explain', { body: { key } })).text);
  t.match(await explain('bob-1'), { kind: 'granted', accountName: 'bob' });

  fs.writeFileSync(FILE, 'accounts:\n  - name: ann\n    keys: [ann-2, ann-2]\n  - name: ann\n    keys: []\n');
  await fleet.host('tekapo-0').reload();
  t.equal(await serviceStatus('Bearer bob-1'), 200, 'an invalid file changes nothing');
  fs.writeFileSync(FILE, 'accounts:\n  - name: ann\n    keys: [ann-2]\n');
  await fleet.host('tekapo-0').reload();
  t.equal(await serviceStatus('Bearer bob-1'), 401);
  t.equal(await serviceStatus('Bearer ann-2'), 200);
  t.match(await explain('bob-1'), { kind: 'denied', reason: 'removed-key', accountName: 'bob' });
  await fleet.stop();
});
