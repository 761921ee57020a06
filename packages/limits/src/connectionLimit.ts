/**
 * Bounds the connections of clients and the unfinished heads on them. A new connection takes the place of the one that
 * has been without a request for longest: a client that opens connections and sends nothing can't keep out the others.
 */
import type { Clock } from '@fuchsiahitch/base';
import { RepeatedCheck } from './repeatedCheck.js';

export interface LimitedConnection {
  /** Bytes received since the connection was opened. */
  receivedBytes(): number;
  close(): void;
}

/** Why a connection was closed: there were too many, or their unfinished heads took too much memory. */
export type ConnectionEnd = 'connections' | 'heads';

export interface ConnectionLimitOptions<T> {
  readonly clock: Clock;
  readonly maxConnections: number;
  readonly maxHeadBytes: number;
  readonly closed: (reason: ConnectionEnd, connection: T) => void;
}

/** A received byte of an unfinished head takes many times its size: each short header is several objects. */
const HEAD_FACTOR = 12;
const SWEEP_INTERVAL_MS = 250;
/** New connections between two sweeps, at most. */
const SWEEP_CONNECTIONS = 64;

interface ConnectionState {
  requests: number;
  /** Received bytes when the last request was complete. */
  bytesBefore: number;
}

export class ConnectionLimit<T extends LimitedConnection> {
  private readonly _options: ConnectionLimitOptions<T>;
  /** The connection without a request for longest first. */
  private readonly _connections = new Map<T, ConnectionState>();
  private _addedSinceSweep = 0;
  private readonly _check: RepeatedCheck;

  constructor(options: ConnectionLimitOptions<T>) {
    this._options = options;
    this._check = new RepeatedCheck(options.clock, SWEEP_INTERVAL_MS, () => {
      this._sweep();
      return this._connections.size > 0;
    });
  }

  add(connection: T): void {
    this._connections.set(connection, { requests: 0, bytesBefore: 0 });
    if (this._connections.size > this._options.maxConnections) this._closeOne();
    this._addedSinceSweep += 1;
    if (this._addedSinceSweep >= SWEEP_CONNECTIONS) this._sweep();
    this._check.schedule();
  }

  remove(connection: T): void {
    this._connections.delete(connection);
  }

  requestBegan(connection: T): void {
    const state = this._connections.get(connection);
    if (state) state.requests += 1;
  }

  requestEnded(connection: T): void {
    const state = this._connections.get(connection);
    if (!state) return;
    state.requests -= 1;
    state.bytesBefore = connection.receivedBytes();
    this._connections.delete(connection);
    this._connections.set(connection, state);
  }

  /** Without an idle connection, the newest one is closed. */
  private _closeOne(): void {
    let newest: T | undefined;
    for (const [connection, { requests }] of this._connections) {
      if (requests === 0) return this._close(connection, 'connections');
      newest = connection;
    }
    if (newest) this._close(newest, 'connections');
  }

  /** Closes the oldest unfinished heads while all of them together take too much. */
  private _sweep(): void {
    this._addedSinceSweep = 0;
    const unfinished: { readonly connection: T; readonly bytes: number }[] = [];
    let sumBytes = 0;
    for (const [connection, { requests, bytesBefore }] of this._connections) {
      if (requests > 0) continue;
      const bytes = HEAD_FACTOR * (connection.receivedBytes() - bytesBefore);
      if (bytes <= 0) continue;
      unfinished.push({ connection, bytes });
      sumBytes += bytes;
    }
    for (const { connection, bytes } of unfinished) {
      if (sumBytes <= this._options.maxHeadBytes) return;
      sumBytes -= bytes;
      this._close(connection, 'heads');
    }
  }

  private _close(connection: T, reason: ConnectionEnd): void {
    this._connections.delete(connection);
    this._options.closed(reason, connection);
    connection.close();
  }
}
