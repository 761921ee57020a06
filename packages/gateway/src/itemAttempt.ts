/**
 * One attempt to run an item at one endpoint.
 */
import { silenceBounds, type BatchItem, type BatchLedger, type GeneratedEvent } from '@fuchsiahitch/batches';
import type { CancelTimer } from '@fuchsiahitch/base';
import type { Endpoint } from './endpoint.js';
import type { GatewayContext } from './gatewayContext.js';
import type { EndpointClient, EndpointLoad, ItemEnd, ItemListener } from './ports.js';

/** `stalled`: nothing came for too long. `old-version`: the endpoint's weights are older than allowed. */
export type AttemptEnd = ItemEnd | { readonly kind: 'stalled' } | { readonly kind: 'old-version' };

/** How often an item at a suspect endpoint looks for a free place elsewhere. */
const SUSPECT_AGAIN_MS = 100;
/** No item runs longer than this: a bound for the endpoint, not a goal. */
const MAX_RUN_MS = 30_000;

export class ItemAttempt implements ItemListener {
  readonly endpoint: Endpoint;
  private readonly _context: GatewayContext;
  private readonly _client: EndpointClient;
  private readonly _ledger: BatchLedger;
  private readonly _item: BatchItem;
  private readonly _abort = new AbortController();
  private readonly _beganMs: number;
  private readonly _mayLeave: (attempt: ItemAttempt) => boolean;
  private _verdict: AttemptEnd | undefined;
  private _isAnswered = false;
  private _lastEventMs: number | undefined;
  /** When the endpoint showed last that it works on this attempt, by this host's wall clock. */
  private _aliveWallMs: number;
  private _stallTimer: CancelTimer | undefined;

  /** `mayLeave`: whether a place is free elsewhere, asked when the endpoint is suspect. */
  constructor(
    context: GatewayContext,
    client: EndpointClient,
    ledger: BatchLedger,
    item: BatchItem,
    endpoint: Endpoint,
    mayLeave: (attempt: ItemAttempt) => boolean,
  ) {
    this._mayLeave = mayLeave;
    this._context = context;
    this._client = client;
    this._ledger = ledger;
    this._item = item;
    this.endpoint = endpoint;
    this._beganMs = context.clock.nowMs();
    this._aliveWallMs = context.clock.wallMs();
  }

  get itemId(): string {
    return this._item.id;
  }

  /** Ends the attempt from outside; the endpoint drops the run when its connection closes. */
  stop(): void {
    this._verdict ??= { kind: 'cancelled' };
    this._abort.abort();
  }

  /** True once the endpoint has begun to answer: the item has reached it. */
  isAnswered(): boolean {
    return this._isAnswered;
  }

  /** How long the attempt has run. */
  ranMs(): number {
    return this._context.clock.nowMs() - this._beganMs;
  }

  async run(): Promise<AttemptEnd> {
    const { stats } = this.endpoint;
    stats.began(true);
    this._armSilence();
    const hop = this._context.tracing.startSpan('endpoint', undefined);
    const replaced = (): void => this._endpointRestarted();
    this.endpoint.replaced.addEventListener('abort', replaced);
    const end = await this._client.runItem(this._call(), this, this._abort.signal);
    this.endpoint.replaced.removeEventListener('abort', replaced);
    this._stallTimer?.();
    const verdict = this._verdict ?? this._checked(end);
    const batchId = this._ledger.batch.id;
    hop.end({ batchId, itemId: this._item.id, endpointId: this.endpoint.id, end: verdict.kind });
    if (verdict.kind === 'cancelled' || verdict.kind === 'old-version') stats.cancelled(true);
    else stats.ended(true, isFailure(verdict));
    return verdict;
  }

