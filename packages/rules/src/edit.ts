/**
 * Edits: operations on a single rule, rebased onto edits of other teams that were accepted meanwhile.
 */
import { digest, err, ok, type Result } from '@fuchsiahitch/base';
import * as z from 'zod';
import { MAX_EDIT_IDS, ruleSchema, type Rule, type RuleDocument } from './model.js';

const placeSchema = z
  .strictObject({ before: z.string().optional(), after: z.string().optional() })
  .refine(value => !(value.before && value.after), 'name a rule to stand before or after, not both');

/** `base` is the digest of the rule that the author saw. If the rule has changed since, the operation is refused. */
export const operationSchema = z.discriminatedUnion('op', [
  z.strictObject({ op: z.literal('add'), rule: ruleSchema, place: placeSchema.readonly().optional() }),
  z.strictObject({ op: z.literal('replace'), rule: ruleSchema, base: z.string() }),
  z.strictObject({ op: z.literal('remove'), id: z.string(), base: z.string() }),
  z.strictObject({ op: z.literal('move'), id: z.string(), base: z.string(), place: placeSchema.readonly() }),
]);
export type Operation = Readonly<z.infer<typeof operationSchema>>;

/** An edit by one team. Its identifier makes retries idempotent. */
export const editSchema = z
  .strictObject({
    id: z.string().min(8).max(64),
    team: z.string().min(1).max(63),
    operation: operationSchema,
  })
  .readonly();
export type Edit = z.infer<typeof editSchema>;

export type EditRefusal =
  | { readonly kind: 'exists'; readonly ruleId: string; readonly current: Rule }
  | { readonly kind: 'missing'; readonly ruleId: string }
  | {
      readonly kind: 'changed';
      readonly ruleId: string;
      readonly current: Rule;
      readonly wanted: Rule | undefined;
    }
  | { readonly kind: 'anchor-missing'; readonly anchor: string };

export function ruleDigest(rule: Rule): string {
  return digest(JSON.stringify(rule));
}

export function hasEdit(document: RuleDocument, editId: string): boolean {
  return document.editIds.includes(editId);
}

/** Applies an edit. Returns the same document if the edit has already been applied. */
export function applyEdit(document: RuleDocument, edit: Edit): Result<RuleDocument, EditRefusal> {
  if (hasEdit(document, edit.id)) return ok(document);
  const rules = applyOperation(document.rules, edit.operation);
  if (!rules.ok) return rules;
  const editIds = [...document.editIds, edit.id].slice(-MAX_EDIT_IDS);
  return ok({ revision: document.revision + 1, rules: rules.value, editIds });
}

function applyOperation(rules: readonly Rule[], operation: Operation): Result<readonly Rule[], EditRefusal> {
  switch (operation.op) {
    case 'add':
      return addRule(rules, operation.rule, operation.place ?? {});
    case 'replace':
      return changeRule(rules, operation.rule.id, operation.base, operation.rule);
    case 'remove':
      return changeRule(rules, operation.id, operation.base, undefined);
    case 'move':
      return moveRule(rules, operation.id, operation.base, operation.place);
  }
}

interface Place {
  readonly before?: string | undefined;
  readonly after?: string | undefined;
}

function addRule(rules: readonly Rule[], rule: Rule, place: Place): Result<readonly Rule[], EditRefusal> {
  const current = rules.find(other => other.id === rule.id);
  if (current) return err({ kind: 'exists', ruleId: rule.id, current });
  const anchor = place.before ?? place.after;
  if (anchor === undefined) return ok([...rules, rule]);
  const index = rules.findIndex(other => other.id === anchor);
  if (index < 0) return err({ kind: 'anchor-missing', anchor });
  const position = place.before === undefined ? index + 1 : index;
  return ok(rules.toSpliced(position, 0, rule));
}

function changeRule(
  rules: readonly Rule[],
  ruleId: string,
  base: string,
  wanted: Rule | undefined,
): Result<readonly Rule[], EditRefusal> {
  const index = rules.findIndex(other => other.id === ruleId);
  const current = rules[index];
  if (!current) return err({ kind: 'missing', ruleId });
  if (ruleDigest(current) !== base) return err({ kind: 'changed', ruleId, current, wanted });
  return ok(wanted ? rules.with(index, wanted) : rules.toSpliced(index, 1));
}

function moveRule(
  rules: readonly Rule[],
  ruleId: string,
  base: string,
  place: Place,
): Result<readonly Rule[], EditRefusal> {
  const rule = rules.find(other => other.id === ruleId);
  const removed = changeRule(rules, ruleId, base, undefined);
  if (!removed.ok || !rule) return removed;
  return addRule(removed.value, rule, place);
}
