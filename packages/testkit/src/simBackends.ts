/**
 * Simulated back ends of a deployment on a virtual clock, with fault injection and records of executed calls.
 */
import { err, ok, type Deadline, type Result } from '@fuchsiahitch/base';
import type { MemberDocument } from '@fuchsiahitch/membership';
import type {
  Compare,
  EngineClient,
  EngineReport,
  GenerationChunk,
  GenerationResult,
  GenerationRequest,
  KeyValueStore,
  MemberList,
  OrderAnswer,
  Scorer,
  ScoreRequest,
  ScoreResult,
  ServiceClient,
  ServiceResult,
  ServiceRequest,
  StoredValue,
  StoreError,
  TransactionResult,
  WatchEnd,
  WatchEvent,
  Write,
} from '@fuchsiahitch/clients';
import type { SimNet, SimProcess } from './simulation.js';

const CALL_TIMEOUT_MS = 2000;
const MS_PER_SECOND = 1000;

/** Called when a request or sample reaches a stage, so that a test can inject a fault there. */
export type StageListener = (stage: string) => void;

interface Entry {
  readonly value: string;
  readonly version: number;
  readonly leaseId: string | undefined;
}

interface SimLease {
  readonly ttlMs: number;
  untilMs: number;
}

export class SimStore {
  isDown = false;
  /** Number of transactions that take effect but get no reply. */
  loseAnswers = 0;
  areWatchesSilent = false;
  calls = 0;
  writes = 0;
  readonly process: SimProcess;
  readonly onPut: ((key: string) => void)[] = [];
  private readonly _entries = new Map<string, Entry>();
  private readonly _leases = new Map<string, SimLease>();
  private readonly _watches = new Set<{
    readonly prefix: string;
    readonly notify: (events: readonly WatchEvent[]) => void;
  }>();
  private _version = 0;

  constructor(process: SimProcess) {
    this.process = process;
  }

  list(prefix: string): readonly StoredValue[] {
    this._expire();
    return [...this._entries]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, { value, version }]) => ({ key, value, version }));
  }

  transact(compares: readonly Compare[], writes: readonly Write[]): TransactionResult {
    this._expire();
    const succeeded = compares.every(
      ({ key, version }) => (this._entries.get(key)?.version ?? 0) === version,
    );
    if (!succeeded) return { succeeded, version: this._version };
    this._version += 1;
    this.writes += 1;
    for (const write of writes) this._write(write);
    return { succeeded, version: this._version };
  }

  grant(ttlMs: number): string {
    const id = String(this._leases.size + 1);
    this._leases.set(id, { ttlMs, untilMs: this.process.nowMs() + ttlMs });
    return id;
  }

  keep(leaseId: string): boolean {
    this._expire();
    const lease = this._leases.get(leaseId);
    if (lease) lease.untilMs = this.process.nowMs() + lease.ttlMs;
    return lease !== undefined;
  }

  /** Expires all leases at once, as if their holders had not renewed them. */
  expireLeases(): void {
    for (const lease of this._leases.values()) lease.untilMs = -1;
    this._expire();
  }

  watch(prefix: string, notify: (events: readonly WatchEvent[]) => void): () => void {
    const watch = { prefix, notify };
    this._watches.add(watch);
    return () => this._watches.delete(watch);
  }

  /** Returns a copy of the content; `restore` brings it back, as a restore from an old backup does. */
  save(): ReadonlyMap<string, Entry> {
    return new Map(this._entries);
  }

  restore(saved: ReadonlyMap<string, Entry>): void {
    this._entries.clear();
    for (const [key, entry] of saved) this._entries.set(key, entry);
  }

  private _write(write: Write): void {
    if (write.kind === 'put') {
      const { key, value, leaseId } = write;
      this._entries.set(key, { value, version: this._version, leaseId });
      this._notify({ key, value, version: this._version });
      for (const listener of this.onPut) listener(key);
      return;
    }
    const isDeleted = (key: string): boolean =>
      write.kind === 'delete' ? key === write.key : key.startsWith(write.prefix);
    for (const key of [...this._entries.keys()].filter(isDeleted)) {
      this._entries.delete(key);
      this._notify({ key, value: undefined, version: this._version });
    }
  }

  private _notify(event: WatchEvent): void {
    if (this.areWatchesSilent) return;
    for (const watch of this._watches) if (event.key.startsWith(watch.prefix)) watch.notify([event]);
  }

  private _expire(): void {
    for (const [id, lease] of this._leases) {
      if (lease.untilMs > this.process.nowMs()) continue;
      this._leases.delete(id);
      for (const [key, entry] of this._entries)
        if (entry.leaseId === id) this._write({ kind: 'delete', key });
    }
  }
}

