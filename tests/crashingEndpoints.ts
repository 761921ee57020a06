/**
 * Endpoints that crash while running poison requests, and restart under another identifier at the same address.
 */
import type { VirtualClock } from '@fuchsiahitch/base';
import type {
  EndpointCall,
  EndpointInfo,
  EndpointReply,
  ItemCall,
  ItemEnd,
  ItemProgressListener,
} from '@fuchsiahitch/gateway';
import type { FakeStore } from './fakeStore.js';
import { answer, endpointRecord, keys, type ScriptedClient } from './gatewayFixtures.js';

export interface ReceivedRequest {
  readonly atMs: number;
  readonly target: string;
  readonly endpointId: string;
}

interface LiveEndpoint {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  /** Callbacks that break the running requests. */
  readonly running: Set<() => void>;
}

const CRASH_AFTER_MS = 60;
const ANSWER_AFTER_MS = 30;
const RESTART_AFTER_MS = 1900;
const RECORD_EXPIRY_MS = 3000;
const CONNECTION_REFUSED_MS = 1;
const EVENTS_PER_ITEM = 10;

export interface CrashingEndpointsEnvironment {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly client: ScriptedClient;
}

export class CrashingEndpoints {
  readonly received: ReceivedRequest[] = [];
  readonly crashes: ReceivedRequest[] = [];
  /** Selects the calls that crash their endpoint. */
  isPoison: (call: { readonly target: string; readonly body: Buffer | undefined }) => boolean = () => false;
  private readonly _environment: CrashingEndpointsEnvironment;
  private readonly _byAddress = new Map<string, LiveEndpoint>();
  private _starts = 0;

  constructor(environment: CrashingEndpointsEnvironment) {
    this._environment = environment;
    const { client } = environment;
    client.reply = (call, signal) => this._send(call, signal);
    client.ended = info => this._liveInstance(info) === undefined;
    client.runItem = (call, listener, signal) => this._runItem(call, listener, signal);
  }

  /** Starts an endpoint of a pool at a new address. */
  add(pool: string): void {
    this._start(`10.1.0.${this._byAddress.size + 1}:1`, pool);
  }

  receivedFor(target: string): readonly ReceivedRequest[] {
    return this.received.filter(request => request.target === target);
  }

  /** Crashes all endpoints of a pool, independently of requests. */
  crashAll(pool: string): void {
    for (const endpoint of [...this._byAddress.values()])
      if (endpoint.pool === pool) this._crash(endpoint, '');
  }

  /** Crashes the endpoint of a pool that runs the most requests, independently of them. */
  crashBusiest(pool: string): void {
    const ofPool = [...this._byAddress.values()].filter(endpoint => endpoint.pool === pool);
    const [busiest] = ofPool.sort((a, b) => b.running.size - a.running.size);
    if (busiest) this._crash(busiest, '');
  }

  liveCount(pool: string): number {
    return [...this._byAddress.values()].filter(endpoint => endpoint.pool === pool).length;
  }

  private _start(address: string, pool: string): void {
    this._starts += 1;
    const id = `e${this._starts}`;
    this._byAddress.set(address, { id, address, pool, running: new Set() });
    const record = { address, pool, slots: 6, domain: `domain-${this._starts % 3}` };
    this._environment.store.put(`${keys.endpointPrefix}${id}`, endpointRecord(record));
  }

  private _crash({ id, address, pool, running }: LiveEndpoint, target: string): void {
    const { clock, store } = this._environment;
    if (this._byAddress.get(address)?.id !== id) return;
    this._byAddress.delete(address);
    this.crashes.push({ atMs: clock.nowMs(), target, endpointId: id });
    for (const breakRequest of [...running]) breakRequest();
    clock.after(RESTART_AFTER_MS, () => this._start(address, pool));
    clock.after(RECORD_EXPIRY_MS, () => store.remove(`${keys.endpointPrefix}${id}`));
  }

  /** The given instance, if it is still running. */
  private _liveInstance({ address, id }: EndpointInfo): LiveEndpoint | undefined {
    const endpoint = this._byAddress.get(address);
    return endpoint?.id === id ? endpoint : undefined;
  }

  /** Runs for the duration. `broken` if the endpoint crashes first, `cancelled` if the host aborts the call. */
  private async _run(
    endpoint: LiveEndpoint,
    durationMs: number,
    signal: AbortSignal,
  ): Promise<'done' | 'broken' | 'cancelled'> {
    return new Promise(resolve => {
      const end = (outcome: 'done' | 'broken' | 'cancelled'): void => {
        cancel();
        endpoint.running.delete(breakRequest);
        resolve(outcome);
      };
      const breakRequest = (): void => end('broken');
      const cancel = this._environment.clock.after(durationMs, () => end('done'));
      endpoint.running.add(breakRequest);
      signal.addEventListener('abort', () => end('cancelled'));
    });
  }

  /** Runs a poison request until its endpoint crashes, any other for the duration. */
  private async _runOrCrash(
    endpoint: LiveEndpoint,
    call: { readonly target: string; readonly body: Buffer | undefined },
    durationMs: number,
    signal: AbortSignal,
  ): Promise<'done' | 'broken' | 'cancelled'> {
    this.received.push({
      atMs: this._environment.clock.nowMs(),
      target: call.target,
      endpointId: endpoint.id,
    });
    if (!this.isPoison(call)) return this._run(endpoint, durationMs, signal);
    const cancel = this._environment.clock.after(CRASH_AFTER_MS, () => this._crash(endpoint, call.target));
    const outcome = await this._run(endpoint, 2 * CRASH_AFTER_MS, signal);
    cancel();
    return outcome;
  }

  private async _send(call: EndpointCall, signal: AbortSignal): Promise<EndpointReply> {
    const endpoint = this._liveInstance(call.endpoint);
    if (!endpoint) {
      await this._pause(CONNECTION_REFUSED_MS);
      return { kind: 'not-run', reason: 'unreachable', load: undefined };
    }
    const outcome = await this._runOrCrash(endpoint, call, ANSWER_AFTER_MS, signal);
    if (outcome === 'broken') return { kind: 'broken', text: 'reset' };
    return outcome === 'done' ? { kind: 'answered', answer: answer(200, 'whole') } : { kind: 'cancelled' };
  }

  private async _runItem(
    call: ItemCall,
    listener: ItemProgressListener,
    signal: AbortSignal,
  ): Promise<ItemEnd> {
    const endpoint = this._liveInstance(call.endpoint);
    if (!endpoint) {
      await this._pause(CONNECTION_REFUSED_MS);
      return { kind: 'not-run', reason: 'unreachable' };
    }
    if (!listener.began(1, undefined)) return { kind: 'cancelled' };
    const outcome = await this._runOrCrash(endpoint, call, ANSWER_AFTER_MS, signal);
    if (outcome === 'broken') return { kind: 'broken', text: 'reset' };
    if (outcome === 'cancelled') return { kind: 'cancelled' };
    for (let number = call.afterEvent + 1; number <= EVENTS_PER_ITEM; number++)
      if (!listener.event({ number, text: `${call.itemId}-${number}`, version: 1 }))
        return { kind: 'cancelled' };
    return { kind: 'done' };
  }

  private async _pause(durationMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      this._environment.clock.after(durationMs, resolve);
    });
  }
}
