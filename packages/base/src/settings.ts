/**
 * Program settings from flags and `FUCHSIAHITCH_*` environment variables, validated at startup.
 * A flag takes precedence over its environment variable, which takes precedence over the default.
 */
import { parseArgs } from 'node:util';
import * as z from 'zod';
import { err, ok, type Result } from './result.js';

export interface Setting<T = unknown> {
  readonly schema: z.ZodType<T>;
  readonly help: string;
  readonly fallback?: string;
}

export type SettingTable = Readonly<Record<string, Setting>>;

export type SettingValues<T extends SettingTable> = {
  readonly [K in keyof T]: T[K] extends Setting<infer V> ? V : never;
};

export type SettingsExit =
  | { readonly kind: 'help'; readonly text: string }
  | { readonly kind: 'version' }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

/** Returns the environment variable of a flag: `FUCHSIAHITCH_DATA_FOLDER` for `--data-folder`. */
export function environmentVariableName(flag: string): string {
  return `FUCHSIAHITCH_${flag.replaceAll('-', '_').toUpperCase()}`;
}

/** Reads and validates all settings. Reports all problems, not only the first. */
export function readSettings<T extends SettingTable>(
  program: string,
  table: T,
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): Result<SettingValues<T>, SettingsExit> {
  const flags = parseFlags(table, args);
  if (!flags.ok) return err({ kind: 'invalid', problems: [flags.error] });
  if (flags.value.help === true) return err({ kind: 'help', text: helpText(program, table) });
  if (flags.value.version === true) return err({ kind: 'version' });
  const problems: string[] = [];
  const values: Record<string, unknown> = {};
  for (const [flag, setting] of Object.entries(table)) {
    const raw = flags.value[flag] ?? environment[environmentVariableName(flag)] ?? setting.fallback;
    const parsed = setting.schema.safeParse(raw);
    if (parsed.success) values[flag] = parsed.data;
    else problems.push(problemText(flag, raw, setting, parsed.error));
  }
  return problems.length > 0 ? err({ kind: 'invalid', problems }) : ok(values as SettingValues<T>);
}

type RawFlags = Readonly<Record<string, string | boolean | undefined>>;

function parseFlags(table: SettingTable, args: readonly string[]): Result<RawFlags, string> {
  const options: Record<string, { readonly type: 'string' | 'boolean' }> = {
    help: { type: 'boolean' },
    version: { type: 'boolean' },
  };
  for (const flag of Object.keys(table)) options[flag] = { type: 'string' };
  try {
    const parsed = parseArgs({ args: [...args], options, strict: true, allowPositionals: false });
    return ok(parsed.values);
  } catch (thrown) {
    return err(thrown instanceof Error ? thrown.message : String(thrown));
  }
}

function problemText(
  flag: string,
  raw: string | boolean | undefined,
  setting: Setting,
  error: z.ZodError,
): string {
  const found = raw === undefined ? 'is missing' : `is '${raw}'`;
  const reason = error.issues.map(issue => issue.message).join('; ');
  return `--${flag} (${environmentVariableName(flag)}) ${found}: ${reason}. Expected: ${setting.help}`;
}

function helpText(program: string, table: SettingTable): string {
  const lines = Object.entries(table).map(([flag, setting]) => {
    const fallback = setting.fallback === undefined ? '' : ` (default: ${setting.fallback || 'empty'})`;
    return `  --${flag}\n      ${setting.help}${fallback}\n      variable: ${environmentVariableName(flag)}`;
  });
  return [`usage: ${program} [flags]`, ...lines, '  --help', '  --version'].join('\n');
}

/** Prints the help, version or problems, and exits: with status 2 after problems, otherwise 0. */
export function exitWith(program: string, version: string, exitReason: SettingsExit): never {
  switch (exitReason.kind) {
    case 'help':
      process.stdout.write(`${exitReason.text}\n`);
      return process.exit(0);
    case 'version':
      process.stdout.write(`${program} ${version}\n`);
      return process.exit(0);
    case 'invalid':
      for (const problem of exitReason.problems) process.stderr.write(`${program}: ${problem}\n`);
      return process.exit(2);
  }
}

const MAX_PORT = 65_535;

/** An address `IP:port`. Port 0 selects a free port. */
export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'not an address of the form IP:port')
  .refine(text => Number(text.split(':')[1]) <= MAX_PORT, 'the port is above 65535');

export function integerSchema(min: number, max: number): z.ZodType<number> {
  return z.coerce.number().int(`not an integer from ${min} to ${max}`).min(min).max(max);
}

/** The name of a host, failure domain or pool. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'not a lower-case name of up to 63 characters');

export function splitAddress(address: string): { readonly ip: string; readonly port: number } {
  const [ip = '', port = '0'] = address.split(':');
  return { ip, port: Number(port) };
}
