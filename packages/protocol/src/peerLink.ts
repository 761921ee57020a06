/**
 * Client of the peer protocol: one connection to one peer, established on the first call.
 */
import net from 'node:net';
import {
  afterPendingIo,
  err,
  ok,
  splitAddress,
  type CancelTimer,
  type Clock,
  type Deadline,
  type Result,
} from '@fuchsiahitch/base';
import type { CallDefinition, CallError, PeerIdentity } from './channel.js';
import { challengeSchema, envelopeSchema, welcomeSchema } from './envelope.js';
import { encodeFrame, FrameReader, MAX_FRAME_BYTES, MAX_HELLO_BYTES } from './frameCodec.js';
import type { ProtocolCounters } from './peerServer.js';
import { isSameProof, newNonce, computeProof } from './proof.js';

/** Calls fail immediately for this long after a failed connect, so that an unreachable peer does not delay them. */
const RECONNECT_PAUSE_MS = 300;
const CONNECT_TIMEOUT_MS = 1500;
/** A connection that received nothing for this long is dropped when a call on it times out. */
const UNRESPONSIVE_MS = 1000;
/** Limit on pending calls per link; further calls fail as `not-sent`. */
const MAX_PENDING_CALLS = 20_000;

export interface PeerLinkOptions {
  readonly address: string;
  readonly fleetKey: string;
  readonly identity: PeerIdentity;
  readonly clock: Clock;
  readonly counters: ProtocolCounters;
}

interface PendingCall {
  readonly settle: (result: Result<unknown, CallError>) => void;
  readonly cancelTimer: CancelTimer;
}

interface Connection {
  readonly socket: net.Socket;
  readonly peer: PeerIdentity;
}

/** Calls to one peer. Errors are returned, never thrown. */
export class PeerLink {
  private readonly _options: PeerLinkOptions;
  private readonly _pending = new Map<number, PendingCall>();
  private _connection: Promise<Connection | undefined> | undefined;
  private _socket: net.Socket | undefined;
  private _nextId = 1;
  private _reconnectAfterMs = 0;
  private _lastReadMs = -Infinity;
  private _isClosed = false;

  constructor(options: PeerLinkOptions) {
    this._options = options;
  }

  /** Sends a request and waits for its reply until the deadline. */
  async call<Q, A>(
    call: CallDefinition<Q, A>,
    request: Q,
    deadline: Deadline,
    trace?: string,
  ): Promise<Result<A, CallError>> {
    const connection = await this._getConnection();
    if (!connection) return err({ kind: 'not-sent', text: `no connection to ${this._options.address}` });
    // The connection may have been established after the deadline.
    if (deadline.isOver()) return err({ kind: 'not-sent', text: 'deadline passed before the call was sent' });
    if (this._pending.size >= MAX_PENDING_CALLS)
      return err({ kind: 'not-sent', text: 'too many pending calls' });
    const reply = await this._exchange(connection.socket, call.name, request, deadline, trace);
    if (!reply.ok) return reply;
    const parsed = call.reply.safeParse(reply.value);
    if (parsed.success) return ok(parsed.data);
    this._options.counters.refused('bad-reply');
    return err({ kind: 'broken', text: `reply to '${call.name}' does not match its schema` });
  }

  close(): void {
    this._isClosed = true;
    this._socket?.destroy();
  }

  private async _exchange(
    socket: net.Socket,
    name: string,
    body: unknown,
    deadline: Deadline,
    trace: string | undefined,
  ): Promise<Result<unknown, CallError>> {
    const id = this._nextId++;
    const frame = encodeFrame({ t: 'call', id, name, body, ...(trace === undefined ? {} : { trace }) });
    return new Promise(resolve => {
      const sentMs = this._options.clock.nowMs();
      const cancelTimer = afterPendingIo(this._options.clock, deadline.remainingMs(), () => {
        this._settle(id, err({ kind: 'timed-out' }));
        this._dropIfUnresponsive(socket, sentMs);
      });
      this._pending.set(id, { settle: resolve, cancelTimer });
      this._options.counters.sent(frame.length);
      socket.write(frame);
    });
  }

  /** Drops a connection that received nothing since a timed-out call was sent: later calls would time out too. */
  private _dropIfUnresponsive(socket: net.Socket, sentMs: number): void {
    const idleMs = this._options.clock.nowMs() - this._lastReadMs;
    if (this._lastReadMs >= sentMs || idleMs < UNRESPONSIVE_MS || socket !== this._socket) return;
    this._drop(socket, 'silent');
    this._onDisconnected(socket);
  }

