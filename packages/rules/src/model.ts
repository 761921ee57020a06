/**
 * The rules document: ordered rules, the first that matches decides.
 *
 * Conditions are plain typed fields and not an expression language, so that a check can prove that one rule
 * hides another, and a decision costs the same whatever a team writes (docs/design/rules.md).
 */
import * as z from 'zod';

const MAX_NAME = 63;
const MAX_RULES = 4000;
const MAX_NOTE = 500;

/** The lowest share of a pool's slots that is kept for customer-facing requests. No rule goes below it. */
export const CUSTOMER_RESERVE_FLOOR = 0.2;
/** The most retries that a rule may allow: more would multiply load when endpoints fail. */
export const MAX_RETRIES = 3;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'not a lower-case name')
  .max(MAX_NAME);
const names = z.array(name).min(1).max(100).readonly();
const fraction = z.number().min(0).max(1);

/** What a request is: a generation for a customer, a call to a plain service, or a trainer's sample. */
export const requestKinds = ['completion', 'service', 'sample'] as const;
export type RequestKind = (typeof requestKinds)[number];

/** The signals that a state condition can read. */
export const signals = ['queue', 'load', 'swapping'] as const;
export type Signal = (typeof signals)[number];

const stateSchema = z
  .strictObject({
    signal: z.enum(signals),
    /** The condition begins to hold when the signal is above this. */
    above: z.number(),
    /** It ceases to hold when the signal is below this: lower than `above`, or hosts would oscillate. */
    clearBelow: z.number(),
    /** The least time between two changes of the condition. */
    dwellMs: z.number().int().min(1000).default(5000),
  })
  .refine(state => state.clearBelow < state.above, 'clearBelow must be lower than above');

const hour = z.number().int().min(0).max(24);

/** How often a request may run: a batch is a job of many generations that is kept and run later. */
export const runKinds = ['idempotent', 'non-idempotent', 'stream', 'batch'] as const;
export type RunKind = (typeof runKinds)[number];

const durationMs = z.number().min(0);

/** Where the requests that a rule matches go, and what they may take. */
export const routeSchema = z
  .strictObject({
    run: z.enum(runKinds),
    /** Pools that share the requests by weight. */
    pools: z
      .array(z.strictObject({ pool: z.string().min(1), weight: z.number().min(0) }).readonly())
      .min(1)
      .readonly(),
    /** The longest time that a request may be kept waiting; 0 for no limit. */
    timeoutMs: durationMs,
    /** Within this time an answer is worth most to its caller. */
    targetMs: durationMs,
    /** Endpoints that one request may be sent to. */
    maxAttempts: z.number().int().min(1),
    /** 0 is the most urgent. */
    rank: z.number().int().min(0),
    /** Anybody may send such a request: its caller needs no key of an account. */
    isPublic: z.boolean(),
    /** A broken stream may go on at another endpoint. */
    isResumable: z.boolean(),
    /** All tokens of one result must come from one weight version. */
    isSingleVersion: z.boolean(),
    /** For a batch: its results are due so long after it was submitted. */
    dueMs: durationMs,
    /** For a batch: an item may be given up so long after it was submitted. */
    keepMs: durationMs,
  })
  .readonly();
export type Route = z.infer<typeof routeSchema>;

/** When a rule holds: every field given must match; a list matches any of its values. */
export const conditionSchema = z
  .strictObject({
    kind: z.array(z.enum(requestKinds)).min(1).readonly().optional(),
    caller: names.optional(),
    house: names.optional(),
    pool: names.optional(),
    domain: names.optional(),
    priority: names.optional(),
    version: names.optional(),
    /** The host name that a request was sent to. */
    host: z.array(z.string().min(1)).min(1).readonly().optional(),
    /** Beginnings of the request's path; each begins and ends with a slash. */
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

/** What a rule decides. Fields that a rule leaves out keep the defaults of the deployment. */
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
    pinVersion: z.string().max(MAX_NAME).optional(),
    stagedShare: fraction.optional(),
    refuse: z.string().min(1).max(MAX_NOTE).optional(),
    route: routeSchema.optional(),
  })
  .readonly();
export type Action = z.infer<typeof actionSchema>;

export const ruleSchema = z
  .strictObject({
    id: name,
    team: name,
    note: z.string().max(MAX_NOTE).optional(),
    when: conditionSchema,
    then: actionSchema,
  })
  .readonly();
export type Rule = z.infer<typeof ruleSchema>;

export const ruleListSchema = z.array(ruleSchema).max(MAX_RULES).readonly();

/** How many identifiers of accepted edits the document keeps, so that a retry finds its own. */
export const MAX_EDIT_IDS = 1024;

/** The document as the store keeps it. `revision` grows by one with every accepted edit. */
export const documentSchema = z
  .strictObject({
    revision: z.number().int().min(0),
    rules: ruleListSchema,
    editIds: z.array(z.string()).max(MAX_EDIT_IDS).readonly(),
  })
  .readonly();
export type RuleDocument = z.infer<typeof documentSchema>;

export const EMPTY_DOCUMENT: RuleDocument = { revision: 0, rules: [], editIds: [] };

/** What a rule can ask about a request. */
export interface RequestFacts {
  readonly kind: RequestKind;
  readonly caller: string;
  readonly house: string;
  readonly pool: string;
  readonly domain: string;
  readonly priority: string;
  readonly version: string;
  /** The host name and path of a call that is forwarded by name; rules on them match no other request. */
  readonly host?: string;
  readonly path?: string;
}
