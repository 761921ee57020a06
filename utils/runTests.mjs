// Runs the compiled tests with tap, then a short fault soak, then the tests of crowds one at a time, or the tests whose
// file names contain an argument. Prints 'N passed, N failed' last.
import fs from 'node:fs';
import path from 'node:path';
import { spawnSync } from 'node:child_process';
import { runSoak } from './soak.mjs';
import { isCrowdTest, readKnownRed, verdictOf } from './testVerdict.mjs';

/** Seeds that have failed once stay in it. */
const SHORT_SOAK = { seed: 1, seeds: 3, seconds: 15, jobs: 3 };

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
const TAP = ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap'];
/** The crowds are one file, in which each has a time limit of its own. */
const CROWDS_TIMEOUT = '--timeout=1800';
const NOTHING = { passed: 0, failed: 0, notes: [] };
const knownRed = readKnownRed('KNOWN-RED.txt');

/** Runs the files that are crowd tests, or those that are not, and prints what failed and what is known to fail. */
function runPhase(isCrowds, jobs) {
  const timeout = isCrowds ? [CROWDS_TIMEOUT] : [];
  const chosen = files.filter(file => isCrowdTest(path.basename(file)) === isCrowds);
  if (chosen.length === 0) return NOTHING;
  const run = spawnSync('npx', [...TAP, `--jobs=${jobs}`, ...timeout, ...chosen], {
    encoding: 'utf8',
    maxBuffer: 1 << 28,
  });
  const known = knownRed.filter(({ test }) => isCrowdTest(test) === isCrowds);
  const verdict = verdictOf(run.stdout, known, run.status);
  if (verdict.failed > 0) {
    console.log(run.stdout);
    console.error(run.stderr);
  }
  for (const note of verdict.notes) console.log(note);
  return verdict;
}

const tests = runPhase(false, 6);
const soak = named.length === 0 ? await runSoak(SHORT_SOAK) : NOTHING;
// Crowds are measured by the memory of the process, apart from other load.
const crowds = runPhase(true, 1);
const passed = tests.passed + soak.passed + crowds.passed;
const failed = tests.failed + soak.failed + crowds.failed;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
