// Runs the property tests with many cases and, unless given, a new seed. Usage: npm run fuzz -- [RUNS] [SEED]
import { spawnSync } from 'node:child_process';

const [runs = '2000', seed = String(Date.now() % 1_000_000)] = process.argv.slice(2);
const FILES = ['keys', 'steps', 'rules', 'protocol', 'poisonSoak'];

console.log(`runs ${runs}, seed ${seed}`);
let failed = 0;
for (const name of FILES) {
  const env = { ...process.env, FUZZ_RUNS: runs, FUZZ_SEED: seed };
  const run = spawnSync(process.execPath, [`dist/tests/${name}.spec.js`], {
    env,
    encoding: 'utf8',
    maxBuffer: 1 << 28,
  });
  if (run.status !== 0) {
    failed += 1;
    console.log(run.stdout);
    console.error(run.stderr);
  }
  console.log(`${name}: ${run.status === 0 ? 'passed' : 'FAILED'}`);
}
process.exit(failed === 0 ? 0 : 1);