/** A host's client of the key-value service. */
export class SimStoreClient implements KeyValueStore {
  private readonly _store: SimStore;
  private readonly _host: SimProcess;
  private readonly _net: SimNet;

  constructor(store: SimStore, host: SimProcess, net: SimNet) {
    this._store = store;
    this._host = host;
    this._net = net;
  }

  async get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StoreError>> {
    return this._call(deadline, () => this._store.list(key).find(value => value.key === key));
  }

  async list(prefix: string, deadline: Deadline): Promise<Result<readonly StoredValue[], StoreError>> {
    return this._call(deadline, () => this._store.list(prefix));
  }

  async transact(
    compares: readonly Compare[],
    writes: readonly Write[],
    deadline: Deadline,
  ): Promise<Result<TransactionResult, StoreError>> {
    return this._call(deadline, () => this._store.transact(compares, writes), true);
  }

  async grantLease(ttlMs: number, deadline: Deadline): Promise<Result<string, StoreError>> {
    return this._call(deadline, () => this._store.grant(ttlMs));
  }

  async keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>> {
    return this._call(deadline, () => this._store.keep(leaseId));
  }

  async watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
    signal: AbortSignal,
  ): Promise<WatchEnd> {
    if (this._store.isDown || this._net.isCut(this._host, this._store.process)) return 'failed';
    return new Promise(resolve => {
      const stop = this._store.watch(prefix, events => {
        void this._net.call(this._store.process, this._host, CALL_TIMEOUT_MS, () => onEvents(events));
      });
      signal.addEventListener('abort', () => {
        stop();
        resolve('closed');
      });
    });
  }

  private async _call<T>(
    deadline: Deadline,
    execute: () => T,
    isWrite = false,
  ): Promise<Result<T, StoreError>> {
    const reply = await this._net.call(
      this._host,
      this._store.process,
      Math.min(CALL_TIMEOUT_MS, deadline.remainingMs()),
      () => {
        this._store.calls += 1;
        if (this._store.isDown) return new Promise<{ readonly value: T }>(() => undefined);
        const value = execute();
        if (isWrite && this._store.loseAnswers > 0) {
          this._store.loseAnswers -= 1;
          return new Promise<{ readonly value: T }>(() => undefined);
        }
        return { value };
      },
    );
    return reply ? ok(reply.value) : err('unknown');
  }
}

/** An engine that records the weight version of each generated token. */
export class SimEngine {
  readonly process: SimProcess;
  version = 1;
  startId = 1;
  isLeaving = false;
  failSwaps = 0;
  /** Milliseconds per token. */
  tokenMs = 20;
  inFlight = 0;
  /** Weight version of each generated token, by sample ID. */
  readonly made = new Map<string, number[]>();
  /** Time of the first token, by sample ID. */
  readonly firstTokenMs = new Map<string, number>();
  readonly orders: { readonly version: number; readonly token: number }[] = [];
  private readonly _swapMs = 300;
  private _isCrashed = false;
  crashes = 0;

  constructor(process: SimProcess) {
    this.process = process;
  }

  get isCrashed(): boolean {
    return this._isCrashed;
  }

  crash(restartAfterMs: number): void {
    this._isCrashed = true;
    this.crashes += 1;
    this.inFlight = 0;
    this.process.after(restartAfterMs, () => {
      this._isCrashed = false;
      this.startId += 1;
    });
  }

  /** Accepts an order and loads the version later. With `failSwaps`, the order is accepted but the load is dropped. */
  order(version: number, token: number): OrderAnswer {
    this.orders.push({ version, token });
    if (this.failSwaps > 0) {
      this.failSwaps -= 1;
      return 'accepted';
    }
    this.process.after(this._swapMs, () => {
      this.version = version;
    });
    return 'accepted';
  }

