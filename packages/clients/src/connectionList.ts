/**
 * Choice of the connection for the next request to one address.
 */

/**
 * Why a connection was opened:
 * - `first`: the pool had none.
 * - `all-busy`: every open connection was in use. Connections that were closed by their own request, such as an aborted
 *   one, do not count as open.
 * - `idle-closed`: an idle connection was closed, by either side, before the request needed it.
 * - `replaced`: the connections of the previous pool of this address are no longer used.
 */
export type OpenReason = 'first' | 'all-busy' | 'idle-closed' | 'replaced';

/**
 * The connections of one address. Addresses the load of bursts: taking the most recently used connection lets those
 * above the current need stay idle until they close, and those in use stay open.
 */
export class ConnectionList<T> {
  private readonly _all = new Set<T>();
  /** The most recently used connection is last. */
  private readonly _idle: T[] = [];
  private _hasOpened = false;
  /** Connections that were closed while idle and have not been opened again. */
  private _idleClosed = 0;
  /** Connections of the previous pool that have not been opened again. */
  private _replaced: number;

  /** @param replaced number of connections of the previous pool of the address */
  constructor(replaced = 0) {
    this._replaced = replaced;
  }

  get size(): number {
    return this._all.size;
  }

  all(): readonly T[] {
    return [...this._all];
  }

  /** Takes the most recently used idle connection that is open and suitable. Removes those found closed. */
  takeIdle(
    isOpen: (connection: T) => boolean,
    isSuitable: (connection: T) => boolean = () => true,
  ): T | undefined {
    for (let i = this._idle.length - 1; i >= 0; i--) {
      const connection = this._idle[i];
      if (connection === undefined) break;
      const isConnected = isOpen(connection);
      if (isConnected && !isSuitable(connection)) continue;
      this._idle.splice(i, 1);
      if (isConnected) return connection;
      this._all.delete(connection);
      this._idleClosed += 1;
    }
    return undefined;
  }

  /** Returns why a connection must be opened now. Must be called once for each connection, before it is added. */
  reasonToOpen(): OpenReason {
    if (this._replaced > 0) {
      this._replaced -= 1;
      return 'replaced';
    }
    if (this._idleClosed > 0) {
      this._idleClosed -= 1;
      return 'idle-closed';
    }
    return this._all.size === 0 && !this._hasOpened ? 'first' : 'all-busy';
  }

  /** Adds a connection that is in use. */
  add(connection: T): void {
    this._all.add(connection);
  }

  /** Records that a connection was established: later ones are not the first. */
  markOpened(): void {
    this._hasOpened = true;
  }

  /** Makes a connection available again after its request. Has no effect on a removed or idle one. */
  release(connection: T): void {
    if (this._all.has(connection) && !this._idle.includes(connection)) this._idle.push(connection);
  }

  /** Removes a closed connection. */
  remove(connection: T): void {
    this._all.delete(connection);
    const index = this._idle.indexOf(connection);
    if (index < 0) return;
    this._idle.splice(index, 1);
    this._idleClosed += 1;
  }
}
