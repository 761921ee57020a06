/**
 * Limits the calls to the key-value service to this host's share of the fleet's call rate.
 */
import { err, sleep, type Clock, type Deadline, type Result } from '@fuchsiahitch/base';
import type { CallBudget } from '@fuchsiahitch/membership';
import type {
  Compare,
  KeyValueStore,
  StoredValue,
  StoreError,
  TransactionResult,
  WatchEnd,
  WatchEvent,
  Write,
} from '@fuchsiahitch/clients';
import type { Metrics } from './metrics.js';

export class BudgetedStore implements KeyValueStore {
  private readonly _inner: KeyValueStore;
  private readonly _budget: CallBudget;
  private readonly _clock: Clock;
  private readonly _metrics: Metrics;
  private _isReachable = true;

  constructor(inner: KeyValueStore, budget: CallBudget, clock: Clock, metrics: Metrics) {
    this._inner = inner;
    this._budget = budget;
    this._clock = clock;
    this._metrics = metrics;
  }

  /** Returns whether the last call succeeded. */
  isReachable(): boolean {
    return this._isReachable;
  }

  async get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StoreError>> {
    return this._withinBudget(deadline, () => this._inner.get(key, deadline));
  }

  async list(prefix: string, deadline: Deadline): Promise<Result<readonly StoredValue[], StoreError>> {
    return this._withinBudget(deadline, () => this._inner.list(prefix, deadline));
  }

  async transact(
    compares: readonly Compare[],
    writes: readonly Write[],
    deadline: Deadline,
  ): Promise<Result<TransactionResult, StoreError>> {
    return this._withinBudget(deadline, () => this._inner.transact(compares, writes, deadline));
  }

  async grantLease(ttlMs: number, deadline: Deadline): Promise<Result<string, StoreError>> {
    return this._withinBudget(deadline, () => this._inner.grantLease(ttlMs, deadline));
  }

  async keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>> {
    return this._withinBudget(deadline, () => this._inner.keepLease(leaseId, deadline));
  }

  async watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
    signal: AbortSignal,
  ): Promise<WatchEnd> {
    const permit = this._budget.take();
    if (!permit.granted) {
      await sleep(this._clock, permit.waitMs, signal);
      return 'failed';
    }
    const end = await this._inner.watch(prefix, onEvents, signal);
    if (end === 'failed') this._budget.failed();
    return end;
  }

  /** Waits for a permit within the deadline, then makes the call. Failures make the budget back off. */
  private async _withinBudget<T>(
    deadline: Deadline,
    call: () => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> {
    for (let permit = this._budget.take(); !permit.granted; permit = this._budget.take()) {
      if (permit.waitMs >= deadline.remainingMs()) {
        this._metrics.storeCalls.inc({ end: 'over-budget' });
        return err('over-budget');
      }
      await sleep(this._clock, permit.waitMs);
    }
    const result = await call();
    this._isReachable = result.ok;
    this._metrics.storeCalls.inc({ end: result.ok ? 'ok' : result.error });
    if (result.ok) this._budget.succeeded();
    else this._budget.failed();
    return result;
  }
}
