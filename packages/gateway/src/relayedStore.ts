/**
 * Store client that relays calls through a peer while this host cannot reach the store directly. The store may refuse a
 * single host, or the network may isolate the host from the store alone; without the relay, its batches could be
 * neither listed nor ended, although other hosts reach the store.
 *
 * Writes are conditional, so that resending one whose outcome is unknown through a peer is safe.
 */
import { Deadline, err, type Result } from '@fuchsiahitch/base';
import type {
  Changes,
  Compare,
  RevisionedStore,
  Snapshot,
  StoredValue,
  StoreError,
  TransactionResult,
  WatchEnd,
  WatchEvent,
  Write,
} from '@fuchsiahitch/clients';
import type { CallError } from '@fuchsiahitch/protocol';
import type { GatewayContext } from './gatewayContext.js';
import type { CallRegistry } from './hostDirectory.js';
import { reachCall, storeRelayCall, type StoreReply, type StoreRequest } from './storeRelayMessages.js';

/** Interval of direct probes while calls are relayed. */
const PROBE_INTERVAL_MS = 1000;
/** The same while no peer can relay calls, so that the end of an outage is noticed soon. */
const ALONE_PROBE_INTERVAL_MS = PROBE_INTERVAL_MS / 2;
const PROBE_TIMEOUT_MS = 800;
const PROBE_KEY = 'fuchsiahitch/probe';
/** Additional time for the hop through the peer. */
const RELAY_SLACK_MS = 300;
/** Maximum time of a direct call before it counts as failed. */
const DIRECT_TIMEOUT_MS = 900;
/** An unanswered call with a shorter timeout does not count as a store failure: a slow store takes 0.3 s. */
const CONCLUSIVE_TIMEOUT_MS = 600;
/** Time for which a peer is skipped after a failed relay. */
const PEER_PAUSE_MS = 2000;

/** Hosts that can relay store calls. */
export interface RelayPeers {
  /** Addresses of the hosts, unordered. */
  addresses(): readonly string[];
  relay(address: string, request: StoreRequest, timeoutMs: number): Promise<Result<StoreReply, CallError>>;
}

type DirectCall<T, E> = (deadline: Deadline) => Promise<Result<T, E>>;

export class RelayedStore implements RevisionedStore {
  private readonly _context: GatewayContext;
  private readonly _direct: RevisionedStore;
  private readonly _pausedUntilMs = new Map<string, number>();
  private _peers: RelayPeers | undefined;
  private _isRelaying = false;
  private _lastReachedMs: number;

  constructor(context: GatewayContext, direct: RevisionedStore) {
    this._context = context;
    this._direct = direct;
    this._lastReachedMs = context.clock.nowMs();
  }

  /** Enables relaying. Called after construction, since the peers are read from the store. */
  setPeers(peers: RelayPeers): void {
    this._peers = peers;
  }

  /** Serves store calls of peers with direct calls only: a relayed call is never relayed again. */
  serve(server: CallRegistry): void {
    server.handle(storeRelayCall, async request => this._serveRelay(request));
    server.handle(reachCall, () => ({ isStoreReachable: !this._isRelaying }));
  }

  /** Milliseconds since the store last answered, directly or through a peer. */
  sinceReachedMs(): number {
    return this._context.clock.nowMs() - this._lastReachedMs;
  }

  /** True while this host cannot reach the store directly. */
  isRelaying(): boolean {
    return this._isRelaying;
  }

  async get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StoreError>> {
    const direct = (limit: Deadline): ReturnType<RevisionedStore['get']> => this._direct.get(key, limit);
    return this._call(direct, deadline, timeoutMs => ({ call: 'get', key, timeoutMs }), 0);
  }

  async list(prefix: string, deadline: Deadline): Promise<Result<readonly StoredValue[], StoreError>> {
    const snapshot = await this.snapshot(prefix, deadline);
    return snapshot.ok ? { ok: true, value: snapshot.value.items } : snapshot;
  }

  async snapshot(prefix: string, deadline: Deadline): Promise<Result<Snapshot, StoreError>> {
    const direct = (limit: Deadline): ReturnType<RevisionedStore['snapshot']> =>
      this._direct.snapshot(prefix, limit);
    return this._call(direct, deadline, timeoutMs => ({ call: 'snapshot', prefix, timeoutMs }), 0);
  }

  async changes(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<Changes, StoreError | 'compacted'>> {
    const direct = (limit: Deadline): ReturnType<RevisionedStore['changes']> =>
      this._direct.changes(prefix, afterRevision, waitMs, limit);
    return this._call(
      direct,
      deadline,
      timeoutMs => ({ call: 'changes', prefix, afterRevision, waitMs, timeoutMs }),
      waitMs,
    );
  }

  async transact(
    compares: readonly Compare[],
    writes: readonly Write[],
    deadline: Deadline,
  ): Promise<Result<TransactionResult, StoreError>> {
    const direct = (limit: Deadline): ReturnType<RevisionedStore['transact']> =>
      this._direct.transact(compares, writes, limit);
    return this._call(direct, deadline, timeoutMs => ({ call: 'transact', compares, writes, timeoutMs }), 0);
  }

  async grantLease(ttlMs: number, deadline: Deadline): Promise<Result<string, StoreError>> {
    const direct = (limit: Deadline): ReturnType<RevisionedStore['grantLease']> =>
      this._direct.grantLease(ttlMs, limit);
    return this._call(direct, deadline, timeoutMs => ({ call: 'grantLease', ttlMs, timeoutMs }), 0);
  }

  async keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>> {
    const direct = (limit: Deadline): ReturnType<RevisionedStore['keepLease']> =>
      this._direct.keepLease(leaseId, limit);
    return this._call(direct, deadline, timeoutMs => ({ call: 'keepLease', leaseId, timeoutMs }), 0);
  }

  async endLease(leaseId: string, deadline: Deadline): Promise<Result<void, StoreError>> {
    const direct = (limit: Deadline): ReturnType<RevisionedStore['endLease']> =>
      this._direct.endLease(leaseId, limit);
    return this._call(direct, deadline, timeoutMs => ({ call: 'endLease', leaseId, timeoutMs }), 0);
  }

  async watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
    signal: AbortSignal,
  ): Promise<WatchEnd> {
    return this._direct.watch(prefix, onEvents, signal);
  }

