/**
 * Unit tests of the step ledger, provenance and scheduling, and step runs on a simulated fleet.
 */
import fc from 'fast-check';
import tap from 'tap';
import { SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import {
  BATCH_LEASE_MS,
  FairSchedule,
  isFresh,
  SpanRecorder,
  StepLedger,
  stepSpecSchema,
  type Assignment,
  type Sample,
  type StepSpec,
} from '@fuchsiahitch/steps';
import { SimFleet, SimTrainer, guaranteeViolations } from '@fuchsiahitch/testkit';
import { fuzzRuns } from './fuzzRuns.js';

tap.setTimeout(0);

function specOf(groups: number, samples: number, changes: Partial<StepSpec> = {}): StepSpec {
  return {
    trainer: 'tekapo:tuner',
    step: 1,
    house: 'guides',
    pool: 'gen-pool',
    groups: Array.from({ length: groups }, (_, i) => ({ prompt: `prompt ${i}`, samples, expectedTokens: 0 })),
    maxTokens: 100,
    stalenessVersions: 1,
    stalenessMs: 60_000,
    deadlineMs: 120_000,
    ...changes,
  };
}

function sampleOf(one: Assignment, version = 1): Sample {
  return {
    sampleId: one.sampleId,
    slot: one.slot,
    text: 't',
    spans: [{ version, tokens: 1 }],
    score: 1,
    ageMs: 0,
  };
}

function ledgerOf(
  spec: StepSpec,
  hedgeShare = 0.5,
): { readonly clock: VirtualClock; readonly ledger: StepLedger } {
  const clock = new VirtualClock();
  return { clock, ledger: new StepLedger(spec, clock, new SeededRandom(1), hedgeShare) };
}

await tap.test('should count one of two hedged samples', async t => {
  // Guards against two samples for one slot when both a straggler and its hedge complete.
  const { clock, ledger } = ledgerOf(specOf(10, 1));
  const { assignments } = ledger.assign('w1', 10);
  const [slow, ...fast] = assignments;
  await clock.advance(100);
  for (const one of fast) ledger.sampleDone(sampleOf(one));
  t.same(ledger.assign('w2', 5).assignments, [], 'the slow sample is not a straggler yet');
  await clock.advance(200);
  const [hedge] = ledger.assign('w2', 5).assignments;
  t.equal(hedge?.slot, slow?.slot);
  if (!hedge || !slow) return;
  t.equal(ledger.sampleDone(sampleOf(hedge)), 'taken');
  t.equal(ledger.sampleDone(sampleOf(slow)), 'duplicate');
  t.equal(ledger.readyGroups(1, 100).length, 10);
});

await tap.test('should reassign a batch that is not renewed', async t => {
  const { clock, ledger } = ledgerOf(specOf(2, 1));
  const kept = ledger.assign('w1', 1);
  const lost = ledger.assign('w2', 1);
  await clock.advance(BATCH_LEASE_MS - 1);
  ledger.renew([kept.batch]);
  await clock.advance(1);
  ledger.expire();
  t.same(
    ledger.assign('w3', 5).assignments.map(one => one.slot),
    lost.assignments.map(one => one.slot),
  );
});

await tap.test('should fail the group of a poisoned prompt', t => {
  // Guards against a step that never ends because a prompt that engines reject is retried without limit.
  const { ledger } = ledgerOf(specOf(2, 2));
  for (let i = 0; i < 40; i++) {
    for (const one of ledger.assign('w', 10).assignments) {
      if (one.slot === 0) ledger.sampleFailed(one.sampleId, true);
      else ledger.sampleDone(sampleOf(one));
    }
  }
  t.same(ledger.failedGroups(), [{ group: 0, reason: 'generation-failed' }]);
  t.equal(ledger.counts().failed, 1);
  ledger.markDelivered(ledger.readyGroups(1, 10).map(({ sample }) => sample.slot));
  t.ok(ledger.isOver());
  t.end();
});

await tap.test('should not fail a prompt for one terminated engine, nor one that yields samples', t => {
  const { ledger } = ledgerOf(specOf(2, 8));
  for (const one of ledger.assign('w', 8).assignments) ledger.engineTerminated(one.sampleId, 'engine-1');
  t.same(ledger.failedGroups(), [], 'eight slots failed with one engine');
  for (const engine of ['engine-2', 'engine-3', 'engine-4']) {
    const [made, broken] = ledger.assign('w', 2).assignments;
    if (!made || !broken) return t.end();
    ledger.engineTerminated(broken.sampleId, engine);
    ledger.sampleDone(sampleOf(made));
  }
  t.same(ledger.failedGroups(), []);
  return t.end();
});

await tap.test('should replace a stale sample, and refuse it when it is sent again', t => {
  const { ledger } = ledgerOf(specOf(1, 1));
  const [one] = ledger.assign('w', 1).assignments;
  if (!one) return t.end();
  ledger.sampleDone(sampleOf(one, 1));
  t.equal(ledger.readyGroups(3, 10).length, 0, 'two versions behind, with a bound of one');
  t.equal(ledger.sampleDone(sampleOf(one, 1)), 'duplicate', 'the same message is repeated');
  const [next] = ledger.assign('w', 1).assignments;
  if (next) ledger.sampleDone(sampleOf(next, 3));
  t.equal(ledger.readyGroups(3, 10).length, 1);
  return t.end();
});

await tap.test('should release only complete groups', t => {
  const { ledger } = ledgerOf(specOf(2, 3));
  const { assignments } = ledger.assign('w', 6);
  for (const one of assignments.slice(0, 5)) ledger.sampleDone(sampleOf(one));
  const slots = ledger.readyGroups(1, 100).map(({ sample }) => sample.slot);
  t.equal(slots.length, 3);
  t.equal(new Set(slots.map(slot => Math.floor(slot / 3))).size, 1);
  t.end();
});

await tap.test('should assign the longest groups first', t => {
  const spec = specOf(3, 1);
  const groups = spec.groups.map((group, i) => ({ ...group, expectedTokens: [10, 500, 100][i] ?? 0 }));
  const { ledger } = ledgerOf({ ...spec, groups });
  t.same(
    ledger.assign('w', 3).assignments.map(one => one.slot),
    [1, 2, 0],
  );
  t.end();
});

await tap.test('should refuse samples without provable provenance', t => {
  const missing = new SpanRecorder();
  missing.add(1, 2);
  missing.add(undefined, 1);
  t.same(missing.finish(3), { ok: false, error: 'no-version-on-a-chunk' });
  const short = new SpanRecorder();
  short.add(1, 2);
  t.same(short.finish(3), { ok: false, error: 'token-count-differs' });
  t.same(new SpanRecorder().finish(0), { ok: false, error: 'no-tokens' });
  const swapped = new SpanRecorder();
  swapped.add(1, 2);
  swapped.add(1, 1);
  swapped.add(2, 4);
  t.same(swapped.finish(7), {
    ok: true,
    value: [
      { version: 1, tokens: 3 },
      { version: 2, tokens: 4 },
    ],
  });
  t.notOk(
    isFresh(
      [
        { version: 1, tokens: 3 },
        { version: 9, tokens: 4 },
      ],
      0,
      3,
      { stalenessVersions: 1, stalenessMs: 1 },
    ),
    'staleness is that of the oldest tokens',
  );
  t.end();
});

await tap.test('should share by house, regardless of its number of steps', t => {
  const schedule = new FairSchedule();
  const steps = [
    { key: 'a1', house: 'a', share: 0.5, deadlineInMs: 10 },
    { key: 'a2', house: 'a', share: 0.5, deadlineInMs: 5 },
    { key: 'a3', house: 'a', share: 0.5, deadlineInMs: 20 },
    { key: 'b1', house: 'b', share: 0.5, deadlineInMs: 100 },
  ];
  const served = { a: 0, b: 0 };
  for (let i = 0; i < 1000; i++) {
    const next = schedule.next(steps);
    if (!next) break;
    served[next.house === 'a' ? 'a' : 'b'] += 1;
    schedule.charge(next.house, next.share, 100);
  }
  t.ok(Math.abs(served.a - served.b) <= 2, `${served.a} to ${served.b}`);
  t.equal(
    schedule.next(steps.slice(0, 3))?.key,
    'a2',
    'the earliest deadline within a house; an idle house is skipped',
  );
  t.end();
});

await tap.test('should refuse an invalid step specification', t => {
  t.notOk(stepSpecSchema.safeParse(specOf(0, 1)).success);
  t.notOk(stepSpecSchema.safeParse(specOf(8192, 256)).success, 'more samples than a step may have');
  t.notOk(stepSpecSchema.safeParse({ ...specOf(1, 1), trainer: 'Not A Name' }).success);
  t.ok(stepSpecSchema.safeParse(specOf(2, 2)).success);
  t.end();
});

await tap.test('should fill each slot once under random events', async t => {
  const event = fc.record({
    do: fc.constantFrom('assign', 'done', 'again', 'fail', 'gone', 'expire', 'take', 'version'),
    at: fc.nat(50),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(event, { maxLength: 200 }), async events => {
      const { clock, ledger } = ledgerOf(specOf(4, 3));
      const assignments: Assignment[] = [];
      const delivered: number[] = [];
      let version = 1;
      for (const { do: action, at } of events) {
        const one = assignments[at % Math.max(1, assignments.length)];
        if (action === 'assign') assignments.push(...ledger.assign(`w${at % 3}`, 1 + (at % 4)).assignments);
        else if (action === 'version') version += at % 2;
        else if (action === 'gone') ledger.workerLost(`w${at % 3}`);
        else if (action === 'expire') {
          await clock.advance(BATCH_LEASE_MS);
          ledger.expire();
        } else if (action === 'take') {
          const slots = ledger.readyGroups(version, 6).map(({ sample }) => sample.slot);
          delivered.push(...slots);
          ledger.markDelivered(slots);
        } else if (one && action === 'fail') ledger.sampleFailed(one.sampleId, false);
        else if (one) ledger.sampleDone(sampleOf(one, version));
      }
      const counts = ledger.counts();
      const total =
        counts.open + counts.assigned + counts.ready + counts.sealed + counts.delivered + counts.failed;
      return (
        new Set(delivered).size === delivered.length && counts.delivered === delivered.length && total === 12
      );
    }),
    fuzzRuns(300),
  );
  t.pass('no slot was filled twice');
});

await tap.test('should end a step with a poisoned prompt on a simulated deployment', async t => {
  const fleet = await SimFleet.start({
    seed: 4,
    domains: ['tekapo'],
    hostsPerDomain: 2,
    enginesPerDomain: 1,
  });
  const spec = specOf(3, 2);
  const groups = spec.groups.map((group, i) => (i === 1 ? { ...group, prompt: 'poison' } : group));
  const trainer = new SimTrainer(fleet, { ...spec, groups }, false);
  void trainer.run();
  await fleet.until('step over', () => trainer.end !== undefined, 100_000);
  t.match(trainer.end, { kind: 'over', failedGroups: [{ group: 1, reason: 'generation-failed' }] });
  t.equal(trainer.deliveries.length, 4);
  await fleet.stop();
});

await tap.test('should fail a prompt that terminates engines', async t => {
  // Guards against a prompt that terminates one engine after another until the deadline of its step.
  const fleet = await SimFleet.start({
    seed: 6,
    domains: ['tekapo'],
    hostsPerDomain: 3,
    enginesPerDomain: 8,
  });
  const spec = specOf(3, 2);
  const groups = spec.groups.map((group, i) => (i === 1 ? { ...group, prompt: 'deadly' } : group));
  const trainer = new SimTrainer(fleet, { ...spec, groups }, false);
  void trainer.run();
  await fleet.until('step over', () => trainer.end !== undefined, 100_000);
  t.match(trainer.end, { kind: 'over', failedGroups: [{ group: 1, reason: 'generation-failed' }] });
  t.equal(trainer.deliveries.length, 4, 'the other groups are complete');
  const crashes = [...fleet.engines.values()].reduce((sum, engine) => sum + engine.crashes, 0);
  // Three terminations fail the group, and its two samples run concurrently.
  t.ok(crashes <= 4, `${crashes} engines terminated`);
  await fleet.stop();
});

await tap.test('should replace samples that a new version made stale, before the deadline', async t => {
  const fleet = await SimFleet.start({
    seed: 5,
    domains: ['tekapo'],
    hostsPerDomain: 2,
    enginesPerDomain: 2,
  });
  const spec = specOf(8, 2, { stalenessVersions: 0 });
  const trainer = new SimTrainer(fleet, spec, false);
  void trainer.run();
  await fleet.until('some delivered', () => trainer.deliveries.length > 0);
  trainer.version = 2;
  void fleet.host('tekapo-0').ready.orders.setTarget('gen-pool', 2);
  await fleet.until('step over', () => trainer.end !== undefined, 100_000);
  t.same(guaranteeViolations(fleet, spec, trainer), []);
  await fleet.stop();
});
