/**
 * The operators' configuration in force on this host, and the versions named by trainers. Revisions only increase, in
 * whatever order changes arrive.
 */
import { AccountIndex, decideAccess, type Access, type Credential } from '@fuchsiahitch/accounts';
import type { PoolScaling } from '@fuchsiahitch/capacity';
import type { StoredValue } from '@fuchsiahitch/clients';
import { RuleEvaluator, RuleHistory, type Decision, type Route } from '@fuchsiahitch/rules';
import type { GatewayContext } from './gatewayContext.js';
import { newsBudget, type NewsBudget } from './newsBudget.js';
import type { CallerLimits, FleetConfiguration, RecordDecoder, RecordKeys } from './ports.js';
import { StoreMirror, type MirrorSource } from './storeMirror.js';

/**
 * With an older view, access is `unsure` instead of denied, so that the caller may retry at another host; callers treat
 * a denial as final. A connected host receives a new configuration within about two seconds.
 */
const MAX_DENIAL_AGE_MS = 3000;
/** Signal reader for the operators' rules, which have no state conditions. */
const noSignals = (): number => 0;

export interface RoutedRequest {
  readonly revision: number;
  readonly ruleId: string;
  readonly route: Route;
}

/** `unknown`: this host has no configuration yet. */
export type RouteResult =
  | ({ readonly kind: 'routed' } & RoutedRequest)
  | { readonly kind: 'no-route'; readonly revision: number }
  | { readonly kind: 'unknown' };

/** `unsure`: this host's accounts are too old to deny access. */
export type AccessResult =
  (Access & { readonly revision: number }) | { readonly kind: 'unsure'; readonly revision: number };

export class ConfigurationService {
  private readonly _context: GatewayContext;
  private readonly _keys: RecordKeys;
  private readonly _decoder: RecordDecoder;
  private readonly _mirror: StoreMirror;
  private readonly _history = new RuleHistory();
  private readonly _namedVersions = new Map<string, number>();
  private _ruleEvaluator: RuleEvaluator | undefined;
  private _accounts: AccountIndex | undefined;
  private _configuration: FleetConfiguration | undefined;

  constructor(
    context: GatewayContext,
    store: MirrorSource,
    keys: RecordKeys,
    decoder: RecordDecoder,
    budget: NewsBudget = newsBudget(),
  ) {
    this._context = context;
    this._keys = keys;
    this._decoder = decoder;
    this._mirror = new StoreMirror(
      context,
      store,
      { prefix: keys.operatorPrefix, budget, spacingMs: 0 },
      { changed: item => this._recordChanged(item), removed: () => undefined },
    );
  }

  start(): void {
    this._mirror.start();
  }

  hasConfiguration(): boolean {
    return this._ruleEvaluator !== undefined;
  }

  limits(): CallerLimits | undefined {
    return this._configuration?.limits;
  }

  models(): ReadonlyMap<string, readonly string[]> {
    return this._configuration?.models ?? new Map<string, readonly string[]>();
  }

  /** Connections that one endpoint of the pool accepts from all hosts together; undefined without a limit. */
  connectionLimit(pool: string): number | undefined {
    return this._configuration?.connectionLimits?.get(pool);
  }

  /** Scaling settings of the pools whose endpoints can be ordered. */
  scalings(): ReadonlyMap<string, PoolScaling> {
    return this._configuration?.scalings ?? new Map<string, PoolScaling>();
  }

  /** The newest version named for a model; 1 before any. */
  namedVersion(model: string): number {
    return this._namedVersions.get(model) ?? 1;
  }

  /** True if a version was named for the model, which then has a trainer. */
  hasNamedVersion(model: string): boolean {
    return this._namedVersions.has(model);
  }

  /** Milliseconds since the state of the store that the view shows. */
  ageMs(): number {
    return this._mirror.viewAgeMs();
  }

