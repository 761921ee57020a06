// What a run of the tests says, with the failures that KNOWN-RED.txt lists passed over and printed.
//
// As a program it reads the runner's TAP output from standard input: node utils/testVerdict.mjs KNOWN-RED.txt < OUTPUT
import fs from 'node:fs';
import { pathToFileURL } from 'node:url';

/** More open faults than this are no exceptions any more. */
const MAX_KNOWN_RED = 3;
/** A line holds the test, the command with its seed, what was seen, and the open issue. */
const FIELDS = 4;

/** The failures that may stand, from the text of KNOWN-RED.txt: `FILE: TITLE | COMMAND | SEEN | ISSUE`, a line each. */
export function parseKnownRed(text) {
  const lines = text.split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'));
  if (lines.length > MAX_KNOWN_RED)
    throw new Error(`KNOWN-RED.txt holds ${lines.length} lines, ${MAX_KNOWN_RED} at most`);
  return lines.map(line => {
    const fields = line.split('|').map(field => field.trim());
    if (fields.length !== FIELDS || fields.includes(''))
      throw new Error(`KNOWN-RED.txt: not four fields: ${line}`);
    return { test: fields[0], line };
  });
}

/**
 * The tests of a TAP output, each named `FILE: TITLE`, and the files that failed without a failed test or ended before
 * their plan: a file that ends in the middle prints no plan, and its last tests never ran.
 */
function readTap(output) {
  const tests = [];
  const brokenFiles = [];
  let file = '';
  let hasPlan = false;
  for (const line of output.split('\n')) {
    const opened = /^# Subtest: (.*)$/.exec(line);
    if (opened) file = opened[1].replace(/^.*\//, '').replace(/\.js$/, '.ts');
    if (opened) hasPlan = false;
    if (/^ {4}1\.\.\d+/.test(line)) hasPlan = true;
    const test = /^ {4}(not )?ok \d+ - (.*?)(?: # time=.*)?(?: \{)?$/.exec(line);
    if (test) tests.push({ name: `${file}: ${test[2]}`, isFailed: test[1] !== undefined });
    const isExplained =
      hasPlan && tests.some(({ name, isFailed }) => isFailed && name.startsWith(`${file}: `));
    if (/^not ok \d+/.test(line) && !isExplained) brokenFiles.push(file);
  }
  return { tests, brokenFiles };
}

/** `status`: how the runner ended; other than 0 it is a failure of its own unless a failed test explains it. */
export function verdictOf(output, knownRed, status) {
  const { tests, brokenFiles } = readTap(output);
  const failed = tests.filter(test => test.isFailed);
  const red = knownRed.filter(({ test }) => failed.some(({ name }) => name === test));
  const green = knownRed.filter(known => !red.includes(known));
  const unexpected = failed.filter(({ name }) => !knownRed.some(({ test }) => test === name));
  const isUnexplained = status !== 0 && failed.length === 0 && brokenFiles.length === 0;
  return {
    passed: tests.length - failed.length,
    failed: unexpected.length + brokenFiles.length + (isUnexplained ? 1 : 0),
    notes: [
      ...red.map(({ line }) => `known red: ${line}`),
      ...green.map(({ line }) => `known red, but did not fail in this run: ${line}`),
    ],
  };
}

export function readKnownRed(path) {
  return fs.existsSync(path) ? parseKnownRed(fs.readFileSync(path, 'utf8')) : [];
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  const output = fs.readFileSync(0, 'utf8');
  const status = /^not ok/m.test(output) ? 1 : 0;
  const verdict = verdictOf(output, readKnownRed(process.argv[2] ?? 'KNOWN-RED.txt'), status);
  for (const note of verdict.notes) console.log(note);
  console.log(`${verdict.passed} passed, ${verdict.failed} failed`);
}
