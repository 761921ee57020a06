/**
 * What every service of the gateway is given.
 */
import type { Clock, Random } from '@fuchsiahitch/base';
import type { Logger, Tracing } from '@fuchsiahitch/telemetry';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { EventLoopMonitor } from './eventLoopMonitor.js';

export interface GatewayContext {
  readonly hostId: string;
  readonly incarnation: string;
  readonly domain: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  readonly tracing: Tracing;
  readonly eventLoop: EventLoopMonitor;
  /** Aborted when the process ends; loops stop by it. */
  readonly stopped: AbortSignal;
}
