/**
 * What a measurement prints: one JSON line a figure, with its bound where there is one.
 */

/** One measured figure. */
export interface Figure {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** What the figure must keep to, such as `<= 1.5`; absent for figures that are only told. */
  readonly bound?: string;
}

/** A named measurement. It bounds its load and ends by itself. */
export interface Measurement {
  readonly name: string;
  readonly about: string;
  run(print: (figure: Figure) => void): Promise<void>;
}

const DIGITS = 4;

/** Prints a figure as one JSON line. */
export function printFigure(figure: Figure): void {
  const value = Number(figure.value.toPrecision(DIGITS));
  process.stdout.write(`${JSON.stringify({ ...figure, value })}\n`);
}

/** True if the value keeps to a bound `<= x` or `>= x`; true without a bound. */
export function isWithin(figure: Figure): boolean {
  const match = /^(<=|>=) ([\d.]+)$/.exec(figure.bound ?? '');
  if (!match) return true;
  const limit = Number(match[2]);
  return match[1] === '<=' ? figure.value <= limit : figure.value >= limit;
}
