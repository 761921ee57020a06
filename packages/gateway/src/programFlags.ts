/**
 * Command-line flags and environment variables of the gateway's programs.
 */
import { logLevels } from '@fuchsiahitch/telemetry';
import * as z from 'zod';
import { capacityPolicyNames } from './dutyOptions.js';

const MIN_KEY_LENGTH = 16;

/** `node-file` is the path of the settings that the platform provides to the process. */
export const programFlags = {
  'node-file': { schema: z.string().min(1), help: "the path of the platform's settings file" },
  'fleet-key': {
    schema: z.string().min(MIN_KEY_LENGTH),
    help: `a secret of the fleet, ${MIN_KEY_LENGTH} characters or more`,
  },
  'metrics-port': {
    schema: z.coerce.number().int().min(0).max(65_535),
    help: 'the port of metrics',
    fallback: '9464',
  },
  'endpoints-per-model': {
    schema: z.coerce.number().int().min(0).max(1000),
    help: 'endpoints that the by-model policy orders for each model of a pool that can be scaled; 0 for none',
    fallback: '0',
  },
  'capacity-policy': {
    schema: z.enum(capacityPolicyNames).optional(),
    help: `one of ${capacityPolicyNames.join(', ')}; if omitted, by-model with endpoints per model, otherwise keep`,
  },
  'trace-file': {
    schema: z.string(),
    help: 'the file that spans are written to; empty for none',
    fallback: '',
  },
  'log-level': { schema: z.enum(logLevels), help: `one of ${logLevels.join(', ')}`, fallback: 'info' },
} as const;
