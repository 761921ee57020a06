/**
 * Settings of the entry daemon.
 */
import { addressSchema, integerSchema, nameSchema, type SettingValues } from '@fuchsiahitch/base';
import { logLevels } from '@fuchsiahitch/telemetry';
import * as z from 'zod';

const MIN_SECRET_LENGTH = 16;
const url = z.string().regex(/^http:\/\/\d+\.\d+\.\d+\.\d+:\d+$/, 'not a URL http://IP:port');
const optionalUrl = z.union([z.literal(''), url]);
const nameList = z
  .string()
  .transform(text => text.split(',').filter(Boolean))
  .pipe(z.array(nameSchema).min(1).max(64));
const addressList = z
  .string()
  .transform(text => text.split(',').filter(Boolean))
  .pipe(z.array(addressSchema));

export const entrySettings = {
  'host-id': { schema: nameSchema, help: 'the name of this host, unique in the fleet' },
  domain: { schema: nameSchema, help: 'the failure domain of this host' },
  domains: {
    schema: nameList,
    help: 'all failure domains of the deployment, separated by commas, alike on all hosts',
  },
  'callers-address': { schema: addressSchema, help: 'IP:port for callers', fallback: '127.0.0.1:0' },
  'trainers-address': { schema: addressSchema, help: 'IP:port for trainers', fallback: '127.0.0.1:0' },
  'operators-address': {
    schema: addressSchema,
    help: 'IP:port for operators and metrics',
    fallback: '127.0.0.1:0',
  },
  'peers-address': { schema: addressSchema, help: 'IP:port for other entry hosts', fallback: '127.0.0.1:0' },
  'store-url': { schema: url, help: "http://IP:port of the platform's key-value service" },
  'members-url': { schema: url, help: "http://IP:port of the platform's membership list" },
  'scorer-url': {
    schema: optionalUrl,
    help: 'http://IP:port of the scoring service; empty to give score 0',
    fallback: '',
  },
  seeds: {
    schema: addressList,
    help: 'IP:port of peers to join by, besides the membership list',
    fallback: '',
  },
  'fleet-key': {
    schema: z.string().min(MIN_SECRET_LENGTH, `shorter than ${MIN_SECRET_LENGTH} characters`),
    help: 'the secret that all hosts share',
  },
  'operator-token': {
    schema: z.string().min(MIN_SECRET_LENGTH, `shorter than ${MIN_SECRET_LENGTH} characters`),
    help: 'the token that operators send as a bearer token',
  },
  'store-calls-per-second': {
    schema: integerSchema(10, 2000),
    help: 'calls a second to the key-value service, for the whole fleet',
    fallback: '600',
  },
  'accounts-file': {
    schema: z.string(),
    help: 'a YAML file of client accounts and their keys, read again at SIGHUP; empty to ask callers for none',
    fallback: '',
  },
  'drain-ms': {
    schema: integerSchema(0, 600_000),
    help: 'milliseconds to go on serving after SIGTERM, while the balancer still sends',
    fallback: '3000',
  },
  'max-shutdown-ms': {
    schema: integerSchema(1000, 3_600_000),
    help: 'milliseconds after SIGTERM by which the process ends, whatever is in flight',
    fallback: '120000',
  },
  'log-level': { schema: z.enum(logLevels), help: `one of ${logLevels.join(', ')}`, fallback: 'info' },
  'trace-file': { schema: z.string(), help: 'a file for spans as JSON lines; empty for none', fallback: '' },
};
export type EntrySettings = SettingValues<typeof entrySettings>;
