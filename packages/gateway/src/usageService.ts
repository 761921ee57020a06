/**
 * Usage at one host: what it counts, tells, and reports where that is its duty.
 */
import { UsageMeter, type MeteredSend } from '@fuchsiahitch/metering';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import type { StoreComponent } from './countedStore.js';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, HostDirectory } from './hostDirectory.js';
import type { PlatformDuties } from './ports.js';
import {
  LAST_USAGE_KEY,
  USAGE_KEY,
  UsageReports,
  type UsagePorts,
  type UsageReportsOptions,
} from './usageReports.js';
import { UsageTeller, usageToldCall } from './usageTeller.js';

export interface UsageServiceOptions extends UsageReportsOptions {
  readonly duties: PlatformDuties;
}

export class UsageService {
  private readonly _reports: UsageReports;
  private readonly _teller: UsageTeller;

  /** `storeOf`: the store, with its calls counted under a name. */
  constructor(
    context: GatewayContext,
    storeOf: (caller: StoreComponent) => RevisionedStore,
    hosts: HostDirectory,
    options: UsageServiceOptions,
  ) {
    const ports: UsagePorts = {
      store: storeOf('usage'),
      leaseStore: storeOf('usage-lease'),
      hosts,
      duties: options.duties,
      lastHandover: () => hosts.handover(LAST_USAGE_KEY),
    };
    this._reports = new UsageReports(context, ports, options);
    const meter = new UsageMeter({ windowMs: options.windowMs, keepMs: options.dueMs });
    this._teller = new UsageTeller(context, meter, hosts, USAGE_KEY, told => this._reports.take(told));
  }

  serve(server: CallRegistry): void {
    server.handle(usageToldCall, told => this._reports.take(told));
  }

  start(): void {
    this._reports.start();
    this._teller.start();
  }

  async stop(): Promise<void> {
    await this._reports.stop();
  }

  /** A request of an account is sent to an endpoint. */
  sent(accountName: string): MeteredSend {
    return this._teller.sent(accountName);
  }
}
