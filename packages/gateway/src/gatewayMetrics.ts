/**
 * Metrics of the gateway, by Prometheus' naming conventions.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { ProtocolCounters } from '@fuchsiahitch/protocol';

const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

export class GatewayMetrics implements ProtocolCounters {
  readonly registry = new Registry();
  readonly requests = this._counter('fuchsiahitch_forwarded_requests_total', 'Requests by outcome', [
    'outcome',
  ]);
  readonly attempts = this._counter('fuchsiahitch_attempts_total', 'Sends to endpoints by end', [
    'kind',
    'end',
  ]);
  readonly batches = this._counter('fuchsiahitch_batches_total', 'Batch calls by outcome', [
    'call',
    'outcome',
  ]);
  readonly takeovers = this._counter('fuchsiahitch_batch_takeovers_total', 'Batches taken over', []);
  readonly items = this._counter('fuchsiahitch_items_total', 'Results listed by state', ['state']);
  readonly storeCalls = this._counter('fuchsiahitch_store_calls_total', 'Calls to the store', [
    'call',
    'end',
  ]);
  readonly orders = this._counter('fuchsiahitch_orders_total', 'Weight orders by answer', ['answer']);
  readonly latency = this._histogram(
    'fuchsiahitch_request_duration_seconds',
    'Time from arrival of a forwarded request to its whole answer',
  );
  readonly acceptance = this._histogram(
    'fuchsiahitch_batch_acceptance_seconds',
    'Time from arrival of a batch to its acceptance',
  );
  readonly listing = this._histogram(
    'fuchsiahitch_batch_listing_seconds',
    'Time from acceptance of a batch to each listed result',
  );
  readonly storeLatency = this._histogram('fuchsiahitch_store_duration_seconds', 'Time of a store call');
  private readonly _peerRefusals = this._counter(
    'fuchsiahitch_peer_refusals_total',
    'Refusals on the inner protocol',
    ['reason'],
  );
  private readonly _peerBytes = this._counter(
    'fuchsiahitch_peer_bytes_total',
    'Bytes on the inner protocol',
    ['direction'],
  );

  refused(reason: string): void {
    this._peerRefusals.inc({ reason });
  }

  sent(sizeBytes: number): void {
    this._peerBytes.inc({ direction: 'sent' }, sizeBytes);
  }

  received(sizeBytes: number): void {
    this._peerBytes.inc({ direction: 'received' }, sizeBytes);
  }

  /** A gauge whose value is read when the metrics are. */
  gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  private _counter<T extends string>(name: string, help: string, labelNames: readonly T[]): Counter<T> {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
  }

  private _histogram(name: string, help: string): Histogram {
    return new Histogram({ name, help, buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry] });
  }
}
