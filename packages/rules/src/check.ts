/**
 * Finds what rules of several teams do together: rules that can never decide, shares over the whole, and
 * rules that together would take what is kept for customers.
 */
import type { Condition, Rule } from './model.js';
import { CUSTOMER_RESERVE_FLOOR } from './model.js';

/** One finding. An error refuses the edit that causes it; a warning is shown to the editor. */
export interface Finding {
  readonly severity: 'error' | 'warning';
  readonly kind:
    'shadowed' | 'contradiction' | 'shares' | 'reserve' | 'refuses-customers' | 'duplicate-id' | 'no-effect';
  readonly ruleIds: readonly string[];
  readonly text: string;
}

const LIST_FIELDS = ['kind', 'caller', 'house', 'pool', 'domain', 'priority', 'version', 'host'] as const;

/** All findings of a list of rules, in the order of the rules. */
export function checkRules(rules: readonly Rule[]): readonly Finding[] {
  return [...duplicateIds(rules), ...shadowedRules(rules), ...shareSums(rules), ...customerGuards(rules)];
}

/** The findings that an edit brings: those of the new list that the old list did not have. */
export function newErrors(before: readonly Rule[], after: readonly Rule[]): readonly Finding[] {
  const known = new Set(checkRules(before).map(finding => finding.text));
  return checkRules(after).filter(finding => finding.severity === 'error' && !known.has(finding.text));
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

/** True when every request that `narrow` accepts is accepted by `wide` too, at any time and state. */
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
    const hider = rules.slice(0, i).find(earlier => covers(earlier.when, rule.when));
    if (!hider) continue;
    const same = JSON.stringify(hider.when) === JSON.stringify(rule.when);
    const differs = JSON.stringify(hider.then) !== JSON.stringify(rule.then);
    const kind = same && differs ? 'contradiction' : 'shadowed';
    const text = `rule '${rule.id}' (team ${rule.team}) never decides: '${hider.id}' (team ${hider.team}) comes first`;
    findings.push({ severity: 'warning', kind, ruleIds: [hider.id, rule.id], text });
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

function customerGuards(rules: readonly Rule[]): readonly Finding[] {
  const findings: Finding[] = [];
  for (const rule of rules) {
    if (rule.then.refuse !== undefined && refusesEveryCustomer(rule.when)) {
      const text = `rule '${rule.id}' would refuse every customer-facing request: name callers, houses or a state`;
      findings.push({ severity: 'error', kind: 'refuses-customers', ruleIds: [rule.id], text });
    }
    const takesAll = (rule.then.share ?? 0) > 1 - CUSTOMER_RESERVE_FLOOR;
    if (takesAll) {
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
