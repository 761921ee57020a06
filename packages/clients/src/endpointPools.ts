/**
 * Kept connections to servers, a pool for each address.
 */
import type { Socket } from 'node:net';
import { errorCode } from './etcdStore.js';
import { resetInterceptor, ResetTracker } from './resetInterceptor.js';
import { buildConnector, Pool, type Dispatcher } from 'undici';

const CONNECT_TIMEOUT_MS = 600;
/** Shorter than what servers usually keep, so that they seldom close a connection that is just used again. */
const KEEP_ALIVE_MS = 4000;
/** Addresses whose pools are remembered: servers come and go, and an idle pool has no connections. */
const MAX_POOLS = 2000;

export class EndpointPools {
  private readonly _pools = new Map<string, Dispatcher>();
  private readonly _resets = new ResetTracker();

  /** The pool of an address. One request at a time on a connection: a reset then concerns one request only. */
  poolFor(address: string): Dispatcher {
    const known = this._pools.get(address);
    if (known) return known;
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

  /** Lets what runs on the present connections end, and uses none of them again. */
  replace(address: string): void {
    const pool = this._pools.get(address);
    this._pools.delete(address);
    // Closing waits for the requests that run; their own ends tell how they went.
    void pool?.close();
  }

  private _trackResets(socket: Socket): void {
    socket.on('error', (thrown: unknown) => {
      // An ordinary end shows as an error of the library's own; only the system's word is a reset.
      if (errorCode(thrown) === 'ECONNRESET') this._resets.markReset();
    });
    socket.on('end', () => {
      // A reset that is read together with the bytes before it is told as an ordinary end. After an ordinary end the
      // system still knows the other side, and after a reset it doesn't. The address must not be asked for earlier,
      // since the socket remembers it.
      if (socket.remoteAddress === undefined) this._resets.markReset();
    });
  }

  /** Connects, and hears of the resets of connections before the library does. */
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
