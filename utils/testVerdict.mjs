// Evaluates the TAP output of a test run. Failures listed in KNOWN-RED.txt are printed but do not fail the run.
// Usage: node utils/testVerdict.mjs KNOWN-RED.txt < TAP
import fs from 'node:fs';
import { pathToFileURL } from 'node:url';

/** Maximum number of entries in KNOWN-RED.txt, without those of crowds: each crowd that a program can't bear has a line. */
const MAX_KNOWN_RED = 3;
/** Fields of an entry: the test, the command with its seed, the observed failure, and the issue. */
const FIELDS = 4;

/** True for the tests of crowds of clients, which run one at a time in a phase of their own. */
export function isCrowdTest(file) {
  return file.startsWith('crowds');
}

/** Parses KNOWN-RED.txt. An entry has the form `FILE: TITLE | COMMAND | SEEN | ISSUE`; `#` starts a comment line. */
export function parseKnownRed(text) {
  const lines = text.split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'));
  const capped = lines.filter(line => !isCrowdTest(line));
  if (capped.length > MAX_KNOWN_RED)
    throw new Error(`KNOWN-RED.txt has ${capped.length} entries, expected at most ${MAX_KNOWN_RED}`);
  return lines.map(line => {
    const fields = line.split('|').map(field => field.trim());
    if (fields.length !== FIELDS || fields.includes(''))
      throw new Error(`KNOWN-RED.txt: expected four non-empty fields separated by '|': ${line}`);
    return { test: fields[0], line };
  });
}

/**
 * Returns the tests of a TAP output, named `FILE: TITLE`, and the files that failed without a failed test or without a
 * plan. A file without a plan exited early, so its remaining tests did not run.
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

/**
 * Counts the passed and failed tests. An exit status of the runner other than 0 without a failed test or file counts as
 * one failure.
 */
export function verdictOf(output, knownRed, status) {
  const { tests, brokenFiles } = readTap(output);
  const failed = tests.filter(test => test.isFailed);
  const red = knownRed.filter(({ test }) => failed.some(({ name }) => name === test));
  const green = knownRed.filter(known => !red.includes(known));
  const unexpected = failed.filter(({ name }) => !knownRed.some(({ test }) => test === name));
  const isRunnerFailure = status !== 0 && failed.length === 0 && brokenFiles.length === 0;
  return {
    passed: tests.length - failed.length,
    failed: unexpected.length + brokenFiles.length + (isRunnerFailure ? 1 : 0),
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