  began(version: number | undefined, load: EndpointLoad | undefined): boolean {
    const { model, minVersion } = this._ledger.batch;
    this._isAnswered = true;
    if (load) this.endpoint.recordLoad(load);
    // An endpoint that goes on after a text's last event generates nothing, and names no version.
    if (version === undefined) return true;
    if (model !== '') this.endpoint.recordAnsweredVersion(model, version);
    const progress = this._ledger.progress(this._item.id);
    if (version >= minVersion && progress.mayContinueWith(version)) return true;
    // The text so far can't go on under this version. A version that is too old says nothing against the text.
    if (version >= minVersion) progress.clear();
    this._verdict = { kind: 'old-version' };
    return false;
  }

  event(event: GeneratedEvent): boolean {
    const nowMs = this._context.clock.nowMs();
    // Two events that a late loop reads at once, or late, tell nothing of the endpoint's pace.
    if (this._lastEventMs !== undefined && this._context.eventLoop.isOnTimeSince(this._lastEventMs))
      this.endpoint.recordEventInterval(nowMs - this._lastEventMs);
    this._lastEventMs = nowMs;
    this._aliveWallMs = this._context.clock.wallMs();
    this._armSilence();
    const effect = this._ledger.event(this._item.id, event);
    if (effect === 'added' || effect === 'repeated') return true;
    this._verdict = { kind: 'broken', text: `event ${event.number} at the wrong place (${effect})` };
    return false;
  }

  /**
   * A run of a former start is lost, and nothing says so where the endpoint lost its power: the item would wait for the
   * time-out between events. A run that showed life after the restart belongs to the new start, and goes on.
   */
  private _endpointRestarted(): void {
    if (this._aliveWallMs >= this.endpoint.successorStartWallMs()) return;
    this._verdict ??= { kind: 'broken', text: 'the endpoint has restarted' };
    this._abort.abort();
  }

  /** A stream that ended well before its first event was no text. */
  private _checked(end: ItemEnd): AttemptEnd {
    const isEmpty = end.kind === 'done' && this._ledger.progress(this._item.id).lastEvent() === 0;
    return isEmpty ? { kind: 'broken', text: 'the stream ended without an event' } : end;
  }

  private _armSilence(): void {
    const { suspectMs, giveUpMs } = silenceBounds(
      this._lastEventMs !== undefined,
      this.endpoint.provisionalPaceMs(),
    );
    this._watchSilence(suspectMs, this._context.clock.nowMs() + giveUpMs);
  }

  /** Waits, lets the loop read what has arrived, and decides. An event on the way puts an end to all three. */
  private _watchSilence(waitMs: number, giveUpAtMs: number): void {
    const { clock, eventLoop: loop } = this._context;
    const sinceMs = this._lastEventMs ?? this._beganMs;
    this._stallTimer?.();
    this._stallTimer = clock.after(waitMs, () => {
      this._stallTimer = loop.afterPendingIo(sinceMs, () => this._suspect(giveUpAtMs));
    });
  }

  /** Nothing came for a while. */
  private _suspect(giveUpAtMs: number): void {
    const leftMs = giveUpAtMs - this._context.clock.nowMs();
    const isOver = leftMs <= 0 || this._mayLeave(this);
    if (!isOver) {
      this._watchSilence(Math.min(leftMs, SUSPECT_AGAIN_MS), giveUpAtMs);
      return;
    }
    this._verdict ??= { kind: 'stalled' };
    this._abort.abort();
  }

  private _call(): Parameters<EndpointClient['runItem']>[0] {
    return {
      endpoint: this.endpoint.info(),
      itemId: this._item.id,
      accountName: this._ledger.batch.accountName,
      host: this._ledger.batch.host,
      target: this._item.path,
      headers: this._item.headers,
      body: Buffer.from(this._item.bodyBase64, 'base64'),
      afterEvent: this._ledger.progress(this._item.id).lastEvent(),
      leftMs: MAX_RUN_MS,
    };
  }
}

/** True if the end speaks against the endpoint. A refusal is its right, and an impossible item its answer. */
function isFailure(end: AttemptEnd): boolean {
  return end.kind === 'broken' || end.kind === 'stalled' || end.kind === 'failed';
}