  report(): EngineReport {
    const { inFlight, version, isLeaving } = this;
    return { inFlight, queued: 0, version, startId: String(this.startId), isLeaving };
  }
}

/** Delay after which a crashed engine is restarted. */
const ENGINE_RESTART_MS = 2000;

/** Returns the number of tokens generated for a prompt. Deterministic; a prompt that ends in `tail` gets 60 more. */
export function completionLength(prompt: string): number {
  return 4 + (prompt.length % 3) + (prompt.endsWith('tail') ? 60 : 0);
}

/** A host's client of the engines. */
export class SimEngineClient implements EngineClient {
  private readonly _engines: ReadonlyMap<string, SimEngine>;
  private readonly _host: SimProcess;
  private readonly _net: SimNet;
  private readonly _onStage: StageListener;

  constructor(
    engines: ReadonlyMap<string, SimEngine>,
    host: SimProcess,
    net: SimNet,
    onStage: StageListener,
  ) {
    this._engines = engines;
    this._host = host;
    this._net = net;
    this._onStage = onStage;
  }

  async generate(
    request: GenerationRequest,
    onChunks: (chunks: readonly GenerationChunk[]) => Promise<void> | void,
    signal: AbortSignal,
  ): Promise<GenerationResult> {
    const engine = this._engines.get(request.url);
    if (!engine || !this._isReachable(engine))
      return { kind: 'not-run', isUnreachable: true, isLeaving: false, retryAfterMs: 0 };
    if (engine.isLeaving) return { kind: 'not-run', isUnreachable: false, isLeaving: true, retryAfterMs: 0 };
    if (request.prompt.includes('poison')) return { kind: 'failed', status: 400 };
    if (request.prompt.includes('deadly')) {
      engine.crash(ENGINE_RESTART_MS);
      return { kind: 'broken' };
    }
    const { startId } = engine;
    engine.inFlight += 1;
    try {
      return await this._stream(engine, startId, request, onChunks, signal);
    } finally {
      if (engine.startId === startId && !engine.isCrashed) engine.inFlight -= 1;
    }
  }

  async report(url: string): Promise<EngineReport | undefined> {
    const engine = this._engines.get(url);
    this._onStage('report');
    if (!engine || !this._isReachable(engine)) return undefined;
    return this._net.call(this._host, engine.process, CALL_TIMEOUT_MS, () => engine.report());
  }

  async order(url: string, version: number, token: number): Promise<OrderAnswer> {
    const engine = this._engines.get(url);
    if (!engine || !this._isReachable(engine)) return 'failed';
    return (
      (await this._net.call(this._host, engine.process, CALL_TIMEOUT_MS, () =>
        engine.order(version, token),
      )) ?? 'unknown'
    );
  }

  private _isReachable(engine: SimEngine): boolean {
    return !engine.isCrashed && !this._net.isCut(this._host, engine.process);
  }

  private async _stream(
    engine: SimEngine,
    startId: number,
    request: GenerationRequest,
    onChunks: (chunks: readonly GenerationChunk[]) => Promise<void> | void,
    signal: AbortSignal,
  ): Promise<GenerationResult> {
    const length = Math.min(request.maxTokens, completionLength(request.prompt));
    const versions = engine.made.get(request.requestId) ?? [];
    engine.made.set(request.requestId, versions);
    for (let i = request.resumeTokens; i < length; i++) {
      await new Promise<void>(resolve => this._host.after(engine.tokenMs, resolve));
      if (signal.aborted) return { kind: 'cancelled' };
      if (!this._isReachable(engine) || engine.startId !== startId) return { kind: 'broken' };
      versions[i] = engine.version;
      if (!engine.firstTokenMs.has(request.requestId))
        engine.firstTokenMs.set(request.requestId, this._host.nowMs());
      await onChunks([{ text: `${i} `, tokens: 1, version: engine.version }]);
      if (i === request.resumeTokens + 1) this._onStage('generating');
    }
    this._onStage('generated');
    return { kind: 'done', tokens: length, finishReason: 'stop' };
  }
}

/** A plain service that counts executions per idempotency key. Calls do not go through the simulated network. */
export class SimService implements ServiceClient {
  readonly executionCounts = new Map<string, number>();
  refuse = 0;
  loseAnswers = 0;
  callMs = 5;
  private readonly _host: SimProcess;

