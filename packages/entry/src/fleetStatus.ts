/**
 * Status of this host and of all reachable hosts, for operators.
 */
import { PROGRAM_VERSION } from '@fuchsiahitch/base';
import { calls, type HostStatus } from '@fuchsiahitch/protocol';
import { splitHolder } from '@fuchsiahitch/requests';
import type { BudgetedStore } from './budgetedStore.js';
import type { EndpointService } from './endpointService.js';
import type { HostContext } from './hostContext.js';
import type { KeyService } from './keyService.js';
import type { MembershipService } from './membershipService.js';
import type { OrdersService } from './ordersService.js';
import type { CallRegistry, PeerCaller } from './hostPorts.js';
import type { RequestService } from './requestService.js';
import type { RolloutService } from './rolloutService.js';
import type { RulesService } from './rulesService.js';
import type { StepService } from './stepService.js';

const STATUS_TIMEOUT_MS = 1500;

export interface StatusSources {
  readonly peers: PeerCaller;
  readonly membership: MembershipService;
  readonly rules: RulesService;
  readonly keys: KeyService;
  readonly steps: StepService;
  readonly requests: RequestService;
  readonly rollouts: RolloutService;
  readonly endpoints: EndpointService;
  readonly orders: OrdersService;
  readonly store: BudgetedStore;
}

/** A host on the membership list. `status` is undefined if the host did not answer. */
export interface HostStatusEntry {
  readonly hostId: string;
  readonly domain: string;
  readonly status: HostStatus | undefined;
}

export class FleetStatus {
  private readonly _context: HostContext;
  private readonly _sources: StatusSources;
  private _isDraining = false;

  constructor(context: HostContext, sources: StatusSources) {
    this._context = context;
    this._sources = sources;
  }

  register(server: CallRegistry): void {
    server.handle(calls.hostStatus, () => this.ownStatus());
  }

  /** Makes the host report not ready, so that the load balancer stops sending requests. */
  drain(): void {
    this._isDraining = true;
  }

  /** True once the rules are loaded and while the host is not draining. */
  isReady(): boolean {
    return this._sources.rules.hasRules() && !this._isDraining;
  }

  ownStatus(): HostStatus {
    const { rules, keys, steps, requests, rollouts, store } = this._sources;
    const { hostId, domain, incarnation } = this._context;
    const slots = keys.holder.map()?.slots ?? [];
    return {
      hostId,
      domain,
      incarnation,
      programVersion: PROGRAM_VERSION,
      rulesRevision: rules.revision(),
      slotMapRevision: keys.revision(),
      slotsOwned: slots.filter(slot => splitHolder(slot.owner).hostId === hostId).length,
      slotsSettled: keys.holder.settledSlots().size,
      keyRecords: keys.holder.recordCount(),
      stepsOwned: steps.ownedCount(),
      inFlight: requests.inFlight() + rollouts.running(),
      isStoreReachable: store.isReachable(),
      isReady: this.isReady(),
    };
  }

  /** Reads the status of all listed hosts, and the steps, endpoints and orders of this one. */
  async read(): Promise<unknown> {
    const { steps, endpoints, orders } = this._sources;
    return {
      hosts: await this._hosts(),
      steps: steps.owned().map(owner => ({ key: owner.key, ...owner.ledger.counts() })),
      endpoints: endpoints.all().map(endpoint => ({
        id: endpoint.id,
        pool: endpoint.pool,
        domain: endpoint.domain,
        isLeaving: endpoint.isLeaving,
        isUsable: endpoint.stats.isUsable(),
        version: endpoint.version,
        inFlight: endpoint.stats.inFlight(),
        limit: endpoint.limit.value(),
      })),
      orders: { isLeader: orders.isLeader(), pools: orders.status(), unfenced: orders.unfenced() },
    };
  }

  private async _hosts(): Promise<readonly HostStatusEntry[]> {
    const { membership, peers } = this._sources;
    const entries = this._context.domains.flatMap(domain => membership.liveHostsOf(domain));
    return Promise.all(
      entries.map(async ({ id, domain, peerAddress }): Promise<HostStatusEntry> => {
        if (id === this._context.hostId) return { hostId: id, domain, status: this.ownStatus() };
        const reply = await peers.call(peerAddress, calls.hostStatus, {}, STATUS_TIMEOUT_MS);
        return { hostId: id, domain, status: reply.ok ? reply.value : undefined };
      }),
    );
  }
}
