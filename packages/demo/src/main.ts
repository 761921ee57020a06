/**
 * `npm run demo`: runs both deployments at a small scale, injects faults, and prints which guarantees held.
 */
import { fileURLToPath } from 'node:url';
import { Customers } from './customers.js';
import { AORAKI, NILEMOD, type DeploymentPlan } from './deployment.js';
import { RunningDeployment } from './runningDeployment.js';
import { delay, Supervisor } from './supervisor.js';
import {
  SAMPLES_PER_STEP,
  STALENESS_VERSIONS,
  train,
  WeightVersion,
  type TrainingResult,
} from './training.js';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';

const BIN_FOLDER = fileURLToPath(new URL('../../../dist/bin', import.meta.url));
const STEPS = 3;
const CLIENTS = 6;
const FIRST_FAULT_MS = 1500;
const FAULT_INTERVAL_MS = 2500;
const RESTART_AFTER_MS = 3000;
const EDIT_TIMEOUT_MS = 11_000;

const RULES = `rules:
  - id: customers-first
    team: storefront
    when: { kind: [completion, service] }
    then: { priority: high, retries: 2 }
  - id: rollouts
    team: training
    when: { kind: [sample] }
    then: { share: 0.5, reserve: 0.25 }
`;

interface TableRow {
  readonly label: string;
  /** One value per deployment. */
  readonly values: readonly string[];
  /** For each deployment, whether its value satisfies the guarantee. */
  readonly holds: readonly boolean[];
}

interface DeploymentResult {
  readonly plan: DeploymentPlan;
  readonly training: readonly TrainingResult[];
  readonly customers: Customers;
  readonly holdRuns: ReadonlyMap<string, number>;
  readonly scoreRuns: ReadonlyMap<string, number>;
  readonly isEditApplied: boolean;
  readonly events: readonly string[];
}

async function editRules(deployment: RunningDeployment, events: string[]): Promise<boolean> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fuchsiahitch-demo-'));
  const file = path.join(folder, 'rules.yaml');
  fs.writeFileSync(file, RULES);
  const applied = await deployment.ctl('rules', 'apply', file, '--team', 'storefront');
  const status = await deployment.ctl('rules', 'status', '--wait-ms', String(EDIT_TIMEOUT_MS));
  fs.rmSync(folder, { recursive: true });
  events.push(`rules: ${applied.output.trim()}`);
  return applied.exitCode === 0 && status.exitCode === 0;
}

async function runDeployment(plan: DeploymentPlan, supervisor: Supervisor): Promise<DeploymentResult> {
  const deployment = new RunningDeployment(plan, supervisor);
  const events: string[] = [];
  await deployment.start();
  const isEditApplied = await editRules(deployment, events);
  const customers = new Customers(deployment);
  customers.start(CLIENTS);
  const version = new WeightVersion();
  const trainings = plan.trainers.map((name, i) => train(deployment, name, STEPS, version, i === 0));
  await delay(FIRST_FAULT_MS);
  const crash = deployment.crashHost(0, RESTART_AFTER_MS);
  await delay(FAULT_INTERVAL_MS);
  events.push(`engine crashed: ${await deployment.crashEngine(0)}`);
  await delay(FAULT_INTERVAL_MS);
  events.push(`engine drained: ${await deployment.drainEngine(1)}`);
  events.push(`host killed and restarted: ${await crash}`);
  const training = await Promise.all(trainings);
  await customers.stop();
  const holdRuns = await deployment.holdRuns();
  const scoreRuns = await deployment.scoreRuns();
  return { plan, training, customers, holdRuns, scoreRuns, isEditApplied, events };
}

