/**
 * Kept connections to servers, a pool for each address.
 */
import { codeOf } from './etcdStore.js';
import { buildConnector, Pool } from 'undici';

const CONNECT_TIMEOUT_MS = 600;
/** Shorter than what servers usually keep, so that they seldom close a connection that is just used again. */
const KEEP_ALIVE_MS = 4000;
/** Addresses whose pools are remembered: servers come and go, and an idle pool has no connections. */
const MAX_POOLS = 2000;

export class EndpointPools {
  private readonly _pools = new Map<string, Pool>();
  private readonly _resets = new Map<string, number>();

  /** The pool of an address. One request at a time on a connection: a reset then concerns one request only. */
  of(address: string): Pool {
    const known = this._pools.get(address);
    if (known) return known;
    const [oldest] = this._pools.keys();
    if (this._pools.size >= MAX_POOLS && oldest !== undefined) this.renew(oldest);
    const pool = new Pool(`http://${address}`, {
      connect: this._connector(address),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this._pools.set(address, pool);
    return pool;
  }

  /** How often connections to the address have been reset so far. */
  resets(address: string): number {
    return this._resets.get(address) ?? 0;
  }

  /** Lets what runs on the present connections end, and uses none of them again. */
  renew(address: string): void {
    const pool = this._pools.get(address);
    this._pools.delete(address);
    // Closing waits for the requests that run; their own ends tell how they went.
    void pool?.close();
  }

  /** An ordinary end shows as an error of the library's own; only the system's word is a reset. */
  private _failed(address: string, thrown: unknown): void {
    if (codeOf(thrown) === 'ECONNRESET') this._resets.set(address, this.resets(address) + 1);
  }

  /** Connects, and counts the resets of connections before the library hears of them. */
  private _connector(address: string): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return (options, callback) => {
      connect(options, (...[error, socket]) => {
        socket?.on('error', (thrown: unknown) => this._failed(address, thrown));
        if (error) callback(error, null);
        else callback(null, socket);
      });
    };
  }
}
