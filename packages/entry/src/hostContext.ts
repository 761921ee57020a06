/**
 * What every service of the entry daemon is given.
 */
import type { Clock, Random } from '@fuchsiahitch/base';
import type { EntrySettings } from './entrySettings.js';
import type { Logger, Tracing } from '@fuchsiahitch/telemetry';
import type { Metrics } from './metrics.js';

export interface HostContext {
  readonly settings: EntrySettings;
  readonly hostId: string;
  readonly domain: string;
  readonly domains: readonly string[];
  readonly incarnation: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  /** Aborted when the process ends; loops stop by it. */
  readonly stopped: AbortSignal;
}
