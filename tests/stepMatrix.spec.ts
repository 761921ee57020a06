/**
 * Fault matrix of samples: every fault at every stage of a sample's life cycle. Checks that every slot is delivered
 * exactly once, with correct provenance, within its staleness bound, and scored once.
 */
import tap from 'tap';
import type { StepSpec } from '@fuchsiahitch/steps';
import { SimFleet, type SimHost } from '@fuchsiahitch/testkit';
import { guaranteeViolations, SimTrainer } from '@fuchsiahitch/testkit';

const STAGES = [
  'opened',
  'assigned',
  'generating',
  'generated',
  'scoring',
  'scored',
  'copied',
  'sealed',
  'handed over',
  'acknowledged',
] as const;
type Stage = (typeof STAGES)[number];

/** The objects that a fault acts on. */
interface FaultContext {
  readonly fleet: SimFleet;
  readonly trainer: SimTrainer;
}

const OUTAGE_MS = 12_000;
const STEP_TIMEOUT_MS = 200_000;
/** Faults are injected at this occurrence of a stage, or at the first one of `opened` and `sealed`. */
const OCCURRENCE = 3;

function ownerOf(fleet: SimFleet): SimHost {
  const owner = fleet.liveHosts().find(host => host.ready.steps.ownedCount() > 0);
  return owner ?? fleet.host('tekapo-0');
}

const FAULTS = {
  'engine crash': ({ fleet }) => {
    for (const engine of fleet.engines.values()) if (engine.inFlight > 0) return engine.crash(OUTAGE_MS);
  },
  'entry host killed': ({ fleet }) => {
    const owner = ownerOf(fleet);
    owner.process.kill();
    fleet.clock.after(OUTAGE_MS, () => void fleet.startHost(owner.domain, owner.id));
  },
  'worker killed permanently': ({ fleet }) => {
    const owner = ownerOf(fleet);
    const worker = fleet.liveHosts().find(host => host !== owner && host.ready.rollouts.running() > 0);
    worker?.process.kill();
  },
  'entry host paused and resumed': ({ fleet }) => {
    const owner = ownerOf(fleet);
    owner.process.pause();
    fleet.clock.after(OUTAGE_MS, () => owner.process.resume());
  },
  "trainer's connection broken": ({ trainer }) => {
    trainer.loseReplies = 2;
  },
  'store down': ({ fleet }) => {
    fleet.store.isDown = true;
    fleet.clock.after(OUTAGE_MS, () => {
      fleet.store.isDown = false;
    });
  },
  "store's answer lost": ({ fleet }) => {
    fleet.store.loseAnswers = 2;
  },
  'lease expired': ({ fleet }) => fleet.store.expireLeases(),
  'swap failed': ({ fleet, trainer }) => {
    for (const engine of fleet.engines.values()) engine.failSwaps = 1;
    trainer.version += 1;
    void ownerOf(fleet).ready.orders.setTarget('gen-pool', trainer.version);
  },
  'partition between domains': ({ fleet }) => {
    fleet.cutBetween(fleet.processNames('tekapo'), fleet.processNames('twizel'));
    fleet.clock.after(OUTAGE_MS, () => fleet.net.heal());
  },
  'partition to the platform': ({ fleet }) => {
    fleet.cutBetween(fleet.processNames('tekapo'), ['store', 'list']);
    fleet.clock.after(OUTAGE_MS, () => fleet.net.heal());
  },
  "scorer's answer lost": ({ fleet }) => {
    fleet.scorer.loseAnswers = 2;
  },
} satisfies Record<string, (context: FaultContext) => void>;
type Fault = keyof typeof FAULTS;
const FAULT_NAMES = Object.keys(FAULTS) as Fault[];

