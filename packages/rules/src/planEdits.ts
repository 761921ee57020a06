/**
 * Turns a wanted list of rules into small edits, so that a whole file can be applied without undoing what
 * another team accepted meanwhile.
 */
import { ruleDigest, type Operation } from './edit.js';
import type { Rule } from './model.js';

/** The operations that lead from the present rules to the wanted ones, in the order to apply them. */
export function planEdits(current: readonly Rule[], wanted: readonly Rule[]): readonly Operation[] {
  const operations: Operation[] = [];
  let work = [...current];
  for (const rule of current) {
    if (wanted.some(other => other.id === rule.id)) continue;
    operations.push({ op: 'remove', id: rule.id, base: ruleDigest(rule) });
    work = work.filter(other => other.id !== rule.id);
  }
  for (const [i, rule] of work.entries()) {
    const next = wanted.find(other => other.id === rule.id);
    if (!next || ruleDigest(next) === ruleDigest(rule)) continue;
    operations.push({ op: 'replace', rule: next, base: ruleDigest(rule) });
    work[i] = next;
  }
  for (const [i, rule] of wanted.entries()) {
    if (work[i]?.id === rule.id) continue;
    const place = placeOf(work, wanted, i);
    const isKnown = work.some(other => other.id === rule.id);
    if (isKnown) operations.push({ op: 'move', id: rule.id, base: ruleDigest(rule), place });
    else operations.push({ op: 'add', rule, place });
    work = work.filter(other => other.id !== rule.id).toSpliced(i, 0, rule);
  }
  return operations;
}

function placeOf(
  work: readonly Rule[],
  wanted: readonly Rule[],
  i: number,
): { after?: string; before?: string } {
  const before = wanted[i - 1];
  if (before) return { after: before.id };
  const [first] = work;
  return first ? { before: first.id } : {};
}
