/** Shared fixtures of the gateway tests: a context on a virtual clock, records, batches and scripted endpoints. */
import { setMaxListeners } from 'node:events';
import { err, SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import type { PoolScaling } from '@fuchsiahitch/capacity';
import type { Batch, BatchItem } from '@fuchsiahitch/batches';
import type { RevisionedStore } from '@fuchsiahitch/clients';
import {
  GatewayMetrics,
  EventLoopMonitor,
  PoisonGuard,
  type EndpointAnswer,
  type EndpointCall,
  type EndpointClient,
  type EndpointInfo,
  type EndpointReply,
  type FleetConfiguration,
  type GatewayContext,
  type HeaderPair,
  type ItemCall,
  type ItemEnd,
  type ItemProgressListener,
  type LoadOrder,
  type OrderAnswer,
  type PoisonGuardHosts,
  type RecordDecoder,
  type RecordKeys,
  type WeightReport,
  type WriteGuard,
} from '@fuchsiahitch/gateway';
import type { Route } from '@fuchsiahitch/rules';
import { Tracing, type LogDetails, type Logger } from '@fuchsiahitch/telemetry';

export interface LogLine {
  readonly text: string;
  readonly details: LogDetails;
}

export class TestLog implements Logger {
  readonly lines: LogLine[] = [];

  debug(text: string, details: LogDetails = {}): void {
    this.lines.push({ text, details });
  }
  info(text: string, details: LogDetails = {}): void {
    this.lines.push({ text, details });
  }
  warn(text: string, details: LogDetails = {}): void {
    this.lines.push({ text, details });
  }
  error(text: string, details: LogDetails = {}): void {
    this.lines.push({ text, details });
  }

  has(text: string): boolean {
    return this.lines.some(line => line.text === text);
  }
}

export interface TestContext extends GatewayContext {
  readonly log: TestLog;
  readonly stop: AbortController;
}

export function testContext(clock: VirtualClock, hostId = 'host-a', incarnation = 'i1'): TestContext {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  return {
    hostId,
    incarnation,
    domain: 'tekapo',
    clock,
    random: new SeededRandom(7),
    log: new TestLog(),
    metrics: new GatewayMetrics(),
    tracing: new Tracing(),
    eventLoop: new EventLoopMonitor(clock, stop.signal),
    stopped: stop.signal,
    stop,
  };
}

/** Never withholds a request. */
export const ALWAYS_WRITES: WriteGuard = { mayWrite: () => true };

/** A poison guard for a host without peers. */
export function singleHostPoisonGuard(
  context: TestContext,
  store: RevisionedStore,
  client: EndpointClient,
): PoisonGuard {
  const noPeers: PoisonGuardHosts = {
    watchKeys: () => undefined,
    peers: () => [],
    call: () => Promise.resolve(err({ kind: 'not-sent', text: 'no such host' })),
  };
  return new PoisonGuard(context, store, noPeers, client);
}

export const keys: RecordKeys = {
  operatorPrefix: 'conf/',
  configurationKey: 'conf/main',
  versionPrefix: 'conf/named/',
  endpointPrefix: 'endpoints/',
};

export function route(overrides: Partial<Route> = {}): Route {
  return {
    run: 'batch',
    pools: [{ pool: 'gen-pool', weight: 1 }],
    timeoutMs: 10_000,
    targetMs: 400,
    maxAttempts: 3,
    rank: 1,
    isPublic: false,
    isResumable: true,
    isSingleVersion: false,
    dueMs: 7500,
    keepMs: 40_000,
    ...overrides,
  };
}

/** The route of score requests. */
export const SCORE_ROUTE: Route = route({
  run: 'idempotent',
  pools: [{ pool: 'scorers', weight: 1 }],
  timeoutMs: 1500,
  targetMs: 193,
  maxAttempts: 4,
});

/** Decodes records that are the JSON form of the gateway's own types. */
export class JsonRecordDecoder implements RecordDecoder {
  configuration(value: string): FleetConfiguration | undefined {
    const {
      revision,
      route: given,
      models,
      connectionLimits,
      scaling,
    } = JSON.parse(value) as {
      revision: number;
      route: Route;
      models: string[];
      connectionLimits?: Readonly<Record<string, number>>;
      scaling?: Omit<PoolScaling, 'prices'> & { readonly prices: Readonly<Record<string, number>> };
    };
    return {
      revision,
      rules: [
        {
          id: 'all',
          team: 'platform',
          when: { host: ['quests'], pathPrefix: ['/run/'] },
          then: { route: given },
        },
        {
          id: 'scores',
          team: 'platform',
          when: { host: ['quests'], pathPrefix: ['/score/'] },
          then: { route: SCORE_ROUTE },
        },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
      models: new Map([['gen-pool', models]]),
      connectionLimits: new Map(Object.entries(connectionLimits ?? {})),
      scalings: new Map(
        scaling ? [['gen-pool', { ...scaling, prices: new Map(Object.entries(scaling.prices)) }]] : [],
      ),
    };
  }

  endpoint(id: string, value: string): EndpointInfo | undefined {
    const record = JSON.parse(value) as
      (Omit<EndpointInfo, 'id' | 'versions'> & { versions: Record<string, number> }) | string;
    if (typeof record === 'string') return undefined;
    return { ...record, id, versions: new Map(Object.entries(record.versions)) };
  }

  endpointWithoutHeartbeat(value: string): string {
    return value.replace(/"beat":\d+/, '');
  }

  namedVersion(value: string): { readonly model: string; readonly version: number } | undefined {
    return JSON.parse(value) as { readonly model: string; readonly version: number };
  }
}

export function endpointRecord(overrides: Partial<Omit<EndpointInfo, 'versions'>> = {}, version = 1): string {
  return JSON.stringify({
    address: '10.0.0.1:1',
    pool: 'gen-pool',
    domain: 'tekapo',
    slots: 4,
    startWallMs: 0,
    isLeaving: false,
    versions: { m: version },
    ...overrides,
  });
}

export function item(id: string, overrides: Partial<BatchItem> = {}): BatchItem {
  return {
    id,
    path: `/run/${id}`,
    headers: {},
    bodyBase64: Buffer.from(id).toString('base64'),
    tokens: 100,
    expectedTokens: 0,
    group: 'g1',
    promptKey: '',
    ...overrides,
  };
}

/** An item with a score request, whose id and path are derived from the item's id. */
export function scoredItem(id: string, overrides: Partial<BatchItem> = {}): BatchItem {
  const scoring = { id: `score-${id}`, host: 'quests', path: `/score/${id}`, bodyBase64: '' };
  return item(id, { scoring, ...overrides });
}

export function batch(id: string, items: readonly BatchItem[], overrides: Partial<Batch> = {}): Batch {
  return { id, host: 'quests', step: 1, model: 'm', minVersion: 1, groupsWanted: 1, items, ...overrides };
}

/** The response of a scripted endpoint to an item: the number of events, the end, and the time per event. */
export interface ItemScript {
  readonly events: number;
  readonly end: ItemEnd;
  /** The weight version in the response; `none` omits it. */
  readonly version?: number | 'none';
  readonly eventMs?: number;
}

/** An endpoint client that answers from a script and records every call. */
export class ScriptedClient implements EndpointClient {
  readonly items: ItemCall[] = [];
  readonly sends: EndpointCall[] = [];
  readonly orders: (LoadOrder & { readonly atMs: number })[] = [];
  readonly cancelled: string[] = [];
  readonly droppedAddresses: string[] = [];
  script: (call: ItemCall) => ItemScript = () => ({ events: 2, end: { kind: 'done' } });
  reply: (call: EndpointCall, signal: AbortSignal) => Promise<EndpointReply> = () =>
    Promise.resolve({ kind: 'answered', answer: answer(200, 'whole') });
  weightReport: (endpoint: EndpointInfo) => WeightReport | undefined = endpoint => ({
    startWallMs: endpoint.startWallMs,
    versions: endpoint.versions,
    isBusy: false,
    sequence: 0,
  });
  ended: (endpoint: EndpointInfo) => boolean = () => false;
  orderAnswer: OrderAnswer = 'accepted';
  private readonly _clock: VirtualClock;

  constructor(clock: VirtualClock) {
    this._clock = clock;
  }

  internalRequestHeaders(requestId: string, host: string): readonly HeaderPair[] {
    return [
      ['id', requestId],
      ['host', host],
    ];
  }

  async send(call: EndpointCall, signal: AbortSignal): Promise<EndpointReply> {
    this.sends.push(call);
    return this.reply(call, signal);
  }

  async runItem(call: ItemCall, listener: ItemProgressListener, signal: AbortSignal): Promise<ItemEnd> {
    this.items.push(call);
    const { events, end, version = 1, eventMs = 1 } = this.script(call);
    if (end.kind === 'not-run') return end;
    if (!listener.began(version === 'none' ? undefined : version, undefined)) return { kind: 'cancelled' };
    for (let i = 1; i <= events; i++) {
      await this._pause(eventMs, signal);
      if (signal.aborted) {
        this.cancelled.push(call.itemId);
        return { kind: 'cancelled' };
      }
      const number = call.afterEvent + i;
      if (version === 'none') return { kind: 'broken', text: 'no version' };
      if (!listener.event({ number, text: `${call.itemId}-${number}`, version }))
        return { kind: 'cancelled' };
    }
    if (end.kind !== 'cancelled') return end;
    // An unresponsive endpoint: sends nothing more until the caller aborts.
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()));
    this.cancelled.push(call.itemId);
    return { kind: 'cancelled' };
  }

  async hasTerminated(endpoint: EndpointInfo): Promise<boolean> {
    return Promise.resolve(this.ended(endpoint));
  }

  dropConnections(address: string): void {
    this.droppedAddresses.push(address);
  }

  async report(endpoint: EndpointInfo): Promise<WeightReport | undefined> {
    return Promise.resolve(this.weightReport(endpoint));
  }

  async order(order: LoadOrder): Promise<OrderAnswer> {
    this.orders.push({ ...order, atMs: this._clock.nowMs() });
    return Promise.resolve(this.orderAnswer);
  }

  private async _pause(ms: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      const end = (): void => {
        signal.removeEventListener('abort', end);
        resolve();
      };
      this._clock.after(ms, end);
      signal.addEventListener('abort', end);
    });
  }
}

export function answer(
  status: number,
  text: string,
  overrides: Partial<EndpointAnswer> = {},
): EndpointAnswer {
  return {
    status,
    headers: [],
    proof: 'proof',
    isLeaving: false,
    load: undefined,
    body: bodyOf(text),
    ...overrides,
  };
}

// eslint-disable-next-line @typescript-eslint/require-await -- bodies are async iterables
export async function* bodyOf(text: string): AsyncIterable<Buffer> {
  yield Buffer.from(text);
}

/** A body whose stream fails after the first chunk. */
// eslint-disable-next-line @typescript-eslint/require-await -- bodies are async iterables
export async function* truncatedBody(text: string): AsyncIterable<Buffer> {
  yield Buffer.from(text);
  throw new Error('connection reset');
}
