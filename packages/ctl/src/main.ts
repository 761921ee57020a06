/**
 * The operators' command line.
 */
import { integerSchema, PROGRAM_VERSION, readSettings, exitWith, SystemRandom } from '@fuchsiahitch/base';
import * as z from 'zod';
import { explainKey, showAccounts } from './accountCommands.js';
import { OperatorClient } from './operatorClient.js';
import type { CommandResult } from './output.js';
import {
  applyFile,
  checkFile,
  editRule,
  explain,
  getRules,
  simulateFile,
  usageError,
} from './ruleCommands.js';
import { showHosts, showList, showOrders, showRulesStatus } from './statusCommands.js';

const PROGRAM = 'fuchsiahitchctl';

const COMMANDS = `commands:
  rules get                         the rules in force, as YAML
  rules check FILE                  check a file, no host needed
  rules apply FILE                  bring the rules in force to those of a file
  rules edit add|replace FILE       one rule; --before ID or --after ID says where
  rules edit remove ID
  rules explain                     which rule decides: --kind --caller --house --pool --domain --priority
  rules simulate FILE REQUESTS      what a file would change for requests in a JSON file
  rules status                      where the rules are in force; --wait-ms, --revision
  accounts                          client accounts, their keys by a short digest
  accounts explain                  whose a key is: the key in FUCHSIAHITCH_ACCOUNT_KEY
  hosts | steps | endpoints | orders
exit codes: 0 done, 1 refused, 2 usage, 3 unknown or not everywhere yet, 4 no host answered`;

const text = z.string();
const settings = {
  hosts: {
    schema: z
      .string()
      .transform(value => value.split(',').filter(Boolean))
      .pipe(z.array(z.string().regex(/^http:\/\//, 'not a URL')).min(1)),
    help: "operators' listeners of entry hosts, http://IP:port, separated by commas",
    fallback: 'http://127.0.0.1:9090',
  },
  'operator-token': { schema: text, help: 'the operator token', fallback: '' },
  'account-key': { schema: text, help: 'the key to explain; better from the environment', fallback: '' },
  json: { schema: z.enum(['yes', 'no']), help: 'yes: JSON for scripts', fallback: 'no' },
  team: { schema: text, help: 'the team that edits', fallback: 'operators' },
  before: { schema: text, help: 'the rule to stand before', fallback: '' },
  after: { schema: text, help: 'the rule to stand after', fallback: '' },
  'edit-id': {
    schema: text,
    help: 'the identifier of an edit whose fate is unknown, to send it again',
    fallback: '',
  },
  'wait-ms': {
    schema: integerSchema(0, 600_000),
    help: 'milliseconds to wait until rules are in force',
    fallback: '0',
  },
  revision: {
    schema: integerSchema(0, 1_000_000_000),
    help: 'the revision to look for; 0 for the highest',
    fallback: '0',
  },
  kind: { schema: text, help: 'completion, service or sample', fallback: 'completion' },
  caller: { schema: text, help: 'the caller to explain', fallback: '' },
  house: { schema: text, help: 'the house to explain', fallback: '' },
  pool: { schema: text, help: 'the pool to explain', fallback: '' },
  domain: { schema: text, help: 'the failure domain to explain', fallback: '' },
  priority: { schema: text, help: 'the priority to explain', fallback: 'normal' },
};

const args = process.argv.slice(2);
const firstFlag = args.findIndex(arg => arg.startsWith('-'));
const words = firstFlag < 0 ? args : args.slice(0, firstFlag);
const read = readSettings(PROGRAM, settings, firstFlag < 0 ? [] : args.slice(firstFlag), process.env);
if (!read.ok) {
  if (read.error.kind === 'help') process.stdout.write(`${COMMANDS}\n\n`);
  exitWith(PROGRAM, PROGRAM_VERSION, read.error);
}
const values = read.value;
const client = new OperatorClient(values.hosts, values['operator-token']);
const random = new SystemRandom();

async function runRules(verb: string, rest: readonly string[]): Promise<CommandResult> {
  const [first = '', second = ''] = rest;
  switch (verb) {
    case 'get':
      return getRules(client);
    case 'check':
      return checkFile(first);
    case 'apply':
      return applyFile(client, first, values.team, () => random.id());
    case 'edit': {
      const id = values['edit-id'] || random.id();
      return editRule(client, rest, { team: values.team, before: values.before, after: values.after, id });
    }
    case 'explain': {
      const { kind, caller, house, pool, domain, priority } = values;
      return explain(client, new URLSearchParams({ kind, caller, house, pool, domain, priority }).toString());
    }
    case 'simulate':
      return simulateFile(client, first, second);
    case 'status':
      return showRulesStatus(client, values['wait-ms'], values.revision);
    default:
      return usageError(COMMANDS);
  }
}

async function run(): Promise<CommandResult> {
  const [command = '', verb = '', ...rest] = words;
  switch (command) {
    case 'rules':
      return runRules(verb, rest);
    case 'accounts':
      return verb === 'explain' ? explainKey(client, values['account-key']) : showAccounts(client);
    case 'hosts':
      return showHosts(client);
    case 'steps':
    case 'endpoints':
      return showList(client, command);
    case 'orders':
      return showOrders(client);
    default:
      return usageError(COMMANDS);
  }
}

const result = await run();
process.stdout.write(`${values.json === 'yes' ? JSON.stringify(result.data) : result.text}\n`);
process.exit(result.exitCode);
