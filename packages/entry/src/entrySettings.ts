/**
 * Settings of the entry daemon.
 */
import { addressSchema, integerSchema, nameSchema, type SettingValues } from '@fuchsiahitch/base';
import { logLevels } from '@fuchsiahitch/telemetry';
import { DEFAULT_MACHINE } from '@fuchsiahitch/limits';
import * as z from 'zod';

const MIN_SECRET_LENGTH = 16;
const url = z.string().regex(/^http:\/\/\d+\.\d+\.\d+\.\d+:\d+$/, 'not a URL of the form http://IP:port');
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
    help: 'all failure domains of the deployment, separated by commas; must be the same on all hosts',
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
    help: 'http://IP:port of the scoring service; empty to score every sample 0',
    fallback: '',
  },
  seeds: {
    schema: addressList,
    help: 'IP:port of peers to join, in addition to those on the membership list, separated by commas',
    fallback: '',
  },
  'fleet-key': {
    schema: z.string().min(MIN_SECRET_LENGTH, `shorter than ${MIN_SECRET_LENGTH} characters`),
    help: 'the secret that all hosts share',
  },
  'operator-token': {
    schema: z.string().min(MIN_SECRET_LENGTH, `shorter than ${MIN_SECRET_LENGTH} characters`),
    help: 'the bearer token that operators send',
  },
  'store-calls-per-second': {
    schema: integerSchema(10, 2000),
    help: 'calls per second to the key-value service, for the whole fleet',
    fallback: '600',
  },
  'accounts-file': {
    schema: z.string(),
    help: 'a YAML file of client accounts and their keys, reloaded on SIGHUP; empty to admit callers without a key',
    fallback: '',
  },
  'drain-ms': {
    schema: integerSchema(0, 600_000),
    help: 'milliseconds to continue serving after SIGTERM, while the load balancer still sends requests',
    fallback: '3000',
  },
  'max-shutdown-ms': {
    schema: integerSchema(1000, 3_600_000),
    help: 'milliseconds after SIGTERM by which the process exits, even with requests in flight',
    fallback: '120000',
  },
  'memory-mb': {
    schema: integerSchema(256, 1_000_000),
    help: 'memory of the process in megabytes, of which clients may take a part',
    fallback: String(DEFAULT_MACHINE.memoryMb),
  },
  'max-fds': {
    schema: integerSchema(256, 10_000_000),
    help: 'open descriptors of the process, of which clients may take a part',
    fallback: String(DEFAULT_MACHINE.maxDescriptors),
  },
  'log-level': { schema: z.enum(logLevels), help: `one of ${logLevels.join(', ')}`, fallback: 'info' },
  'trace-file': {
    schema: z.string(),
    help: 'a file to write spans to, as JSON lines; empty to write none',
    fallback: '',
  },
};
export type EntrySettings = SettingValues<typeof entrySettings>;
