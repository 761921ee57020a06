/**
 * Rules: first-match evaluation, concurrent edits, distribution to all hosts, and revisions that never decrease.
 */
import fc from 'fast-check';
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import {
  applyEdit,
  checkRules,
  EMPTY_DOCUMENT,
  newErrors,
  planEdits,
  parseRuleFile,
  RuleEvaluator,
  ruleDigest,
  RuleHistory,
  simulate,
  formatRuleFile,
  type Condition,
  type Edit,
  type EditOutcome,
  type RequestFacts,
  type Rule,
  type RuleDocument,
} from '@fuchsiahitch/rules';
import { CallBudget } from '@fuchsiahitch/membership';
import { SeededRandom } from '@fuchsiahitch/base';
import { fuzzRuns } from './fuzzRuns.js';
import { SimFleet, type SimHost } from '@fuchsiahitch/testkit';

const FACTS: RequestFacts = {
  kind: 'completion',
  caller: 'web',
  house: 'quests',
  pool: 'gen-pool',
  domain: 'tekapo',
  priority: 'normal',
  version: '',
};

function rule(id: string, when: Condition = {}, then: Rule['then'] = { retries: 1 }): Rule {
  return { id, team: 'team', when, then };
}

function add(id: string, one: Rule, place?: { before?: string; after?: string }): Edit {
  return {
    id: `edit-id-${id}`,
    team: 'team',
    operation: { op: 'add', rule: one, ...(place ? { place } : {}) },
  };
}

function documentOf(...rules: readonly Rule[]): RuleDocument {
  return { revision: rules.length, rules, editIds: [] };
}

function ruleSet(...rules: readonly Rule[]): RuleEvaluator {
  return new RuleEvaluator(documentOf(...rules), new VirtualClock(), () => 0);
}

await tap.test('should decide by the first matching rule', t => {
  const evaluator = ruleSet(
    rule('bots', { caller: ['bot'] }),
    rule('web', { caller: ['web', 'app'] }),
    rule('all'),
  );
  t.equal(evaluator.decide(FACTS).ruleId, 'web');
  t.equal(evaluator.decide({ ...FACTS, caller: 'x' }).ruleId, 'all');
  t.same(
    evaluator.explain(FACTS).map(line => [line.ruleId, line.matched, line.failed]),
    [
      ['bots', false, ['caller']],
      ['web', true, []],
    ],
  );
  t.end();
});

await tap.test('should decide the same as a linear search', t => {
  const name = fc.constantFrom('a', 'b', 'c', 'd');
  const list = fc.option(fc.uniqueArray(name, { minLength: 1, maxLength: 3 }), { nil: undefined });
  const when = fc.record({ caller: list, house: list, pool: list, domain: list });
  const facts = fc.record({ caller: name, house: name, pool: name, domain: name });
  const accepts = (condition: Condition, request: RequestFacts): boolean =>
    (['caller', 'house', 'pool', 'domain'] as const).every(
      field => condition[field]?.includes(request[field]) ?? true,
    );
  fc.assert(
    fc.property(fc.array(when, { maxLength: 80 }), facts, (conditions, some) => {
      const request = { ...FACTS, ...some };
      const rules = conditions.map((condition, i) => rule(`r${i}`, condition));
      return ruleSet(...rules).decide(request).ruleId === rules.find(one => accepts(one.when, request))?.id;
    }),
    fuzzRuns(300),
  );
  t.end();
});

await tap.test('should not oscillate a state condition with a delayed load signal', async t => {
  // Guards against decisions that flip at the period of the load reports when traffic follows a delayed signal.
  const clock = new VirtualClock();
  let load = 0;
  const state = { signal: 'load', above: 0.8, clearBelow: 0.5, dwellMs: 5000 } as const;
  const evaluator = new RuleEvaluator(
    documentOf(rule('busy', { state }, { refuse: 'busy' }), rule('all')),
    clock,
    () => load,
  );
  let changes = 0;
  let last = evaluator.decide(FACTS).ruleId;
  for (let i = 0; i < 600; i++) {
    await clock.advance(100);
    load = i % 10 < 5 ? 0.9 : 0.6;
    const now = evaluator.decide(FACTS).ruleId;
    if (now !== last) changes += 1;
    last = now;
  }
  t.equal(changes, 1, 'the condition is set once, and dips to 0.6 do not clear it');
});

