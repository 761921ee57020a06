/**
 * Base class for the Prometheus metrics of all programs.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

export class MetricsRegistry {
  readonly registry = new Registry();
  private readonly _peerRefusals = this.counter(
    'fuchsiahitch_peer_refusals_total',
    'Refusals on the inner protocol',
    ['reason'],
  );
  private readonly _peerBytes = this.counter('fuchsiahitch_peer_bytes_total', 'Bytes on the inner protocol', [
    'direction',
  ]);

  private readonly _clientRefusals = this.counter(
    'fuchsiahitch_client_refusals_total',
    'Requests and connections of clients that were refused or closed, by limit',
    ['limit'],
  );

  /** Counts a request or connection of a client that a limit refused or closed. */
  clientRefused(limit: string): void {
    this._clientRefusals.inc({ limit });
  }

  /** Counts a refusal on the peer protocol. */
  refused(reason: string): void {
    this._peerRefusals.inc({ reason });
  }

  sent(sizeBytes: number): void {
    this._peerBytes.inc({ direction: 'sent' }, sizeBytes);
  }

  received(sizeBytes: number): void {
    this._peerBytes.inc({ direction: 'received' }, sizeBytes);
  }

  /** Registers a gauge whose value is read on each scrape. */
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

  /** Registers a gauge whose values, one for each combination of labels, are read on each scrape. */
  labelledGauge<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[],
    read: () => readonly (readonly [Readonly<Record<T, string>>, number])[],
  ): void {
    new Gauge({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [labels, value] of read()) this.set(labels, value);
      },
    });
  }

  protected counter<T extends string>(name: string, help: string, labelNames: readonly T[]): Counter<T> {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
  }

  protected histogram<T extends string>(
    name: string,
    help: string,
    buckets: readonly number[],
    labelNames: readonly T[],
  ): Histogram<T> {
    const registers = [this.registry];
    return new Histogram({ name, help, buckets: [...buckets], labelNames: [...labelNames], registers });
  }
}
