/**
 * Keep-alive connections to one address, one request at a time on each.
 */
import { buildConnector, Client, Dispatcher } from 'undici';
import { ConnectionGuard } from './connectionGuard.js';
import { ConnectionList, type OpenReason } from './connectionList.js';
import type { SeparatedRequestOptions } from './connectionSeparation.js';
import { isFinal, PassThroughHandler, type Handler, type HandlerArguments } from './passThroughHandler.js';

export type ConnectionEvent =
  | { readonly event: 'opened'; readonly reason: OpenReason }
  /** A request was written to a connection that an earlier request had used. */
  | { readonly event: 'reused' }
  /** A connection was closed because of bytes that are no response. */
  | { readonly event: 'rejected' };

export type ConnectionListener = (event: ConnectionEvent) => void;

export interface ConnectionPoolOptions {
  /** Options of each connection. `pipelining` is always 1, so that a reset affects at most one request. */
  readonly client: Client.Options;
  readonly onConnection?: ConnectionListener | undefined;
  /** Number of connections of the previous pool of the address. */
  readonly replaced?: number | undefined;
}

/**
 * Sends each request on the most recently used idle connection and opens one only if none is idle. undici's `Pool` takes
 * the first free client of its list, connected or not, and so opens connections while idle ones exist.
 *
 * A client whose idle connection closes before the request is written opens another one and writes the request to that.
 * A request that was written is never written again.
 */
export class ConnectionPool extends Dispatcher {
  private readonly _origin: string;
  private readonly _options: ConnectionPoolOptions;
  private readonly _connections: ConnectionList<PooledConnection>;
  private readonly _waiting: WaitingRequest[] = [];
  /** Connections whose response has just ended; at least as many as there are waiting requests. */
  private _finishing = 0;
  private _ended: Promise<void> | undefined;

  constructor(origin: string, options: ConnectionPoolOptions) {
    super();
    this._origin = origin;
    this._options = options;
    this._connections = new ConnectionList(options.replaced);
  }

  /** Number of connections that are open or being opened. */
  get size(): number {
    return this._connections.size;
  }

  override dispatch(options: PooledRequestOptions, handler: Handler): boolean {
    if (this._ended) return this._reject(options, handler);
    const connection = this._takeIdle(options);
    // A request that follows the end of another one directly waits a turn of the event loop for its connection. Without
    // this wait, back-to-back requests would use up to two connections for each sender.
    if (!connection && this._waiting.length < this._finishing) this._waiting.push({ options, handler });
    else (connection ?? this._add()).dispatch(options, handler);
    // A connection can always be opened.
    return true;
  }

  /** Lets running requests finish, then closes their connections. Idle connections close at once. */
  override close(): Promise<void>;
  override close(callback: () => void): void;
  override close(callback?: () => void): Promise<void> | undefined {
    if (!this._ended) {
      this._dispatchWaiting();
      this._ended = allEnded(this._connections.all().map(({ client }) => client.close()));
    }
    return resultOf(this._ended, callback);
  }

  /** Closes all connections; running requests fail. */
  override destroy(error?: Error | null): Promise<void>;
  override destroy(callback: () => void): void;
  override destroy(error: Error | null, callback: () => void): void;
  override destroy(first?: Error | null | (() => void), second?: () => void): Promise<void> | undefined {
    const error = typeof first === 'function' ? null : (first ?? null);
    this._dispatchWaiting();
    this._ended = allEnded(this._connections.all().map(({ client }) => client.destroy(error)));
    return resultOf(this._ended, typeof first === 'function' ? first : second);
  }

  private _takeIdle({ separation }: PooledRequestOptions): PooledConnection | undefined {
    return this._connections.takeIdle(
      ({ isAvailable }) => isAvailable,
      connection => separation?.excludedMarks.some(mark => connection.hasMark(mark)) !== true,
    );
  }

  private _add(): PooledConnection {
    const guard = new ConnectionGuard(() => this._options.onConnection?.({ event: 'rejected' }));
    const connect = guard.connector(connectorOf(this._options.client));
    const client = new Client(this._origin, { ...this._options.client, connect, pipelining: 1 });
    const connection = new PooledConnection(client, guard, this._connections.reasonToOpen(), {
      opened: reason => {
        this._connections.markOpened();
        this._options.onConnection?.({ event: 'opened', reason });
      },
      reused: () => this._options.onConnection?.({ event: 'reused' }),
      released: () => this._connections.release(connection),
      closed: () => this._connections.remove(connection),
      finishing: () => (this._finishing += 1),
      finished: () => this._onFinished(),
    });
    this._connections.add(connection);
    return connection;
  }

  private _onFinished(): void {
    this._finishing -= 1;
    const next = this._waiting.shift();
    if (!next) return;
    const connection = this._takeIdle(next.options) ?? this._add();
    connection.dispatch(next.options, next.handler);
  }

  /** Sends the waiting requests on new connections, so that the end of the pool treats them as running. */
  private _dispatchWaiting(): void {
    for (const { options, handler } of this._waiting.splice(0)) this._add().dispatch(options, handler);
  }

  /** Rejects a request after the end of the pool. A closed client does so in the form that the handler expects. */
  private _reject(options: Dispatcher.DispatchOptions, handler: Handler): boolean {
    const client = new Client(this._origin);
    void client.close();
    return client.dispatch(options, handler);
  }
}

/** A late response comes where the next ones are expected, so older marks need not be kept. */
const MAX_MARKS = 32;

type PooledRequestOptions = Dispatcher.DispatchOptions & SeparatedRequestOptions;

