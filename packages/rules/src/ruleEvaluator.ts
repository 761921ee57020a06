import type { Clock } from '@fuchsiahitch/base';
import { StateCondition, type SignalReader } from './stateCondition.js';
import type { Action, Condition, RequestFacts, Rule, RuleDocument } from './model.js';

/** The decision on a request. It is passed along with the request, so that rules are evaluated only once. */
export interface Decision {
  readonly revision: number;
  readonly ruleId: string | undefined;
  readonly action: Action;
}

/** `failed`: the fields of the conditions that do not hold. */
export interface Explanation {
  readonly ruleId: string;
  readonly matched: boolean;
  readonly failed: readonly string[];
}

const FIELDS = ['kind', 'caller', 'house', 'pool', 'domain', 'priority', 'version', 'host'] as const;
type Field = (typeof FIELDS)[number];
const WORD_BITS = 32;
const NO_ACTION: Action = {};

/** Maps the values of a field to bitmaps of the rules that accept them. */
class FieldIndex {
  private readonly _bitmaps = new Map<string, Uint32Array>();
  private readonly _unconstrained: Uint32Array;

  constructor(rules: readonly Rule[], field: Field) {
    this._unconstrained = new Uint32Array(Math.ceil(rules.length / WORD_BITS));
    for (const [i, rule] of rules.entries()) {
      if (!rule.when[field]) setBit(this._unconstrained, i);
    }
    for (const [i, rule] of rules.entries()) {
      for (const value of rule.when[field] ?? []) setBit(this._bitmapOf(value), i);
    }
  }

  accepting(value: string): Uint32Array {
    return this._bitmaps.get(value) ?? this._unconstrained;
  }

  private _bitmapOf(value: string): Uint32Array {
    const bitmap = this._bitmaps.get(value) ?? this._unconstrained.slice();
    this._bitmaps.set(value, bitmap);
    return bitmap;
  }
}

function setBit(bitmap: Uint32Array, i: number): void {
  bitmap[i >>> 5] = (bitmap[i >>> 5] ?? 0) | (1 << (i & 31));
}

/** Evaluates rules with an index, so that a decision inspects only rules that can match. */
export class RuleEvaluator {
  readonly document: RuleDocument;
  private readonly _clock: Clock;
  private readonly _indexes: readonly FieldIndex[];
  private readonly _stateConditions: ReadonlyMap<string, StateCondition>;
  private readonly _wordCount: number;

  constructor(document: RuleDocument, clock: Clock, signals: SignalReader) {
    this.document = document;
    this._clock = clock;
    this._indexes = FIELDS.map(field => new FieldIndex(document.rules, field));
    this._wordCount = Math.ceil(document.rules.length / WORD_BITS);
    const stateConditions = new Map<string, StateCondition>();
    for (const rule of document.rules) {
      if (rule.when.state) stateConditions.set(rule.id, new StateCondition(rule.when.state, clock, signals));
    }
    this._stateConditions = stateConditions;
  }

  /** Returns the decision of the first matching rule, or an empty action if no rule matches. */
  decide(facts: RequestFacts): Decision {
    const bitmaps = this._indexes.map((index, i) => index.accepting(facts[FIELDS[i] ?? 'kind'] ?? ''));
    for (let word = 0; word < this._wordCount; word++) {
      let bits = 0xffffffff;
      for (const bitmap of bitmaps) bits &= bitmap[word] ?? 0;
      while (bits !== 0) {
        const bit = 31 - Math.clz32(bits & -bits);
        const rule = this.document.rules[word * WORD_BITS + bit];
        if (rule && this._unindexedConditionsHold(rule, facts)) return this._decision(rule);
        bits &= bits - 1;
      }
    }
    return { revision: this.document.revision, ruleId: undefined, action: NO_ACTION };
  }

  /** Returns all rules up to the one that decides, each with its failed conditions. */
  explain(facts: RequestFacts): readonly Explanation[] {
    const explanations: Explanation[] = [];
    for (const rule of this.document.rules) {
      const failed = this._failedConditions(rule, facts);
      explanations.push({ ruleId: rule.id, matched: failed.length === 0, failed });
      if (failed.length === 0) break;
    }
    return explanations;
  }

  private _decision(rule: Rule): Decision {
    return { revision: this.document.revision, ruleId: rule.id, action: rule.then };
  }

  private _unindexedConditionsHold(rule: Rule, facts: RequestFacts): boolean {
    if (rule.when.hoursUtc && !isWithinHours(rule.when.hoursUtc, this._clock.wallMs())) return false;
    if (!hasPrefix(rule.when, facts.path ?? '')) return false;
    return this._stateConditions.get(rule.id)?.holds(facts.pool) ?? true;
  }

  private _failedConditions(rule: Rule, facts: RequestFacts): readonly string[] {
    const failed: string[] = FIELDS.filter(field => !accepts(rule.when, field, facts[field] ?? ''));
    if (rule.when.hoursUtc && !isWithinHours(rule.when.hoursUtc, this._clock.wallMs()))
      failed.push('hoursUtc');
    if (!hasPrefix(rule.when, facts.path ?? '')) failed.push('pathPrefix');
    if (this._stateConditions.get(rule.id)?.holds(facts.pool) === false) failed.push('state');
    return failed;
  }
}

function accepts(condition: Condition, field: Field, value: string): boolean {
  const list: readonly string[] | undefined = condition[field];
  return !list || list.includes(value);
}

function hasPrefix(condition: Condition, path: string): boolean {
  return condition.pathPrefix?.some(prefix => path.startsWith(prefix)) ?? true;
}

const HOUR_MS = 3_600_000;
const HOURS_PER_DAY = 24;

/** A range such as 22 to 4 spans midnight. */
function isWithinHours(hours: { readonly from: number; readonly to: number }, wallMs: number): boolean {
  const hour = Math.floor(wallMs / HOUR_MS) % HOURS_PER_DAY;
  if (hours.from <= hours.to) return hour >= hours.from && hour < hours.to;
  return hour >= hours.from || hour < hours.to;
}