await tap.test('should report the line of each problem in a file', t => {
  const text =
    'rules:\n  - id: ok\n    team: a\n    when: {}\n    then: { retries: 1 }\n  - id: Bad Id\n    team: a\n    when: { colour: [red] }\n    then: { retries: 9 }\n';
  const read = parseRuleFile(text);
  t.notOk(read.ok);
  if (read.ok) return t.end();
  t.same(read.error.map(problem => problem.line).sort(), [6, 8, 9]);
  t.same(parseRuleFile('rules: [').ok, false);
  t.same(parseRuleFile('other: 1').ok, false);
  const good = [rule('a', { caller: ['x'] }), rule('b')];
  t.same(parseRuleFile(formatRuleFile(good)), { ok: true, value: good });
  return t.end();
});

await tap.test('should find conflicts between rules of several teams', t => {
  const kinds = (...rules: readonly Rule[]): readonly string[] =>
    checkRules(rules).map(finding => finding.kind);
  t.same(kinds(rule('all'), rule('late', { caller: ['a'] })), ['shadowed']);
  t.same(kinds(rule('one', { caller: ['a'] }), rule('two', { caller: ['a'] }, { retries: 2 })), [
    'contradiction',
  ]);
  t.same(
    kinds(
      rule('a', { house: ['a'], kind: ['sample'] }, { share: 0.6 }),
      rule('b', { house: ['b'], kind: ['sample'] }, { share: 0.6 }),
    ),
    ['shares'],
  );
  t.same(kinds(rule('greedy', { kind: ['sample'] }, { share: 0.9 })), ['reserve']);
  t.same(kinds(rule('closed', {}, { refuse: 'closed' })), ['refuses-customers']);
  t.same(kinds(rule('night', { hoursUtc: { from: 22, to: 4 } }), rule('day')), []);
  const before = [rule('closed', {}, { refuse: 'closed' })];
  t.same(newErrors(before, [...before, rule('b')]), [], 'an existing error does not refuse a new edit');
  t.end();
});

await tap.test('should rebase an edit onto other edits, and refuse one that conflicts with them', t => {
  const one = rule('one');
  const document = documentOf(one, rule('two'));
  const changed = applyEdit(document, {
    id: 'edit-x',
    team: 'b',
    operation: { op: 'replace', rule: { ...one, note: 'b' }, base: ruleDigest(one) },
  });
  t.ok(changed.ok);
  if (!changed.ok) return t.end();
  const late = applyEdit(changed.value, {
    id: 'edit-y',
    team: 'a',
    operation: { op: 'remove', id: 'one', base: ruleDigest(one) },
  });
  t.match(late, { ok: false, error: { kind: 'changed', ruleId: 'one', current: { note: 'b' } } });
  const added = applyEdit(changed.value, add('z', rule('zero'), { before: 'one' }));
  t.same(added.ok && added.value.rules.map(r => r.id), ['zero', 'one', 'two']);
  t.same(applyEdit(changed.value, add('q', rule('q'), { after: 'gone' })), {
    ok: false,
    error: { kind: 'anchor-missing', anchor: 'gone' },
  });
  return t.end();
});

await tap.test('should plan edits that turn any list into any other', t => {
  const id = fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f');
  const rules = fc
    .uniqueArray(fc.tuple(id, fc.integer({ min: 0, max: 2 })), { selector: ([name]) => name })
    .map(pairs => pairs.map(([name, retries]) => rule(name, {}, { retries })));
  fc.assert(
    fc.property(rules, rules, (from, to) => {
      let document = documentOf(...from);
      for (const [i, operation] of planEdits(from, to).entries()) {
        const applied = applyEdit(document, { id: `plan-${i}`, team: 't', operation });
        if (!applied.ok) return false;
        document = applied.value;
      }
      return JSON.stringify(document.rules) === JSON.stringify(to);
    }),
    fuzzRuns(300),
  );
  t.end();
});

await tap.test('should report the decisions that a proposed list changes', t => {
  const before = documentOf(rule('all'));
  const after = documentOf(rule('web', { caller: ['web'] }, { retries: 0 }), rule('all'));
  const changes = simulate([FACTS, { ...FACTS, caller: 'x' }], before, after, new VirtualClock(), () => 0);
  t.same(
    changes.map(change => [change.facts.caller, change.before, change.after]),
    [['web', 'all', 'web']],
  );
  t.end();
});

