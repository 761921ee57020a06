/**
 * Prometheus metrics of the entry daemon.
 */
import type { ProtocolCounters } from '@fuchsiahitch/protocol';
import { MetricsRegistry } from '@fuchsiahitch/telemetry';

const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

export class Metrics extends MetricsRegistry implements ProtocolCounters {
  readonly requests = this.counter('fuchsiahitch_requests_total', 'Requests by outcome', ['kind', 'outcome']);
  readonly attempts = this.counter('fuchsiahitch_attempts_total', 'Attempts at endpoints by end', [
    'pool',
    'end',
  ]);
  readonly retries = this.counter('fuchsiahitch_retries_total', 'Attempts after the first', ['pool']);
  readonly badInput = this.counter('fuchsiahitch_bad_input_total', 'Input that was refused', ['listener']);
  readonly samples = this.counter('fuchsiahitch_samples_total', 'Samples at this worker by end', ['end']);
  readonly tokens = this.counter('fuchsiahitch_tokens_total', 'Tokens generated', ['kind']);
  readonly storeCalls = this.counter('fuchsiahitch_store_calls_total', 'Calls to the key-value service', [
    'end',
  ]);
  readonly orders = this.counter('fuchsiahitch_orders_total', 'Weight orders by end', ['end']);
  readonly preempted = this.counter(
    'fuchsiahitch_rollouts_preempted_total',
    'Rollouts that yielded to customers',
    [],
  );
  readonly latency = this.histogram(
    'fuchsiahitch_request_duration_seconds',
    'Time from arrival to the whole answer',
    LATENCY_BUCKETS_SECONDS,
    ['kind'],
  );
}
