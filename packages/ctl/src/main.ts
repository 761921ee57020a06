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
  rules get                         show the rules in force, as YAML
  rules check FILE                  validate a file without contacting a host
  rules apply FILE                  replace the rules in force by those of a file
  rules edit add|replace FILE       add (at --before ID or --after ID) or replace one rule
  rules edit remove ID              remove one rule
  rules explain                     show the rule that applies: --kind --caller --house --pool --domain --priority
  rules simulate FILE REQUESTS      show the decisions that a file would change for the requests of a JSON file
  rules status                      show the hosts on which a revision is in force: --wait-ms --revision
  accounts                          show client accounts, with digests of their keys
  accounts explain                  show the account of the key in FUCHSIAHITCH_ACCOUNT_KEY
  hosts | steps | endpoints | orders
exit codes: 0 done, 1 refused, 2 usage, 3 unknown or not yet on every host, 4 no host answered`;

const text = z.string();
const settings = {
  hosts: {
    schema: z
      .string()
      .transform(value => value.split(',').filter(Boolean))
      .pipe(z.array(z.string().regex(/^http:\/\//, 'not a URL')).min(1)),
    help: 'operator addresses of entry hosts, http://IP:port, separated by commas',
    fallback: 'http://127.0.0.1:9090',
  },
  'operator-token': { schema: text, help: 'the operator token', fallback: '' },
  'account-key': {
    schema: text,
    help: 'the key to explain; preferably set in the environment',
    fallback: '',
  },
  json: { schema: z.enum(['yes', 'no']), help: 'yes for JSON output, no for text', fallback: 'no' },
  team: { schema: text, help: 'the team that submits the edit', fallback: 'operators' },
  before: { schema: text, help: 'ID of the rule to insert the new one before', fallback: '' },
  after: { schema: text, help: 'ID of the rule to insert the new one after', fallback: '' },
  'edit-id': {
    schema: text,
    help: 'ID of an edit with an unknown outcome, to submit it again',
    fallback: '',
  },
  'wait-ms': {
    schema: integerSchema(0, 600_000),
    help: 'maximum time in milliseconds to wait until the revision is in force on every host',
    fallback: '0',
  },
  revision: {
    schema: integerSchema(0, 1_000_000_000),
    help: 'the revision to check; 0 for the highest known',
    fallback: '0',
  },
  kind: {
    schema: text,
    help: 'kind of the request to explain: completion, service or sample',
    fallback: 'completion',
  },
  caller: { schema: text, help: 'caller of the request to explain', fallback: '' },
  house: { schema: text, help: 'house of the request to explain', fallback: '' },
  pool: { schema: text, help: 'pool of the request to explain', fallback: '' },
  domain: { schema: text, help: 'failure domain of the request to explain', fallback: '' },
  priority: { schema: text, help: 'priority of the request to explain', fallback: 'normal' },
};

const args = process.argv.slice(2);
const firstFlag = args.findIndex(arg => arg.startsWith('-'));
const positionals = firstFlag < 0 ? args : args.slice(0, firstFlag);
const parsed = readSettings(PROGRAM, settings, firstFlag < 0 ? [] : args.slice(firstFlag), process.env);
if (!parsed.ok) {
  if (parsed.error.kind === 'help') process.stdout.write(`${COMMANDS}\n\n`);
  exitWith(PROGRAM, PROGRAM_VERSION, parsed.error);
}
const values = parsed.value;
const client = new OperatorClient(values.hosts, values['operator-token']);
const random = new SystemRandom();

async function runRulesCommand(verb: string, rest: readonly string[]): Promise<CommandResult> {
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

async function runCommand(): Promise<CommandResult> {
  const [command = '', verb = '', ...rest] = positionals;
  switch (command) {
    case 'rules':
      return runRulesCommand(verb, rest);
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

const result = await runCommand();
process.stdout.write(`${values.json === 'yes' ? JSON.stringify(result.data) : result.text}\n`);
process.exit(result.exitCode);
