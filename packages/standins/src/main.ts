/**
 * Runs a stand-in: `fuchsiahitch-standin --kind KIND`.
 */
import {
  addressSchema,
  integerSchema,
  nameSchema,
  PROGRAM_VERSION,
  readSettings,
  exitWith,
} from '@fuchsiahitch/base';
import * as z from 'zod';
import { EngineStandIn } from './engineStandIn.js';
import { KeyValueStandIn } from './keyValueStandIn.js';
import { MemberStandIn } from './memberStandIn.js';
import { ScorerStandIn } from './scorerStandIn.js';
import { ServiceStandIn } from './serviceStandIn.js';
import type { StandIn } from './standIn.js';
import { WeightStoreStandIn } from './weightStoreStandIn.js';

const PROGRAM = 'fuchsiahitch-standin';
const kinds = ['key-value', 'members', 'engine', 'weight-store', 'service', 'scorer'] as const;

const settingsTable = {
  kind: { schema: z.enum(kinds), help: `one of ${kinds.join(', ')}` },
  address: { schema: addressSchema, help: 'IP:port to listen on', fallback: '127.0.0.1:0' },
  id: { schema: nameSchema, help: 'name of the engine or service', fallback: 'standin' },
  slots: { schema: integerSchema(1, 1000), help: 'concurrent generations of an engine', fallback: '8' },
  'token-ms': { schema: integerSchema(0, 10_000), help: 'milliseconds per token', fallback: '5' },
  'mean-tokens': {
    schema: integerSchema(1, 10_000),
    help: 'mean length of an answer in tokens',
    fallback: '20',
  },
  'swap-ms': { schema: integerSchema(0, 60_000), help: 'milliseconds to load weights', fallback: '300' },
  'checks-fencing': {
    schema: z.enum(['yes', 'no']),
    help: 'yes or no: whether an engine refuses stale fencing tokens',
    fallback: 'yes',
  },
  'weight-store-url': {
    schema: z.string(),
    help: 'http://IP:port of the weight store; empty for none',
    fallback: '',
  },
  'loads-per-second': {
    schema: integerSchema(1, 10_000),
    help: 'loads per second that the weight store permits',
    fallback: '20',
  },
  'lag-ms': {
    schema: integerSchema(0, 60_000),
    help: 'milliseconds until a membership change becomes visible',
    fallback: '500',
  },
};

const settings = readSettings(PROGRAM, settingsTable, process.argv.slice(2), process.env);
if (!settings.ok) exitWith(PROGRAM, PROGRAM_VERSION, settings.error);
const values = settings.value;

function createStandIn(): StandIn {
  switch (values.kind) {
    case 'key-value':
      return new KeyValueStandIn();
    case 'members':
      return new MemberStandIn(values['lag-ms']);
    case 'engine':
      return new EngineStandIn({
        id: values.id,
        slots: values.slots,
        tokenMs: values['token-ms'],
        meanTokens: values['mean-tokens'],
        swapMs: values['swap-ms'],
        checksFencing: values['checks-fencing'] === 'yes',
        weightStoreUrl: values['weight-store-url'],
      });
    case 'weight-store':
      return new WeightStoreStandIn(values['loads-per-second']);
    case 'service':
      return new ServiceStandIn({ id: values.id });
    case 'scorer':
      return new ScorerStandIn();
  }
}

const address = await createStandIn().listen(values.address);
process.stdout.write(`${JSON.stringify({ kind: values.kind, id: values.id, address })}\n`);
process.on('SIGTERM', () => process.exit(0));
