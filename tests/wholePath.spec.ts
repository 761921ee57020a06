/**
 * End-to-end tests over real sockets: rules, completions, idempotency keys, steps and weights.
 */
import tap, { type Test } from 'tap';
import { Trainer, type StepReport } from '@fuchsiahitch/standins';
import type { StepSpec } from '@fuchsiahitch/steps';
import { eventually, TestFleet } from '@fuchsiahitch/testkit';

const fleet = await TestFleet.start({
  domains: ['tekapo', 'twizel'],
  hostsPerDomain: 2,
  enginesPerDomain: 2,
  servicesPerDomain: 1,
});
tap.teardown(() => fleet.stop());

const areSlotsSettled = (): Promise<boolean> =>
  fleet.call('tekapo-0', 'operators', '/v1/status').then(answer => {
    const status = JSON.parse(answer.text) as {
      hosts: { status?: { slotsOwned: number; slotsSettled: number } }[];
    };
    return (
      status.hosts.length === 4 &&
      status.hosts.every(
        host =>
          host.status !== undefined &&
          host.status.slotsOwned > 0 &&
          host.status.slotsSettled === host.status.slotsOwned,
      )
    );
  });

function spec(trainer: string, step: number, groups: number): StepSpec {
  return {
    trainer,
    step,
    house: 'guides',
    pool: 'gen-pool',
    groups: Array.from({ length: groups }, (_, i) => ({
      prompt: `tour ${step}/${i}`,
      samples: 4,
      expectedTokens: 0,
    })),
    maxTokens: 64,
    stalenessVersions: 2,
    stalenessMs: 60_000,
    deadlineMs: 60_000,
  };
}

await tap.test('should settle all key slots', async t => {
  await eventually('slots settled', areSlotsSettled);
  t.pass('settled');
});

await tap.test('should return a complete completion', async t => {
  const body = { model: 'gen-pool', prompt: 'which stars are up', max_tokens: 20 };
  const answer = await fleet.call('tekapo-0', 'callers', '/v1/completions', { body });
  t.equal(answer.status, 200);
  t.equal(answer.headers['fuchsiahitch-outcome'], 'completed');
  const { usage } = JSON.parse(answer.text) as { usage: { completion_tokens: number } };
  t.ok(usage.completion_tokens > 0);
});

await tap.test(
  'should execute a request once when it is resent to every host with the same idempotency key',
  async t => {
    const headers = { 'idempotency-key': 'hold-1' };
    const bodies = [];
    for (const id of fleet.hosts.keys()) {
      const answer = await fleet.call(id, 'callers', '/svc/skybook/holds', { body: { seat: 4 }, headers });
      bodies.push(answer.text);
      t.equal(answer.headers['fuchsiahitch-outcome'], 'completed');
    }
    t.equal(new Set(bodies).size, 1, 'every resend got the first answer');
    t.equal(
      fleet.services.reduce((sum, service) => sum + (service.executionCounts.get('hold-1') ?? 0), 0),
      1,
    );
  },
);

await tap.test(
  'should deliver each sample of a step once to a trainer that does not report the samples it holds',
  async t => {
    const report = await runStep(false, spec('tekapo:tuner', 1, 6));
    checkComplete(t, report, 24);
  },
);

await tap.test(
  'should deliver each sample of a step once to a trainer that reports the samples it holds',
  async t => {
    const report = await runStep(true, spec('twizel:tuner', 1, 6));
    checkComplete(t, report, 24);
  },
);

await tap.test('should apply an accepted edit on every host', async t => {
  const rule = { id: 'no-bots', team: 'web', when: { caller: ['bot'] }, then: { refuse: 'no bots' } };
  const edit = { id: 'edit-0001', team: 'web', operation: { op: 'add', rule } };
  const answer = await fleet.call('twizel-1', 'operators', '/v1/rules/edits', { body: edit });
  t.equal(answer.status, 200, answer.text);
  const body = { model: 'gen-pool', prompt: 'hello', max_tokens: 4 };
  for (const id of fleet.hosts.keys()) {
    await eventually(`refused at ${id}`, async () => {
      const refused = await fleet.call(id, 'callers', '/v1/completions', {
        body,
        headers: { 'fuchsiahitch-caller': 'bot' },
      });
      return refused.status === 403 && refused.headers['fuchsiahitch-outcome'] === 'not-run';
    });
  }
  t.pass('in force');
});

await tap.test('should distribute new weights to every engine', async t => {
  const answer = await fleet.call('tekapo-1', 'trainers', '/v1/weights', {
    body: { pool: 'gen-pool', version: 5 },
  });
  t.equal(answer.status, 200);
  await eventually('all engines at version 5', () => fleet.engines.every(engine => engine.version === 5));
  t.pass('swapped');
});

async function runStep(reportsHeldSlots: boolean, step: StepSpec): Promise<StepReport> {
  const urls = fleet.urls('trainers');
  const trainer = new Trainer({
    urls,
    trainerVersion: () => 1,
    maxSamples: 8,
    reportsHeldSlots,
    stepTimeoutMs: 30_000,
  });
  return trainer.runStep(step);
}

function checkComplete(t: Test, report: StepReport, samples: number): void {
  t.equal(report.isOver, true);
  t.equal(report.samples.length, samples);
  t.equal(new Set(report.samples.map(sample => sample.slot)).size, samples);
  t.ok(report.samples.every(sample => (fleet.scorer.scoreCounts.get(sample.sampleId) ?? 0) === 1));
}
