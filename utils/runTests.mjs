// Runs the compiled tests with tap, or those whose file names contain an argument. Prints 'N passed, N failed' last.
import fs from 'node:fs';
import { spawnSync } from 'node:child_process';
import { readKnownRed, verdictOf } from './testVerdict.mjs';

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
console.log(`${verdict.passed} passed, ${verdict.failed} failed`);
process.exit(verdict.failed === 0 && verdict.passed > 0 ? 0 : 1);
