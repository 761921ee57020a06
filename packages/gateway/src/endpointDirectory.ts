/**
 * The endpoints that exist, mirrored from the records that they write to the store.
 *
 * An endpoint may restart under its identifier. State of the previous instance, such as running items, versions, pace
 * or an ejection, must not be applied to the new one. Each instance is therefore an `Endpoint` of its own that replaces
 * the previous one; late records of earlier instances are ignored. An unreadable record removes only its own endpoint.
 */
import type { CancelTimer } from '@fuchsiahitch/base';
import type { StoredValue } from '@fuchsiahitch/clients';
import { Endpoint } from './endpoint.js';
import type { SendAuthority } from './endpointSend.js';
import type { GatewayContext } from './gatewayContext.js';
import { newsBudget, type NewsBudget } from './newsBudget.js';
import type { EndpointInfo, RecordDecoder, RecordKeys } from './ports.js';
import { StoreMirror, type MirrorSource } from './storeMirror.js';
import type { ChangeOrigin } from './storeView.js';

/** After an outage of the store, records that expired during it are written again within about two seconds. */
const OUTAGE_RECOVERY_MS = 2300;
/** Start times remembered for removed endpoints, so that a late record does not restore an earlier instance. */
const MAX_REMEMBERED_STARTS = 4000;

export class EndpointDirectory implements SendAuthority {
  private readonly _context: GatewayContext;
  private readonly _keys: RecordKeys;
  private readonly _decoder: RecordDecoder;
  private readonly _mirror: StoreMirror;
  private readonly _endpoints = new Map<string, Endpoint>();
  private readonly _pendingRemovals = new Map<string, CancelTimer>();
  private readonly _lastStartWallMs = new Map<string, number>();
  private readonly _onRestarted: (address: string) => void;

  /** `onRestarted` receives the previous address of each endpoint that has restarted under its identifier. */
  constructor(
    context: GatewayContext,
    store: MirrorSource,
    keys: RecordKeys,
    decoder: RecordDecoder,
    onRestarted: (address: string) => void,
    budget: NewsBudget = newsBudget(),
  ) {
    this._onRestarted = onRestarted;
    this._context = context;
    this._keys = keys;
    this._decoder = decoder;
    this._mirror = new StoreMirror(
      context,
      store,
      { prefix: keys.endpointPrefix, budget, spacingMs: 0 },
      {
        changed: (item, origin) => this._recordChanged(item, origin),
        removed: (key, origin) => this._recordRemoved(key, origin),
      },
    );
  }

  start(): void {
    this._mirror.start();
  }

  isSynced(): boolean {
    return this._mirror.isSynced();
  }

  /** Returns false while changes may be missing that were made long before. */
  isComplete(): boolean {
    return this._mirror.isComplete();
  }

  /** Milliseconds since the state of the store that the view shows; Infinity before the first read. */
  viewAgeMs(): number {
    return this._mirror.viewAgeMs();
  }

  isCurrent(): boolean {
    return this._mirror.isCurrent();
  }

  async whenCurrent(): Promise<void> {
    return this._mirror.whenCurrent();
  }

  /** Time since a call to the store last failed; records may have expired meanwhile. */
  sinceFailureMs(): number {
    return this._mirror.sinceFailureMs();
  }

  /** All endpoints of the pool, including leaving ones. */
  inPool(pool: string): readonly Endpoint[] {
    return [...this._endpoints.values()].filter(endpoint => endpoint.pool === pool);
  }

  all(): readonly Endpoint[] {
    return [...this._endpoints.values()];
  }

  get(id: string): Endpoint | undefined {
    return this._endpoints.get(id);
  }

  /** Records a restart that the endpoint itself reported, before its record in the store shows it. */
  recordRestart(id: string, startWallMs: number, versions: ReadonlyMap<string, number>): void {
    const known = this._endpoints.get(id);
    if (!known?.isOtherStart(startWallMs) || startWallMs < known.info().startWallMs) return;
    this._apply({ ...known.info(), startWallMs, versions, isLeaving: false }, undefined);
  }

