/**
 * Dependencies shared by all services of the entry daemon.
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
  /** Aborted at shutdown; stops all periodic loops. */
  readonly stopped: AbortSignal;
}
