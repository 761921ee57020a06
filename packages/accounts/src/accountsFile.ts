/**
 * Reads a daemon's accounts file: a YAML list under `accounts`.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import { parse } from 'yaml';
import * as z from 'zod';
import type { Account } from './model.js';

const accountSchema = z.strictObject({
  name: z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9:.-]*$/,
      "must be lower-case letters, digits, ':', '.' or '-', and begin with a letter or digit",
    ),
  keys: z.array(z.string().min(1)),
  rank: z.number().int().min(0).optional(),
});
const fileSchema = z.strictObject({ accounts: z.array(accountSchema) });

/** Returns the accounts of a file, or all its problems. Problems never contain a key. */
export function readAccountsFile(text: string): Result<readonly Account[], readonly string[]> {
  let content: unknown;
  try {
    content = parse(text);
  } catch {
    // The parser's message may quote a line that contains a key.
    return err(['not valid YAML']);
  }
  const parsed = fileSchema.safeParse(content);
  if (!parsed.success)
    return err(parsed.error.issues.map(issue => `${issue.path.map(String).join('.')}: ${issue.message}`));
  return ok(parsed.data.accounts.map(({ name, keys, rank }) => ({ name, keys, rank })));
}
