// Runs the compiled tests with tap and closes with one line: 'N passed, N failed'.
import fs from 'node:fs';
import { spawnSync } from 'node:child_process';

const folder = 'dist/tests';
const named = process.argv.slice(2);
const files = fs
  .readdirSync(folder)
  .filter(name => name.endsWith('.spec.js'))
  .filter(name => named.length === 0 || named.some(part => name.includes(part)))
  .map(name => `${folder}/${name}`);
if (files.length === 0) {
  console.error('no test file matches');
  process.exit(2);
}
const args = ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap', '--jobs=6'];
const run = spawnSync('npx', [...args, ...files], { encoding: 'utf8', maxBuffer: 1 << 28 });
const lines = run.stdout.split('\n');
// Assertions of a test stand two levels deep; a test is one line at the first level.
const passed = lines.filter(line => /^ {4}ok \d+/.test(line)).length;
const failed = lines.filter(line => /^ {4}not ok \d+/.test(line)).length;
const broken = lines.filter(line => /^not ok \d+/.test(line)).length;
if (failed > 0 || run.status !== 0) {
  console.log(run.stdout);
  console.error(run.stderr);
}
const failures = failed > 0 ? failed : run.status === 0 ? 0 : Math.max(broken, 1);
console.log(`${passed} passed, ${failures} failed`);
process.exit(failures === 0 && passed > 0 ? 0 : 1);
