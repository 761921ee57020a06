/**
 * Decides requests by the rules in force.
 */
import type { Clock } from '@fuchsiahitch/base';
import { StateCondition, type SignalReader } from './stateCondition.js';
import type { Action, Condition, RequestFacts, Rule, RuleDocument } from './model.js';

/** The rule that decided, and the revision that it stood in. Carried along so that a request is decided once. */
export interface Decision {
  readonly revision: number;
  readonly ruleId: string | undefined;
  readonly action: Action;
}

/** Why a rule did not decide a request. */
export interface Explanation {
  readonly ruleId: string;
  readonly matched: boolean;
  readonly failed: readonly string[];
}

const FIELDS = ['kind', 'caller', 'house', 'pool', 'domain', 'priority', 'version', 'host'] as const;
type Field = (typeof FIELDS)[number];
const WORD_BITS = 32;
const NO_ACTION: Action = {};

/** For one field: which rules accept a value. Bit i of a row stands for rule i. */
class FieldIndex {
  private readonly _rows = new Map<string, Uint32Array>();
  private readonly _any: Uint32Array;

  constructor(rules: readonly Rule[], field: Field) {
    this._any = new Uint32Array(Math.ceil(rules.length / WORD_BITS));
    for (const [i, rule] of rules.entries()) {
      if (!rule.when[field]) setBit(this._any, i);
    }
    for (const [i, rule] of rules.entries()) {
      for (const value of rule.when[field] ?? []) setBit(this._rowOf(value), i);
    }
  }

  accepting(value: string): Uint32Array {
    return this._rows.get(value) ?? this._any;
  }

  private _rowOf(value: string): Uint32Array {
    const row = this._rows.get(value) ?? this._any.slice();
    this._rows.set(value, row);
    return row;
  }
}

function setBit(row: Uint32Array, i: number): void {
  row[i >>> 5] = (row[i >>> 5] ?? 0) | (1 << (i & 31));
}

/** The rules in force, indexed so that a decision looks at the rules that can match only. */
export class RuleEvaluator {
  readonly document: RuleDocument;
  private readonly _clock: Clock;
  private readonly _indexes: readonly FieldIndex[];
  private readonly _gates: ReadonlyMap<string, StateCondition>;
  private readonly _words: number;

  constructor(document: RuleDocument, clock: Clock, signals: SignalReader) {
    this.document = document;
    this._clock = clock;
    this._indexes = FIELDS.map(field => new FieldIndex(document.rules, field));
    this._words = Math.ceil(document.rules.length / WORD_BITS);
    const gates = new Map<string, StateCondition>();
    for (const rule of document.rules) {
      if (rule.when.state) gates.set(rule.id, new StateCondition(rule.when.state, clock, signals));
    }
    this._gates = gates;
  }

  /** The first rule that matches decides; none leaves the defaults. */
  decide(facts: RequestFacts): Decision {
    const rows = this._indexes.map((index, i) => index.accepting(facts[FIELDS[i] ?? 'kind'] ?? ''));
    for (let word = 0; word < this._words; word++) {
      let bits = 0xffffffff;
      for (const row of rows) bits &= row[word] ?? 0;
      while (bits !== 0) {
        const bit = 31 - Math.clz32(bits & -bits);
        const rule = this.document.rules[word * WORD_BITS + bit];
        if (rule && this._restHolds(rule, facts)) return this._decision(rule);
        bits &= bits - 1;
      }
    }
    return { revision: this.document.revision, ruleId: undefined, action: NO_ACTION };
  }

  /** Every rule up to the one that decides, each with the conditions that failed. */
  explain(facts: RequestFacts): readonly Explanation[] {
    const lines: Explanation[] = [];
    for (const rule of this.document.rules) {
      const failed = this._failedConditions(rule, facts);
      lines.push({ ruleId: rule.id, matched: failed.length === 0, failed });
      if (failed.length === 0) break;
    }
    return lines;
  }

  private _decision(rule: Rule): Decision {
    return { revision: this.document.revision, ruleId: rule.id, action: rule.then };
  }

  private _restHolds(rule: Rule, facts: RequestFacts): boolean {
    if (rule.when.hoursUtc && !isWithinHours(rule.when.hoursUtc, this._clock.wallMs())) return false;
    if (!hasPrefix(rule.when, facts.path ?? '')) return false;
    return this._gates.get(rule.id)?.holds(facts.pool) ?? true;
  }

  private _failedConditions(rule: Rule, facts: RequestFacts): readonly string[] {
    const failed: string[] = FIELDS.filter(field => !accepts(rule.when, field, facts[field] ?? ''));
    if (rule.when.hoursUtc && !isWithinHours(rule.when.hoursUtc, this._clock.wallMs()))
      failed.push('hoursUtc');
    if (!hasPrefix(rule.when, facts.path ?? '')) failed.push('pathPrefix');
    if (this._gates.get(rule.id)?.holds(facts.pool) === false) failed.push('state');
    return failed;
  }
}

/** True when the condition's list for the field is absent or names the value. */
function accepts(condition: Condition, field: Field, value: string): boolean {
  const list: readonly string[] | undefined = condition[field];
  return !list || list.includes(value);
}

function hasPrefix(condition: Condition, path: string): boolean {
  return condition.pathPrefix?.some(prefix => path.startsWith(prefix)) ?? true;
}

const HOUR_MS = 3_600_000;
const HOURS_A_DAY = 24;

/** True between the two hours; a window from 22 to 4 runs over midnight. */
function isWithinHours(hours: { readonly from: number; readonly to: number }, wallMs: number): boolean {
  const hour = Math.floor(wallMs / HOUR_MS) % HOURS_A_DAY;
  if (hours.from <= hours.to) return hour >= hours.from && hour < hours.to;
  return hour >= hours.from || hour < hours.to;
}
