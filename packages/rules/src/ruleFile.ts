/** The YAML format of rule files. */
import { err, ok, type Result } from '@fuchsiahitch/base';
import { LineCounter, parseDocument, stringify } from 'yaml';
import type * as z from 'zod';
import { ruleListSchema, type Rule } from './model.js';

/** A problem in a rule file. Line numbers start at 1. */
export interface FileProblem {
  readonly line: number;
  readonly text: string;
}

/** Parses a YAML file of the form `rules: [...]`. Reports all problems, each with its line. */
export function parseRuleFile(text: string): Result<readonly Rule[], readonly FileProblem[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
  if (document.errors.length > 0) {
    return err(
      document.errors.map(e => ({ line: lines.linePos(e.pos[0]).line, text: firstLine(e.message) })),
    );
  }
  const content: unknown = document.toJS();
  const list = isRecord(content) ? content.rules : undefined;
  if (list === undefined) return err([{ line: 1, text: "expected a list under 'rules'" }]);
  const parsed = ruleListSchema.safeParse(list);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map(issue => problemOf(issue, path => lineOf(document, lines, path))));
}

/** Formats rules as YAML that `parseRuleFile` accepts. */
export function formatRuleFile(rules: readonly Rule[]): string {
  return stringify({ rules });
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function firstLine(text: string): string {
  return text.split('\n')[0] ?? text;
}

function problemOf(issue: z.core.$ZodIssue, findLine: (path: readonly PropertyKey[]) => number): FileProblem {
  const path = ['rules', ...issue.path];
  return { line: findLine(path), text: `${path.map(String).join('.')}: ${issue.message}` };
}

/** Returns the line of the innermost node on the path that exists in the file. */
function lineOf(
  document: ReturnType<typeof parseDocument>,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length--) {
    const node: unknown = document.getIn(path.slice(0, length), true);
    if (!isRecord(node) || !Array.isArray(node.range)) continue;
    return lines.linePos(Number(node.range[0])).line;
  }
  return 1;
}
