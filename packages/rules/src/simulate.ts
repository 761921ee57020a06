/** Evaluates proposed rules against recorded requests and returns the decisions that would change. */
import type { Clock } from '@fuchsiahitch/base';
import type { RequestFacts, RuleDocument } from './model.js';
import { RuleEvaluator } from './ruleEvaluator.js';
import type { SignalReader } from './stateCondition.js';

export interface DecisionChange {
  readonly facts: RequestFacts;
  /** The rules that decided before and after the change; undefined if none matched. */
  readonly before: string | undefined;
  readonly after: string | undefined;
}

export function simulate(
  facts: readonly RequestFacts[],
  before: RuleDocument,
  after: RuleDocument,
  clock: Clock,
  signals: SignalReader,
): readonly DecisionChange[] {
  const oldEvaluator = new RuleEvaluator(before, clock, signals);
  const newEvaluator = new RuleEvaluator(after, clock, signals);
  const changes: DecisionChange[] = [];
  for (const request of facts) {
    const old = oldEvaluator.decide(request);
    const next = newEvaluator.decide(request);
    if (JSON.stringify(old.action) === JSON.stringify(next.action)) continue;
    changes.push({ facts: request, before: old.ruleId, after: next.ruleId });
  }
  return changes;
}