await tap.test('should never decrease the revision', t => {
  const history = new RuleHistory();
  t.equal(history.offerDocument(documentOf(rule('a'), rule('b'))), 'taken');
  t.equal(history.offerDocument(documentOf(rule('a'))), 'old');
  t.equal(history.offerEdit({ revision: 4, edit: add('4', rule('d')) }), 'gap');
  t.equal(history.offerEdit({ revision: 3, edit: add('3', rule('c')) }), 'taken');
  t.equal(history.offerEdit({ revision: 3, edit: add('3b', rule('x')) }), 'old');
  t.equal(history.editsAfter(2)?.length, 1);
  t.equal(history.editsAfter(1), undefined);
  t.end();
});

await tap.test('should limit the call rate of the fleet after an outage', async t => {
  // Guards against an overload of the store when all hosts retry at once. Here 330 hosts share 600 calls per second.
  const clock = new VirtualClock();
  const random = new SeededRandom(3);
  const hosts = Array.from({ length: 330 }, () => {
    const budget = new CallBudget(clock, random, {
      fleetPerSecond: 600,
      burst: 4,
      basePauseMs: 50,
      maxPauseMs: 5000,
    });
    budget.setHostCount(330);
    return budget;
  });
  for (let i = 0; i < 100; i++) {
    for (const budget of hosts) if (budget.take().granted) budget.failed();
    await clock.advance(100);
  }
  let most = 0;
  for (let second = 0; second < 20; second++) {
    let calls = 0;
    for (let i = 0; i < 10; i++) {
      for (const budget of hosts) {
        if (!budget.take().granted) continue;
        calls += 1;
        budget.succeeded();
      }
      await clock.advance(100);
    }
    most = Math.max(most, calls);
  }
  t.ok(most <= 2000, `${most} calls in the busiest second`);
});

tap.setTimeout(0);
const DOMAINS = ['tekapo', 'twizel'];

async function fleetOf(seed: number): Promise<SimFleet> {
  return SimFleet.start({ seed, domains: DOMAINS, hostsPerDomain: 2, enginesPerDomain: 0 });
}

function revisions(fleet: SimFleet): readonly number[] {
  return fleet.liveHosts().map(host => host.ready.rules.revision());
}

function submit(host: SimHost, edit: Edit): { outcome: EditOutcome | undefined } {
  const submission: { outcome: EditOutcome | undefined } = { outcome: undefined };
  host.process.run(() => {
    void host.ready.rules.submit(edit).then(outcome => {
      submission.outcome = outcome;
    });
  });
  return submission;
}

await tap.test('should determine whether an edit was accepted when the response is lost', async t => {
  // Guards against a retry that applies an edit twice, or reverts a later one, after the first write took effect.
  const fleet = await fleetOf(1);
  fleet.store.loseAnswers = 1;
  const submission = submit(fleet.host('tekapo-0'), add('lost', rule('once')));
  await fleet.until('told', () => submission.outcome !== undefined);
  t.match(submission.outcome, { kind: 'accepted', revision: 1 });
  await fleet.until('active', () => revisions(fleet).every(revision => revision === 1));
  const again = submit(fleet.host('twizel-1'), add('lost', rule('once')));
  await fleet.until('outcome of the retry reported', () => again.outcome !== undefined);
  t.match(again.outcome, { kind: 'accepted', revision: 1 });
  await fleet.stop();
});

await tap.test('should accept all concurrent edits', async t => {
  const fleet = await fleetOf(2);
  const submissions = [...fleet.hosts.values()].map((host, i) =>
    submit(host, add(`race-${i}`, rule(`race-${i}`))),
  );
  await fleet.until('all outcomes reported', () =>
    submissions.every(submission => submission.outcome !== undefined),
  );
  t.ok(submissions.every(submission => submission.outcome?.kind === 'accepted'));
  await fleet.until('active', () => revisions(fleet).every(revision => revision === 4));
  t.same(
    fleet
      .host('tekapo-0')
      .ready.rules.evaluator()
      .document.rules.map(one => one.id)
      .sort(),
    ['race-0', 'race-1', 'race-2', 'race-3'],
  );
  await fleet.stop();
});