interface WaitingRequest {
  readonly options: PooledRequestOptions;
  readonly handler: Handler;
}

interface PooledConnectionEvents {
  opened(reason: OpenReason): void;
  reused(): void;
  /** The connection can take another request. */
  released(): void;
  /** The connection is closed and its client has no request. */
  closed(): void;
  /** The response is complete. */
  finishing(): void;
  /** The connection has been released or closed after the response. Follows each `finishing`. */
  finished(): void;
}

/** A client with at most one connection and one request. */
class PooledConnection {
  readonly client: Client;
  private readonly _guard: ConnectionGuard;
  private readonly _events: PooledConnectionEvents;
  private _openReason: OpenReason;
  /** The request in progress. */
  private _request: Handler | undefined;
  /** True if the connection was open when the request in progress was assigned to it. */
  private _isReuse = false;
  /** Marks of the last requests, oldest first. */
  private readonly _marks = new Set<string>();

  constructor(
    client: Client,
    guard: ConnectionGuard,
    openReason: OpenReason,
    events: PooledConnectionEvents,
  ) {
    this.client = client;
    this._guard = guard;
    this._openReason = openReason;
    this._events = events;
    client.on('connect', () => this._events.opened(this._openReason));
    client.on('disconnect', () => this._onDisconnect());
    client.on('connectionError', () => this._settle());
  }

  /** True if the connection is open and has no request. */
  get isAvailable(): boolean {
    const { connected, size } = this.client.stats;
    return this._request === undefined && connected && size === 0;
  }

  /** True if one of the last requests left this mark. */
  hasMark(mark: string): boolean {
    return this._marks.has(mark);
  }

  dispatch(options: PooledRequestOptions, handler: Handler): void {
    if (options.separation) this._addMark(options.separation.mark);
    const request = new ObservedHandler(handler, {
      started: () => {
        this._guard.requestWritten();
        if (this._isReuse) this._events.reused();
      },
      progressed: () => this._guard.progressed(),
      completed: () => {
        this._guard.responseEnded();
        this._events.finishing();
        this._endRequest(request, () => this._events.finished());
      },
      failed: () => this._endRequest(request),
    });
    this._request = request;
    this._isReuse = this.client.stats.connected;
    this.client.dispatch(options, request);
  }

  private _addMark(mark: string): void {
    this._marks.delete(mark);
    this._marks.add(mark);
    const [oldest] = this._marks;
    if (this._marks.size > MAX_MARKS && oldest !== undefined) this._marks.delete(oldest);
  }

  /**
   * The connection is available from the next turn of the event loop: until then, the end of the connection or an extra
   * response, which show that it must not be reused, may not have been read yet.
   */
  private _endRequest(request: Handler, afterwards?: () => void): void {
    if (this._request === request) this._request = undefined;
    setImmediate(() => {
      this._settle();
      afterwards?.();
    });
  }

  private _onDisconnect(): void {
    if (this._request !== undefined) {
      // The request was not written: undici has ended a written one by now. The client opens another connection for it.
      this._openReason = 'idle-closed';
      this._isReuse = false;
    } else if (this.client.stats.size > 0) {
      // undici keeps an aborted request in its queue and would open a connection that no request needs.
      void this.client.destroy();
      this._events.closed();
    } else this._settle();
  }

  private _settle(): void {
    const { connected, size } = this.client.stats;
    if (this._request !== undefined || size > 0) return;
    if (connected) this._events.released();
    else this._events.closed();
  }
}

interface RequestEvents {
  /** The request is about to be written. Not reported if its caller aborts it at this point. */
  started(): void;
  /** The final head of the response, or data of its body, was received. */
  progressed(): void;
  /** The response is complete. */
  completed(): void;
  /** The request has failed or been aborted, or has taken over the connection. */
  failed(): void;
}

/** Reports the start and the end of a request. */
class ObservedHandler extends PassThroughHandler {
  private readonly _events: RequestEvents;

  constructor(handler: Handler, events: RequestEvents) {
    super(handler);
    this._events = events;
  }

  override onRequestStart(...args: HandlerArguments<'onRequestStart'>): void {
    super.onRequestStart(...args);
    const [controller] = args;
    if (!controller.aborted) this._events.started();
  }

  override onRequestUpgrade(...args: HandlerArguments<'onRequestUpgrade'>): void {
    this._events.failed();
    super.onRequestUpgrade(...args);
  }

  override onResponseStart(...args: HandlerArguments<'onResponseStart'>): void {
    const [, status] = args;
    if (isFinal(status)) this._events.progressed();
    super.onResponseStart(...args);
  }

  override onResponseData(...args: HandlerArguments<'onResponseData'>): void {
    this._events.progressed();
    super.onResponseData(...args);
  }

  override onResponseEnd(...args: HandlerArguments<'onResponseEnd'>): void {
    this._events.completed();
    super.onResponseEnd(...args);
  }

  override onResponseError(...args: HandlerArguments<'onResponseError'>): void {
    this._events.failed();
    super.onResponseError(...args);
  }
}

function connectorOf({ connect }: Client.Options): buildConnector.connector {
  return typeof connect === 'function' ? connect : buildConnector(connect ?? {});
}

async function allEnded(ends: readonly Promise<void>[]): Promise<void> {
  await Promise.all(ends);
}

/** Supports both forms of undici's methods, with and without a callback. */
function resultOf(ended: Promise<void>, callback: (() => void) | undefined): Promise<void> | undefined {
  if (callback === undefined) return ended;
  void ended.then(callback);
  return undefined;
}
