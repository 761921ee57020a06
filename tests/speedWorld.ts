/**
 * Hosts whose endpoints differ in speed, report it with each answer, and refuse items beyond their slots.
 */
import { sleep } from '@fuchsiahitch/base';
import type { Endpoint, EndpointLoad, ItemCall, ItemEnd, ItemProgressListener } from '@fuchsiahitch/gateway';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { endpointRecord, keys, type LogLine } from './gatewayFixtures.js';

export interface SpeedyEndpoint {
  readonly eventMs: number;
  readonly slots: number;
  /** The duration of work in percent that `Server-Load` reports; absent if it is not reported. */
  readonly percent?: number | undefined;
}

export interface ItemStart {
  readonly itemId: string;
  readonly endpointId: string;
  readonly afterEvent: number;
  readonly atMs: number;
}

export class SpeedWorld extends GatewayWorld {
  readonly starts: ItemStart[] = [];
  /** The total number of events of an item. */
  lengthOf: (itemId: string) => number = () => 200;
  /** Time from the abort of an attempt to its end. */
  closeMs = 0;
  /** Time from sending an item to the answer's head. */
  startMs = 0;
  refusals = 0;
  /** When each item's last event was received. */
  readonly completedMs = new Map<string, number>();
  private readonly _endpoints = new Map<string, SpeedyEndpoint>();
  private readonly _running = new Map<string, number>();

  constructor() {
    super();
    for (const id of ['e1', 'e2']) this.store.remove(`${keys.endpointPrefix}${id}`);
    const run = this.client.runItem.bind(this.client);
    this.client.script = ({ endpoint, itemId, afterEvent }) => ({
      events: Math.max(0, this.lengthOf(itemId) - afterEvent),
      end: { kind: 'done' },
      eventMs: this._endpoints.get(endpoint.id)?.eventMs ?? 1,
    });
    this.client.runItem = (call, listener, signal) => this._run(run, call, listener, signal);
  }

  addEndpoint(id: string, endpoint: SpeedyEndpoint): void {
    this._endpoints.set(id, endpoint);
    this.writeRecord(id);
  }

  writeRecord(id: string, overrides: Parameters<typeof endpointRecord>[0] = {}): void {
    const slots = this._endpoints.get(id)?.slots ?? 0;
    this.store.put(
      `${keys.endpointPrefix}${id}`,
      endpointRecord({ address: `10.0.0.1:${id}`, slots, ...overrides }),
    );
  }

  removeEndpoint(id: string): void {
    this.store.remove(`${keys.endpointPrefix}${id}`);
  }

  /** The endpoints at which the item has started, in order. */
  pathOf(itemId: string): readonly string[] {
    return this.starts.filter(start => start.itemId === itemId).map(({ endpointId }) => endpointId);
  }

  private async _run(
    run: GatewayWorld['client']['runItem'],
    call: ItemCall,
    listener: ItemProgressListener,
    signal: AbortSignal,
  ): Promise<ItemEnd> {
    const { itemId, afterEvent } = call;
    const { id } = call.endpoint;
    const endpoint = this._endpoints.get(id);
    const running = this._running.get(id) ?? 0;
    this.starts.push({ itemId, endpointId: id, afterEvent, atMs: this.clock.nowMs() });
    if (!endpoint || running >= endpoint.slots) {
      this.refusals += 1;
      return { kind: 'not-run', reason: 'refused', load: this._loadOf(id) };
    }
    this._running.set(id, running + 1);
    await sleep(this.clock, this.startMs, signal);
    const reporting: ItemProgressListener = {
      began: version => listener.began(version, this._loadOf(id)),
      event: event => listener.event(event),
    };
    const end = await run(call, reporting, signal);
    this._running.set(id, (this._running.get(id) ?? 1) - 1);
    if (end.kind === 'done') this.completedMs.set(itemId, this.clock.nowMs());
    if (end.kind === 'cancelled') await sleep(this.clock, this.closeMs);
    return end;
  }

  private _loadOf(id: string): EndpointLoad {
    return {
      running: this._running.get(id) ?? 0,
      waiting: 0,
      workPercent: this._endpoints.get(id)?.percent,
    };
  }
}

export function endpointOf(host: GatewayHost, id: string): Endpoint {
  const endpoint = host.endpoints.get(id);
  if (!endpoint) throw new Error(`no endpoint ${id}`);
  return endpoint;
}

export function linesOf(host: GatewayHost, text: string): readonly LogLine['details'][] {
  return host.context.log.lines.filter(line => line.text === text).map(({ details }) => details);
}
