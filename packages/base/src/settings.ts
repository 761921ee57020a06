/**
 * Settings of a program: flags and `FUCHSIAHITCH_*` environment variables, checked at start.
 * A flag goes before the variable, the variable before the default.
 */
import { parseArgs } from 'node:util';
import * as z from 'zod';
import { err, ok, type Result } from './result.js';

/** One setting: its flag, what it must be, and a line for `--help`. */
export interface Setting<T = unknown> {
  readonly schema: z.ZodType<T>;
  readonly help: string;
  readonly fallback?: string;
}

/** The settings of a program by flag name. */
export type SettingTable = Readonly<Record<string, Setting>>;

/** The checked values of a table. */
export type SettingValues<T extends SettingTable> = {
  readonly [K in keyof T]: T[K] extends Setting<infer V> ? V : never;
};

/** Why a program does not start with the settings it was given, or prints something and ends. */
export type SettingsExit =
  | { readonly kind: 'help'; readonly text: string }
  | { readonly kind: 'version' }
  | { readonly kind: 'wrong'; readonly problems: readonly string[] };

/** The variable that a flag can also be given by: `--data-folder` is `FUCHSIAHITCH_DATA_FOLDER`. */
export function environmentVariableName(flag: string): string {
  return `FUCHSIAHITCH_${flag.replaceAll('-', '_').toUpperCase()}`;
}

/** Reads and checks all settings; reports every wrong one, not only the first. */
export function readSettings<T extends SettingTable>(
  program: string,
  table: T,
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): Result<SettingValues<T>, SettingsExit> {
  const given = parseFlags(table, args);
  if (!given.ok) return err({ kind: 'wrong', problems: [given.error] });
  if (given.value.help === true) return err({ kind: 'help', text: helpText(program, table) });
  if (given.value.version === true) return err({ kind: 'version' });
  const problems: string[] = [];
  const values: Record<string, unknown> = {};
  for (const [flag, setting] of Object.entries(table)) {
    const raw = given.value[flag] ?? environment[environmentVariableName(flag)] ?? setting.fallback;
    const parsed = setting.schema.safeParse(raw);
    if (parsed.success) values[flag] = parsed.data;
    else problems.push(wrongText(flag, raw, setting, parsed.error));
  }
  return problems.length > 0 ? err({ kind: 'wrong', problems }) : ok(values as SettingValues<T>);
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

function wrongText(
  flag: string,
  raw: string | boolean | undefined,
  setting: Setting,
  error: z.ZodError,
): string {
  const found = raw === undefined ? 'is missing' : `is '${raw}'`;
  const reason = error.issues.map(issue => issue.message).join('; ');
  return `--${flag} (${environmentVariableName(flag)}) ${found}: ${reason}. It should be: ${setting.help}`;
}

function helpText(program: string, table: SettingTable): string {
  const lines = Object.entries(table).map(([flag, setting]) => {
    const fallback = setting.fallback === undefined ? '' : ` (default: ${setting.fallback || 'empty'})`;
    return `  --${flag}\n      ${setting.help}${fallback}\n      variable: ${environmentVariableName(flag)}`;
  });
  return [`usage: ${program} [flags]`, ...lines, '  --help', '  --version'].join('\n');
}

/** Prints why the program stops and ends it: 0 after help or version, 2 after a wrong setting. */
export function exitWith(program: string, version: string, stop: SettingsExit): never {
  switch (stop.kind) {
    case 'help':
      process.stdout.write(`${stop.text}\n`);
      return process.exit(0);
    case 'version':
      process.stdout.write(`${program} ${version}\n`);
      return process.exit(0);
    case 'wrong':
      for (const problem of stop.problems) process.stderr.write(`${program}: ${problem}\n`);
      return process.exit(2);
  }
}

const MAX_PORT = 65_535;

/** An address `IP:port`; port 0 takes a free one. */
export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'not an address IP:port')
  .refine(text => Number(text.split(':')[1]) <= MAX_PORT, 'the port is above 65535');

/** A whole number within limits, written in digits. */
export function integerSchema(min: number, max: number): z.ZodType<number> {
  return z.coerce.number().int(`not a whole number from ${min} to ${max}`).min(min).max(max);
}

/** A name of a host, failure domain or pool. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'not a lower-case name of up to 63 characters');

/** Splits `IP:port`. */
export function splitAddress(address: string): { readonly ip: string; readonly port: number } {
  const [ip = '', port = '0'] = address.split(':');
  return { ip, port: Number(port) };
}
