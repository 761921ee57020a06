/**
 * Commands for rules.
 */
import fs from 'node:fs';
import { err, ok, type Result } from '@fuchsiahitch/base';
import {
  checkRules,
  documentSchema,
  planEdits,
  parseRuleFile,
  ruleDigest,
  formatRuleFile,
  type Operation,
  type Rule,
  type RuleDocument,
} from '@fuchsiahitch/rules';
import * as z from 'zod';
import type { OperatorClient, Unreachable } from './operatorClient.js';
import { exitCodes, formatTable, type CommandResult } from './output.js';

const MAX_SUBMIT_TRIES = 5;
const RETRY_MS = 500;
const OK_STATUS = 200;
const CONFLICT = 409;

const editReplySchema = z.looseObject({ kind: z.string(), revision: z.number().optional() });

/** Prints the rules in force as YAML. */
export async function getRules(client: OperatorClient): Promise<CommandResult> {
  const document = await readDocument(client);
  if (!document.ok) return unreachableResult(document.error);
  const text = `# revision ${document.value.revision}\n${formatRuleFile(document.value.rules)}`;
  return { text, data: document.value, exitCode: exitCodes.done };
}

/** Validates a rule file offline, including conflicts between its rules. */
export function checkFile(file: string): CommandResult {
  const rules = readFile(file);
  if (!rules.ok) return rules.error;
  const findings = checkRules(rules.value);
  const hasErrors = findings.some(finding => finding.severity === 'error');
  const lines = findings.map(finding => `${finding.severity}: ${finding.text}`);
  const text = [...lines, `${rules.value.length} rules, ${findings.length} findings`].join('\n');
  return { text, data: { findings }, exitCode: hasErrors ? exitCodes.refused : exitCodes.done };
}

/** Submits one edit per difference between a rule file and the rules in force. */
export async function applyFile(
  client: OperatorClient,
  file: string,
  team: string,
  id: () => string,
): Promise<CommandResult> {
  const rules = readFile(file);
  if (!rules.ok) return rules.error;
  const document = await readDocument(client);
  if (!document.ok) return unreachableResult(document.error);
  const operations = planEdits(document.value.rules, rules.value);
  let last: CommandResult = { text: 'nothing to change', data: { edits: 0 }, exitCode: exitCodes.done };
  for (const [i, operation] of operations.entries()) {
    last = await submit(client, { id: id(), team, operation });
    if (last.exitCode !== exitCodes.done)
      return { ...last, text: `edit ${i + 1} of ${operations.length}: ${last.text}` };
  }
  return last;
}

/** Submits one edit: `add FILE`, `replace FILE` or `remove ID`. Each file contains one rule. */
export async function editRule(
  client: OperatorClient,
  args: readonly string[],
  options: { readonly team: string; readonly before: string; readonly after: string; readonly id: string },
): Promise<CommandResult> {
  const operation = await makeOperation(client, args, options);
  if (!operation.ok) return operation.error;
  return submit(client, { id: options.id, team: options.team, operation: operation.value });
}

/** Shows the rule that decides a request, and why earlier rules did not match. */
export async function explain(client: OperatorClient, query: string): Promise<CommandResult> {
  const reply = await client.call('GET', `/v1/rules/explain?${query}`);
  if (!reply.ok) return unreachableResult(reply.error);
  const schema = z.object({
    decision: z.object({ revision: z.number(), ruleId: z.string().optional(), action: z.unknown() }),
    rules: z.array(z.object({ ruleId: z.string(), matched: z.boolean(), failed: z.array(z.string()) })),
  });
  const parsed = schema.safeParse(reply.value.body);
  if (!parsed.success) return refusedResult(reply.value.body);
  const rows = parsed.data.rules.map(line => [
    line.ruleId,
    line.matched ? 'decides' : `no match: ${line.failed.join(', ')}`,
  ]);
  const { ruleId, revision, action } = parsed.data.decision;
  const verdict = `revision ${revision}: ${ruleId ?? 'no rule, defaults'} ${JSON.stringify(action)}`;
  return {
    text: `${formatTable(['RULE', 'RESULT'], rows)}\n${verdict}`,
    data: parsed.data,
    exitCode: exitCodes.done,
  };
}

