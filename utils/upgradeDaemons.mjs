// Entry daemons of two builds in one deployment: rules and keys that the other build stored, steps and customer
// requests during a rolling upgrade and rollback, and the command line of each build against hosts of the other.
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { pathToFileURL } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { Customers } from '../packages/demo/dist/customers.js';
import { RunningDeployment } from '../packages/demo/dist/runningDeployment.js';
import { Supervisor } from '../packages/demo/dist/supervisor.js';
import { SAMPLES_PER_STEP, train, WeightVersion } from '../packages/demo/dist/training.js';
import { request } from 'undici';

const STEPS = 6;
const CLIENTS = 4;
const RESTART_AFTER_MS = 1500;
const SETTLE_MS = 2500;
const RULES_TIMEOUT_MS = '11000';
const PLAN = {
  name: 'upgrade',
  domains: ['tekapo', 'twizel'],
  hostsPerDomain: [2, 2],
  engines: { name: 'guide-lm', kind: 'engine', perDomain: [2, 2] },
  services: { name: 'skybook-app', kind: 'service', perDomain: [1, 1] },
  house: 'guides',
  trainers: ['tekapo:guide', 'twizel:school'],
  lookupPath: '/listings',
};

/** Starts each entry host from the build selected for it in `builds`, and stops hosts with SIGTERM. */
class TwoBuildSupervisor extends Supervisor {
  builds = new Map();

  constructor(other, own) {
    super(own);
    this._others = new Supervisor(other);
  }

  async startEntry(flags) {
    return this.builds.get(flags['host-id']) === 'this'
      ? super.startEntry(flags)
      : this._others.startEntry(flags);
  }

  crash(child) {
    child.kill('SIGTERM');
  }

  async ctlOf(build, args) {
    return build === 'this' ? super.ctl(args) : this._others.ctl(args);
  }

  async stopAll() {
    await Promise.all([super.stopAll(), this._others.stopAll()]);
  }
}

class RollingUpgrade {
  trainerUrls = [];

  constructor(deployment, supervisor, checks, folder) {
    this._folder = folder;
    this._deployment = deployment;
    this._supervisor = supervisor;
    this._checks = checks;
  }

  /** Updates the list that the trainers share: a restarted host listens on another port. */
  updateTrainerUrls() {
    this.trainerUrls.splice(0, this.trainerUrls.length, ...this._deployment.urls('trainers'));
  }

  /** Restarts hosts, one after the other, from another build. */
  async to(build, indexes) {
    for (const index of indexes) {
      this._supervisor.builds.set(this._deployment.hosts[index].id, build);
      await this._deployment.crashHost(index, RESTART_AFTER_MS);
      this.updateTrainerUrls();
      await delay(SETTLE_MS);
    }
  }

  /** Runs the commands of both builds against every host. */
  async checkCommands(stage) {
    for (const build of ['other', 'this']) {
      for (const host of this._deployment.hosts) {
        const url = `http://${host.started.addresses.operators}`;
        const flags = ['--hosts', url, '--operator-token', 'demo-operator-token-0123456789', '--json', 'yes'];
        for (const command of [
          ['hosts'],
          ['steps'],
          ['endpoints'],
          ['orders'],
          ['accounts'],
          ['rules', 'status'],
          ['rules', 'explain'],
        ]) {
          const { exitCode, output } = await this._supervisor.ctlOf(build, [...command, ...flags]);
          const at = `${build} build's ${command.join(' ')} against ${host.id} of the ${this._supervisor.builds.get(host.id) ?? 'other'} build`;
          const isDone = exitCode === 0 && isJson(output);
          if (isDone) this._checks.passed += 1;
          else this._checks.check(`${stage}: ${at}`, false, output.slice(0, 300));
        }
      }
    }
    this._checks.check(`${stage}: commands of both builds against every host`, true);
  }

  async checkRules(stage, build) {
    const { hosts } = this._deployment;
    const urls = hosts.map(host => `http://${host.started.addresses.operators}`).join(',');
    const flags = ['--hosts', urls, '--operator-token', 'demo-operator-token-0123456789'];
    const rule = path.join(this._folder, 'rule.yaml');
    const id = `rule-${stage.replaceAll(' ', '-')}`;
    fs.writeFileSync(
      rule,
      `rules:\n  - id: ${id}\n    team: storefront\n    when: { kind: [service] }\n    then: { retries: 2 }\n`,
    );
    const added = await this._supervisor.ctlOf(build, [
      'rules',
      'edit',
      'add',
      rule,
      '--team',
      'storefront',
      ...flags,
    ]);
    this._checks.check(`${stage}: ${build} build's edit is accepted`, added.exitCode === 0, added);
    const status = await this._supervisor.ctlOf(build, [
      'rules',
      'status',
      '--wait-ms',
      RULES_TIMEOUT_MS,
      ...flags,
    ]);
    this._checks.check(`${stage}: edit is applied on every host`, status.exitCode === 0, status);
    const listed = await this._supervisor.ctlOf(build, ['rules', 'get', ...flags]);
    this._checks.check(`${stage}: edit is listed`, listed.output.includes(id), listed.output);
  }
}

