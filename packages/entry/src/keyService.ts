/**
 * Manages idempotency keys: connects this host's key holder to its peers, maintains the slot map in the store, and
 * routes claims to the owners of keys.
 */
import { Deadline, digest, every, sleep } from '@fuchsiahitch/base';
import type { KeyValueStore } from '@fuchsiahitch/clients';
import { calls } from '@fuchsiahitch/protocol';
import {
  holderId,
  KeyClient,
  KeyHolder,
  planSlotMap,
  slotMapSchema,
  slotOf,
  splitHolder,
  type Accepted,
  type Claim,
  type ClaimReply,
  type CopyRecord,
  type FenceReply,
  type FenceSlot,
  type Finish,
  type HolderPeers,
  type KeyRoutes,
  type SlotMap,
  type SyncSlot,
} from '@fuchsiahitch/requests';
import type { HostContext } from './hostContext.js';
import type { MembershipService } from './membershipService.js';
import type { CallRegistry, PeerCaller } from './hostPorts.js';

const PLAN_PERIOD_MS = 1000;
/** Delay per rank in the list of live hosts, so that usually only one host writes a new map. */
const PLAN_STAGGER_MS = 2000;
const COPY_TIMEOUT_MS = 1000;
const SYNC_TIMEOUT_MS = 5000;
const STORE_TIMEOUT_MS = 2000;
const REFRESH_PAUSE_MS = 150;
const FINISH_TIMEOUT_MS = 2000;
const HANDOVER_POLL_MS = 100;

export class KeyService implements HolderPeers, KeyRoutes {
  readonly client: KeyClient;
  readonly holder: KeyHolder;
  private readonly _context: HostContext;
  private readonly _membership: MembershipService;
  private readonly _peers: PeerCaller;
  private readonly _store: KeyValueStore;
  private readonly _domainsDigest: string;
  private _planDueSinceMs: number | undefined;
  private _pendingPull: Promise<void> | undefined;

  constructor(context: HostContext, membership: MembershipService, peers: PeerCaller, store: KeyValueStore) {
    this._context = context;
    this._membership = membership;
    this._peers = peers;
    this._store = store;
    this._domainsDigest = digest([...context.domains].sort().join('\n'));
    const self = holderId(context.hostId, context.incarnation);
    this.holder = new KeyHolder({ self, domains: this._domainsDigest, clock: context.clock, peers: this });
    this.client = new KeyClient(context.domains, this._domainsDigest, this);
  }

  register(server: CallRegistry): void {
    server.handle(calls.claimKey, claim => this._onClaim(claim));
    server.handle(calls.finishKey, finish => this._onFinish(finish));
    server.handle(calls.copyRecord, message => this.holder.copyRecord(message));
    server.handle(calls.syncSlot, message => this.holder.syncSlot(message));
    server.handle(calls.fenceSlot, message => this.holder.fenceSlot(message));
    server.handle(calls.slotMapPull, () => {
      const map = this.holder.map();
      return map ? { map } : {};
    });
  }

  start(): void {
    every(this._context.clock, PLAN_PERIOD_MS, this._context.stopped, () => this._updateSlotMap());
  }

  revision(): number {
    return this.holder.map()?.revision ?? 0;
  }

  /** Fetches the slot map from a peer with a later revision. Concurrent calls share one fetch. */
  async pullFrom(address: string): Promise<void> {
    this._pendingPull ??= this._pull(address).finally(() => {
      this._pendingPull = undefined;
    });
    await this._pendingPull;
  }

  private async _pull(address: string): Promise<void> {
    const reply = await this._peers.call(address, calls.slotMapPull, {}, STORE_TIMEOUT_MS);
    if (reply.ok && reply.value.map) this.holder.updateMap(reply.value.map);
  }

  /** Waits until other hosts hold this host's key records. Returns false at the deadline or without live peers. */
  async handOver(deadline: Deadline): Promise<boolean> {
    while (!deadline.isOver()) {
      if (this.holder.hasHandedOver()) return true;
      // The last hosts of a domain have no peer to hand over to.
      if (this._membership.view.liveIds().length === 0) return false;
      await sleep(this._context.clock, HANDOVER_POLL_MS);
    }
    return false;
  }

  // HolderPeers

  async copyRecord(holder: string, message: CopyRecord): Promise<Accepted | undefined> {
    const reply = await this._peers.call(this._addressOf(holder), calls.copyRecord, message, COPY_TIMEOUT_MS);
    return reply.ok ? reply.value : undefined;
  }

  async syncSlot(holder: string, message: SyncSlot): Promise<Accepted | undefined> {
    const reply = await this._peers.call(this._addressOf(holder), calls.syncSlot, message, SYNC_TIMEOUT_MS);
    return reply.ok ? reply.value : undefined;
  }

  async fenceSlot(holder: string, message: FenceSlot): Promise<FenceReply | undefined> {
    const reply = await this._peers.call(this._addressOf(holder), calls.fenceSlot, message, SYNC_TIMEOUT_MS);
    return reply.ok ? reply.value : undefined;
  }

  isProvenTerminated(holder: string): boolean {
    if (this.holder.map()?.gone.includes(holder)) return true;
    const { hostId, incarnation } = splitHolder(holder);
    const currentIncarnation =
      hostId === this._context.hostId ? this._context.incarnation : this._incarnationOf(hostId);
    return currentIncarnation > incarnation;
  }

