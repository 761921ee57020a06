/**
 * Delays and logs items of a batch whose attempts make no progress.
 */
import { shouldLogFailures, retryDelayMs, type BatchItem } from '@fuchsiahitch/batches';
import type { GatewayContext } from './gatewayContext.js';

export type ItemStage = 'generation' | 'scoring';

export class ItemBackoff {
  private readonly _context: GatewayContext;
  private readonly _batchId: string;
  private readonly _stage: ItemStage;
  private readonly _fruitlessCounts = new Map<string, number>();
  private readonly _pausedUntilMs = new Map<string, number>();

  constructor(context: GatewayContext, batchId: string, stage: ItemStage) {
    this._context = context;
    this._batchId = batchId;
    this._stage = stage;
  }

  /** Returns the items that are not paused. */
  ready(items: readonly BatchItem[]): readonly BatchItem[] {
    const nowMs = this._context.clock.nowMs();
    return items.filter(item => nowMs >= (this._pausedUntilMs.get(item.id) ?? 0));
  }

  /** Records an attempt without progress. */
  attemptFailed(itemId: string): void {
    const fruitless = (this._fruitlessCounts.get(itemId) ?? 0) + 1;
    this._fruitlessCounts.set(itemId, fruitless);
    this._pause(itemId, fruitless);
    if (shouldLogFailures(fruitless)) this._log({ itemId, fruitless });
  }

  /** Like `attemptFailed`, with the ledger's count of attempts without progress. A discarded text is always logged. */
  versionMismatched(itemId: string, fruitless: number, isTextDropped: boolean): void {
    this._pause(itemId, fruitless);
    if (isTextDropped || shouldLogFailures(fruitless)) this._log({ itemId, fruitless, isTextDropped });
  }

  private _pause(itemId: string, fruitless: number): void {
    this._pausedUntilMs.set(itemId, this._context.clock.nowMs() + retryDelayMs(fruitless));
  }

  private _log(details: Readonly<Record<string, unknown>>): void {
    const { _batchId: batchId, _stage: stage } = this;
    this._context.log.warn('item makes no progress', { batchId, ...details, stage });
  }
}
