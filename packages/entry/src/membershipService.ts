/**
 * Maintains the view of the hosts in this failure domain, and the member documents of all domains.
 */
import { Deadline, digest, every, messageOf } from '@fuchsiahitch/base';
import {
  HostView,
  isWatcher,
  LeavingEndpoints,
  memberDocumentSchema,
  type HostEntry,
  type LeavingNotice,
  type Member,
  type MemberDocument,
} from '@fuchsiahitch/membership';
import type { MemberList } from '@fuchsiahitch/clients';
import { calls, type Ping } from '@fuchsiahitch/protocol';
import type { HostContext } from './hostContext.js';
import type { CallRegistry, PeerCaller } from './hostPorts.js';

const PING_PERIOD_MS = 1000;
const PING_TIMEOUT_MS = 800;
const PULL_TIMEOUT_MS = 2000;
const LIST_PERIOD_MS = 2000;
const LIST_TIMEOUT_MS = 1500;
/** The documents of other domains are read once in this many rounds. */
const OTHER_DOMAINS_READ_ROUNDS = 2;
/** The number of peers that are asked to ping an unresponsive host before it becomes suspect. */
const INDIRECT_PEERS = 2;

/** Supplies the revisions that a ping carries, and receives those of peers. */
export interface RevisionTracker {
  rulesRevision(): number;
  slotMapRevision(): number;
  onPeerRevisions(address: string, ping: Ping): void;
}

export class MembershipService {
  readonly view: HostView;
  readonly leaving: LeavingEndpoints;
  private readonly _context: HostContext;
  private readonly _peers: PeerCaller;
  private readonly _list: MemberList;
  private readonly _documents = new Map<string, MemberDocument>();
  private readonly _listeners: (() => void)[] = [];
  private _revisionTracker: RevisionTracker | undefined;
  private _membersDigest = '';
  private _listRound = 0;

  constructor(context: HostContext, peers: PeerCaller, list: MemberList, peersAddress: string) {
    const { hostId, incarnation, clock, random } = context;
    this.view = new HostView({ hostId, incarnation, address: peersAddress }, clock, random);
    this.leaving = new LeavingEndpoints(clock);
    this._context = context;
    this._peers = peers;
    this._list = list;
  }

  /** Registers a listener that is called whenever a member document has changed. */
  onDocumentsChange(listener: () => void): void {
    this._listeners.push(listener);
  }

  register(server: CallRegistry): void {
    server.handle(calls.ping, ping => this._onPing(ping));
    server.handle(calls.pingFor, async ({ hostId, address }) => ({
      isAlive: await this._ping(hostId, address),
    }));
    server.handle(calls.join, ({ self }) => {
      this.view.apply(self);
      return { updates: this.view.allUpdates() };
    });
    server.handle(calls.membersPull, ({ known }) => ({
      documents: this.documents().filter(({ domain, revision }) => revision > (known[domain] ?? 0)),
    }));
    server.handle(calls.leavingPush, notice => {
      this.leaving.note(notice);
      return {};
    });
  }

  /** Reads the membership list, joins the peers and starts to ping. */
  async start(revisionTracker: RevisionTracker): Promise<void> {
    this._revisionTracker = revisionTracker;
    const { clock, stopped, settings } = this._context;
    await this._readList();
    await Promise.all(settings.seeds.map(address => this._join(address)));
    await Promise.all(this.view.members().map(member => this._join(member.address)));
    every(clock, PING_PERIOD_MS, stopped, () => this._pingNext());
    every(clock, LIST_PERIOD_MS, stopped, () => this._readList());
  }

  documents(): readonly MemberDocument[] {
    return [...this._documents.values()];
  }

  /** Returns the hosts of a failure domain that are live according to the membership list. */
  liveHostsOf(domain: string): readonly HostEntry[] {
    return (this._documents.get(domain)?.hosts ?? []).filter(host => host.state === 'live');
  }

  /** Returns the address of a random live host of a failure domain, empty if none is known. */
  randomAddressOf(domain: string): string {
    const hosts = this.liveHostsOf(domain);
    const host = hosts[this._context.random.below(Math.max(1, hosts.length))];
    return host?.peerAddress ?? '';
  }

  /** Returns the address of a host of this failure domain, empty if unknown. */
  addressOf(hostId: string): string {
    if (hostId === this._context.hostId) return this.view.self().address;
    return this.view.find(hostId)?.address ?? '';
  }

  /** Returns the peers of this failure domain that are not dead, including suspects. */
  livePeers(): readonly Member[] {
    return this.view.members().filter(member => member.state !== 'dead');
  }

