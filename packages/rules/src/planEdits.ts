/**
 * Converts a desired list of rules to edits, so that applying a complete file does not revert edits that
 * other teams made meanwhile.
 */
import { ruleDigest, type Operation } from './edit.js';
import type { Rule } from './model.js';

/** Returns the operations that turn the current rules into the wanted rules, in order of application. */
export function planEdits(current: readonly Rule[], wanted: readonly Rule[]): readonly Operation[] {
  const operations: Operation[] = [];
  let working = [...current];
  for (const rule of current) {
    if (wanted.some(other => other.id === rule.id)) continue;
    operations.push({ op: 'remove', id: rule.id, base: ruleDigest(rule) });
    working = working.filter(other => other.id !== rule.id);
  }
  for (const [i, rule] of working.entries()) {
    const replacement = wanted.find(other => other.id === rule.id);
    if (!replacement || ruleDigest(replacement) === ruleDigest(rule)) continue;
    operations.push({ op: 'replace', rule: replacement, base: ruleDigest(rule) });
    working[i] = replacement;
  }
  for (const [i, rule] of wanted.entries()) {
    if (working[i]?.id === rule.id) continue;
    const place = placeOf(working, wanted, i);
    const exists = working.some(other => other.id === rule.id);
    if (exists) operations.push({ op: 'move', id: rule.id, base: ruleDigest(rule), place });
    else operations.push({ op: 'add', rule, place });
    working = working.filter(other => other.id !== rule.id).toSpliced(i, 0, rule);
  }
  return operations;
}

function placeOf(
  working: readonly Rule[],
  wanted: readonly Rule[],
  i: number,
): { after?: string; before?: string } {
  const before = wanted[i - 1];
  if (before) return { after: before.id };
  const [first] = working;
  return first ? { before: first.id } : {};
}
