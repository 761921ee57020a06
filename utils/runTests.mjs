// Runs the compiled tests with tap and then a short fault soak, or the tests whose file names contain an argument. Prints
// 'N passed, N failed' last.
import fs from 'node:fs';
import { spawnSync } from 'node:child_process';
import { runSoak } from './soak.mjs';
import { readKnownRed, verdictOf } from './testVerdict.mjs';

/** Seeds that have failed once stay in it. */
const SHORT_SOAK = { seed: 1, seeds: 3, seconds: 15, jobs: 3 };
const NO_SOAK = { passed: 0, failed: 0 };

const folder = 'dist/tests';
const named = process.argv.slice(2);
const files = fs
  .readdirSync(folder)
  .filter(name => name.endsWith('.spec.js'))
  .filter(name => named.length === 0 || named.some(part => name.includes(part)))
  .map(name => `${folder}/${name}`);
if (files.length === 0) {
  console.error('no test file matches the given names');
  process.exit(2);
}
const args = ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap', '--jobs=6'];
const run = spawnSync('npx', [...args, ...files], { encoding: 'utf8', maxBuffer: 1 << 28 });
const verdict = verdictOf(run.stdout, readKnownRed('KNOWN-RED.txt'), run.status);
if (verdict.failed > 0) {
  console.log(run.stdout);
  console.error(run.stderr);
}
for (const note of verdict.notes) console.log(note);
const soak = named.length === 0 ? await runSoak(SHORT_SOAK) : NO_SOAK;
const passed = verdict.passed + soak.passed;
const failed = verdict.failed + soak.failed;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
