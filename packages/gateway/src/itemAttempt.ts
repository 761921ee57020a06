/**
 * A single attempt to run an item at an endpoint.
 */
import { idleTimeouts, type BatchItem, type BatchLedger, type GeneratedEvent } from '@fuchsiahitch/batches';
import type { CancelTimer } from '@fuchsiahitch/base';
import type { Endpoint } from './endpoint.js';
import type { EndpointSend } from './endpointSend.js';
import type { GatewayContext } from './gatewayContext.js';
import type { EndpointClient, EndpointLoad, ItemEnd, ItemProgressListener } from './ports.js';

/** `stalled`: no event arrived in time. `old-version`: the version is too old or unsuitable for the text so far. */
export type AttemptEnd = ItemEnd | { readonly kind: 'stalled' } | { readonly kind: 'old-version' };

/** Interval of checks for a free slot elsewhere while the endpoint is unresponsive. */
const SUSPECT_RECHECK_MS = 100;
/** Maximum duration of an attempt, sent to the endpoint. */
const MAX_RUN_MS = 30_000;

export class ItemAttempt implements ItemProgressListener {
  readonly endpoint: Endpoint;
  private readonly _context: GatewayContext;
  private readonly _client: EndpointClient;
  private readonly _ledger: BatchLedger;
  private readonly _item: BatchItem;
  private readonly _abort = new AbortController();
  private readonly _startedMs: number;
  private readonly _canMove: (attempt: ItemAttempt) => boolean;
  private readonly _send: EndpointSend;
  /** Set when this host ends the attempt. Takes precedence over the end that the client reports. */
  private _endOverride: AttemptEnd | undefined;
  private _isAnswered = false;
  private _lastEventMs: number | undefined;
  /** Wall time of the last event, or of the start if there was none. */
  private _lastActivityWallMs: number;
  private _stallTimer: CancelTimer | undefined;

  /** `canMove`: whether another endpoint has a free slot. Checked while the endpoint is unresponsive. */
  constructor(
    context: GatewayContext,
    client: EndpointClient,
    ledger: BatchLedger,
    item: BatchItem,
    endpoint: Endpoint,
    send: EndpointSend,
    canMove: (attempt: ItemAttempt) => boolean,
  ) {
    this._canMove = canMove;
    this._send = send;
    this._context = context;
    this._client = client;
    this._ledger = ledger;
    this._item = item;
    this.endpoint = endpoint;
    this._startedMs = context.clock.nowMs();
    this._lastActivityWallMs = context.clock.wallMs();
  }

  get itemId(): string {
    return this._item.id;
  }

  /** Cancels the attempt. The endpoint aborts the run when its connection closes. */
  stop(): void {
    this._endOverride ??= { kind: 'cancelled' };
    this._abort.abort();
  }

  /** True once the endpoint has started to answer. */
  isAnswered(): boolean {
    return this._isAnswered;
  }

  elapsedMs(): number {
    return this._context.clock.nowMs() - this._startedMs;
  }

  async run(): Promise<AttemptEnd> {
    const { stats } = this.endpoint;
    stats.began(true);
    this._armStallTimer();
    const span = this._context.tracing.startSpan('endpoint', undefined);
    const onReplaced = (): void => this._endpointRestarted();
    this.endpoint.replaced.addEventListener('abort', onReplaced);
    const end = await this._send.attempt(() => this._client.runItem(this._call(), this, this._abort.signal));
    this.endpoint.replaced.removeEventListener('abort', onReplaced);
    this._stallTimer?.();
    const outcome = this._endOverride ?? this._treatEmptyAsBroken(end);
    const batchId = this._ledger.batch.id;
    span.end({ batchId, itemId: this._item.id, endpointId: this.endpoint.id, end: outcome.kind });
    if (outcome.kind === 'cancelled' || outcome.kind === 'old-version') stats.cancelled(true);
    else stats.ended(true, isFailure(outcome));
    this._recordRefusal(outcome);
    return outcome;
  }