  /** `waitMs`: how long the call waits at the store before it is answered. */
  private async _call<T, E extends StoreError | 'compacted'>(
    direct: DirectCall<T, E>,
    deadline: Deadline,
    toRequest: (timeoutMs: number) => StoreRequest,
    waitMs: number,
  ): Promise<Result<T, E | StoreError>> {
    if (this._isRelaying) return this._relay<T>(toRequest, deadline, waitMs);
    const limitMs = Math.min(deadline.remainingMs(), DIRECT_TIMEOUT_MS + waitMs) - waitMs;
    const result = await direct(deadline.atMost(DIRECT_TIMEOUT_MS + waitMs));
    if (result.ok || result.error === 'compacted') {
      this._lastReachedMs = this._context.clock.nowMs();
      return result;
    }
    // A call with a short timeout must not switch all calls of the host to relaying because the store is slow.
    const isConclusive = result.error !== 'unknown' || limitMs >= CONCLUSIVE_TIMEOUT_MS;
    if (isConclusive) this._startRelaying(result.error);
    // Only a call that was certainly not executed is relayed at once; otherwise the caller decides.
    if (result.error === 'unknown') return result;
    return this._relay<T>(toRequest, deadline, waitMs);
  }

  private async _relay<T>(
    toRequest: (timeoutMs: number) => StoreRequest,
    deadline: Deadline,
    waitMs: number,
  ): Promise<Result<T, StoreError>> {
    const address = this._choosePeer();
    if (address === undefined || !this._peers || deadline.isOver()) return err('not-done');
    const timeoutMs = Math.min(deadline.remainingMs(), DIRECT_TIMEOUT_MS + waitMs);
    const reply = await this._peers.relay(address, toRequest(timeoutMs), timeoutMs + RELAY_SLACK_MS);
    if (!reply.ok) {
      this._pausePeer(address);
      return err(reply.error.kind === 'not-sent' ? 'not-done' : 'unknown');
    }
    if (reply.value.ok) {
      this._lastReachedMs = this._context.clock.nowMs();
      // The peer made the same call, so the value has the type of that call.
      return { ok: true, value: reply.value.value as T };
    }
    if (reply.value.error !== 'compacted') this._pausePeer(address);
    return err(reply.value.error as StoreError);
  }

  private _availablePeers(): readonly string[] {
    const nowMs = this._context.clock.nowMs();
    return (this._peers?.addresses() ?? []).filter(
      address => (this._pausedUntilMs.get(address) ?? -Infinity) <= nowMs,
    );
  }

  private _choosePeer(): string | undefined {
    const available = this._availablePeers();
    return available[this._context.random.below(Math.max(1, available.length))];
  }

  private _pausePeer(address: string): void {
    this._pausedUntilMs.set(address, this._context.clock.nowMs() + PEER_PAUSE_MS);
  }

  private _startRelaying(error: string): void {
    if (this._isRelaying) return;
    this._isRelaying = true;
    this._context.log.warn('store not directly reachable, relaying calls through peers', { error });
    this._probe();
  }

  private _probe(sincePreviousMs = 0): void {
    const { clock, stopped } = this._context;
    clock.after(ALONE_PROBE_INTERVAL_MS, () => {
      if (stopped.aborted) return;
      const sinceMs = sincePreviousMs + ALONE_PROBE_INTERVAL_MS;
      if (sinceMs < PROBE_INTERVAL_MS && this._availablePeers().length > 0) return this._probe(sinceMs);
      void this._direct.get(PROBE_KEY, Deadline.after(clock, PROBE_TIMEOUT_MS)).then(result => {
        if (!result.ok) return this._probe();
        this._isRelaying = false;
        this._lastReachedMs = clock.nowMs();
        this._context.log.info('store directly reachable again');
      });
    });
  }

  private async _serveRelay(request: StoreRequest): Promise<StoreReply> {
    const deadline = Deadline.after(this._context.clock, request.timeoutMs);
    const result = await runDirect(this._direct, request, deadline);
    return result.ok ? { ok: true, value: result.value } : { ok: false, error: result.error };
  }
}

async function runDirect(
  store: RevisionedStore,
  request: StoreRequest,
  deadline: Deadline,
): Promise<Result<unknown, StoreError | 'compacted'>> {
  switch (request.call) {
    case 'get':
      return store.get(request.key, deadline);
    case 'snapshot':
      return store.snapshot(request.prefix, deadline);
    case 'changes':
      return store.changes(request.prefix, request.afterRevision, request.waitMs, deadline);
    case 'transact':
      return store.transact(request.compares, request.writes.map(toWrite), deadline);
    case 'grantLease':
      return store.grantLease(request.ttlMs, deadline);
    case 'keepLease':
      return store.keepLease(request.leaseId, deadline);
    case 'endLease':
      return store.endLease(request.leaseId, deadline);
  }
}

type RelayedWrite = Extract<StoreRequest, { readonly call: 'transact' }>['writes'][number];

function toWrite(write: RelayedWrite): Write {
  if (write.kind !== 'put' || write.leaseId === undefined) return write;
  return { kind: 'put', key: write.key, value: write.value, leaseId: write.leaseId };
}
