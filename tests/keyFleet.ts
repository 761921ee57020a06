/**
 * Simulates the hosts of one failure domain that own idempotency keys, on a virtual clock. Counts the runs of each key.
 */
import { Deadline, SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import {
  holderId,
  KeyClient,
  KeyHolder,
  planSlotMap,
  slotOf,
  splitHolder,
  type Claim,
  type ClaimReply,
  type ClaimResult,
  type Finish,
  type HolderPeers,
  type KeyRoutes,
  type SlotMap,
} from '@fuchsiahitch/requests';
import { SimNet, SimProcess } from '@fuchsiahitch/testkit';

const DOMAIN = 'tekapo';
const DIGEST = 'list';
const CALL_TIMEOUT_MS = 200;
const CLAIM_TIMEOUT_MS = 2000;
const MAP_POLL_MS = 100;

/** Stores the slot map, like the platform's key-value service. */
class MapStore {
  map: SlotMap | undefined;
  isDown = false;

  compareAndSwap(revision: number, next: SlotMap): boolean {
    if ((this.map?.revision ?? 0) !== revision) return false;
    this.map = next;
    return true;
  }
}

class KeyHost implements HolderPeers, KeyRoutes {
  readonly id: string;
  readonly incarnation: number;
  readonly process: SimProcess;
  readonly holder: KeyHolder;
  readonly client: KeyClient;
  /** True while this host cannot reach the store. */
  isCutOff = false;
  private readonly _fleet: KeyFleet;

  constructor(fleet: KeyFleet, id: string, incarnation: number) {
    this._fleet = fleet;
    this.id = id;
    this.incarnation = incarnation;
    this.process = new SimProcess(id, fleet.clock);
    this.holder = new KeyHolder({ self: this.holderId, domains: DIGEST, clock: this.process, peers: this });
    this.client = new KeyClient([DOMAIN], DIGEST, this);
    this._pollMap();
  }

  get holderId(): string {
    return holderId(this.id, this.incarnation);
  }

  async copyRecord(
    holder: string,
    message: Parameters<HolderPeers['copyRecord']>[1],
  ): ReturnType<HolderPeers['copyRecord']> {
    return this._call(holder, host => host.holder.copyRecord(message));
  }

  async syncSlot(
    holder: string,
    message: Parameters<HolderPeers['syncSlot']>[1],
  ): ReturnType<HolderPeers['syncSlot']> {
    return this._call(holder, host => host.holder.syncSlot(message));
  }

  async fenceSlot(
    holder: string,
    message: Parameters<HolderPeers['fenceSlot']>[1],
  ): ReturnType<HolderPeers['fenceSlot']> {
    return this._call(holder, host => host.holder.fenceSlot(message));
  }

  isProvenTerminated(holder: string): boolean {
    const { hostId, incarnation } = splitHolder(holder);
    const isTerminated = (this._fleet.hosts.get(hostId)?.incarnation ?? 0) > incarnation;
    // A restart becomes known only after a random delay.
    return isTerminated && this._fleet.random.below(2) === 0;
  }

  async claim(_domain: string, claim: Claim, deadline: Deadline): Promise<ClaimReply | undefined> {
    const owner = this.holder.map()?.slots[slotOf(claim.key)]?.owner;
    if (owner === undefined) return { kind: 'unknown', reason: 'key-unsettled' };
    return this._call(owner, host => host.holder.claim(claim), deadline.remainingMs());
  }

  async finish(_domain: string, finish: Finish): Promise<boolean> {
    const owner = this.holder.map()?.slots[slotOf(finish.key)]?.owner;
    const reply = owner && (await this._call(owner, host => host.holder.finish(finish)));
    return reply ? reply.accepted : false;
  }

  async refresh(): Promise<void> {
    await new Promise<void>(resolve => this.process.after(MAP_POLL_MS, resolve));
  }

  private async _call<T>(
    holder: string,
    handler: (host: KeyHost) => T | Promise<T>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<T | undefined> {
    const target = this._fleet.hosts.get(splitHolder(holder).hostId);
    if (!target) return undefined;
    return this._fleet.net.call(this.process, target.process, timeoutMs, () => handler(target));
  }

  private _pollMap(): void {
    this.process.after(MAP_POLL_MS, () => {
      const { map, isDown } = this._fleet.store;
      if (map && !isDown && !this.isCutOff) this.holder.updateMap(map);
      this._pollMap();
    });
  }
}

/** The result of one arrival of a key, and the number of runs of the key before it. */
export interface ArrivalResult {
  readonly key: string;
  readonly result: ClaimResult['kind'] | 'not-run';
  readonly runsBefore: number;
}

export class KeyFleet {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly net: SimNet;
  readonly store = new MapStore();
  readonly hosts = new Map<string, KeyHost>();
  readonly runs = new Map<string, number>();
  readonly told: ArrivalResult[] = [];
  private _nextIncarnation = 1;

  constructor(seed: number, ids: readonly string[]) {
    this.random = new SeededRandom(seed);
    this.net = new SimNet(this.clock, this.random, { maxDelayMs: 10, lossRate: 0 });
    for (const id of ids) this.start(id);
  }

  /** Starts a host or restarts it as a new process. */
  start(id: string): KeyHost {
    this.hosts.get(id)?.process.kill();
    const host = new KeyHost(this, id, this._nextIncarnation++);
    this.hosts.set(id, host);
    return host;
  }

  host(id: string): KeyHost {
    const host = this.hosts.get(id);
    if (!host) throw new Error(`no host ${id}`);
    return host;
  }

  /** Makes a host plan with the given list of live hosts, which may be wrong. */
  plan(planner: string, live: readonly string[]): void {
    if (this.store.isDown) return;
    const host = this.host(planner);
    if (host.isCutOff || host.process.isPaused) return;
    if (this.store.map) host.holder.updateMap(this.store.map);
    const current = host.holder.map();
    const plan = planSlotMap(current, {
      domain: DOMAIN,
      domains: DIGEST,
      live: live.map(id => this.host(id).holderId).sort(),
      settled: host.holder.settledSlots(),
    });
    if (plan && this.store.compareAndSwap(current?.revision ?? 0, plan)) host.holder.updateMap(plan);
  }

  /** Lets the hosts exchange their records after a change of the map. */
  async settle(): Promise<void> {
    await this.clock.advance(5000);
  }

  /** Sends a key to a host. If granted, it runs after `runDelayMs`, unless the host was killed before. */
  arrive(at: string, key: string, runDelayMs = 1, answers = true): void {
    const host = this.host(at);
    const attemptId = this.random.id();
    const deadline = Deadline.after(host.process, CLAIM_TIMEOUT_MS);
    host.process.run(() => {
      void host.client.claim(key, 'same', attemptId, deadline).then(result => {
        this.told.push({ key, result: result.kind, runsBefore: this.runs.get(key) ?? 0 });
        if (result.kind === 'granted')
          host.process.after(runDelayMs, () => this._run(host, key, attemptId, answers));
      });
    });
  }

  /** Sends a key whose granted attempt provably does not run: it is reported as `not-run` and released. */
  arriveReleased(at: string, key: string): void {
    const host = this.host(at);
    const attemptId = this.random.id();
    const deadline = Deadline.after(host.process, CLAIM_TIMEOUT_MS);
    host.process.run(() => {
      void host.client.claim(key, 'same', attemptId, deadline).then(async result => {
        if (result.kind !== 'granted') return;
        this.told.push({ key, result: 'not-run', runsBefore: this.runs.get(key) ?? 0 });
        await host.client.finish(
          { key, attemptId, end: 'released' },
          Deadline.after(host.process, CLAIM_TIMEOUT_MS),
        );
      });
    });
  }

  /** Returns the last result reported for a key. */
  lastResult(key: string): string | undefined {
    return this.told.filter(arrival => arrival.key === key).at(-1)?.result;
  }

  private _run(host: KeyHost, key: string, attemptId: string, answers: boolean): void {
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    const answer = { status: 200, contentType: 'text/plain', body: key };
    const finish = { key, attemptId, end: 'finished', ...(answers ? { answer } : {}) } as const;
    void host.client.finish(finish, Deadline.after(host.process, CLAIM_TIMEOUT_MS));
  }
}
