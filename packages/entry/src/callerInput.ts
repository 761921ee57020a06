/**
 * What callers, trainers and operators may send, checked before anything happens.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import * as z from 'zod';

const MAX_PROMPT = 100_000;
const MAX_TOKENS = 100_000;
const DEFAULT_TOKENS = 256;
const DEFAULT_TIMEOUT_MS = 60_000;
const MAX_TIMEOUT_MS = 600_000;
const MAX_NAME = 63;
const MAX_KEY = 255;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9:.-]*$/, 'not a lower-case name')
  .max(MAX_NAME);

/** A completion. Unknown fields are refused: a misspelt one would be ignored in silence. */
export const completionSchema = z.strictObject({
  model: name,
  prompt: z.string().min(1).max(MAX_PROMPT),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).default(DEFAULT_TOKENS),
  stream: z.boolean().default(false),
});

/** The headers by which a caller says who it is and what it needs. */
export const callerHeadersSchema = z.object({
  'fuchsiahitch-caller': name.default('unknown'),
  'fuchsiahitch-house': name.default('unknown'),
  'fuchsiahitch-priority': z.enum(['high', 'normal', 'low']).default('normal'),
  'fuchsiahitch-timeout-ms': z.coerce.number().int().min(1).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
  'idempotency-key': z.string().min(1).max(MAX_KEY).optional(),
  authorization: z.string().optional(),
  traceparent: z.string().max(100).optional(),
});
export type CallerHeaders = z.infer<typeof callerHeadersSchema>;

export const weightsSchema = z.strictObject({ pool: name, version: z.number().int().min(0) });

/** Reads a JSON body against a schema; the text says what is wrong and where. */
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

/** Checks a value against a schema. */
export function validate<T>(value: unknown, schema: z.ZodType<T>): Result<T, string> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map(issue => `${issue.path.map(String).join('.')}: ${issue.message}`).join('; '),
  );
}
