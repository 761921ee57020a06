/**
 * Keeps the rules in force on this host: watches the store where it is a watcher, hears from peers where not,
 * and accepts operators' edits.
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

/** A watch can fall silent without ending, so watchers also read the store this often. */
const READ_PERIOD_MS = 5000;
const PULL_TIMEOUT_MS = 2000;
const WATCH_PAUSE_MS = 500;

export class RulesService {
  private readonly _context: HostContext;
  private readonly _store: KeyValueStore;
  private readonly _rules: RuleStore;
  private readonly _membership: MembershipService;
  private readonly _peers: PeerCaller;
  private readonly _signals: SignalReader;
  private readonly _history = new RuleHistory();
  private readonly _editor: RuleEditor;
  private _book: RuleEvaluator;
  private _isKnown = false;
  private _pulling: Promise<void> | undefined;

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
    this._rules = rules;
    this._membership = membership;
    this._peers = peers;
    this._signals = signals;
    this._editor = new RuleEditor(rules, () => this._history.document());
    this._book = new RuleEvaluator(this._history.document(), context.clock, signals);
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
      if (this._offer(numbered) === 'gap') void this.pullFrom(address);
      return { revision: this.revision() };
    });
  }

  start(): void {
    const { clock, stopped } = this._context;
    every(clock, READ_PERIOD_MS, stopped, () => this._readIfWatcher());
    every(clock, WATCH_PAUSE_MS, stopped, () => this._watchIfWatcher());
  }

  /** The rules to decide by. */
  evaluator(): RuleEvaluator {
    return this._book;
  }

  revision(): number {
    return this._history.revision();
  }

  /**
   * True once this host heard of the rules from the store or a peer. Until then it is not ready: a host that
   * restarts with no store in reach must not serve by empty rules.
   */
  hasRules(): boolean {
    return this._isKnown;
  }

  /** A peer is ahead, or has the same rules: both show that this host's are known. */
  async onPeerRevision(address: string, revision: number): Promise<void> {
    if (revision > this.revision()) await this.pullFrom(address);
    else if (revision === this.revision() && revision > 0) this._isKnown = true;
  }

  async pullFrom(address: string): Promise<void> {
    this._pulling ??= this._pull(address).finally(() => {
      this._pulling = undefined;
    });
    await this._pulling;
  }

  /** Reads the rules from the store: for the start, and for operators. */
  async readStore(): Promise<Result<StoredRules, RuleStoreError>> {
    const loaded = await this._editor.loadRepaired();
    if (loaded.ok) {
      this._isKnown = true;
      this._offerDocument(loaded.value.document);
    }
    return loaded;
  }

  /** Accepts an edit and puts it in force here; peers are told at once, and other domains by their watchers. */
  async submit(edit: Edit): Promise<EditOutcome> {
    const outcome = await this._editor.submit(edit);
    if (outcome.kind === 'accepted') {
      const numbered = { revision: outcome.revision, edit };
      if (this._offer(numbered) === 'gap') this._offerDocument(outcome.document);
      this._push(numbered);
    }
    this._context.log.info('rule edit', { edit: edit.id, team: edit.team, outcome: outcome.kind });
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
    this._isKnown = true;
    if (reply.value.kind === 'document') this._offerDocument(reply.value.document);
    if (reply.value.kind === 'edits') for (const numbered of reply.value.edits) this._offer(numbered);
  }

  private async _readIfWatcher(): Promise<void> {
    if (this._isKnown && !this._isWatcher()) return;
    await this.readStore();
  }

  private async _watchIfWatcher(): Promise<void> {
    if (!this._isWatcher()) return;
    const { clock, stopped } = this._context;
    const ended = new AbortController();
    const stop = (): void => ended.abort();
    stopped.addEventListener('abort', stop);
    // A host that is no watcher any more gives its watch back: each one waiting counts as a call.
    every(clock, READ_PERIOD_MS, ended.signal, () => {
      if (!this._isWatcher()) stop();
    });
    const end = await this._store.watch(RULES_PREFIX, events => this._sawEvents(events), ended.signal);
    stop();
    stopped.removeEventListener('abort', stop);
    if (end === 'compacted') await this.readStore();
    await sleep(clock, this._context.random.below(WATCH_PAUSE_MS), stopped);
  }

  private _sawEvents(events: readonly WatchEvent[]): void {
    for (const event of events) {
      const numbered = event.value === undefined ? undefined : parseEdit(event.key, event.value);
      const isSnapshot = event.key === `${RULES_PREFIX}snapshot`;
      if (!numbered) {
        if (isSnapshot) void this.readStore();
        continue;
      }
      if (this._offer(numbered) === 'gap') void this.readStore();
      this._push(numbered);
    }
  }

  private _offer(numbered: NumberedEdit): 'taken' | 'old' | 'gap' {
    const result = this._history.offerEdit(numbered);
    if (result === 'taken') this._rebuild();
    return result;
  }

  private _offerDocument(document: RuleDocument): void {
    if (this._history.offerDocument(document) === 'taken') this._rebuild();
  }

  private _rebuild(): void {
    this._isKnown = true;
    this._book = new RuleEvaluator(this._history.document(), this._context.clock, this._signals);
    this._context.log.info('rules in force', { revision: this.revision() });
  }

  private _push(numbered: NumberedEdit): void {
    for (const peer of this._membership.livePeers()) {
      void this._peers.call(peer.address, calls.rulesPush, numbered, PULL_TIMEOUT_MS);
    }
  }

  private _isWatcher(): boolean {
    return isWatcher('rules', this._context.hostId, this._membership.view.liveIds());
  }
}
