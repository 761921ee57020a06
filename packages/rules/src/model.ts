/**
 * The rules document: an ordered list of rules, of which the first match decides.
 *
 * Conditions are typed fields instead of an expression language, so that shadowed rules can be detected and the
 * cost of a decision is bounded (docs/design/rules.md).
 */
import * as z from 'zod';

const MAX_NAME_LENGTH = 63;
const MAX_RULES = 4000;
const MAX_NOTE_LENGTH = 500;

/** The minimum share of a pool's slots that is reserved for customer-facing requests. */
export const CUSTOMER_RESERVE_FLOOR = 0.2;
/** The maximum number of retries that a rule may allow. More would multiply the load when endpoints fail. */
export const MAX_RETRIES = 3;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'not a lower-case name')
  .max(MAX_NAME_LENGTH);
const names = z.array(name).min(1).max(100).readonly();
const fraction = z.number().min(0).max(1);

/** A generation for a customer, a call to a service, or the generation of a trainer's sample. */
export const requestKinds = ['completion', 'service', 'sample'] as const;
export type RequestKind = (typeof requestKinds)[number];

export const signals = ['queue', 'load', 'swapping'] as const;
export type Signal = (typeof signals)[number];

const stateSchema = z
  .strictObject({
    signal: z.enum(signals),
    /** The condition is set when the signal is above this value. */
    above: z.number(),
    /** The condition is cleared when the signal is below this value. */
    clearBelow: z.number(),
    dwellMs: z.number().int().min(1000).default(5000),
  })
  .refine(state => state.clearBelow < state.above, 'clearBelow must be lower than above');

const hour = z.number().int().min(0).max(24);

/** A batch is a stored job of many generations that runs later. */
export const runKinds = ['idempotent', 'non-idempotent', 'stream', 'batch'] as const;
export type RunKind = (typeof runKinds)[number];

const durationMs = z.number().min(0);

export const routeSchema = z
  .strictObject({
    run: z.enum(runKinds),
    /** Pools, to which requests are distributed by weight. */
    pools: z
      .array(z.strictObject({ pool: z.string().min(1), weight: z.number().min(0) }).readonly())
      .min(1)
      .readonly(),
    /** The maximum time that a request may wait, or 0 for no limit. */
    timeoutMs: durationMs,
    targetMs: durationMs,
    maxAttempts: z.number().int().min(1),
    /** The urgency of the request. 0 is the most urgent. */
    rank: z.number().int().min(0),
    /** Callers do not need an account key. */
    isPublic: z.boolean(),
    /** An interrupted stream may be resumed at another endpoint. */
    isResumable: z.boolean(),
    /** All tokens of a result must come from a single weight version. */
    isSingleVersion: z.boolean(),
    /** For batches: the time from submission until the results are due. */
    dueMs: durationMs,
    /** For batches: the time from submission after which an item may be abandoned. */
    keepMs: durationMs,
  })
  .readonly();
export type Route = z.infer<typeof routeSchema>;

/** All fields that are present must match. A list matches any of its values. */
export const conditionSchema = z
  .strictObject({
    kind: z.array(z.enum(requestKinds)).min(1).readonly().optional(),
    caller: names.optional(),
    house: names.optional(),
    pool: names.optional(),
    domain: names.optional(),
    priority: names.optional(),
    version: names.optional(),
    host: z.array(z.string().min(1)).min(1).readonly().optional(),
    /** Prefixes of the request path. Each begins and ends with a slash. */
    pathPrefix: z
      .array(z.string().regex(/^\/(.*\/)?$/, 'a path prefix begins and ends with a slash'))
      .min(1)
      .readonly()
      .optional(),
    hoursUtc: z.strictObject({ from: hour, to: hour }).readonly().optional(),
    state: stateSchema.readonly().optional(),
  })
  .readonly();
export type Condition = z.infer<typeof conditionSchema>;

/** Absent fields keep the defaults of the deployment. */
export const actionSchema = z
  .strictObject({
    pool: name.optional(),
    domains: names.optional(),
    priority: z.enum(['high', 'normal', 'low']).optional(),
    share: fraction.optional(),
    reserve: fraction
      .refine(value => value >= CUSTOMER_RESERVE_FLOOR, `a reserve is at least ${CUSTOMER_RESERVE_FLOOR}`)
      .optional(),
    maxInFlight: z.number().int().min(1).max(100_000).optional(),
    retries: z.number().int().min(0).max(MAX_RETRIES).optional(),
    hedgeShare: z.number().min(0).max(0.2).optional(),
    stalenessVersions: z.number().int().min(0).max(100).optional(),
    stalenessMs: z.number().int().min(1000).optional(),
    pinVersion: z.string().max(MAX_NAME_LENGTH).optional(),
    stagedShare: fraction.optional(),
    refuse: z.string().min(1).max(MAX_NOTE_LENGTH).optional(),
    route: routeSchema.optional(),
  })
  .readonly();
export type Action = z.infer<typeof actionSchema>;

export const ruleSchema = z
  .strictObject({
    id: name,
    team: name,
    note: z.string().max(MAX_NOTE_LENGTH).optional(),
    when: conditionSchema,
    then: actionSchema,
  })
  .readonly();
export type Rule = z.infer<typeof ruleSchema>;

export const ruleListSchema = z.array(ruleSchema).max(MAX_RULES).readonly();

/** Identifiers of accepted edits that a document retains to detect retries. */
export const MAX_EDIT_IDS = 1024;

/** Every accepted edit increments `revision`. */
export const documentSchema = z
  .strictObject({
    revision: z.number().int().min(0),
    rules: ruleListSchema,
    editIds: z.array(z.string()).max(MAX_EDIT_IDS).readonly(),
  })
  .readonly();
export type RuleDocument = z.infer<typeof documentSchema>;

export const EMPTY_DOCUMENT: RuleDocument = { revision: 0, rules: [], editIds: [] };

/** The properties of a request that conditions are matched against. */
export interface RequestFacts {
  readonly kind: RequestKind;
  readonly caller: string;
  readonly house: string;
  readonly pool: string;
  readonly domain: string;
  readonly priority: string;
  readonly version: string;
  /** The host name and path of a call that is forwarded by name. Absent for other requests. */
  readonly host?: string;
  readonly path?: string;
}
