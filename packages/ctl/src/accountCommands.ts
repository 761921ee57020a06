/**
 * Commands for client accounts. Keys are never shown.
 */
import * as z from 'zod';
import type { OperatorClient } from './operatorClient.js';
import { exitCodes, formatTable, type CommandResult } from './output.js';
import { refusedResult, unreachableResult } from './ruleCommands.js';

const accountsSchema = z.array(
  z.object({ name: z.string(), rank: z.number().optional(), keyDigests: z.array(z.string()) }),
);
const accessSchema = z.looseObject({ kind: z.string() });

export async function showAccounts(client: OperatorClient): Promise<CommandResult> {
  const reply = await client.call('GET', '/v1/accounts');
  if (!reply.ok) return unreachableResult(reply.error);
  const parsed = accountsSchema.safeParse(reply.value.body);
  if (!parsed.success) return refusedResult(reply.value.body);
  const rows = parsed.data.map(({ name, rank, keyDigests }) => [name, rank ?? '-', keyDigests.join(' ')]);
  return {
    text: formatTable(['ACCOUNT', 'RANK', 'KEYS'], rows),
    data: parsed.data,
    exitCode: exitCodes.done,
  };
}

/** Shows the access that a host grants to a key. */
export async function explainKey(client: OperatorClient, key: string): Promise<CommandResult> {
  const reply = await client.call('POST', '/v1/accounts/explain', { key });
  if (!reply.ok) return unreachableResult(reply.error);
  const parsed = accessSchema.safeParse(reply.value.body);
  if (!parsed.success) return refusedResult(reply.value.body);
  const text = Object.entries(parsed.data).map(([name, value]) => `${name}: ${String(value)}`);
  return { text: text.join('\n'), data: parsed.data, exitCode: exitCodes.done };
}
