/**
 * Server of the peer protocol.
 */
import net from 'node:net';
import { messageOf, listenAt, type Clock } from '@fuchsiahitch/base';
import { SocketConnection } from '@fuchsiahitch/intake';
import { ConnectionLimit } from '@fuchsiahitch/limits';
import type { CallDefinition, Envelope, PeerIdentity } from './channel.js';
import { challengeSchema, envelopeSchema, helloSchema } from './envelope.js';
import { encodeFrame, FrameReader, MAX_FRAME_BYTES, MAX_HELLO_BYTES } from './frameCodec.js';
import { isSameProof, newNonce, computeProof } from './proof.js';

const HANDSHAKE_TIMEOUT_MS = 3000;
/** More than the hosts of a large fleet that connect at once. */
const DEFAULT_UNAUTHENTICATED = 1024;
/** Limit on buffered replies to a peer that does not read them. Beyond it, the connection is closed. */
const MAX_UNREAD_BYTES = 4 * MAX_FRAME_BYTES;

export interface CallContext {
  readonly peer: PeerIdentity;
  readonly trace: string | undefined;
}

type Handler = (body: unknown, context: CallContext) => Promise<unknown>;

/** Metrics of the peer protocol: refusals by reason, and bytes. */
export interface ProtocolCounters {
  refused(reason: string): void;
  sent(sizeBytes: number): void;
  received(sizeBytes: number): void;
}

export interface PeerServerOptions {
  readonly address: string;
  readonly fleetKey: string;
  readonly identity: PeerIdentity;
  readonly clock: Clock;
  readonly counters: ProtocolCounters;
  /** Connections that have not proved knowledge of the fleet key, beyond which the oldest one is closed. */
  readonly maxUnauthenticated?: number;
}

/** Accepts peers that prove knowledge of the fleet key and answers their calls. */
export class PeerServer {
  private readonly _options: PeerServerOptions;
  private readonly _handlers = new Map<string, Handler>();
  private readonly _server: net.Server;
  private readonly _sockets = new Set<net.Socket>();
  private readonly _unauthenticated: ConnectionLimit<SocketConnection>;

  constructor(options: PeerServerOptions) {
    this._options = options;
    this._unauthenticated = new ConnectionLimit({
      clock: options.clock,
      maxConnections: options.maxUnauthenticated ?? DEFAULT_UNAUTHENTICATED,
      maxHeadBytes: Infinity,
      closed: () => options.counters.refused('too-many'),
    });
    this._server = net.createServer(socket => this._accept(socket));
  }

  /** Registers the handler of a call. Requests that do not match the schema are refused. */
  handle<Q, A>(
    call: CallDefinition<Q, A>,
    handler: (request: Q, context: CallContext) => Promise<A> | A,
  ): void {
    this._handlers.set(call.name, async (body, context) => {
      const parsed = call.request.safeParse(body);
      if (!parsed.success)
        throw new Error(`bad request of '${call.name}': ${parsed.error.issues[0]?.message ?? ''}`);
      return handler(parsed.data, context);
    });
  }

  /** Starts listening. Resolves with the bound address, including the port when port 0 was requested. */
  async listen(): Promise<string> {
    return listenAt(this._server, this._options.address);
  }

  async close(): Promise<void> {
    for (const socket of this._sockets) socket.destroy();
    await new Promise<void>(resolve => {
      this._server.close(() => resolve());
    });
  }

  private _accept(socket: net.Socket): void {
    this._sockets.add(socket);
    socket.setNoDelay(true);
    const nonce = newNonce();
    const reader = new FrameReader(MAX_HELLO_BYTES);
    const unauthenticated = new SocketConnection(socket);
    const authenticated = (): void => this._unauthenticated.remove(unauthenticated);
    const connection = new ServerConnection(
      socket,
      nonce,
      reader,
      this._options,
      this._handlers,
      authenticated,
    );
    const cancel = this._options.clock.after(HANDSHAKE_TIMEOUT_MS, () => connection.closeUnauthenticated());
    socket.on('data', chunk => connection.read(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      cancel();
      this._sockets.delete(socket);
      authenticated();
    });
    socket.write(encodeFrame(challengeSchema.parse({ nonce })));
    this._unauthenticated.add(unauthenticated);
  }
}

/** An accepted connection: the handshake, then calls. */
class ServerConnection {
  private readonly _socket: net.Socket;
  private readonly _nonce: string;
  private readonly _reader: FrameReader;
  private readonly _options: PeerServerOptions;
  private readonly _handlers: ReadonlyMap<string, Handler>;
  private readonly _authenticated: () => void;
  private _peer: PeerIdentity | undefined;

  constructor(
    socket: net.Socket,
    nonce: string,
    reader: FrameReader,
    options: PeerServerOptions,
    handlers: ReadonlyMap<string, Handler>,
    authenticated: () => void,
  ) {
    this._authenticated = authenticated;
    this._socket = socket;
    this._nonce = nonce;
    this._reader = reader;
    this._options = options;
    this._handlers = handlers;
  }

  closeUnauthenticated(): void {
    if (!this._peer) this._close('handshake-timeout');
  }

  read(chunk: Buffer): void {
    this._options.counters.received(chunk.length);
    this._reader.push(chunk);
    for (;;) {
      if (this._socket.destroyed) return;
      const frame = this._reader.next();
      if (!frame.ok) return this._close(frame.error.kind);
      if (!frame.value) return;
      if (this._peer) this._readCall(frame.value.value, this._peer);
      else this._readHello(frame.value.value);
    }
  }

  private _readHello(value: unknown): void {
    const hello = helloSchema.safeParse(value);
    if (!hello.success) return this._close('bad-hello');
    const { nonce, proof, ...identity } = hello.data;
    const expected = computeProof(this._options.fleetKey, 'client', this._nonce, identity);
    if (!isSameProof(proof, expected)) return this._close('wrong-key');
    this._peer = identity;
    this._authenticated();
    this._reader.setLimit(MAX_FRAME_BYTES);
    const own = this._options.identity;
    this._send({ ...own, proof: computeProof(this._options.fleetKey, 'server', nonce, own) });
  }

  private _readCall(value: unknown, peer: PeerIdentity): void {
    const envelope = envelopeSchema.safeParse(value);
    if (!envelope.success || envelope.data.t !== 'call') return this._close('bad-envelope');
    const { id, name, body, trace } = envelope.data;
    const handler = this._handlers.get(name);
    if (!handler) return this._reply({ t: 'refusal', id, text: `no call '${name}' in this version` });
    handler(body, { peer, trace }).then(
      reply => this._reply({ t: 'reply', id, body: reply }),
      (thrown: unknown) => {
        this._options.counters.refused('call');
        this._reply({ t: 'refusal', id, text: messageOf(thrown) });
      },
    );
  }

  private _reply(envelope: Envelope): void {
    this._send(envelope);
  }

  private _send(value: unknown): void {
    if (this._socket.destroyed) return;
    if (this._socket.writableLength > MAX_UNREAD_BYTES) return this._close('slow-reader');
    const frame = encodeFrame(value);
    this._options.counters.sent(frame.length);
    this._socket.write(frame);
  }

  private _close(reason: string): void {
    this._options.counters.refused(reason);
    this._socket.destroy();
  }
}