  constructor(host: SimProcess) {
    this._host = host;
  }

  async call(service: ServiceRequest, onHead: () => void, signal: AbortSignal): Promise<ServiceResult> {
    if (this.refuse > 0) {
      this.refuse -= 1;
      return { kind: 'not-run', isUnreachable: false, isLeaving: false, retryAfterMs: 0 };
    }
    const key = service.headers['idempotency-key'] ?? service.path;
    this.executionCounts.set(key, (this.executionCounts.get(key) ?? 0) + 1);
    await new Promise<void>(resolve => this._host.after(this.callMs, resolve));
    if (signal.aborted) return { kind: 'cancelled' };
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return { kind: 'broken' };
    }
    onHead();
    return {
      kind: 'answered',
      status: 200,
      contentType: 'text/plain',
      body: Buffer.from(key),
      isLeaving: false,
    };
  }
}

/** A scoring service that counts how often each sample was scored. */
export class SimScorer {
  readonly process: SimProcess;
  readonly scoreCounts = new Map<string, number>();
  loseAnswers = 0;

  constructor(process: SimProcess) {
    this.process = process;
  }
}

/** A host's client of the scorer. */
export class SimScorerClient implements Scorer {
  private readonly _scorer: SimScorer;
  private readonly _host: SimProcess;
  private readonly _net: SimNet;
  private readonly _onStage: StageListener;

  constructor(scorer: SimScorer, host: SimProcess, net: SimNet, onStage: StageListener) {
    this._scorer = scorer;
    this._host = host;
    this._net = net;
    this._onStage = onStage;
  }

  async score(sample: ScoreRequest, deadline: Deadline): Promise<ScoreResult> {
    this._onStage('scoring');
    return this._callScorer(deadline, () => {
      this._scorer.scoreCounts.set(sample.sampleId, (this._scorer.scoreCounts.get(sample.sampleId) ?? 0) + 1);
      this._onStage('scored');
      return { kind: 'scored', score: 1 };
    });
  }

  async find(sampleId: string, deadline: Deadline): Promise<ScoreResult> {
    return this._callScorer(deadline, () =>
      this._scorer.scoreCounts.has(sampleId) ? { kind: 'scored', score: 1 } : { kind: 'not-scored' },
    );
  }

  private async _callScorer(deadline: Deadline, execute: () => ScoreResult): Promise<ScoreResult> {
    const reply = await this._net.call(this._host, this._scorer.process, deadline.remainingMs(), () => {
      const result = execute();
      if (this._scorer.loseAnswers === 0) return result;
      this._scorer.loseAnswers -= 1;
      return new Promise<ScoreResult>(() => undefined);
    });
    return reply ?? { kind: 'unknown' };
  }
}

/** The membership list. Changes become visible after `lagMs`. */
export class SimMemberList {
  lagMs = 1000;
  readonly process: SimProcess;
  private readonly _documents = new Map<string, MemberDocument>();

  constructor(process: SimProcess) {
    this.process = process;
  }

  read(domain: string): MemberDocument | undefined {
    return this._documents.get(domain);
  }

  change(
    domain: string,
    change: (document: MemberDocument) => Omit<MemberDocument, 'revision' | 'domain'>,
    lagMs = this.lagMs,
  ): void {
    const apply = (): void => {
      const last = this._documents.get(domain) ?? { domain, revision: 0, hosts: [], endpoints: [] };
      this._documents.set(domain, { domain, revision: last.revision + 1, ...change(last) });
    };
    if (lagMs === 0) apply();
    else this.process.after(lagMs, apply);
  }
}

/** A host's client of the membership list. */
export class SimMemberListClient implements MemberList {
  private readonly _list: SimMemberList;
  private readonly _host: SimProcess;
  private readonly _net: SimNet;

  constructor(list: SimMemberList, host: SimProcess, net: SimNet) {
    this._list = list;
    this._host = host;
    this._net = net;
  }

  async read(domain: string, deadline: Deadline): Promise<unknown> {
    const reply = await this._net.call(
      this._host,
      this._list.process,
      Math.min(MS_PER_SECOND, deadline.remainingMs()),
      () => ({
        document: this._list.read(domain),
      }),
    );
    return reply?.document;
  }
}