/** Shows which decisions on recorded requests a rule file would change. */
export async function simulateFile(
  client: OperatorClient,
  file: string,
  requestsFile: string,
): Promise<CommandResult> {
  const rules = readFile(file);
  if (!rules.ok) return rules.error;
  const requests = JSON.parse(fs.readFileSync(requestsFile, 'utf8')) as unknown;
  const reply = await client.call('POST', '/v1/rules/simulate', { rules: rules.value, requests });
  if (!reply.ok) return unreachableResult(reply.error);
  if (reply.value.status !== OK_STATUS) return refusedResult(reply.value.body);
  return {
    text: JSON.stringify(reply.value.body, null, 2),
    data: reply.value.body,
    exitCode: exitCodes.done,
  };
}

async function makeOperation(
  client: OperatorClient,
  args: readonly string[],
  options: { readonly before: string; readonly after: string },
): Promise<Result<Operation, CommandResult>> {
  const [verb = '', fileOrRuleId = ''] = args;
  if (verb === 'add') {
    const rule = readOneRule(fileOrRuleId);
    if (!rule.ok) return rule;
    const place = options.before ? { before: options.before } : options.after ? { after: options.after } : {};
    return ok({ op: 'add', rule: rule.value, place });
  }
  if (verb !== 'replace' && verb !== 'remove')
    return err(usageError('expected: rules edit add|replace|remove'));
  const newRule = verb === 'replace' ? readOneRule(fileOrRuleId) : undefined;
  if (newRule && !newRule.ok) return newRule;
  const ruleId = newRule?.value.id ?? fileOrRuleId;
  const document = await readDocument(client);
  if (!document.ok) return err(unreachableResult(document.error));
  const current = document.value.rules.find(rule => rule.id === ruleId);
  if (!current)
    return err({
      text: `no rule '${ruleId}'`,
      data: { kind: 'missing', ruleId },
      exitCode: exitCodes.refused,
    });
  const base = ruleDigest(current);
  return ok(newRule ? { op: 'replace', rule: newRule.value, base } : { op: 'remove', id: ruleId, base });
}

/** Submits an edit, and resends it under the same identifier while its outcome is unknown. */
async function submit(
  client: OperatorClient,
  edit: { readonly id: string; readonly team: string; readonly operation: Operation },
): Promise<CommandResult> {
  let isUnknown = false;
  for (let i = 0; i < MAX_SUBMIT_TRIES; i++) {
    const reply = await client.call('POST', '/v1/rules/edits', edit);
    if (!reply.ok) {
      if (!reply.error.isSent && !isUnknown) return unreachableResult(reply.error);
      isUnknown = true;
    } else {
      const body = editReplySchema.parse(reply.value.body);
      if (body.kind === 'accepted') {
        return { text: `accepted, revision ${body.revision ?? 0}`, data: body, exitCode: exitCodes.done };
      }
      if (reply.value.status === CONFLICT) return refusedResult(reply.value.body);
      if (body.kind !== 'unknown' && !isUnknown) return refusedResult(reply.value.body);
      isUnknown = true;
    }
    await new Promise<void>(resolve => setTimeout(resolve, RETRY_MS));
  }
  const text = `unknown whether edit ${edit.id} was accepted: run the same command again with --edit-id ${edit.id}`;
  return { text, data: { kind: 'unknown', editId: edit.id }, exitCode: exitCodes.unknown };
}

async function readDocument(client: OperatorClient): Promise<Result<RuleDocument, Unreachable>> {
  const reply = await client.call('GET', '/v1/rules');
  return reply.ok ? ok(documentSchema.parse(reply.value.body)) : reply;
}

function readFile(file: string): Result<readonly Rule[], CommandResult> {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch {
    return err(usageError(`cannot read the file '${file}'`));
  }
  const rules = parseRuleFile(text);
  if (rules.ok) return rules;
  const lines = rules.error.map(problem => `${file}:${problem.line}: ${problem.text}`);
  return err({ text: lines.join('\n'), data: { problems: rules.error }, exitCode: exitCodes.refused });
}

function readOneRule(file: string): Result<Rule, CommandResult> {
  const rules = readFile(file);
  if (!rules.ok) return rules;
  const [rule, ...others] = rules.value;
  return rule && others.length === 0 ? ok(rule) : err(usageError(`expected one rule in '${file}'`));
}

export function refusedResult(body: unknown): CommandResult {
  return { text: `not accepted: ${JSON.stringify(body, null, 2)}`, data: body, exitCode: exitCodes.refused };
}

export function usageError(text: string): CommandResult {
  return { text, data: { error: text }, exitCode: exitCodes.usage };
}

export function unreachableResult(error: Unreachable): CommandResult {
  return {
    text: `no host answered: ${error.problems.join('; ')}`,
    data: error,
    exitCode: exitCodes.unreachable,
  };
}
