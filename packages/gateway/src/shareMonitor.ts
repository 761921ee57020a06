/**
 * Logs changes of the shares that the models have of each pool's endpoints, and reports them as metrics.
 */
import { every } from '@fuchsiahitch/base';
import type { GatewayContext } from './gatewayContext.js';
import { modelShares, type SharePorts } from './modelShares.js';

/** Bounds the log while endpoints come and go. */
const CHECK_INTERVAL_MS = 1000;

export class ShareMonitor {
  private readonly _context: GatewayContext;
  private readonly _ports: SharePorts;
  /** Number of endpoints by pool and model at the last check. */
  private _counts = new Map<string, number>();

  constructor(context: GatewayContext, ports: SharePorts) {
    this._context = context;
    this._ports = ports;
    const help = 'Endpoints assigned to a model of a pool';
    context.metrics.labelledGauge('fuchsiahitch_model_endpoints', help, ['pool', 'model'], () =>
      this._endpointCounts(),
    );
  }

  start(): void {
    every(this._context.clock, CHECK_INTERVAL_MS, this._context.stopped, () => this._check());
  }

  private _endpointCounts(): readonly (readonly [Readonly<Record<'pool' | 'model', string>>, number])[] {
    return this._sharedPools().flatMap(pool =>
      [...modelShares(pool, this._ports).shares].map(
        ([model, share]) => [{ pool, model }, share.length] as const,
      ),
    );
  }

  private _check(): void {
    const counts = new Map<string, number>();
    for (const pool of this._sharedPools()) {
      const { shares, demand } = modelShares(pool, this._ports);
      for (const [model, { length: count }] of shares) {
        const key = `${pool}\n${model}`;
        counts.set(key, count);
        if (this._counts.get(key) === count) continue;
        const recent = demand?.models.get(model);
        this._context.log.info('model share', {
          pool,
          model,
          count,
          before: this._counts.get(key),
          work: recent && Math.round(recent.work),
          unit: demand?.unit,
          demandAgeMs: recent && Math.round(recent.ageMs),
        });
      }
    }
    this._counts = counts;
  }

  /** The pools with several models. */
  private _sharedPools(): readonly string[] {
    const pools = [...this._ports.configuration.models()];
    return pools.filter(([, models]) => models.length > 1).map(([pool]) => pool);
  }
}
