/**
 * Evaluates a proposed list of rules against recorded requests and returns the decisions that would change.
 */
import type { Clock } from '@fuchsiahitch/base';
import type { RequestFacts, RuleDocument } from './model.js';
import { RuleEvaluator } from './ruleEvaluator.js';
import type { SignalReader } from './stateCondition.js';

/** A recorded request whose decision would change, with the identifiers of the deciding rules. */
export interface DecisionChange {
  readonly facts: RequestFacts;
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
  const oldBook = new RuleEvaluator(before, clock, signals);
  const newBook = new RuleEvaluator(after, clock, signals);
  const changes: DecisionChange[] = [];
  for (const request of facts) {
    const old = oldBook.decide(request);
    const next = newBook.decide(request);
    if (JSON.stringify(old.action) === JSON.stringify(next.action)) continue;
    changes.push({ facts: request, before: old.ruleId, after: next.ruleId });
  }
  return changes;
}
