/**
 * Metrics of the entry daemon, by Prometheus' naming conventions.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { ProtocolCounters } from '@fuchsiahitch/protocol';

const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

export class Metrics implements ProtocolCounters {
  readonly registry = new Registry();
  readonly requests = this._counter('fuchsiahitch_requests_total', 'Requests by outcome', [
    'kind',
    'outcome',
  ]);
  readonly attempts = this._counter('fuchsiahitch_attempts_total', 'Attempts at endpoints by end', [
    'pool',
    'end',
  ]);
  readonly retries = this._counter('fuchsiahitch_retries_total', 'Attempts after the first', ['pool']);
  readonly badInput = this._counter('fuchsiahitch_bad_input_total', 'Input that was refused', ['listener']);
  readonly samples = this._counter('fuchsiahitch_samples_total', 'Samples at this worker by end', ['end']);
  readonly tokens = this._counter('fuchsiahitch_tokens_total', 'Tokens generated', ['kind']);
  readonly storeCalls = this._counter('fuchsiahitch_store_calls_total', 'Calls to the key-value service', [
    'end',
  ]);
  readonly orders = this._counter('fuchsiahitch_orders_total', 'Weight orders by end', ['end']);
  readonly preempted = this._counter(
    'fuchsiahitch_rollouts_preempted_total',
    'Rollouts that yielded to customers',
    [],
  );
  readonly latency = new Histogram({
    name: 'fuchsiahitch_request_duration_seconds',
    help: 'Time from arrival to the whole answer',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });
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
}