  /** Resolves once the configuration may be applied to a request; soon also if the store does not answer. */
  async whenCurrent(): Promise<void> {
    return this._mirror.whenCurrent();
  }

  route(host: string, path: string): RouteResult {
    if (!this._ruleEvaluator) return { kind: 'unknown' };
    const decision = this._ruleEvaluator.decide({
      kind: 'service',
      caller: '',
      house: '',
      pool: '',
      domain: this._context.domain,
      priority: '',
      version: '',
      host,
      path,
    });
    return toResult(decision);
  }

  /** Checks access by the accounts in force. Returns `unsure` instead of a denial if the view may miss a newer key. */
  access(credential: Credential, isPublic: boolean): AccessResult {
    const revision = this._history.revision();
    const access = decideAccess(this._accounts, credential, isPublic);
    const isOld = this.ageMs() > MAX_DENIAL_AGE_MS;
    return access.kind === 'denied' && isOld ? { kind: 'unsure', revision } : { ...access, revision };
  }

  /** False once the key that granted the earlier access is revoked. */
  isStillGranted(earlier: Access, credential: Credential): boolean {
    if (earlier.kind !== 'granted') return true;
    const access = decideAccess(this._accounts, credential, false);
    return access.kind !== 'denied';
  }

  /** True if batches may be submitted to, and read from, the host name without an account. */
  hasPublicBatches(host: string): boolean {
    const rules = this._configuration?.rules ?? [];
    return rules.some(({ when, then }) => {
      const isBatch = then.route?.run === 'batch' && then.route.isPublic;
      return isBatch && (when.host?.includes(host) ?? true);
    });
  }

  private _recordChanged(item: StoredValue): void {
    if (item.key === this._keys.configurationKey) this._applyConfiguration(item.value);
    if (item.key.startsWith(this._keys.versionPrefix)) this._applyNamedVersion(item.value);
  }

  private _applyConfiguration(value: string): void {
    const { log, clock } = this._context;
    const configuration = this._decoder.configuration(value);
    if (!configuration) {
      log.error('unreadable configuration, keeping the one in force', { revision: this._history.revision() });
      return;
    }
    const { revision, rules } = configuration;
    const accounts = this._buildAccountIndex(configuration);
    if (accounts === 'contradictory') return;
    const offered = this._history.offerDocument({ revision, rules, editIds: [] });
    log.info('configuration', {
      revision,
      outcome: offered,
      routes: rules.length,
      accounts: configuration.accounts?.length,
    });
    if (offered !== 'taken') return;
    this._configuration = configuration;
    this._accounts = accounts;
    this._ruleEvaluator = new RuleEvaluator(this._history.document(), clock, noSignals);
  }

  /** A configuration with contradictory accounts is rejected as a whole. */
  private _buildAccountIndex({
    revision,
    accounts,
  }: FleetConfiguration): AccountIndex | undefined | 'contradictory' {
    if (!accounts) return undefined;
    const index = AccountIndex.build(accounts, this._accounts);
    if (index.ok) return index.value;
    const inForce = this._history.revision();
    this._context.log.error('contradictory accounts, keeping the configuration in force', {
      revision,
      inForce,
      problem: index.error.kind,
      accounts: index.error.kind === 'duplicate-name' ? index.error.name : index.error.names.join(', '),
    });
    return 'contradictory';
  }

  private _applyNamedVersion(value: string): void {
    const named = this._decoder.namedVersion(value);
    if (!named) {
      this._context.log.error('unreadable version record');
      return;
    }
    const version = Math.max(named.version, this.namedVersion(named.model));
    this._namedVersions.set(named.model, version);
    this._context.log.info('weight version named', { model: named.model, version });
  }
}

function toResult(decision: Decision): RouteResult {
  const { revision, ruleId, action } = decision;
  if (ruleId === undefined || !action.route) return { kind: 'no-route', revision };
  return { kind: 'routed', revision, ruleId, route: action.route };
}
