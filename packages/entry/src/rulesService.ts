/**
 * Maintains the rules in force on this host and accepts edits from operators. Watchers read changes from the store,
 * other hosts receive them from peers.
 */
import { every, sleep, type Result } from '@fuchsiahitch/base';
import { isWatcher } from '@fuchsiahitch/membership';
import type { KeyValueStore, WatchEvent } from '@fuchsiahitch/clients';
import { calls } from '@fuchsiahitch/protocol';
import {
  RuleEvaluator,
  RuleEditor,
  RuleHistory,
  type Edit,
  type EditOutcome,
  type NumberedEdit,
  type RuleDocument,
  type RuleStore,
  type RuleStoreError,
  type SignalReader,
  type StoredRules,
} from '@fuchsiahitch/rules';
import type { HostContext } from './hostContext.js';
import type { MembershipService } from './membershipService.js';
import type { CallRegistry, PeerCaller } from './hostPorts.js';
import { parseEdit, RULES_PREFIX } from './keyValueRuleStore.js';

/** Watchers also poll the store, because a watch can stop delivering events without ending. */
const READ_PERIOD_MS = 5000;
const PULL_TIMEOUT_MS = 2000;
const WATCH_PAUSE_MS = 500;

export class RulesService {
  private readonly _context: HostContext;
  private readonly _store: KeyValueStore;
  private readonly _ruleStore: RuleStore;
  private readonly _membership: MembershipService;
  private readonly _peers: PeerCaller;
  private readonly _signals: SignalReader;
  private readonly _history = new RuleHistory();
  private readonly _editor: RuleEditor;
  private _evaluator: RuleEvaluator;
  private _hasRules = false;
  private _pendingPull: Promise<void> | undefined;

  constructor(
    context: HostContext,
    store: KeyValueStore,
    rules: RuleStore,
    membership: MembershipService,
    peers: PeerCaller,
    signals: SignalReader,
  ) {
    this._context = context;
    this._store = store;
    this._ruleStore = rules;
    this._membership = membership;
    this._peers = peers;
    this._signals = signals;
    this._editor = new RuleEditor(rules, () => this._history.document());
    this._evaluator = new RuleEvaluator(this._history.document(), context.clock, signals);
  }

  register(server: CallRegistry): void {
    server.handle(calls.rulesPull, ({ after }) => {
      const edits = this._history.editsAfter(after);
      if (after >= this.revision()) return { kind: 'none' as const };
      if (edits) return { kind: 'edits' as const, edits };
      return { kind: 'document' as const, document: this._history.document() };
    });
    server.handle(calls.rulesPush, (numbered, { peer }) => {
      const address = this._membership.addressOf(peer.hostId);
      if (this._applyEdit(numbered) === 'gap') void this.pullFrom(address);
      return { revision: this.revision() };
    });
  }

  start(): void {
    const { clock, stopped } = this._context;
    every(clock, READ_PERIOD_MS, stopped, () => this._readIfWatcher());
    every(clock, WATCH_PAUSE_MS, stopped, () => this._watchIfWatcher());
  }

  evaluator(): RuleEvaluator {
    return this._evaluator;
  }

  revision(): number {
    return this._history.revision();
  }

  /**
   * True once the rules were received from the store or a peer. Until then the host is not ready, so that a restart
   * without a reachable store does not serve requests under empty rules.
   */
  hasRules(): boolean {
    return this._hasRules;
  }

  /** Pulls the rules from a peer that has a later revision. An equal revision confirms the rules of this host. */
  async onPeerRevision(address: string, revision: number): Promise<void> {
    if (revision > this.revision()) await this.pullFrom(address);
    else if (revision === this.revision() && revision > 0) this._hasRules = true;
  }

  async pullFrom(address: string): Promise<void> {
    this._pendingPull ??= this._pull(address).finally(() => {
      this._pendingPull = undefined;
    });
    await this._pendingPull;
  }

  async readStore(): Promise<Result<StoredRules, RuleStoreError>> {
    const loaded = await this._editor.loadRepaired();
    if (loaded.ok) {
      this._hasRules = true;
      this._applyDocument(loaded.value.document);
    }
    return loaded;
  }

  /** Submits an edit. If accepted, it is applied here and pushed to peers. Watchers of other domains read it. */
  async submit(edit: Edit): Promise<EditOutcome> {
    const outcome = await this._editor.submit(edit);
    if (outcome.kind === 'accepted') {
      const numbered = { revision: outcome.revision, edit };
      if (this._applyEdit(numbered) === 'gap') this._applyDocument(outcome.document);
      this._pushToPeers(numbered);
    }
    this._context.log.info('rule edit submitted', { edit: edit.id, team: edit.team, outcome: outcome.kind });
    return outcome;
  }

  private async _pull(address: string): Promise<void> {
    const reply = await this._peers.call(
      address,
      calls.rulesPull,
      { after: this.revision() },
      PULL_TIMEOUT_MS,
    );
    if (!reply.ok) return;
    this._hasRules = true;
    if (reply.value.kind === 'document') this._applyDocument(reply.value.document);
    if (reply.value.kind === 'edits') for (const numbered of reply.value.edits) this._applyEdit(numbered);
  }

  private async _readIfWatcher(): Promise<void> {
    if (this._hasRules && !this._isWatcher()) return;
    await this.readStore();
  }

  private async _watchIfWatcher(): Promise<void> {
    if (!this._isWatcher()) return;
    const { clock, stopped } = this._context;
    const ended = new AbortController();
    const stop = (): void => ended.abort();
    stopped.addEventListener('abort', stop);
    // End the watch when this host is no longer a watcher, because each open watch counts as a call to the store.
    every(clock, READ_PERIOD_MS, ended.signal, () => {
      if (!this._isWatcher()) stop();
    });
    const end = await this._store.watch(RULES_PREFIX, events => this._onEvents(events), ended.signal);
    stop();
    stopped.removeEventListener('abort', stop);
    if (end === 'compacted') await this.readStore();
    await sleep(clock, this._context.random.below(WATCH_PAUSE_MS), stopped);
  }

  private _onEvents(events: readonly WatchEvent[]): void {
    for (const event of events) {
      const numbered = event.value === undefined ? undefined : parseEdit(event.key, event.value);
      const isSnapshot = event.key === `${RULES_PREFIX}snapshot`;
      if (!numbered) {
        if (isSnapshot) void this.readStore();
        continue;
      }
      if (this._applyEdit(numbered) === 'gap') void this.readStore();
      this._pushToPeers(numbered);
    }
  }

  private _applyEdit(numbered: NumberedEdit): 'taken' | 'old' | 'gap' {
    const result = this._history.offerEdit(numbered);
    if (result === 'taken') this._rebuildEvaluator();
    return result;
  }

  private _applyDocument(document: RuleDocument): void {
    if (this._history.offerDocument(document) === 'taken') this._rebuildEvaluator();
  }

  private _rebuildEvaluator(): void {
    this._hasRules = true;
    this._evaluator = new RuleEvaluator(this._history.document(), this._context.clock, this._signals);
    this._context.log.info('rules in force', { revision: this.revision() });
  }

  private _pushToPeers(numbered: NumberedEdit): void {
    for (const peer of this._membership.livePeers()) {
      void this._peers.call(peer.address, calls.rulesPush, numbered, PULL_TIMEOUT_MS);
    }
  }

  private _isWatcher(): boolean {
    return isWatcher('rules', this._context.hostId, this._membership.view.liveIds());
  }
}
