/**
 * Schemas and validation of input from callers, trainers and operators.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import * as z from 'zod';

const MAX_PROMPT_LENGTH = 100_000;
const MAX_TOKENS = 100_000;
const DEFAULT_MAX_TOKENS = 256;
const DEFAULT_TIMEOUT_MS = 60_000;
const MAX_TIMEOUT_MS = 600_000;
const MAX_NAME_LENGTH = 63;
const MAX_KEY_LENGTH = 255;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9:.-]*$/, 'not a lower-case name')
  .max(MAX_NAME_LENGTH);

/** Rejects unknown fields, so that a misspelled one is not silently ignored. */
export const completionSchema = z.strictObject({
  model: name,
  prompt: z.string().min(1).max(MAX_PROMPT_LENGTH),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
});

/** Headers that identify a caller and set its priority, timeout and idempotency key. */
export const callerHeadersSchema = z.object({
  'fuchsiahitch-caller': name.default('unknown'),
  'fuchsiahitch-house': name.default('unknown'),
  'fuchsiahitch-priority': z.enum(['high', 'normal', 'low']).default('normal'),
  'fuchsiahitch-timeout-ms': z.coerce.number().int().min(1).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
  'idempotency-key': z.string().min(1).max(MAX_KEY_LENGTH).optional(),
  authorization: z.string().optional(),
  traceparent: z.string().max(100).optional(),
});
export type CallerHeaders = z.infer<typeof callerHeadersSchema>;

export const weightsSchema = z.strictObject({ pool: name, version: z.number().int().min(0) });

/** Parses and validates a JSON body. The error names each invalid field. */
export function readJson<T>(body: unknown, schema: z.ZodType<T>): Result<T, string> {
  if (!Buffer.isBuffer(body)) return err('expected a JSON body');
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    return err('the body is not JSON');
  }
  return validate(value, schema);
}

export function validate<T>(value: unknown, schema: z.ZodType<T>): Result<T, string> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map(issue => `${issue.path.map(String).join('.')}: ${issue.message}`).join('; '),
  );
}