  private _recordChanged({ key, value, version }: StoredValue, origin: ChangeOrigin): void {
    const id = key.slice(this._keys.endpointPrefix.length);
    const info = this._decoder.endpoint(id, value);
    if (info) {
      this._pendingRemovals.get(id)?.();
      this._pendingRemovals.delete(id);
      this._apply(info, origin);
      return;
    }
    this._context.log.warn('unreadable endpoint record', { endpointId: id, revision: version });
    this._recordRemoved(key, origin);
  }

  /** `origin` is undefined for a restart that the endpoint reported itself. */
  private _apply(info: EndpointInfo, origin: ChangeOrigin | undefined): void {
    const { id, startWallMs } = info;
    const lastMs = this._lastStartWallMs.get(id) ?? 0;
    if (startWallMs < lastMs) {
      this._context.log.info('endpoint record of an earlier start ignored', {
        endpointId: id,
        startWallMs,
        lastStartWallMs: lastMs,
      });
      return;
    }
    this._rememberStart(id, startWallMs);
    const known = this._endpoints.get(id);
    if (known?.info().startWallMs === startWallMs) {
      if (info.isLeaving && !known.isLeaving) this._logChange('leaving', known, origin);
      known.update(info);
      return;
    }
    const endpoint = new Endpoint(info, this._context.clock);
    this._endpoints.set(id, endpoint);
    known?.markReplaced(info);
    if (known) this._onRestarted(known.info().address);
    this._logChange(known ? 'restarted' : 'new', endpoint, origin);
  }

  private _rememberStart(id: string, startWallMs: number): void {
    this._lastStartWallMs.delete(id);
    this._lastStartWallMs.set(id, startWallMs);
    const [oldest] = this._lastStartWallMs.keys();
    if (this._lastStartWallMs.size > MAX_REMEMBERED_STARTS && oldest !== undefined)
      this._lastStartWallMs.delete(oldest);
  }

  private _recordRemoved(key: string, origin: ChangeOrigin): void {
    const id = key.slice(this._keys.endpointPrefix.length);
    const endpoint = this._endpoints.get(id);
    if (!endpoint || this._pendingRemovals.has(id)) return;
    // Counted from the end of the outage, so that a removal long after it takes effect at once.
    const graceMs = OUTAGE_RECOVERY_MS - this._mirror.sinceOutageMs();
    if (graceMs <= 0) return this._remove(endpoint, origin);
    const heldOrigin = { ...origin, maxDelayMs: origin.maxDelayMs + graceMs };
    const cancel = this._context.clock.after(graceMs, () => this._remove(endpoint, heldOrigin));
    this._pendingRemovals.set(id, cancel);
  }

  private _remove(endpoint: Endpoint, origin: ChangeOrigin): void {
    this._pendingRemovals.delete(endpoint.id);
    // Another instance may have replaced it meanwhile.
    if (this._endpoints.get(endpoint.id) === endpoint) this._endpoints.delete(endpoint.id);
    endpoint.markLeaving();
    this._logChange('gone', endpoint, origin);
  }

  private _logChange(
    change: 'new' | 'restarted' | 'leaving' | 'gone',
    endpoint: Endpoint,
    origin: ChangeOrigin | undefined,
  ): void {
    const { log, metrics } = this._context;
    const { id, pool, domain } = endpoint;
    const { startWallMs } = endpoint.info();
    const sinceFailureMs = Math.round(Math.min(this._mirror.sinceFailureMs(), 1e6));
    const { source = 'endpoint', revision, maxDelayMs = Infinity } = origin ?? {};
    const isEnd = change === 'leaving' || change === 'gone';
    if (isEnd) metrics.endpointNews.observe({ change, source }, maxDelayMs / 1000);
    log.info('endpoint', {
      change,
      endpointId: id,
      pool,
      domain,
      startWallMs,
      sinceFailureMs,
      source,
      revision,
      maxDelayMs: Math.round(Math.min(maxDelayMs, 1e6)),
    });
  }
}