function tableRows(outcomes: readonly DeploymentResult[]): readonly TableRow[] {
  const row = (label: string, read: (outcome: DeploymentResult) => readonly [string, boolean]): TableRow => {
    const cells = outcomes.map(read);
    return { label, values: cells.map(([value]) => value), holds: cells.map(([, holds]) => holds) };
  };
  const reports = (o: DeploymentResult): TrainingResult['reports'] =>
    o.training.flatMap(result => result.reports);
  const expected = (o: DeploymentResult): number => o.plan.trainers.length * STEPS * SAMPLES_PER_STEP;
  return [
    row('steps complete', o => {
      const complete = reports(o).filter(report => report.isOver && report.failedGroups === 0).length;
      return [`${complete} of ${reports(o).length}`, complete === o.plan.trainers.length * STEPS];
    }),
    row('samples delivered once', o => [
      `${countSlots(o, n => n === 1)} of ${expected(o)}`,
      countSlots(o, n => n === 1) === expected(o),
    ]),
    row('samples delivered twice', o => [String(countSlots(o, n => n > 1)), countSlots(o, n => n > 1) === 0]),
    row('samples lost', o => {
      const lost = expected(o) - countSlots(o, n => n >= 1);
      return [String(lost), lost === 0];
    }),
    row('samples scored twice', o => {
      const twice = [...o.scoreRuns.values()].filter(runs => runs > 1).length;
      return [String(twice), twice === 0];
    }),
    row('versions behind trainer, maximum', o => {
      const most = Math.max(0, ...reports(o).flatMap(report => report.versionsBehind));
      return [`${most} (bound ${STALENESS_VERSIONS})`, most <= STALENESS_VERSIONS];
    }),
    row('trainer idle share', o => {
      const idleMs = o.training.reduce((sum, result) => sum + result.idleMs, 0);
      const trainingMs = o.training.reduce((sum, result) => sum + result.trainingMs, 0);
      return [`${Math.round((100 * idleMs) / (idleMs + trainingMs))}%`, true];
    }),
    row('rule edit applied on all hosts', o => [o.isEditApplied ? 'yes' : 'no', o.isEditApplied]),
    row('customer requests completed', o => {
      const { completions, lookups, holds } = o.customers.counts;
      return [String(completions + lookups + holds), completions + lookups + holds > 0];
    }),
    row('customer requests lost', o => [String(o.customers.counts.lost), o.customers.counts.lost === 0]),
    row('connections broken, retried', o => [String(o.customers.counts.broken), true]),
    row('holds reported unknown', o => [String(o.customers.counts.unknownHolds), true]),
    row('holds executed twice', o => {
      const twice = [...o.holdRuns.values()].filter(runs => runs > 1).length;
      return [String(twice), twice === 0];
    }),
    row('holds reported not executed that were', o => {
      const wrong = [...o.customers.counts.notRunKeys].filter(key => (o.holdRuns.get(key) ?? 0) > 0).length;
      return [String(wrong), wrong === 0];
    }),
    row('customer latency p50 / p99, ms', o => {
      const { latencyMs } = o.customers;
      return [`${latencyMs.getValueAtPercentile(50)} / ${latencyMs.getValueAtPercentile(99)}`, true];
    }),
  ];
}

/** Counts the slots whose number of deliveries satisfies the condition. */
function countSlots(outcome: DeploymentResult, condition: (deliveries: number) => boolean): number {
  let count = 0;
  for (const report of outcome.training.flatMap(result => result.reports)) {
    const deliveries = new Map<number, number>();
    for (const { slot } of report.samples) deliveries.set(slot, (deliveries.get(slot) ?? 0) + 1);
    count += [...deliveries.values()].filter(condition).length;
  }
  return count;
}

function print(rows: readonly TableRow[], outcomes: readonly DeploymentResult[]): void {
  const width = Math.max(...rows.map(row => row.label.length));
  const columns = 26;
  const head = outcomes.map(outcome => outcome.plan.name.padEnd(columns)).join('');
  process.stdout.write(`\n${''.padEnd(width + 2)}${head}\n`);
  for (const { label: what, values, holds } of rows) {
    const cells = values
      .map((value, i) => `${value}${holds[i] === true ? '' : '  VIOLATED'}`.padEnd(columns))
      .join('');
    process.stdout.write(`${what.padEnd(width + 2)}${cells.trimEnd()}\n`);
  }
}

const startMs = performance.now();
const supervisor = new Supervisor(BIN_FOLDER);
process.stdout.write('starting two deployments as local processes on loopback\n');
const outcomes = await Promise.all([NILEMOD, AORAKI].map(plan => runDeployment(plan, supervisor)));
for (const outcome of outcomes) {
  for (const event of outcome.events) process.stdout.write(`${outcome.plan.name}: ${event}\n`);
}
const rows = tableRows(outcomes);
print(rows, outcomes);
const hasPassed = rows.every(row => row.holds.every(Boolean));
process.stdout.write(`\n${hasPassed ? 'all guarantees held' : 'a guarantee was VIOLATED'}`);
process.stdout.write(
  `, ${Math.round((performance.now() - startMs) / 1000)} s, ${supervisor.count()} processes\n`,
);
await supervisor.stopAll();
process.exit(hasPassed ? 0 : 1);
