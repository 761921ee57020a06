/**
 * Stand-in for the part of the platform that runs a pool's endpoints: executes capacity orders of a `GatewayFleet`,
 * reclaims endpoints, and writes their records to the store.
 */
import type { CapacityOrder, EndpointInfo } from '@fuchsiahitch/gateway';
import { endpointRecord, keys, route } from './gatewayFixtures.js';
import type { GatewayFleet } from './gatewayFleet.js';

/** Numbers of regular and reclaimable endpoints by failure domain. */
export type KindCounts = Readonly<Record<string, readonly [regular: number, reclaimable: number]>>;

export const BOOT_MS = 4000;
const DRAIN_MS = 1000;

interface RunningEndpoint extends Pick<EndpointInfo, 'id' | 'address' | 'domain'> {
  readonly isReclaimable: boolean;
  isLeaving: boolean;
}

export class CapacityPlatform {
  /** Number of regular endpoints that the platform keeps in each domain. */
  readonly targets = new Map<string, number>();
  /** Orders that set a lower number than the one before. */
  readonly reductions: CapacityOrder[] = [];
  private readonly _fleet: GatewayFleet;
  private readonly _endpoints = new Map<string, RunningEndpoint>();
  private readonly _booting = new Map<string, number>();
  private _lastNumber = 0;

  constructor(fleet: GatewayFleet, counts: KindCounts, prices: Readonly<Record<string, number>>, max = 22) {
    this._fleet = fleet;
    const scaling = { min: 1, max, bootMs: BOOT_MS, prices };
    const configuration = { revision: 1, route: route(), models: ['m'], scaling };
    fleet.store.put(keys.configurationKey, JSON.stringify(configuration));
    for (const [domain, [regular, reclaimable]] of Object.entries(counts)) {
      this.targets.set(domain, regular);
      for (let i = 0; i < regular; i++) this._add(domain, false);
      this.addReclaimable(domain, reclaimable);
    }
    fleet.duties.onOrder = order => this.execute(order);
  }

  /** Number of endpoints that serve and are not leaving. */
  serving(domain?: string): number {
    const present = [...this._endpoints.values()].filter(endpoint => !endpoint.isLeaving);
    return present.filter(endpoint => domain === undefined || endpoint.domain === domain).length;
  }

  addReclaimable(domain: string, count: number): void {
    for (let i = 0; i < count; i++) this._add(domain, true);
  }

  reclaim(domain: string, count: number, noticeMs: number): void {
    this._leave(this._matching(domain, true).slice(0, count), noticeMs);
  }

  /** Removes the records of endpoints without notice. */
  crash(domain: string, count: number): void {
    for (const endpoint of this._matching(domain, false).slice(0, count)) this._remove(endpoint);
  }

  /** Starts endpoints for those that crashed. */
  restore(domain: string): void {
    this._boot(domain, 0);
  }

  execute(order: CapacityOrder): void {
    const { domain, count } = order;
    if (count < (this.targets.get(domain) ?? 0)) this.reductions.push(order);
    this.targets.set(domain, count);
    const running = this._matching(domain, false);
    // The newest endpoints leave first.
    this._leave(running.slice(count), DRAIN_MS);
    this._boot(domain, BOOT_MS);
  }

  /** Starts as many endpoints as are missing from the domain's target. */
  private _boot(domain: string, bootMs: number): void {
    const coming = this._matching(domain, false).length + (this._booting.get(domain) ?? 0);
    const missing = (this.targets.get(domain) ?? 0) - coming;
    for (let i = 0; i < missing; i++) {
      this._booting.set(domain, (this._booting.get(domain) ?? 0) + 1);
      this._fleet.clock.after(bootMs, () => {
        this._booting.set(domain, (this._booting.get(domain) ?? 0) - 1);
        if (this._matching(domain, false).length < (this.targets.get(domain) ?? 0)) this._add(domain, false);
      });
    }
  }

  private _matching(domain: string, isReclaimable: boolean): readonly RunningEndpoint[] {
    return [...this._endpoints.values()].filter(
      endpoint =>
        endpoint.domain === domain && endpoint.isReclaimable === isReclaimable && !endpoint.isLeaving,
    );
  }

  private _add(domain: string, isReclaimable: boolean): void {
    const number = (this._lastNumber += 1);
    const endpoint = {
      id: `p${number}`,
      address: `10.1.${Math.floor(number / 200)}.1:${number}`,
      domain,
      isReclaimable,
      isLeaving: false,
    };
    this._endpoints.set(endpoint.id, endpoint);
    this._write(endpoint);
  }

  private _leave(endpoints: readonly RunningEndpoint[], noticeMs: number): void {
    for (const endpoint of endpoints) {
      endpoint.isLeaving = true;
      this._write(endpoint);
      this._fleet.clock.after(noticeMs, () => this._remove(endpoint));
    }
  }

  private _remove({ id }: RunningEndpoint): void {
    this._endpoints.delete(id);
    this._fleet.store.remove(`${keys.endpointPrefix}${id}`);
  }

  private _write(endpoint: RunningEndpoint): void {
    const { id, ...record } = endpoint;
    this._fleet.store.put(`${keys.endpointPrefix}${id}`, endpointRecord({ ...record, slots: 8 }));
  }
}
