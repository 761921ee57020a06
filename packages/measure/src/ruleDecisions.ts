/**
 * Duration of a rule decision with 10, 100 and 1,000 rules.
 */
import { SeededRandom, SystemClock } from '@fuchsiahitch/base';
import { RuleEvaluator, type RequestFacts, type Rule } from '@fuchsiahitch/rules';
import type { Measurement } from './figure.js';

const RULE_COUNTS = [10, 100, 1000];
const DECISIONS = 200_000;
const WARM_UP = 20_000;
const NAME_COUNT = 200;
const SEED = 7;
const MICROSECONDS_PER_MS = 1000;

export const ruleDecisions: Measurement = {
  name: 'rules',
  description: 'microseconds per rule decision with 10, 100 and 1,000 rules',
  async run(print) {
    for (const count of RULE_COUNTS) {
      const bound = count === 1000 ? { bound: '<= 5' } : {};
      print({ figure: `rule decision, ${count} rules`, value: measureDecision(count), unit: 'us', ...bound });
      await Promise.resolve();
    }
  },
};

function measureDecision(count: number): number {
  const random = new SeededRandom(SEED);
  const name = (): string => `n${random.below(NAME_COUNT)}`;
  const rules = Array.from({ length: count }, (_, i): Rule => ({
    id: `rule-${i}`,
    team: 'team',
    when: { caller: [name(), name()], house: [name()], pool: [name(), name(), name()] },
    then: { retries: 1 },
  }));
  const evaluator = new RuleEvaluator({ revision: 1, rules, editIds: [] }, new SystemClock(), () => 0);
  const facts = Array.from({ length: 1024 }, (): RequestFacts => ({
    kind: 'completion',
    caller: name(),
    house: name(),
    pool: name(),
    domain: 'd',
    priority: 'normal',
    version: '',
  }));
  let decided = 0;
  const decide = (n: number): void => {
    for (let i = 0; i < n; i++) {
      const request = facts[i % facts.length];
      if (request && evaluator.decide(request).ruleId !== undefined) decided += 1;
    }
  };
  decide(WARM_UP);
  const startMs = performance.now();
  decide(DECISIONS);
  // Uses the result, so that the calls are not optimized away.
  return decided < 0 ? 0 : ((performance.now() - startMs) / DECISIONS) * MICROSECONDS_PER_MS;
}
