/**
 * Keep-alive connection pools, one per endpoint address.
 */
import type { Socket } from 'node:net';
import { errorCode } from './etcdStore.js';
import { resetInterceptor, ResetTracker } from './resetInterceptor.js';
import { buildConnector, Pool, type Dispatcher } from 'undici';

const CONNECT_TIMEOUT_MS = 600;
/** Shorter than common server keep-alive timeouts, so that reused connections are rarely closed by the server. */
const KEEP_ALIVE_MS = 4000;
/** The oldest pool is evicted beyond this limit. */
const MAX_POOLS = 2000;

export class EndpointPools {
  private readonly _pools = new Map<string, Dispatcher>();
  private readonly _resets = new ResetTracker();

  /** Returns the pool of an address. Without pipelining, a connection reset affects at most one request. */
  poolFor(address: string): Dispatcher {
    const existing = this._pools.get(address);
    if (existing) return existing;
    const [oldest] = this._pools.keys();
    if (this._pools.size >= MAX_POOLS && oldest !== undefined) this.replace(oldest);
    const pool = new Pool(`http://${address}`, {
      connect: this._connector(),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    }).compose(resetInterceptor(this._resets));
    this._pools.set(address, pool);
    return pool;
  }

  /** Lets running requests finish on their connections; later requests use a new pool. */
  replace(address: string): void {
    const pool = this._pools.get(address);
    this._pools.delete(address);
    // Resolves after the running requests, whose callers handle the results.
    void pool?.close();
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
