/**
 * Commands that show the state of the fleet.
 */
import * as z from 'zod';
import type { OperatorClient } from './operatorClient.js';
import { exitCodes, formatTable, type CommandResult } from './output.js';
import { unreachableResult } from './ruleCommands.js';

const POLL_MS = 250;

const statusSchema = z.object({
  hosts: z.array(
    z.object({
      hostId: z.string(),
      domain: z.string(),
      status: z
        .object({
          rulesRevision: z.number(),
          slotsOwned: z.number(),
          slotsSettled: z.number(),
          keyRecords: z.number(),
          stepsOwned: z.number(),
          inFlight: z.number(),
          isStoreReachable: z.boolean(),
          isReady: z.boolean(),
          programVersion: z.string(),
        })
        .optional(),
    }),
  ),
  steps: z.array(z.looseObject({ key: z.string() })),
  endpoints: z.array(z.looseObject({ id: z.string() })),
  orders: z.looseObject({ isLeader: z.boolean() }),
});
type FleetState = z.infer<typeof statusSchema>;

export async function showHosts(client: OperatorClient): Promise<CommandResult> {
  return showStatus(client, state => ({
    data: state.hosts,
    text: formatTable(
      ['HOST', 'DOMAIN', 'READY', 'RULES', 'SLOTS', 'KEYS', 'STEPS', 'IN FLIGHT', 'STORE', 'VERSION'],
      state.hosts.map(({ hostId, domain, status }) =>
        status
          ? [
              hostId,
              domain,
              status.isReady,
              status.rulesRevision,
              `${status.slotsSettled}/${status.slotsOwned}`,
              status.keyRecords,
              status.stepsOwned,
              status.inFlight,
              status.isStoreReachable ? 'ok' : 'unreachable',
              status.programVersion,
            ]
          : [hostId, domain, 'no answer'],
      ),
    ),
  }));
}

export async function showList(
  client: OperatorClient,
  section: 'steps' | 'endpoints',
): Promise<CommandResult> {
  return showStatus(client, state => {
    const rows: readonly Readonly<Record<string, unknown>>[] = state[section];
    const head = Object.keys(rows[0] ?? {});
    const text =
      rows.length === 0
        ? `no ${section} at this host`
        : formatTable(
            head,
            rows.map(row => head.map(name => row[name])),
          );
    return { data: rows, text };
  });
}

export async function showOrders(client: OperatorClient): Promise<CommandResult> {
  return showStatus(client, state => ({ data: state.orders, text: JSON.stringify(state.orders, null, 2) }));
}

/** Shows on which hosts a revision is in force, and which hosts did not answer. */
export async function showRulesStatus(
  client: OperatorClient,
  waitMs: number,
  wantedRevision: number,
): Promise<CommandResult> {
  const endMs = performance.now() + waitMs;
  for (;;) {
    const result = await showStatus(client, state => rulesStatus(state, wantedRevision));
    if (result.exitCode === exitCodes.done || performance.now() >= endMs) return result;
    await new Promise<void>(resolve => setTimeout(resolve, POLL_MS));
  }
}

function rulesStatus(
  state: FleetState,
  wantedRevision: number,
): Pick<CommandResult, 'text' | 'data'> & Partial<CommandResult> {
  const highest = Math.max(0, ...state.hosts.map(host => host.status?.rulesRevision ?? 0));
  const revision = wantedRevision > 0 ? wantedRevision : highest;
  const rows = state.hosts.map(({ hostId, domain, status }) => ({
    hostId,
    domain,
    state: status
      ? status.rulesRevision >= revision
        ? 'in force'
        : `at ${status.rulesRevision}`
      : 'cannot be told',
  }));
  const isEverywhere = rows.every(row => row.state === 'in force');
  const text = formatTable(
    ['HOST', 'DOMAIN', `REVISION ${revision}`],
    rows.map(row => [row.hostId, row.domain, row.state]),
  );
  return {
    text,
    data: { revision, hosts: rows },
    exitCode: isEverywhere ? exitCodes.done : exitCodes.unknown,
  };
}

async function showStatus(
  client: OperatorClient,
  render: (state: FleetState) => Pick<CommandResult, 'text' | 'data'> & Partial<CommandResult>,
): Promise<CommandResult> {
  const reply = await client.call('GET', '/v1/status');
  if (!reply.ok) return unreachableResult(reply.error);
  return { exitCode: exitCodes.done, ...render(statusSchema.parse(reply.value.body)) };
}
