/**
 * Keep-alive connection pools, one per endpoint address.
 */
import type { Socket } from 'node:net';
import { answerMatchInterceptor, type MatchedRequestOptions } from './answerMatchInterceptor.js';
import { ConnectionPool, type ConnectionListener } from './connectionPool.js';
import { separateAttempts, type SeparatedRequestOptions } from './connectionSeparation.js';
import { errorCode } from './etcdStore.js';
import { resetInterceptor, ResetTracker } from './resetInterceptor.js';
import { buildConnector, type Dispatcher } from 'undici';
import { writeGuardInterceptor, type GuardedRequestOptions } from './writeGuardInterceptor.js';

const CONNECT_TIMEOUT_MS = 600;
/** Shorter than common server keep-alive timeouts, so that reused connections are rarely closed by the server. */
const KEEP_ALIVE_MS = 4000;
/** The oldest pool is evicted beyond this limit. */
const MAX_POOLS = 2000;

type EndpointRequestOptions = GuardedRequestOptions & MatchedRequestOptions & SeparatedRequestOptions;

interface PoolEntry {
  readonly pool: ConnectionPool;
  readonly dispatcher: Dispatcher;
}

export class EndpointPools {
  private readonly _pools = new Map<string, PoolEntry>();
  /** Numbers of connections of replaced pools, for the reasons of new connections. */
  private readonly _replaced = new Map<string, number>();
  private readonly _resets = new ResetTracker();
  private readonly _onConnection: ConnectionListener | undefined;

  /** @param onConnection is told when a connection is opened, and why, or reused */
  constructor(onConnection?: ConnectionListener) {
    this._onConnection = onConnection;
  }

  /**
   * Sends a request to an address. Without a given separation, attempts with the same identifier use different
   * connections.
   */
  async request(address: string, options: EndpointRequestOptions): Promise<Dispatcher.ResponseData> {
    const separation = options.separation ?? separateAttempts(options.echo?.value);
    const separated: EndpointRequestOptions = { ...options, separation };
    return this.poolFor(address).request(separated);
  }

  /** Returns the pool of an address. Without pipelining, a connection reset affects at most one request. */
  poolFor(address: string): Dispatcher {
    const existing = this._pools.get(address);
    if (existing) return existing.dispatcher;
    const [oldest] = this._pools.keys();
    if (this._pools.size >= MAX_POOLS && oldest !== undefined) this._end(oldest);
    const pool = new ConnectionPool(`http://${address}`, {
      client: {
        connect: this._connector(),
        keepAliveTimeout: KEEP_ALIVE_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      onConnection: this._onConnection,
      replaced: this._replaced.get(address),
    });
    this._replaced.delete(address);
    const dispatcher = pool.compose(
      resetInterceptor(this._resets),
      writeGuardInterceptor(),
      answerMatchInterceptor(),
    );
    this._pools.set(address, { pool, dispatcher });
    return dispatcher;
  }

  /** Lets running requests finish on their connections; later requests use a new pool. */
  replace(address: string): void {
    const entry = this._pools.get(address);
    if (!entry) return;
    // The connection that caused the replacement may be closed already, so the number is at least one.
    this._replaced.set(address, Math.max(1, entry.pool.size));
    const [oldest] = this._replaced.keys();
    if (this._replaced.size > MAX_POOLS && oldest !== undefined) this._replaced.delete(oldest);
    this._end(address);
  }

  private _end(address: string): void {
    const entry = this._pools.get(address);
    this._pools.delete(address);
    // Resolves after the running requests, whose callers handle the results.
    void entry?.pool.close();
  }

  private _trackResets(socket: Socket): void {
    socket.on('error', (thrown: unknown) => {
      // For a regular close, undici reports an error with another code.
      if (errorCode(thrown) === 'ECONNRESET') this._resets.markReset();
    });
    socket.on('end', () => {
      // A reset that arrives together with data is reported as a regular end, but without a peer address. The socket
      // caches `remoteAddress`, so it must not be read earlier.
      if (socket.remoteAddress === undefined) this._resets.markReset();
    });
  }

  /** Attaches the reset listeners before undici attaches its own. */
  private _connector(): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return (options, callback) => {
      connect(options, (...[error, socket]) => {
        if (socket) this._trackResets(socket);
        if (error) callback(error, null);
        else callback(null, socket);
      });
    };
  }
}
