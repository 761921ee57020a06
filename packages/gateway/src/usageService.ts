/**
 * Usage metering of one host: counting, sending to the reporter, and reporting if this host holds that duty.
 */
import { UsageMeter, type MeteredRequest } from '@fuchsiahitch/metering';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import type { StoreComponent } from './countedStore.js';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, HostDirectory } from './hostDirectory.js';
import type { PlatformDuties } from './ports.js';
import {
  LAST_USAGE_KEY,
  USAGE_KEY,
  UsageReporter,
  type UsagePorts,
  type UsageReporterOptions,
} from './usageReporter.js';
import { UsageSender, usageUpdateCall } from './usageSender.js';

export interface UsageServiceOptions extends UsageReporterOptions {
  readonly duties: PlatformDuties;
}

export class UsageService {
  private readonly _reporter: UsageReporter;
  private readonly _sender: UsageSender;

  /** `storeOf`: returns the store with its calls counted under the caller's name. */
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
    this._reporter = new UsageReporter(context, ports, options);
    const meter = new UsageMeter({ windowMs: options.windowMs, keepMs: options.dueMs });
    this._sender = new UsageSender(context, meter, hosts, USAGE_KEY, update =>
      this._reporter.receive(update),
    );
  }

  serve(server: CallRegistry): void {
    server.handle(usageUpdateCall, update => this._reporter.receive(update));
  }

  start(): void {
    this._reporter.start();
    this._sender.start();
  }

  async stop(): Promise<void> {
    await this._reporter.stop();
  }

  /** Meters a request that is sent to an endpoint. */
  sent(accountName: string): MeteredRequest {
    return this._sender.sent(accountName);
  }
}