  /** Records that an endpoint is leaving, and notifies the peers if this is new. */
  announceLeaving(notice: LeavingNotice): void {
    if (!this.leaving.note(notice)) return;
    this._context.log.info('endpoint is leaving', { endpoint: notice.endpointId });
    for (const peer of this.livePeers()) {
      void this._peers.call(peer.address, calls.leavingPush, notice, PULL_TIMEOUT_MS);
    }
  }

  private _onPing(ping: Ping): Ping {
    this._applyPing(ping);
    return this._createPing();
  }

  private _createPing(): Ping {
    return {
      updates: this.view.updatesToSend(),
      rulesRevision: this._revisionTracker?.rulesRevision() ?? 0,
      slotMapRevision: this._revisionTracker?.slotMapRevision() ?? 0,
      membersDigest: this._membersDigest,
      leaving: this.leaving.recentNotices().slice(0, 256),
    };
  }

  private _applyPing(ping: Ping): void {
    for (const update of ping.updates) this.view.apply(update);
    for (const notice of ping.leaving) this.leaving.note(notice);
    const [sender] = ping.updates;
    if (!sender) return;
    this._revisionTracker?.onPeerRevisions(sender.address, ping);
    const isUpToDate = ping.membersDigest === this._membersDigest || ping.membersDigest === '';
    if (!isUpToDate) void this._pullDocuments(sender.address);
  }

  private async _pingNext(): Promise<void> {
    this.view.tick();
    const member = this.view.nextPing();
    if (!member) return;
    if (await this._ping(member.hostId, member.address)) return;
    if (!(await this._pingIndirectly(member))) this.view.pingFailed(member.hostId);
  }

  private async _ping(hostId: string, address: string): Promise<boolean> {
    const reply = await this._peers.call(address, calls.ping, this._createPing(), PING_TIMEOUT_MS);
    if (!reply.ok) return false;
    const [sender] = reply.value.updates;
    if (sender?.hostId !== hostId) return false;
    this._applyPing(reply.value);
    this.view.pingAnswered(hostId, sender.incarnation);
    return true;
  }

  private async _pingIndirectly(unresponsive: Member): Promise<boolean> {
    const { random } = this._context;
    const others = this.livePeers().filter(peer => peer.hostId !== unresponsive.hostId);
    const helpers = Array.from(
      { length: Math.min(INDIRECT_PEERS, others.length) },
      () => others[random.below(others.length)],
    );
    const request = { hostId: unresponsive.hostId, address: unresponsive.address };
    const replies = await Promise.all(
      helpers.map(peer => this._peers.call(peer?.address ?? '', calls.pingFor, request, 2 * PING_TIMEOUT_MS)),
    );
    return replies.some(reply => reply.ok && reply.value.isAlive);
  }

  private async _join(address: string): Promise<void> {
    const reply = await this._peers.call(address, calls.join, { self: this.view.self() }, PULL_TIMEOUT_MS);
    if (!reply.ok) return;
    for (const update of reply.value.updates) this.view.apply(update);
  }

  private async _pullDocuments(address: string): Promise<void> {
    const request = { known: this._documentRevisions() };
    const reply = await this._peers.call(address, calls.membersPull, request, PULL_TIMEOUT_MS);
    if (!reply.ok) return;
    for (const document of reply.value.documents) this._applyDocument(document);
  }

  /** After the first read, only watchers read the list. Other hosts learn of changes through pings. */
  private async _readList(): Promise<void> {
    const { domain, domains, hostId } = this._context;
    const hasOwnDocument = this._documents.has(domain);
    if (hasOwnDocument && !isWatcher('members', hostId, this.view.liveIds())) return;
    const includesOtherDomains = this._listRound % OTHER_DOMAINS_READ_ROUNDS === 0;
    this._listRound += 1;
    const domainsToRead = includesOtherDomains ? domains : [domain];
    await Promise.all(domainsToRead.map(name => this._readDomain(name)));
  }

  private async _readDomain(domain: string): Promise<void> {
    const raw = await this._list.read(domain, Deadline.after(this._context.clock, LIST_TIMEOUT_MS));
    if (raw === undefined) return;
    const parsed = memberDocumentSchema.safeParse(raw);
    if (parsed.success) this._applyDocument(parsed.data);
    else
      this._context.log.error('invalid membership list ignored', {
        domain,
        problem: messageOf(parsed.error),
      });
  }

  private _documentRevisions(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.documents().map(({ domain, revision }) => [domain, revision]));
  }

  private _applyDocument(document: MemberDocument): void {
    if (document.revision <= (this._documents.get(document.domain)?.revision ?? -1)) return;
    this._documents.set(document.domain, document);
    this._membersDigest = digest(JSON.stringify(Object.entries(this._documentRevisions()).sort()));
    if (document.domain === this._context.domain) {
      for (const host of document.hosts) this.view.addListedHost(host.id, host.peerAddress);
    }
    for (const listener of this._listeners) listener();
  }
}
