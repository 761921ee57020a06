/**
 * Logs added and removed hosts, aggregating close changes into one line to keep the logs of large fleets short.
 */
import type { GatewayContext } from './gatewayContext.js';

/** Hosts of a failure domain are added and removed within a few hundred milliseconds of each other. */
const AGGREGATION_MS = 250;

export class HostChangeLog {
  private readonly _context: GatewayContext;
  private _added: string[] = [];
  private _removed: string[] = [];

  constructor(context: GatewayContext) {
    this._context = context;
  }

  /** `incarnation`: identifies the new process at the host. */
  added(hostId: string, incarnation: string): void {
    this._scheduleWrite();
    this._added.push(`${hostId}@${incarnation}`);
  }

  removed(hostId: string): void {
    this._scheduleWrite();
    this._removed.push(hostId);
  }

  private _scheduleWrite(): void {
    const isScheduled = this._added.length + this._removed.length > 0;
    if (!isScheduled) this._context.clock.after(AGGREGATION_MS, () => this._write());
  }

  private _write(): void {
    this._context.log.info('hosts', { new: this._added.join(' '), gone: this._removed.join(' ') });
    this._added = [];
    this._removed = [];
  }
}