await tap.test('should activate rules although watches report nothing', async t => {
  // Guards against a failure domain that keeps old rules because an open watch reports no events. Watchers also
  // read periodically, and pings carry revisions.
  const fleet = await fleetOf(3);
  fleet.store.areWatchesSilent = true;
  const submission = submit(fleet.host('tekapo-0'), add('quiet', rule('quiet')));
  await fleet.until('active', () => revisions(fleet).every(revision => revision === 1), 11_000);
  t.match(submission.outcome, { kind: 'accepted' });
  await fleet.stop();
});

await tap.test('should not be ready without rules in a partitioned domain', async t => {
  // Guards against a host that serves with empty rules after a restart without access to the store. It loads them
  // from its peers, and reports that it is not ready if no peer has them.
  const fleet = await fleetOf(4);
  submit(fleet.host('tekapo-0'), add('kept', rule('kept')));
  await fleet.until('active', () => revisions(fleet).every(revision => revision === 1));
  fleet.cutBetween(fleet.processNames('tekapo'), ['store', 'list', ...fleet.processNames('twizel')]);
  void fleet.startHost('tekapo', 'tekapo-1');
  const first = fleet.host('tekapo-1');
  await fleet.until('ready with the rules of its peer', () => first.services?.status.isReady() === true);
  t.equal(first.ready.rules.revision(), 1);
  void fleet.startHost('tekapo', 'tekapo-0');
  void fleet.startHost('tekapo', 'tekapo-1');
  const both = [fleet.host('tekapo-0'), fleet.host('tekapo-1')];
  await fleet.clock.advance(30_000);
  t.same(
    both.map(host => host.services?.status.isReady() ?? false),
    [false, false],
    'no host has the rules',
  );
  fleet.net.heal();
  await fleet.until('ready with the rules', () => both.every(host => host.services?.rules.revision() === 1));
  t.same(
    both.map(host => host.ready.status.isReady()),
    [true, true],
  );
  await fleet.stop();
});

await tap.test('should write back rules that a store restored from a backup lost', async t => {
  // Guards against the loss of an accepted rule when hosts trust the restored store over their own newer revision.
  const fleet = await fleetOf(5);
  const first = submit(fleet.host('tekapo-0'), add('first', rule('first')));
  await fleet.until('first', () => first.outcome !== undefined);
  const saved = fleet.store.save();
  const second = submit(fleet.host('twizel-0'), add('second', rule('second')));
  await fleet.until(
    'second active',
    () => second.outcome !== undefined && revisions(fleet).every(r => r === 2),
  );
  fleet.store.restore(saved);
  await fleet.clock.advance(12_000);
  t.ok(revisions(fleet).every(revision => revision >= 2));
  const third = submit(fleet.host('tekapo-1'), add('third', rule('third')));
  await fleet.until('third', () => third.outcome !== undefined && revisions(fleet).every(r => r === 3));
  t.same(
    fleet
      .host('twizel-1')
      .ready.rules.evaluator()
      .document.rules.map(one => one.id),
    ['first', 'second', 'third'],
  );
  await fleet.stop();
});

const hostName = fc.constantFrom('tekapo-0', 'tekapo-1', 'twizel-0', 'twizel-1');
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ do: fc.constant('edit' as const), at: hostName }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('remove' as const), at: hostName }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('store' as const), isDown: fc.boolean() }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant('lose' as const), answers: fc.integer({ min: 1, max: 3 }) }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('silent' as const), isSilent: fc.boolean() }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant('cut' as const), domain: fc.constantFrom(...DOMAINS) }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('heal' as const) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('pause' as const), at: hostName }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('restart' as const), at: hostName }) },
);
type Step = typeof step extends fc.Arbitrary<infer S> ? S : never;

/** Applies random steps and checks that the revision of a process never decreases. */
class RulesRun {
  readonly fleet: SimFleet;
  readonly sent: { readonly edit: Edit; readonly submission: { outcome: EditOutcome | undefined } }[] = [];
  private readonly _highest = new Map<SimHost, number>();
  private _count = 0;

  constructor(fleet: SimFleet) {
    this.fleet = fleet;
  }

