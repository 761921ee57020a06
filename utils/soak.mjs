// Runs a fault soak of the built edge program. Usage: npm run soak -- [--seeds N] [--seed S] [--seconds T] [--jobs J]
// Prints a line for each seed, then a table of the promises with their checks, then 'N passed, N failed' by seeds. The logs of
// a failed run are kept under soak-logs/.
import fs from 'node:fs';
import process from 'node:process';
import { parseArgs } from 'node:util';
import { build } from 'esbuild';
import { Soak } from '../platform/soak/soak.mjs';
import { TARGET_BUILD } from './bundleOptions.mjs';

const LOGS = 'soak-logs';

/** Sums the checks and broken cases of all runs by promise. */
function tableOf(soaks) {
  const total = new Map();
  for (const { promises } of soaks)
    for (const { name, checks, broken } of promises.rows()) {
      const row = total.get(name) ?? { checks: 0, broken: 0 };
      total.set(name, { checks: row.checks + checks, broken: row.broken + broken });
    }
  return [...total];
}

async function runSeed(seed, seconds) {
  const soak = new Soak(seed, seconds);
  let failure;
  await soak.run().catch(thrown => (failure = thrown));
  const broken = soak.promises.rows().filter(({ broken }) => broken > 0);
  const isPassed = failure === undefined && broken.length === 0;
  console.log(`soak seed ${seed}: ${isPassed ? 'passed' : 'FAILED'}`);
  if (isPassed) return { soak, isPassed };
  const folder = `${LOGS}/${seed}`;
  soak.writeLogs(folder);
  if (failure) console.log(`  ${failure.stack}`);
  for (const { name, cases } of broken) for (const text of cases) console.log(`  ${name}: ${text}`);
  console.log(`  logs in ${folder}; again: npm run soak -- --seed ${seed} --seconds ${seconds}`);
  return { soak, isPassed };
}

export async function runSoak({ seed, seeds, seconds, jobs }) {
  await build(TARGET_BUILD);
  fs.rmSync(LOGS, { recursive: true, force: true });
  const waiting = Array.from({ length: seeds }, (_, i) => seed + i);
  const results = [];
  const work = async () => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift())
      results.push(await runSeed(next, seconds));
  };
  await Promise.all(Array.from({ length: jobs }, work));
  const table = tableOf(results.map(({ soak }) => soak));
  for (const [name, { checks, broken }] of table)
    console.log(`soak promise ${name}: ${checks} checks, ${broken} broken`);
  const unchecked = table.filter(([, { checks }]) => checks === 0).map(([name]) => name);
  if (unchecked.length > 0) console.log(`soak: never checked: ${unchecked.join(', ')}`);
  const passed = results.filter(({ isPassed }) => isPassed).length;
  return { passed, failed: results.length - passed + unchecked.length };
}

if (process.argv[1]?.endsWith('soak.mjs')) {
  const number = value => ({ type: 'string', default: String(value) });
  const options = { seeds: number(1), seed: number(1), seconds: number(20), jobs: number(1) };
  const { values } = parseArgs({ options });
  const settings = Object.fromEntries(Object.entries(values).map(([name, value]) => [name, Number(value)]));
  const { passed, failed } = await runSoak(settings);
  console.log(`${passed} passed, ${failed} failed`);
  process.exit(failed === 0 ? 0 : 1);
}