  // KeyRoutes

  async claim(domain: string, claim: Claim, deadline: Deadline): Promise<ClaimReply | undefined> {
    if (domain === this._context.domain) return this._claimInDomain(claim, deadline.remainingMs());
    const relayAddress = this._membership.randomAddressOf(domain);
    const reply = await this._peers.call(relayAddress, calls.claimKey, claim, deadline.remainingMs());
    return reply.ok ? reply.value : undefined;
  }

  async finish(domain: string, finish: Finish): Promise<boolean> {
    if (domain === this._context.domain) return this._finishInDomain(finish);
    const relayAddress = this._membership.randomAddressOf(domain);
    const reply = await this._peers.call(relayAddress, calls.finishKey, finish, FINISH_TIMEOUT_MS);
    return reply.ok && reply.value.accepted;
  }

  async refresh(deadline: Deadline): Promise<void> {
    await sleep(this._context.clock, Math.min(REFRESH_PAUSE_MS, deadline.remainingMs()));
  }

  private async _onClaim(claim: Claim): Promise<ClaimReply> {
    const answer = await this.holder.claim(claim);
    if (answer.kind !== 'wrong-owner' || claim.relayed) return answer;
    const relayedReply = await this._claimInDomain(
      { ...claim, relayed: true },
      claim.waitMs + COPY_TIMEOUT_MS,
    );
    // The claim may have been granted although no reply arrived, so it must not be reported as refused.
    return relayedReply ?? { kind: 'unknown', reason: 'key-unsettled' };
  }

  private async _claimInDomain(claim: Claim, timeoutMs: number): Promise<ClaimReply | undefined> {
    const owner = this._ownerOf(claim.key);
    if (owner === undefined) return { kind: 'unknown', reason: 'key-unsettled' };
    if (splitHolder(owner).hostId === this._context.hostId) return this.holder.claim(claim);
    const address = this._addressOf(owner);
    const reply = await this._peers.call(address, calls.claimKey, { ...claim, relayed: true }, timeoutMs);
    return reply.ok ? reply.value : undefined;
  }

  private async _onFinish(finish: Finish): Promise<Accepted> {
    const reply = await this.holder.finish(finish);
    if (reply.accepted || finish.relayed) return reply;
    return { accepted: await this._finishInDomain(finish) };
  }

  private async _finishInDomain(finish: Finish): Promise<boolean> {
    const owner = this._ownerOf(finish.key);
    if (owner === undefined) return false;
    if (splitHolder(owner).hostId === this._context.hostId)
      return (await this.holder.finish(finish)).accepted;
    const message = { ...finish, relayed: true };
    const reply = await this._peers.call(this._addressOf(owner), calls.finishKey, message, FINISH_TIMEOUT_MS);
    return reply.ok && reply.value.accepted;
  }

  private _ownerOf(key: string): string | undefined {
    return this.holder.map()?.slots[slotOf(key)]?.owner;
  }

  private _addressOf(holder: string): string {
    return this._membership.addressOf(splitHolder(holder).hostId);
  }

  private _incarnationOf(hostId: string): number {
    return this._membership.view.find(hostId)?.incarnation ?? 0;
  }

  /** Writes a new slot map after hosts joined or left. Of concurrent writers, the store accepts only the first. */
  private async _updateSlotMap(): Promise<void> {
    const { clock, hostId, domain } = this._context;
    if (!this._planFor(this.holder.map())) {
      this._planDueSinceMs = undefined;
      return;
    }
    this._planDueSinceMs ??= clock.nowMs();
    const rank = this._membership.view.liveIds().indexOf(hostId);
    if (rank < 0 || clock.nowMs() - this._planDueSinceMs < rank * PLAN_STAGGER_MS) return;
    const key = `slots/${domain}`;
    const stored = await this._store.get(key, Deadline.after(clock, STORE_TIMEOUT_MS));
    if (!stored.ok) return;
    if (stored.value) this.holder.updateMap(slotMapSchema.parse(JSON.parse(stored.value.value)));
    const plan = this._planFor(this.holder.map());
    if (!plan) return;
    const write = { kind: 'put', key, value: JSON.stringify(plan) } as const;
    const compare = { key, version: stored.value?.version ?? 0 };
    const written = await this._store.transact([compare], [write], Deadline.after(clock, STORE_TIMEOUT_MS));
    // If the answer is lost, the next round reads the map from the store.
    if (written.ok && written.value.succeeded) this._applyWrittenMap(plan);
  }

  private _applyWrittenMap(map: SlotMap): void {
    this.holder.updateMap(map);
    this._context.log.info('slot map written', { revision: map.revision });
  }

  private _planFor(current: SlotMap | undefined): SlotMap | undefined {
    const { domain } = this._context;
    const live = this._membership.view
      .liveIds()
      .map(id => this._holderOf(id))
      .filter(holder => holder !== undefined);
    return planSlotMap(current, {
      domain,
      domains: this._domainsDigest,
      live,
      settled: this.holder.settledSlots(),
    });
  }

  /** Returns the holder identifier of a host's current process, undefined while its incarnation is unknown. */
  private _holderOf(hostId: string): string | undefined {
    if (hostId === this._context.hostId) return holderId(hostId, this._context.incarnation);
    const incarnation = this._incarnationOf(hostId);
    return incarnation === 0 ? undefined : holderId(hostId, incarnation);
  }
}
