/**
 * The pauses of one batch's items whose tries bring nothing, and the log line that tells of them.
 */
import { isWorthTelling, retryPauseMs, type BatchItem } from '@fuchsiahitch/batches';
import type { GatewayContext } from './gatewayContext.js';

/** What the items are tried for. */
export type ItemStage = 'generation' | 'scoring';

export class ItemBackoff {
  private readonly _context: GatewayContext;
  private readonly _batchId: string;
  private readonly _stage: ItemStage;
  private readonly _fruitlessCounts = new Map<string, number>();
  /** Items that made no progress wait until then. */
  private readonly _pausedUntilMs = new Map<string, number>();

  constructor(context: GatewayContext, batchId: string, stage: ItemStage) {
    this._context = context;
    this._batchId = batchId;
    this._stage = stage;
  }

  /** Those of the items that don't wait at this moment. */
  ready(items: readonly BatchItem[]): readonly BatchItem[] {
    const nowMs = this._context.clock.nowMs();
    return items.filter(item => nowMs >= (this._pausedUntilMs.get(item.id) ?? 0));
  }

  /** One more try of the item brought nothing. */
  attemptFailed(itemId: string): void {
    const fruitless = (this._fruitlessCounts.get(itemId) ?? 0) + 1;
    this._fruitlessCounts.set(itemId, fruitless);
    this._pause(itemId, fruitless);
    if (isWorthTelling(fruitless)) this._log({ itemId, fruitless });
  }

  /** As `tried`, for an item whose tries in a row the ledger counts. A text that was dropped is always told. */
  versionMismatched(itemId: string, fruitless: number, isTextDropped: boolean): void {
    this._pause(itemId, fruitless);
    if (isTextDropped || isWorthTelling(fruitless)) this._log({ itemId, fruitless, isTextDropped });
  }

  private _pause(itemId: string, fruitless: number): void {
    this._pausedUntilMs.set(itemId, this._context.clock.nowMs() + retryPauseMs(fruitless));
  }

  private _log(details: Readonly<Record<string, unknown>>): void {
    const { _batchId: batchId, _stage: stage } = this;
    this._context.log.warn('item makes no progress', { batchId, ...details, stage });
  }
}