  private _settle(id: number, result: Result<unknown, CallError>): void {
    const pending = this._pending.get(id);
    if (!pending) return;
    this._pending.delete(id);
    pending.cancelTimer();
    pending.settle(result);
  }

  private async _getConnection(): Promise<Connection | undefined> {
    if (this._isClosed || this._options.clock.nowMs() < this._reconnectAfterMs) return undefined;
    this._connection ??= this._connect();
    const connection = await this._connection;
    if (!connection) {
      this._connection = undefined;
      this._reconnectAfterMs = this._options.clock.nowMs() + RECONNECT_PAUSE_MS;
    }
    return connection;
  }

  private async _connect(): Promise<Connection | undefined> {
    const { ip, port } = splitAddress(this._options.address);
    const socket = net.connect({ host: ip, port });
    socket.setNoDelay(true);
    this._socket = socket;
    return new Promise(resolve => {
      const cancel = afterPendingIo(this._options.clock, CONNECT_TIMEOUT_MS, () => socket.destroy());
      const handshake = new ClientHandshake(this._options, socket, peer => {
        cancel();
        resolve({ socket, peer });
      });
      const reader = new FrameReader(MAX_HELLO_BYTES);
      socket.on('data', chunk => this._read(socket, reader, handshake, chunk));
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        cancel();
        resolve(undefined);
        this._onDisconnected(socket);
      });
    });
  }

  private _read(socket: net.Socket, reader: FrameReader, handshake: ClientHandshake, chunk: Buffer): void {
    this._options.counters.received(chunk.length);
    this._lastReadMs = this._options.clock.nowMs();
    reader.push(chunk);
    for (;;) {
      if (socket.destroyed) return;
      const frame = reader.next();
      if (!frame.ok) return this._drop(socket, frame.error.kind);
      if (!frame.value) return;
      if (handshake.isDone()) this._readReply(socket, frame.value.value);
      else if (!handshake.read(frame.value.value)) return this._drop(socket, 'bad-handshake');
      if (handshake.isDone()) reader.setLimit(MAX_FRAME_BYTES);
    }
  }

  private _readReply(socket: net.Socket, value: unknown): void {
    const envelope = envelopeSchema.safeParse(value);
    if (!envelope.success || envelope.data.t === 'call') return this._drop(socket, 'bad-envelope');
    const data = envelope.data;
    if (data.t === 'reply') this._settle(data.id, ok(data.body));
    else this._settle(data.id, err({ kind: 'refused', text: data.text }));
  }

  private _drop(socket: net.Socket, reason: string): void {
    this._options.counters.refused(reason);
    socket.destroy();
  }

  private _onDisconnected(socket: net.Socket): void {
    if (this._socket !== socket) return;
    this._connection = undefined;
    for (const id of [...this._pending.keys()])
      this._settle(id, err({ kind: 'broken', text: 'connection closed' }));
  }
}

/** Client side of the handshake. */
class ClientHandshake {
  private readonly _options: PeerLinkOptions;
  private readonly _socket: net.Socket;
  private readonly _onDone: (peer: PeerIdentity) => void;
  private readonly _nonce = newNonce();
  private _state: 'challenge' | 'welcome' | 'done' = 'challenge';

  constructor(options: PeerLinkOptions, socket: net.Socket, done: (peer: PeerIdentity) => void) {
    this._options = options;
    this._socket = socket;
    this._onDone = done;
  }

  isDone(): boolean {
    return this._state === 'done';
  }

  /** Handles a handshake frame. Returns false if it is malformed or the server's proof is invalid. */
  read(value: unknown): boolean {
    return this._state === 'challenge' ? this._answerChallenge(value) : this._verifyWelcome(value);
  }

  private _answerChallenge(value: unknown): boolean {
    const challenge = challengeSchema.safeParse(value);
    if (!challenge.success) return false;
    const own = this._options.identity;
    const proof = computeProof(this._options.fleetKey, 'client', challenge.data.nonce, own);
    this._socket.write(encodeFrame({ ...own, nonce: this._nonce, proof }));
    this._state = 'welcome';
    return true;
  }

  private _verifyWelcome(value: unknown): boolean {
    const welcome = welcomeSchema.safeParse(value);
    if (!welcome.success) return false;
    const { proof, ...peer } = welcome.data;
    if (!isSameProof(proof, computeProof(this._options.fleetKey, 'server', this._nonce, peer))) return false;
    this._state = 'done';
    this._onDone(peer);
    return true;
  }
}
