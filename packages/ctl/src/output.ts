/**
 * Command results: tables for people, JSON for scripts.
 */

export const exitCodes = { done: 0, refused: 1, usage: 2, unknown: 3, unreachable: 4 } as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The result of a command, as text and as data, with the exit code. */
export interface CommandResult {
  readonly text: string;
  readonly data: unknown;
  readonly exitCode: ExitCode;
}

/** Formats a table with aligned columns. */
export function formatTable(head: readonly string[], rows: readonly (readonly unknown[])[]): string {
  const cells = [head, ...rows.map(row => row.map(cell => String(cell)))];
  const widths = head.map((_, column) => Math.max(...cells.map(row => row[column]?.length ?? 0)));
  const line = (row: readonly string[]): string =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return cells.map(line).join('\n');
}
