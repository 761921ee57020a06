/**
 * The verdict of a test run: failures listed in KNOWN-RED.txt are tolerated and printed, all others fail the run.
 */
import { execFileSync } from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import tap from 'tap';

const LISTED = 'orders.spec.ts: should wait | npm test -- orders, seed 7 | it does not wait | issue 9';

/** Returns the TAP output of one file with the given test lines. */
function tapOf(file: string, ...tests: readonly string[]): string {
  const isFailed = tests.some(test => test.startsWith('not ok'));
  const lines = tests.map(test => `    ${test} # time=3ms`);
  return [
    `# Subtest: dist/tests/${file}`,
    ...lines,
    `    1..${tests.length}`,
    `${isFailed ? 'not ok' : 'ok'} 1 - dist/tests/${file}`,
    '',
  ].join('\n');
}

function verdict(t: { testdir(): string }, output: string, ...listed: readonly string[]): string {
  const file = path.join(t.testdir(), 'KNOWN-RED.txt');
  fs.writeFileSync(file, listed.join('\n'));
  return execFileSync(process.execPath, ['utils/testVerdict.mjs', file], { input: output, encoding: 'utf8' });
}

await tap.test('should tolerate a listed failure, and print it', t => {
  const output = tapOf('orders.spec.js', 'ok 1 - should order', 'not ok 2 - should wait');
  t.equal(verdict(t, output, LISTED), `known red: ${LISTED}\n1 passed, 0 failed\n`);
  t.end();
});

await tap.test('should fail for an unlisted test, also in the file of a listed one', t => {
  const output = tapOf('orders.spec.js', 'not ok 1 - should order', 'not ok 2 - should wait');
  t.match(verdict(t, output, LISTED), /^0 passed, 1 failed$/m);
  t.match(verdict(t, tapOf('rules.spec.js', 'not ok 1 - should wait'), LISTED), /^0 passed, 1 failed$/m);
  t.end();
});

await tap.test('should fail for a failed file without a failed test', t => {
  const output = `${tapOf('orders.spec.js', 'not ok 1 - should wait')}# Subtest: dist/tests/rules.spec.js\nnot ok 2 - rules\n`;
  t.match(verdict(t, output, LISTED), /^0 passed, 1 failed$/m);
  t.end();
});

await tap.test('should fail for truncated output of a file, also after a listed failure', t => {
  const output = tapOf('orders.spec.js', 'not ok 1 - should wait').replace('    1..1\n', '');
  t.match(verdict(t, output, LISTED), /^0 passed, 1 failed$/m);
  t.end();
});

await tap.test('should report a listed test that did not fail', t => {
  const output = tapOf('orders.spec.js', 'ok 1 - should wait');
  t.match(verdict(t, output, LISTED), /did not fail in this run/);
  t.end();
});

await tap.test('should reject a list of four entries, and an entry without an issue', t => {
  t.throws(() => verdict(t, '', LISTED, LISTED, LISTED, LISTED));
  t.throws(() => verdict(t, '', 'orders.spec.ts: should wait | npm test | it does not wait'));
  t.end();
});

await tap.test('should not count crowds against the cap of the list', t => {
  const crowd = 'crowds.spec.ts: should live | npm test -- crowds, no seed | 849 of 200 MB | issue 55';
  const output = tapOf('crowds.spec.js', 'not ok 1 - should live');
  t.match(verdict(t, output, crowd, LISTED, LISTED, LISTED), /^0 passed, 0 failed$/m);
  t.throws(() => verdict(t, output, crowd, LISTED, LISTED, LISTED, LISTED));
  t.end();
});