function isJson(text) {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

/** Sends a hold with the same key to each host and checks that it was executed once. */
async function checkKey(deployment, checks, key) {
  const outcomes = [];
  for (const url of deployment.urls('callers')) {
    const response = await request(`${url}/svc/${PLAN.services.name}/holds`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'idempotency-key': key,
        'fuchsiahitch-timeout-ms': '5000',
      },
      body: JSON.stringify({ seat: key }),
    });
    await response.body.dump();
    outcomes.push(
      `${response.headers['fuchsiahitch-outcome']} ${response.headers['fuchsiahitch-reason'] ?? ''}`.trim(),
    );
  }
  const runs = (await deployment.holdRuns()).get(key);
  const areOutcomesKnown = outcomes.every(
    outcome => outcome === 'completed' || outcome.includes('answer-not-kept') || outcome.includes('key-'),
  );
  checks.check(
    `hold ${key}, sent to ${outcomes.length} hosts, was executed once (${[...new Set(outcomes)].join(', ')})`,
    runs === 1 && areOutcomesKnown,
    [runs, outcomes],
  );
}

function checkTraining(checks, training) {
  const reports = training.flatMap(result => result.reports);
  const expected = PLAN.trainers.length * STEPS;
  const complete = reports.filter(report => report.isOver && report.failedGroups === 0).length;
  checks.equal('steps complete', complete, expected);
  const slots = reports.flatMap(report => {
    const counts = new Map();
    for (const { slot } of report.samples) counts.set(slot, (counts.get(slot) ?? 0) + 1);
    return [...counts.values()];
  });
  checks.equal(
    'samples delivered once',
    slots.filter(count => count === 1).length,
    expected * SAMPLES_PER_STEP,
  );
  checks.equal('samples delivered twice', slots.filter(count => count > 1).length, 0);
}

/** Writes launchers for the programs of a checkout, named as the supervisor expects, and returns their folder. */
function writeLaunchers(checkout, folder) {
  fs.mkdirSync(folder);
  const programs = {
    'fuchsiahitch-entry': 'entry',
    'fuchsiahitch-standin': 'standins',
    fuchsiahitchctl: 'ctl',
  };
  for (const [name, packageName] of Object.entries(programs)) {
    const main = pathToFileURL(path.resolve(checkout, 'packages', packageName, 'dist/main.js'));
    fs.writeFileSync(path.join(folder, `${name}.mjs`), `await import('${main.href}');\n`);
  }
  return folder;
}

export async function checkDaemons(checkout, checks) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fuchsiahitch-upgrade-'));
  const supervisor = new TwoBuildSupervisor(
    writeLaunchers(checkout, path.join(folder, 'other')),
    writeLaunchers('.', path.join(folder, 'this')),
  );
  const deployment = new RunningDeployment(PLAN, supervisor);
  try {
    await deployment.start();
    const upgrade = new RollingUpgrade(deployment, supervisor, checks, folder);
    await upgrade.checkRules('other build alone', 'other');
    await checkKey(deployment, checks, 'upgrade-key-1');
    const customers = new Customers(deployment);
    customers.start(CLIENTS);
    const version = new WeightVersion();
    upgrade.updateTrainerUrls();
    const trainers = { plan: PLAN, urls: () => upgrade.trainerUrls };
    const trainings = PLAN.trainers.map((name, i) => train(trainers, name, STEPS, version, i === 0));
    await upgrade.to('this', [0, 2]);
    await upgrade.checkCommands('half and half');
    await upgrade.checkRules('half and half by this build', 'this');
    await upgrade.checkRules('half and half by the other build', 'other');
    await checkKey(deployment, checks, 'upgrade-key-1');
    await checkKey(deployment, checks, 'upgrade-key-2');
    await upgrade.to('this', [1, 3]);
    await upgrade.checkRules('this build alone', 'this');
    await checkKey(deployment, checks, 'upgrade-key-2');
    await upgrade.to('other', [0, 2]);
    await upgrade.checkRules('back to half and half', 'other');
    await checkKey(deployment, checks, 'upgrade-key-3');
    const training = await Promise.all(trainings);
    await customers.stop();
    checkTraining(checks, training);
    const { completions, lookups, holds, lost, broken, notRunKeys } = customers.counts;
    checks.check(
      `customer requests completed (${completions + lookups + holds}, ${broken} connections broken)`,
      completions + lookups + holds > 0,
      customers.counts,
    );
    checks.equal('customer requests lost', lost, 0);
    const runs = await deployment.holdRuns();
    checks.equal('holds executed twice', [...runs.values()].filter(count => count > 1).length, 0);
    checks.equal(
      'holds reported not executed that were',
      [...notRunKeys].filter(key => (runs.get(key) ?? 0) > 0),
      [],
    );
    checks.equal(
      'samples scored twice',
      [...(await deployment.scoreRuns()).values()].filter(count => count > 1).length,
      0,
    );
  } finally {
    await supervisor.stopAll();
    fs.rmSync(folder, { recursive: true });
  }
}
