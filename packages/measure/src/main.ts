/**
 * `npm run measure`: runs all measurements, or those named.
 */
import { isWithin, printFigure, type Figure, type Measurement } from './figure.js';
import { controlSockets } from './controlSockets.js';
import { controlSim } from './controlSim.js';
import { hop } from './hop.js';
import { placement } from './placement.js';
import { requests } from './requests.js';
import { ruleDecisions } from './ruleDecisions.js';
import { steps } from './steps.js';

const MEASUREMENTS: readonly Measurement[] = [
  ruleDecisions,
  hop,
  requests,
  steps,
  controlSockets,
  controlSim,
  placement,
];

const names = process.argv.slice(2);
if (names.includes('--list') || names.includes('--help')) {
  for (const { name, description } of MEASUREMENTS)
    process.stdout.write(`${name.padEnd(12)} ${description}\n`);
  process.exit(0);
}
const unknown = names.filter(name => !MEASUREMENTS.some(measurement => measurement.name === name));
if (unknown.length > 0) {
  process.stderr.write(`unknown measurement '${unknown.join("', '")}', see --list\n`);
  process.exit(2);
}
const missed: Figure[] = [];
const print = (figure: Figure): void => {
  printFigure(figure);
  if (!isWithin(figure)) missed.push(figure);
};
for (const measurement of MEASUREMENTS) {
  if (names.length === 0 || names.includes(measurement.name)) await measurement.run(print);
}
for (const figure of missed)
  process.stderr.write(`out of bounds: ${figure.figure}, expected ${figure.bound ?? ''}\n`);
process.exit(missed.length > 0 ? 1 : 0);