/** Simultaneous faults, each of which affects the owner, the store or the samples by itself. */
const PAIRS: readonly (readonly [Fault, Fault])[] = [
  ['entry host killed', 'store down'],
  ['entry host killed', "store's answer lost"],
  ['entry host killed', 'engine crash'],
  ['entry host killed', "trainer's connection broken"],
  ['entry host killed', 'worker killed permanently'],
  ['entry host paused and resumed', 'store down'],
  ['entry host paused and resumed', "store's answer lost"],
  ['entry host paused and resumed', "trainer's connection broken"],
  ['entry host paused and resumed', 'partition between domains'],
  ['partition to the platform', 'entry host killed'],
  ['swap failed', 'engine crash'],
  ["scorer's answer lost", 'worker killed permanently'],
];

function specOf(): StepSpec {
  return {
    trainer: 'tekapo:tuner',
    step: 1,
    house: 'guides',
    pool: 'gen-pool',
    groups: Array.from({ length: 6 }, (_, i) => ({ prompt: `night ${i}`, samples: 2, expectedTokens: 0 })),
    maxTokens: 100,
    stalenessVersions: 1,
    stalenessMs: 30_000,
    deadlineMs: STEP_TIMEOUT_MS,
  };
}

async function runCell(
  faults: readonly Fault[],
  stage: Stage,
  reportsHeldSlots: boolean,
): Promise<readonly string[]> {
  const fleet = await SimFleet.start({
    seed: 11,
    domains: ['tekapo', 'twizel'],
    hostsPerDomain: 2,
    enginesPerDomain: 1,
    engineSlots: 4,
  });
  const spec = specOf();
  const trainer = new SimTrainer(fleet, spec, reportsHeldSlots);
  let occurrences = 0;
  const injected: Fault[] = [];
  fleet.onStage = reached => {
    if (reached !== stage || injected.length > 0) return;
    occurrences += 1;
    if (occurrences < OCCURRENCE && stage !== 'opened' && stage !== 'sealed') return;
    injected.push(...faults);
    for (const fault of faults) FAULTS[fault]({ fleet, trainer });
  };
  void trainer.run();
  const problems: string[] = [];
  await fleet
    .until('step over', () => trainer.end !== undefined, STEP_TIMEOUT_MS)
    .catch((thrown: unknown) => problems.push(String(thrown)));
  if (injected.length === 0) problems.push('the fault was never injected');
  if (trainer.end?.kind !== 'over') problems.push(`the step ended as ${trainer.end?.kind ?? 'nothing'}`);
  problems.push(...guaranteeViolations(fleet, spec, trainer));
  await fleet.stop();
  return problems;
}

/** A trainer that reports the slots that it holds needs no sealed chunks, so that stage does not occur. */
function stagesFor(reportsHeldSlots: boolean): readonly Stage[] {
  return reportsHeldSlots ? STAGES.filter(stage => stage !== 'sealed') : STAGES;
}

tap.setTimeout(0);

/** Runs only the cells whose name contains this text. */
const cellFilter = process.env.CELL ?? '';
for (const reportsHeldSlots of [false, true]) {
  const mode = reportsHeldSlots ? 'reports held slots' : 'retries without receipts';
  for (const fault of FAULT_NAMES) {
    if (!`${fault}/${mode}`.includes(cellFilter)) continue;
    await tap.test(
      `should preserve all delivery guarantees with ${fault} at each stage, trainer ${mode}`,
      { timeout: 0 },
      async t => {
        for (const stage of stagesFor(reportsHeldSlots))
          t.same(await runCell([fault], stage, reportsHeldSlots), [], `${fault} at ${stage}`);
      },
    );
  }
}

for (const [first, second] of PAIRS) {
  if (!`${first}+${second}`.includes(cellFilter)) continue;
  await tap.test(
    `should preserve all delivery guarantees with ${first} and ${second} at once`,
    { timeout: 0 },
    async t => {
      for (const stage of STAGES)
        t.same(await runCell([first, second], stage, false), [], `both at ${stage}`);
    },
  );
}
