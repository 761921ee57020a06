/**
 * Detects conflicts between rules: rules that can never decide, pool shares above 100%, and rules that use
 * the capacity reserved for customers.
 */
import type { Condition, Rule } from './model.js';
import { CUSTOMER_RESERVE_FLOOR } from './model.js';

/** An edit that causes an error is refused. A warning is only shown to the author. */
export interface Finding {
  readonly severity: 'error' | 'warning';
  readonly kind:
    'shadowed' | 'contradiction' | 'shares' | 'reserve' | 'refuses-customers' | 'duplicate-id' | 'no-effect';
  readonly ruleIds: readonly string[];
  readonly text: string;
}

const LIST_FIELDS = ['kind', 'caller', 'house', 'pool', 'domain', 'priority', 'version', 'host'] as const;

export function checkRules(rules: readonly Rule[]): readonly Finding[] {
  return [...duplicateIds(rules), ...shadowedRules(rules), ...shareSums(rules), ...actionFindings(rules)];
}

/** Returns the errors of the new list that the old list does not have. */
export function newErrors(before: readonly Rule[], after: readonly Rule[]): readonly Finding[] {
  const existing = new Set(checkRules(before).map(finding => finding.text));
  return checkRules(after).filter(finding => finding.severity === 'error' && !existing.has(finding.text));
}

function duplicateIds(rules: readonly Rule[]): readonly Finding[] {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const { id } of rules) {
    if (seen.has(id)) {
      findings.push({
        severity: 'error',
        kind: 'duplicate-id',
        ruleIds: [id],
        text: `rule id '${id}' stands twice`,
      });
    }
    seen.add(id);
  }
  return findings;
}

/** True if every request that `narrow` accepts is also accepted by `wide`, at any time and in any state. */
function covers(wide: Condition, narrow: Condition): boolean {
  if (wide.hoursUtc !== undefined || wide.state !== undefined) return false;
  if (!coversPaths(wide, narrow)) return false;
  return LIST_FIELDS.every(field => {
    const wideList: readonly string[] | undefined = wide[field];
    const narrowList: readonly string[] | undefined = narrow[field];
    if (!wideList) return true;
    return narrowList?.every(value => wideList.includes(value)) ?? false;
  });
}

function coversPaths(wide: Condition, narrow: Condition): boolean {
  const widePrefixes = wide.pathPrefix;
  if (!widePrefixes) return true;
  return narrow.pathPrefix?.every(path => widePrefixes.some(prefix => path.startsWith(prefix))) ?? false;
}

function shadowedRules(rules: readonly Rule[]): readonly Finding[] {
  const findings: Finding[] = [];
  for (const [i, rule] of rules.entries()) {
    const shadowing = rules.slice(0, i).find(earlier => covers(earlier.when, rule.when));
    if (!shadowing) continue;
    const isSameCondition = JSON.stringify(shadowing.when) === JSON.stringify(rule.when);
    const isDifferentAction = JSON.stringify(shadowing.then) !== JSON.stringify(rule.then);
    const kind = isSameCondition && isDifferentAction ? 'contradiction' : 'shadowed';
    const text = `rule '${rule.id}' (team ${rule.team}) never decides: '${shadowing.id}' (team ${shadowing.team}) comes first`;
    findings.push({ severity: 'warning', kind, ruleIds: [shadowing.id, rule.id], text });
  }
  return findings;
}

function shareSums(rules: readonly Rule[]): readonly Finding[] {
  const sums = new Map<string, { total: number; ids: string[] }>();
  for (const rule of rules) {
    if (rule.then.share === undefined) continue;
    for (const pool of rule.when.pool ?? ['*']) {
      const sum = sums.get(pool) ?? { total: 0, ids: [] };
      sum.total += rule.then.share;
      sum.ids.push(rule.id);
      sums.set(pool, sum);
    }
  }
  const findings: Finding[] = [];
  for (const [pool, sum] of sums) {
    if (sum.total <= 1 + Number.EPSILON) continue;
    const text = `shares in pool '${pool}' add up to ${Math.round(sum.total * 100)}%: ${sum.ids.join(', ')}`;
    findings.push({ severity: 'error', kind: 'shares', ruleIds: sum.ids, text });
  }
  return findings;
}

function actionFindings(rules: readonly Rule[]): readonly Finding[] {
  const findings: Finding[] = [];
  for (const rule of rules) {
    if (rule.then.refuse !== undefined && refusesEveryCustomer(rule.when)) {
      const text = `rule '${rule.id}' would refuse every customer-facing request: name callers, houses or a state`;
      findings.push({ severity: 'error', kind: 'refuses-customers', ruleIds: [rule.id], text });
    }
    const exceedsRolloutShare = (rule.then.share ?? 0) > 1 - CUSTOMER_RESERVE_FLOOR;
    if (exceedsRolloutShare) {
      const text = `rule '${rule.id}' gives ${rule.then.share ?? 0} of a pool to rollouts and eats into the customers' reserve`;
      findings.push({ severity: 'error', kind: 'reserve', ruleIds: [rule.id], text });
    }
    if (Object.keys(rule.then).length === 0) {
      const text = `rule '${rule.id}' decides nothing, and hides the rules after it`;
      findings.push({ severity: 'warning', kind: 'no-effect', ruleIds: [rule.id], text });
    }
  }
  return findings;
}

function refusesEveryCustomer(when: Condition): boolean {
  const reachesCustomers = !when.kind || when.kind.some(kind => kind !== 'sample');
  const isNarrowed =
    when.caller ?? when.house ?? when.priority ?? when.state ?? when.hoursUtc ?? when.host ?? when.pathPrefix;
  return reachesCustomers && isNarrowed === undefined;
}