  began(version: number | undefined, load: EndpointLoad | undefined): boolean {
    const { model, minVersion } = this._ledger.batch;
    this._isAnswered = true;
    if (load) this.endpoint.recordLoad(load);
    // An endpoint that resumes a complete text generates nothing and reports no version.
    if (version === undefined) return true;
    if (model !== '') this.endpoint.recordAnsweredVersion(model, version);
    const progress = this._ledger.progress(this._item.id);
    if (version >= minVersion && progress.mayContinueWith(version)) return true;
    // The text so far can't be continued with this version. It is kept if only the endpoint's version is too old.
    if (version >= minVersion) progress.clear();
    this._endOverride = { kind: 'old-version' };
    return false;
  }

  event(event: GeneratedEvent): boolean {
    const nowMs = this._context.clock.nowMs();
    // Intervals between events that were read late because of event loop lag are not measurements of the endpoint.
    if (this._lastEventMs !== undefined && this._context.eventLoop.hasNoLagSince(this._lastEventMs))
      this.endpoint.recordEventInterval(nowMs - this._lastEventMs);
    this._lastEventMs = nowMs;
    this._lastActivityWallMs = this._context.clock.wallMs();
    this._armStallTimer();
    const effect = this._ledger.event(this._item.id, event);
    if (effect === 'added' || effect === 'repeated') return true;
    this._endOverride = { kind: 'broken', text: `event ${event.number} is out of sequence (${effect})` };
    return false;
  }

  /**
   * Ends an attempt that was lost in a restart of the endpoint, since a power failure leaves the connection open. An
   * attempt that started or received events after the restart continues.
   */
  private _endpointRestarted(): void {
    if (this._lastActivityWallMs >= this.endpoint.successorStartWallMs()) return;
    this._endOverride ??= { kind: 'broken', text: 'the endpoint has restarted' };
    this._abort.abort();
  }

  /**
   * Records the load of an endpoint that refused the item, where endpoints report their speed. Otherwise this host would
   * take slots that other hosts use for free ones, and abort attempts to move their items there.
   */
  private _recordRefusal(end: AttemptEnd): void {
    if (end.kind !== 'not-run' || end.reason !== 'refused' || end.load?.workPercent === undefined) return;
    this.endpoint.recordLoad(end.load);
  }

  /** Treats a stream that completed without any event as broken. */
  private _treatEmptyAsBroken(end: ItemEnd): AttemptEnd {
    const isEmpty = end.kind === 'done' && this._ledger.progress(this._item.id).lastEventNumber() === 0;
    return isEmpty ? { kind: 'broken', text: 'the stream ended without an event' } : end;
  }

  private _armStallTimer(): void {
    const { suspectMs, abandonMs } = idleTimeouts(
      this._lastEventMs !== undefined,
      this.endpoint.provisionalPaceMs(),
    );
    this._watchForStall(suspectMs, this._context.clock.nowMs() + abandonMs);
  }

  /** Waits, lets the event loop read pending I/O, then checks for a stall. The next event cancels the check. */
  private _watchForStall(waitMs: number, abandonAtMs: number): void {
    const { clock, eventLoop } = this._context;
    const sinceMs = this._lastEventMs ?? this._startedMs;
    this._stallTimer?.();
    this._stallTimer = clock.after(waitMs, () => {
      this._stallTimer = eventLoop.afterPendingIo(sinceMs, () => this._checkStall(abandonAtMs));
    });
  }

  private _checkStall(abandonAtMs: number): void {
    const leftMs = abandonAtMs - this._context.clock.nowMs();
    const isStalled = leftMs <= 0 || this._canMove(this);
    if (!isStalled) {
      this._watchForStall(Math.min(leftMs, SUSPECT_RECHECK_MS), abandonAtMs);
      return;
    }
    this._endOverride ??= { kind: 'stalled' };
    this._abort.abort();
  }

  private _call(): Parameters<EndpointClient['runItem']>[0] {
    return {
      guard: this._send,
      endpoint: this.endpoint.info(),
      itemId: this._item.id,
      accountName: this._ledger.batch.accountName,
      host: this._ledger.batch.host,
      target: this._item.path,
      headers: this._item.headers,
      body: Buffer.from(this._item.bodyBase64, 'base64'),
      afterEvent: this._ledger.progress(this._item.id).lastEventNumber(),
      leftMs: MAX_RUN_MS,
    };
  }
}

/** True if the end counts as a failure of the endpoint. A refusal or an impossible item does not. */
function isFailure(end: AttemptEnd): boolean {
  return end.kind === 'broken' || end.kind === 'stalled' || end.kind === 'failed';
}
