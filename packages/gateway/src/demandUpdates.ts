/**
 * Announces the work of each step of a batch's model to other hosts, so that all hosts compute the shares of a pool's
 * endpoints from the same work.
 */
import {
  ModelDemand,
  type Batch,
  type BatchLedger,
  type ModelDemandUpdate,
  type PoolDemand,
} from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import { batchRoute, poolsOf } from './batchRoute.js';
import type { ConfigurationService } from './configurationService.js';
import { hasScarceConnections } from './connectionBudget.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';

/** A lost announcement is made up for by the batch's next one or by the next step. */
const PEER_TIMEOUT_MS = 500;
/**
 * A host that has just started receives the demand of all models within this time: two steps of each trainer. Until
 * then it changes no endpoint's model; a restarted holder of weight orders would otherwise return to equal shares.
 */
const STARTUP_MS = 10_000;

export interface DemandPorts {
  readonly configuration: ConfigurationService;
  readonly endpoints: EndpointDirectory;
  readonly hosts: Pick<Hosts, 'peers' | 'call'>;
}

/** Read access to the demand that this host knows. */
export interface DemandView {
  /** Undefined without demand of every model of the pool that has a named version. */
  ofPool(pool: string): PoolDemand | undefined;
  /** True while this host, after its start, is missing demand that other hosts may have. */
  isAwaited(pool: string): boolean;
}

export class DemandUpdates implements DemandView {
  private readonly _context: GatewayContext;
  private readonly _ports: DemandPorts;
  private readonly _demand: ModelDemand;
  private readonly _startedMs: number;
  /** Ledgers of the batches whose events were all generated for this host. */
  private readonly _firstOwned = new WeakSet<BatchLedger>();

  constructor(context: GatewayContext, ports: DemandPorts) {
    this._context = context;
    this._ports = ports;
    this._demand = new ModelDemand(context.clock);
    this._startedMs = context.clock.nowMs();
  }

  serve(server: CallRegistry): void {
    server.handle(calls.modelDemand, update => this._receive(update));
  }

  ofPool(pool: string): PoolDemand | undefined {
    const { configuration } = this._ports;
    const models = configuration.models().get(pool) ?? [];
    return this._demand.ofPool(pool, models, model => configuration.hasNamedVersion(model));
  }

  isAwaited(pool: string): boolean {
    const isStarting = this._context.clock.nowMs() - this._startedMs < STARTUP_MS;
    return isStarting && hasScarceConnections(pool, this._ports) && this.ofPool(pool) === undefined;
  }

  /** Announces the step. `takeovers`: how many hosts have owned the batch before. */
  batchStarted(ledger: BatchLedger, takeovers: number): void {
    if (takeovers === 0) this._firstOwned.add(ledger);
    this._announce(ledger.batch, undefined);
  }

  /**
   * Announces the events of an ended batch, once. After a takeover the events of the previous owner are unknown; the
   * model's work then follows from its other steps.
   */
  batchEnded(ledger: BatchLedger): void {
    if (this._firstOwned.delete(ledger)) this._announce(ledger.batch, ledger.generatedEvents());
  }

  private _announce(batch: Batch, events: number | undefined): void {
    const { id: batchId, model, items } = batch;
    const expectedTokens = items.reduce((sum, item) => sum + item.expectedTokens, 0);
    for (const pool of this._poolsOf(batch)) {
      const step = { pool, model, batchId, items: items.length, expectedTokens };
      const update = events === undefined ? step : { ...step, events };
      this._demand.record(update);
      this._context.metrics.demandUpdates.inc({ event: 'sent' });
      this._context.log.info('model demand', { ...update, peers: this._ports.hosts.peers().length });
      for (const { address } of this._ports.hosts.peers()) void this._send(address, update);
    }
  }

  private async _send(address: string, update: ModelDemandUpdate): Promise<void> {
    const reply = await this._ports.hosts.call(address, calls.modelDemand, update, PEER_TIMEOUT_MS);
    if (!reply.ok) this._context.metrics.demandUpdates.inc({ event: 'undelivered' });
  }

  /** The pools with scarce connections that the batch's model shares with others. */
  private _poolsOf(batch: Batch): readonly string[] {
    const { configuration } = this._ports;
    const route = batchRoute(configuration, batch);
    return (route ? poolsOf(route) : [])
      .filter(pool => configuration.models().get(pool)?.includes(batch.model))
      .filter(pool => hasScarceConnections(pool, this._ports));
  }

  private _receive(update: ModelDemandUpdate): Readonly<Record<string, never>> {
    this._context.metrics.demandUpdates.inc({ event: 'received' });
    this._demand.record(update);
    return {};
  }
}
