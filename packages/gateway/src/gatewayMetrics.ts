/**
 * Prometheus metrics of the gateway.
 */
import type { ConnectionEvent } from '@fuchsiahitch/clients';
import type { ProtocolCounters } from '@fuchsiahitch/protocol';
import { MetricsRegistry } from '@fuchsiahitch/telemetry';

const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

export class GatewayMetrics extends MetricsRegistry implements ProtocolCounters {
  readonly requests = this.counter('fuchsiahitch_forwarded_requests_total', 'Requests by outcome', [
    'outcome',
  ]);
  readonly attempts = this.counter('fuchsiahitch_attempts_total', 'Sends to endpoints by end', [
    'kind',
    'end',
  ]);
  readonly poison = this.counter(
    'fuchsiahitch_poison_total',
    'Ends of endpoints under requests, and what followed',
    ['event'],
  );
  /** Upper bound: since the last state of the store that the host knew before the change. */
  readonly endpointNews = this.histogram(
    'fuchsiahitch_endpoint_news_seconds',
    'Time until a host applied that an endpoint is leaving or gone, at most, by how it learned of it',
    LATENCY_BUCKETS_SECONDS,
    ['change', 'source'],
  );
  readonly withheldSends = this.counter(
    'fuchsiahitch_withheld_sends_total',
    'Sends that were decided and not written, by reason',
    ['kind', 'reason'],
  );
  readonly decisionAge = this.histogram(
    'fuchsiahitch_endpoint_decision_age_seconds',
    'Age of the view of the endpoints on which a send was decided',
    LATENCY_BUCKETS_SECONDS,
    ['kind'],
  );
  readonly batches = this.counter('fuchsiahitch_batches_total', 'Batch calls by outcome', [
    'call',
    'outcome',
  ]);
  readonly batchHomes = this.counter(
    'fuchsiahitch_batch_homes_total',
    'Submissions to pools with scarce connections, by the outcome of asking the home host',
    ['outcome'],
  );
  readonly takeovers = this.counter('fuchsiahitch_batch_takeovers_total', 'Batches taken over', []);
  readonly items = this.counter('fuchsiahitch_items_total', 'Results listed by state', ['state']);
  readonly itemMoves = this.counter(
    'fuchsiahitch_item_moves_total',
    'Moves of items with a reserved target, and where the items continued',
    ['event'],
  );
  readonly scores = this.counter('fuchsiahitch_scores_total', 'Requests for scores by outcome', ['outcome']);
  readonly scoring = this.histogram(
    'fuchsiahitch_score_duration_seconds',
    'Time from the request for a score to the score',
    LATENCY_BUCKETS_SECONDS,
    [],
  );
  readonly storeCalls = this.counter('fuchsiahitch_store_calls_total', 'Calls to the store', ['call', 'end']);
  /** Calls by gateway components, including those relayed by a peer. A paged listing counts once. */
  readonly componentStoreCalls = this.counter(
    'fuchsiahitch_store_caller_calls_total',
    'Calls to the store by caller',
    ['caller', 'call'],
  );
  readonly endpointConnections = this.counter(
    'fuchsiahitch_endpoint_connections_total',
    'Connections to endpoints opened, by reason, reused, and rejected for bytes that are no response',
    ['event', 'reason'],
  );
  readonly orders = this.counter('fuchsiahitch_orders_total', 'Weight orders by answer', ['answer']);
  readonly demandUpdates = this.counter(
    'fuchsiahitch_demand_updates_total',
    'Announcements of the work of models, by event',
    ['event'],
  );
  readonly duties = this.counter('fuchsiahitch_duty_calls_total', 'Calls that are a duty, by answer', [
    'duty',
    'answer',
  ]);
  readonly latency = this.histogram(
    'fuchsiahitch_request_duration_seconds',
    'Time from arrival of a forwarded request to its whole answer',
    LATENCY_BUCKETS_SECONDS,
    [],
  );
  readonly acceptance = this.histogram(
    'fuchsiahitch_batch_acceptance_seconds',
    'Time from arrival of a batch to its acceptance',
    LATENCY_BUCKETS_SECONDS,
    [],
  );
  readonly listing = this.histogram(
    'fuchsiahitch_batch_listing_seconds',
    'Time from acceptance of a batch to each listed result',
    LATENCY_BUCKETS_SECONDS,
    [],
  );
  readonly storeLatency = this.histogram(
    'fuchsiahitch_store_duration_seconds',
    'Time of a store call',
    LATENCY_BUCKETS_SECONDS,
    [],
  );

  countConnection(connection: ConnectionEvent): void {
    const reason = connection.event === 'opened' ? connection.reason : '';
    this.endpointConnections.inc({ event: connection.event, reason });
  }
}
