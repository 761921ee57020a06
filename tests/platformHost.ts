/**
 * A gateway host over sockets, with stand-ins for the store and one endpoint, and an HTTP client for callers.
 */
import http from 'node:http';
import { SystemClock, SystemRandom } from '@fuchsiahitch/base';
import {
  Gateway,
  GatewayMetrics,
  EventLoopMonitor,
  PeerLinks,
  type GatewayContext,
} from '@fuchsiahitch/gateway';
import {
  CallerServer,
  PlatformEndpointClient,
  PlatformRecordDecoder,
  recordKeys,
  StoreClient,
} from '@fuchsiahitch/platform';
import { PeerServer } from '@fuchsiahitch/protocol';
import { Tracing } from '@fuchsiahitch/telemetry';
import { TestLog } from './gatewayFixtures.js';
import { StoreStandIn, WireServer } from './platformStandIns.js';
import { testClientLimits } from './testClientLimits.js';

const GRACE_MS = 8000;

const POLL_MS = 10;
const MAX_POLLS = 500;
const FLEET_KEY = 'fleet-key-for-tests';

export interface HttpReply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

export class PlatformHost {
  readonly store = new StoreStandIn();
  readonly server = new WireServer();
  readonly log = new TestLog();
  readonly gateway: Gateway;
  private readonly _stop = new AbortController();
  private readonly _callers: CallerServer;
  private readonly _peers: PeerServer;
  private readonly _address: string;

  private constructor(parts: HostParts) {
    this.store = parts.store;
    this.server = parts.server;
    this.log = parts.log;
    this.gateway = parts.gateway;
    this._stop = parts.stop;
    this._callers = parts.callers;
    this._peers = parts.peers;
    this._address = parts.address;
  }

  /** Starts a host with a configuration and waits until it is ready. */
  static async start(configuration: unknown, pools: readonly string[]): Promise<PlatformHost> {
    const host = await PlatformHost.listen(pools);
    await host.configureAndStart(configuration);
    return host;
  }

  /** Creates a host that listens but has no configuration yet. Its endpoint is registered in each of the pools. */
  static async listen(pools: readonly string[]): Promise<PlatformHost> {
    const store = new StoreStandIn();
    const server = new WireServer();
    const storeAddress = await store.listen();
    const record = serverRecord(await server.listen());
    for (const [i, service] of pools.entries())
      store.data.put(`servers/i-${i}`, JSON.stringify({ ...record, service }));
    const stop = new AbortController();
    const context = makeContext(stop.signal);
    const { clock, metrics } = context;
    const identity = { hostId: 'edge-1', incarnation: '1', domain: 'tekapo', programVersion: '0' };
    const peerOptions = { fleetKey: FLEET_KEY, identity, clock, counters: metrics };
    const peers = new PeerServer({ address: '127.0.0.1:0', ...peerOptions });
    const clientLimits = testClientLimits(clock);
    const gateway = new Gateway(context, {
      store: new StoreClient(storeAddress, () => undefined),
      client: new PlatformEndpointClient(),
      keys: recordKeys,
      decoder: new PlatformRecordDecoder(),
      hosts: { peers: new PeerLinks(peerOptions), address: await peers.listen() },
      orders: { handoverMs: 3000 },
      domains: ['tekapo'],
      batchReadableMs: 120_000,
      batchEndMs: 3000,
      newsBoundMs: 2000,
      answers: clientLimits.answers,
      maxBatchBytes: clientLimits.budget.batchesBytes,
    });
    const callers = new CallerServer({
      address: '127.0.0.1:0',
      gateway,
      clock,
      log: context.log,
      metrics,
      clientLimits,
    });
    const address = await callers.listen();
    return new PlatformHost({
      store,
      server,
      log: context.log,
      gateway,
      stop,
      callers,
      peers,
      address,
    });
  }

  /** Starts draining: connections are closed after their next response. */
  drain(): void {
    this._callers.startDraining(GRACE_MS);
  }

  /** Stores a configuration, starts the gateway and waits until it is ready. */
  async configureAndStart(configuration: unknown): Promise<void> {
    this.store.data.put(recordKeys.configurationKey, JSON.stringify(configuration));
    this.gateway.start(this._peers);
    await this.waitUntil(() => this.gateway.isReady());
  }

  async send(options: http.RequestOptions, body?: string): Promise<HttpReply> {
    const [host = '', port = ''] = this._address.split(':');
    return new Promise((resolve, reject) => {
      const request = http.request({ host, port: Number(port), agent: false, ...options }, response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
          }),
        );
        response.on('error', reject);
      });
      request.on('error', reject);
      request.end(body);
    });
  }

  /** Stores another configuration and waits until the host has applied it. */
  async configure(configuration: { readonly version: number }): Promise<void> {
    this.store.data.put(recordKeys.configurationKey, JSON.stringify(configuration));
    const { version } = configuration;
    await this.waitUntil(() =>
      this.log.lines.some(line => line.text === 'configuration' && line.details.revision === version),
    );
  }

  async waitUntil(isTrue: () => boolean): Promise<void> {
    for (let i = 0; i < MAX_POLLS && !isTrue(); i++)
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    if (!isTrue()) throw new Error('the host did not reach the expected state in time');
  }

  async stop(): Promise<void> {
    this._stop.abort();
    await this.gateway.shutDown(0);
    await this._callers.close(0);
    await this._peers.close();
    await this.server.close();
    await this.store.close();
  }
}

interface HostParts {
  readonly store: StoreStandIn;
  readonly server: WireServer;
  readonly log: TestLog;
  readonly gateway: Gateway;
  readonly stop: AbortController;
  readonly callers: CallerServer;
  readonly peers: PeerServer;
  readonly address: string;
}

function makeContext(stopped: AbortSignal): GatewayContext & { readonly log: TestLog } {
  const clock = new SystemClock();
  return {
    hostId: 'edge-1',
    incarnation: '1',
    domain: 'tekapo',
    clock,
    random: new SystemRandom(),
    log: new TestLog(),
    metrics: new GatewayMetrics(),
    tracing: new Tracing(),
    eventLoop: new EventLoopMonitor(clock, stopped),
    stopped,
  };
}

function serverRecord(address: string): object {
  return {
    address,
    zone: 'tekapo',
    slots: 4,
    version: 'v1',
    cold_left_ms: 0,
    seq: 1,
    state: 'ready',
    models: [{ name: 'm1', version: 2 }],
  };
}
