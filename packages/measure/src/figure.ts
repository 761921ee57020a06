/**
 * Measurements and their output, one JSON line per figure.
 */

export interface Figure {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** Required bound, such as `<= 1.5`; absent for informational figures. */
  readonly bound?: string;
}

export interface Measurement {
  readonly name: string;
  readonly description: string;
  run(print: (figure: Figure) => void): Promise<void>;
}

const SIGNIFICANT_DIGITS = 4;

/** Prints a figure as a JSON line, rounded to `SIGNIFICANT_DIGITS`. */
export function printFigure(figure: Figure): void {
  const value = Number(figure.value.toPrecision(SIGNIFICANT_DIGITS));
  process.stdout.write(`${JSON.stringify({ ...figure, value })}\n`);
}

/** Returns whether the value satisfies its bound, `<= x` or `>= x`. True without a bound. */
export function isWithin(figure: Figure): boolean {
  const match = /^(<=|>=) ([\d.]+)$/.exec(figure.bound ?? '');
  if (!match) return true;
  const limit = Number(match[2]);
  return match[1] === '<=' ? figure.value <= limit : figure.value >= limit;
}
