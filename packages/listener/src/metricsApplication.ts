/**
 * Serves the metrics of a process in Prometheus' text format. Loaded on demand, because it imports Nest and fastify.
 */
import { Controller, Get, Header, HttpCode, Inject } from '@nestjs/common';
import type { Registry } from 'prom-client';
import { applicationHandler, type RequestHandler } from './listener.js';

const METRICS_REGISTRY = Symbol('metrics registry');

@Controller()
class MetricsController {
  private readonly _registry: Registry;

  constructor(@Inject(METRICS_REGISTRY) registry: unknown) {
    this._registry = registry as Registry;
  }

  @Get('/metrics')
  @HttpCode(200)
  @Header('Content-Type', 'text/plain; version=0.0.4')
  async metrics(): Promise<string> {
    return this._registry.metrics();
  }
}

export async function metricsApplication(registry: Registry): Promise<RequestHandler> {
  const providers = [{ provide: METRICS_REGISTRY, useValue: registry }];
  return applicationHandler({ controller: MetricsController, providers });
}
