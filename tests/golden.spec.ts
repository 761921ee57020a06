/**
 * Compares complete sessions byte for byte with golden files. `npm run golden:update` rewrites the files; review
 * their diff.
 */
import fs from 'node:fs';
import tap, { type Test } from 'tap';
import type { CallerAnswer } from '@fuchsiahitch/entry';
import type { StepSpec } from '@fuchsiahitch/steps';
import { SimFleet, SimTrainer, guaranteeViolations, type SimHost } from '@fuchsiahitch/testkit';

const FOLDER = 'tests/golden';
const STEP_TIMEOUT_MS = 200_000;

/** Records the events of a session, one per line, with the virtual time. */
class Session {
  readonly fleet: SimFleet;
  readonly lines: string[] = [];

  constructor(fleet: SimFleet) {
    this.fleet = fleet;
  }

  note(text: string): void {
    this.lines.push(`${String(Math.round(this.fleet.clock.nowMs())).padStart(7)} ms  ${text}`);
  }

  async runStep(trainer: SimTrainer, spec: StepSpec, during: () => Promise<void>): Promise<void> {
    this.fleet.onStage = stage => {
      if (stage === 'opened' || stage === 'sealed' || stage === 'handed over') this.note(`step ${stage}`);
    };
    void trainer.run();
    await during();
    await this.fleet.until('step over', () => trainer.end !== undefined, STEP_TIMEOUT_MS);
    this.note(`step ended: ${JSON.stringify(trainer.end)}`);
    for (const { sample, trainerVersion } of trainer.deliveries) {
      const spans = sample.spans.map(span => `${span.tokens} of version ${span.version}`).join(', ');
      this.lines.push(`slot ${sample.slot}: ${spans}; trainer at ${trainerVersion}`);
    }
    this.lines.push(
      `guarantee violations: ${JSON.stringify(guaranteeViolations(this.fleet, spec, trainer))}`,
    );
  }
}

async function sessionOf(seed: number): Promise<Session> {
  const fleet = await SimFleet.start({
    seed,
    domains: ['tekapo', 'twizel'],
    hostsPerDomain: 2,
    enginesPerDomain: 2,
    engineSlots: 4,
  });
  return new Session(fleet);
}

function specOf(groups: number, prompt: string): StepSpec {
  return {
    trainer: 'tekapo:tuner',
    step: 7,
    house: 'guides',
    pool: 'gen-pool',
    groups: Array.from({ length: groups }, (_, i) => ({
      prompt: `${i} ${prompt}`,
      samples: 2,
      expectedTokens: 0,
    })),
    maxTokens: 100,
    stalenessVersions: 1,
    stalenessMs: 60_000,
    deadlineMs: STEP_TIMEOUT_MS,
  };
}

function compare(t: Test, name: string, session: Session): void {
  const file = `${FOLDER}/${name}.txt`;
  const text = `${session.lines.join('\n')}\n`;
  if (process.env.UPDATE_GOLDEN === 'yes') fs.writeFileSync(file, text);
  t.equal(text, fs.readFileSync(file, 'utf8'));
}

await tap.test('should reproduce a step with a weight swap in the middle', async t => {
  const session = await sessionOf(101);
  const { fleet } = session;
  const spec = specOf(6, 'long tail');
  const trainer = new SimTrainer(fleet, spec, false);
  await session.runStep(trainer, spec, async () => {
    await fleet.clock.advance(700);
    session.note('weights: version 2');
    trainer.version = 2;
    void fleet.host('twizel-0').ready.orders.setTarget('gen-pool', 2);
  });
  compare(t, 'swap-in-mid-step', session);
  await fleet.stop();
});

await tap.test('should reproduce a step that loses its owner', async t => {
  const session = await sessionOf(102);
  const { fleet } = session;
  const spec = specOf(6, 'night');
  const trainer = new SimTrainer(fleet, spec, false);
  await session.runStep(trainer, spec, async () => {
    await fleet.until('a chunk delivered', () => trainer.deliveries.length > 0);
    const owner = fleet.liveHosts().find(host => host.ready.steps.ownedCount() > 0);
    session.note(`killed: ${owner?.id ?? 'none'}`);
    owner?.process.kill();
  });
  compare(t, 'owner-lost', session);
  await fleet.stop();
});

await tap.test('should reproduce a surge of rebookings during a step', async t => {
  const session = await sessionOf(103);
  const { fleet } = session;
  const spec = specOf(8, 'long tail');
  const trainer = new SimTrainer(fleet, spec, true);
  const outcomes = new Map<string, number>();
  let answered = 0;
  const book = (host: SimHost, seat: number): void => {
    const key = `seat-${seat}`;
    const work = {
      kind: 'service',
      method: 'POST',
      path: '/holds',
      headers: { 'idempotency-key': key },
      body: undefined,
    } as const;
    const left = new AbortController().signal;
    const request = {
      kind: 'service',
      pool: 'skybook',
      caller: 'desk',
      house: 'tours',
      priority: 'high',
      timeoutMs: 5000,
      key,
      trace: undefined,
      left,
      work,
    } as const;
    void host.ready.requests.run(request).then((answer: CallerAnswer) => {
      answered += 1;
      outcomes.set(answer.outcome.kind, (outcomes.get(answer.outcome.kind) ?? 0) + 1);
    });
  };
  await session.runStep(trainer, spec, async () => {
    await fleet.clock.advance(500);
    session.note('60 rebookings, each sent twice');
    const hosts = [...fleet.hosts.values()];
    for (let i = 0; i < 120; i++) {
      const host = hosts[i % hosts.length];
      if (host) book(host, i % 60);
      await fleet.clock.advance(5);
    }
    await fleet.until('all answered', () => answered === 120);
    session.note(`outcomes: ${JSON.stringify([...outcomes])}`);
    session.note(
      `holds executed more than once: ${[...fleet.services.executionCounts.values()].filter(count => count > 1).length}`,
    );
  });
  compare(t, 'rebooking-surge', session);
  await fleet.stop();
});