  apply(one: Step): void {
    const { fleet } = this;
    switch (one.do) {
      case 'edit':
        this._count += 1;
        return this.send(one.at, add(`${this._count}`, rule(`rule-${this._count}`)));
      case 'remove':
        return this._remove(one.at);
      case 'store':
        fleet.store.isDown = one.isDown;
        return;
      case 'lose':
        fleet.store.loseAnswers = one.answers;
        return;
      case 'silent':
        fleet.store.areWatchesSilent = one.isSilent;
        return;
      case 'cut':
        return fleet.cutBetween(fleet.processNames(one.domain), [
          'store',
          ...fleet.processNames(one.domain === 'tekapo' ? 'twizel' : 'tekapo'),
        ]);
      case 'heal':
        return fleet.net.heal();
      case 'pause': {
        const { process } = fleet.host(one.at);
        process.pause();
        fleet.clock.after(8000, () => process.resume());
        return;
      }
      case 'restart':
        void fleet.startHost(fleet.host(one.at).domain, one.at);
    }
  }

  send(at: string, edit: Edit): void {
    const host = this.fleet.host(at);
    if (host.services) this.sent.push({ edit, submission: submit(host, edit) });
  }

  checkRevisions(): void {
    for (const host of this.fleet.liveHosts()) {
      const revision = host.ready.rules.revision();
      if (revision < (this._highest.get(host) ?? 0)) throw new Error(`${host.id} reverted to ${revision}`);
      this._highest.set(host, revision);
    }
  }

  private _remove(at: string): void {
    const host = this.fleet.host(at);
    const target = host.services?.rules.evaluator().document.rules[0];
    if (!target) return;
    this._count += 1;
    this.send(at, {
      id: `edit-id-${this._count}`,
      team: 'b',
      operation: { op: 'remove', id: target.id, base: ruleDigest(target) },
    });
  }
}

/** Clears all faults, resends undecided edits, and returns the rules that all hosts agree on. */
async function converge(run: RulesRun): Promise<readonly Rule[]> {
  const { fleet, sent } = run;
  fleet.net.heal();
  fleet.store.isDown = false;
  fleet.store.loseAnswers = 0;
  await fleet.clock.advance(20_000);
  const undecided = sent.filter(
    ({ submission }) => submission.outcome === undefined || submission.outcome.kind === 'unknown',
  );
  for (const { edit } of undecided) run.send('tekapo-0', edit);
  await fleet.until('all edits decided', () =>
    sent.slice(-undecided.length).every(({ submission }) => submission.outcome !== undefined),
  );
  await fleet.until(
    'all hosts agree',
    () => new Set(revisions(fleet)).size === 1 && fleet.liveHosts().length === 4,
    30_000,
  );
  const documents = fleet
    .liveHosts()
    .map(host => JSON.stringify(host.ready.rules.evaluator().document.rules));
  if (new Set(documents).size !== 1) throw new Error('hosts at one revision have different rules');
  return fleet.host('tekapo-0').ready.rules.evaluator().document.rules;
}

function checkAccepted(run: RulesRun, rules: readonly Rule[]): void {
  const accepted = run.sent
    .filter(({ submission }) => submission.outcome?.kind === 'accepted')
    .map(({ edit }) => edit.operation);
  const removed = new Set(accepted.map(one => (one.op === 'remove' ? one.id : '')));
  for (const operation of accepted) {
    if (operation.op !== 'add') continue;
    const count = rules.filter(one => one.id === operation.rule.id).length;
    const expected = removed.has(operation.rule.id) ? 0 : 1;
    if (count !== expected)
      throw new Error(`accepted rule ${operation.rule.id} is present ${count} times, expected ${expected}`);
  }
}

await tap.test(
  'should apply every accepted edit exactly once under random faults',
  { timeout: 0 },
  async t => {
    let accepted = 0;
    const property = fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(fc.tuple(step, fc.constantFrom(0, 50, 400, 3000)), { minLength: 10, maxLength: 30 }),
      async (seed, steps) => {
        const run = new RulesRun(await fleetOf(seed));
        for (const [one, waitMs] of steps) {
          run.apply(one);
          await run.fleet.clock.advance(waitMs);
          run.checkRevisions();
        }
        const rules = await converge(run);
        run.checkRevisions();
        checkAccepted(run, rules);
        accepted += run.sent.filter(({ submission }) => submission.outcome?.kind === 'accepted').length;
        await run.fleet.stop();
      },
    );
    await fc.assert(property, fuzzRuns(25));
    t.ok(accepted > 25, `${accepted} edits accepted`);
  },
);

await tap.test('should start with no rules', t => {
  t.equal(ruleSet().decide(FACTS).ruleId, undefined);
  t.equal(EMPTY_DOCUMENT.revision, 0);
  t.end();
});
