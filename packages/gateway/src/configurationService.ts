/**
 * The operators' configuration in force on this host, and the versions that trainers named. It only moves
 * forward, whatever order changes arrive in.
 */
import type { StoredValue } from '@fuchsiahitch/clients';
import { RuleBook, RuleHistory, type Decision, type Route } from '@fuchsiahitch/rules';
import type { GatewayContext } from './gatewayContext.js';
import type { CallerLimits, FleetConfiguration, RecordDecoder, RecordKeys } from './ports.js';
import { StoreMirror, type MirrorSource } from './storeMirror.js';

/**
 * A change must be in force within two seconds. A watch may fall silent, as one that goes through a host of a failure
 * domain that is cut off meanwhile; it is given up and begun anew within that time. A longer wait saves a call a second
 * of each host, and would show as callers who get 404 for a new route, seconds after it was accepted.
 */
const WATCH = { waitMs: 1000, answerMs: 600, spacingMs: 0 };
const noSignals = (): number => 0;

/** Where a request goes, by the rule that decided it. */
export interface RoutedRequest {
  readonly revision: number;
  readonly ruleId: string;
  readonly route: Route;
}

/** `unknown`: this host has no configuration yet, so that it can't say what is allowed. */
export type RouteResult =
  | ({ readonly kind: 'routed' } & RoutedRequest)
  | { readonly kind: 'no-route'; readonly revision: number }
  | { readonly kind: 'unknown' };

export class ConfigurationService {
  private readonly _context: GatewayContext;
  private readonly _keys: RecordKeys;
  private readonly _decoder: RecordDecoder;
  private readonly _mirror: StoreMirror;
  private readonly _history = new RuleHistory();
  private readonly _named = new Map<string, number>();
  private _book: RuleBook | undefined;
  private _configuration: FleetConfiguration | undefined;

  constructor(context: GatewayContext, store: MirrorSource, keys: RecordKeys, decoder: RecordDecoder) {
    this._context = context;
    this._keys = keys;
    this._decoder = decoder;
    this._mirror = new StoreMirror(
      context,
      store,
      { prefix: keys.operatorPrefix, ...WATCH },
      { changed: item => this._changed(item), removed: () => undefined },
    );
  }

  start(): void {
    this._mirror.start();
  }

  isKnown(): boolean {
    return this._book !== undefined;
  }

  limits(): CallerLimits | undefined {
    return this._configuration?.limits;
  }

  /** Models by pool. */
  models(): ReadonlyMap<string, readonly string[]> {
    return this._configuration?.models ?? new Map<string, readonly string[]>();
  }

  /** The newest version that was named for a model; 1 before any. */
  namedVersion(model: string): number {
    return this._named.get(model) ?? 1;
  }

  /** Age of the view. */
  ageMs(): number {
    return this._mirror.ageMs();
  }

  route(host: string, path: string): RouteResult {
    if (!this._book) return { kind: 'unknown' };
    const decision = this._book.decide({
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

  private _changed(item: StoredValue): void {
    if (item.key === this._keys.configurationKey) this._takeConfiguration(item.value);
    if (item.key.startsWith(this._keys.versionPrefix)) this._takeVersion(item.value);
  }

  private _takeConfiguration(value: string): void {
    const { log, clock } = this._context;
    const configuration = this._decoder.configuration(value);
    if (!configuration) {
      log.error('unreadable configuration, the one in force stays', { revision: this._history.revision() });
      return;
    }
    const { revision, rules } = configuration;
    const offered = this._history.offerDocument({ revision, rules, editIds: [] });
    log.info('configuration', { revision, outcome: offered, routes: rules.length });
    if (offered !== 'taken') return;
    this._configuration = configuration;
    this._book = new RuleBook(this._history.document(), clock, noSignals);
  }

  private _takeVersion(value: string): void {
    const named = this._decoder.namedVersion(value);
    if (!named) {
      this._context.log.error('unreadable version record');
      return;
    }
    const version = Math.max(named.version, this.namedVersion(named.model));
    this._named.set(named.model, version);
    this._context.log.info('version named', { model: named.model, version });
  }
}

function toResult(decision: Decision): RouteResult {
  const { revision, ruleId, action } = decision;
  if (ruleId === undefined || !action.route) return { kind: 'no-route', revision };
  return { kind: 'routed', revision, ruleId, route: action.route };
}
