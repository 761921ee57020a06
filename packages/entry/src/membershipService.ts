/**
 * Keeps the view of the failure domain's hosts, and the member documents of all domains.
 */
import { Deadline, digest, every, messageOf } from '@fuchsiahitch/base';
import {
  HostView,
  isWatcher,
  LeavingEvidence,
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
/** Documents of other domains are read this much less often than the own one. */
const OTHER_DOMAINS_EVERY = 2;
/** Peers asked to ping a silent host before it is suspected. */
const INDIRECT_PEERS = 2;

/** What a ping says beyond membership, and who fetches when a peer is ahead. */
export interface RevisionTracker {
  rulesRevision(): number;
  slotMapRevision(): number;
  /** A peer's message showed its revisions. */
  onPeerRevisions(address: string, ping: Ping): void;
}

export class MembershipService {
  readonly view: HostView;
  readonly leaving: LeavingEvidence;
  private readonly _context: HostContext;
  private readonly _peers: PeerCaller;
  private readonly _list: MemberList;
  private readonly _documents = new Map<string, MemberDocument>();
  private readonly _listeners: (() => void)[] = [];
  private _topics: RevisionTracker | undefined;
  private _membersDigest = '';
  private _listRound = 0;

  constructor(context: HostContext, peers: PeerCaller, list: MemberList, peersAddress: string) {
    const { hostId, incarnation, clock, random } = context;
    this.view = new HostView({ hostId, incarnation, address: peersAddress }, clock, random);
    this.leaving = new LeavingEvidence(clock);
    this._context = context;
    this._peers = peers;
    this._list = list;
  }

  /** Called whenever a member document changed. */
  onDocumentsChange(listener: () => void): void {
    this._listeners.push(listener);
  }

  register(server: CallRegistry): void {
    server.handle(calls.ping, ping => this._pinged(ping));
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

  /** Learns of the others and begins to ping. */
  async start(topics: RevisionTracker): Promise<void> {
    this._topics = topics;
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

  /** Hosts of another failure domain that the list shows as live. */
  liveHostsOf(domain: string): readonly HostEntry[] {
    return (this._documents.get(domain)?.hosts ?? []).filter(host => host.state === 'live');
  }

  /** The address of some live host of a failure domain, empty when none is known. */
  randomAddressOf(domain: string): string {
    const hosts = this.liveHostsOf(domain);
    const host = hosts[this._context.random.below(Math.max(1, hosts.length))];
    return host?.peerAddress ?? '';
  }

  /** The address of a host of this failure domain, empty when unknown. */
  addressOf(hostId: string): string {
    if (hostId === this._context.hostId) return this.view.self().address;
    return this.view.find(hostId)?.address ?? '';
  }

  /** Live peers of this failure domain. */
  livePeers(): readonly Member[] {
    return this.view.members().filter(member => member.state !== 'dead');
  }

  /** Notes that an endpoint leaves, and tells the peers at once when that is news. */
  announceLeaving(notice: LeavingNotice): void {
    if (!this.leaving.note(notice)) return;
    this._context.log.info('endpoint leaves', { endpoint: notice.endpointId });
    for (const peer of this.livePeers()) {
      void this._peers.call(peer.address, calls.leavingPush, notice, PULL_TIMEOUT_MS);
    }
  }

  private _pinged(ping: Ping): Ping {
    this._takeIn(ping);
    return this._message();
  }

  private _message(): Ping {
    return {
      updates: this.view.updatesToSend(),
      rulesRevision: this._topics?.rulesRevision() ?? 0,
      slotMapRevision: this._topics?.slotMapRevision() ?? 0,
      membersDigest: this._membersDigest,
      leaving: this.leaving.recent().slice(0, 256),
    };
  }

  private _takeIn(ping: Ping): void {
    for (const update of ping.updates) this.view.apply(update);
    for (const notice of ping.leaving) this.leaving.note(notice);
    const [sender] = ping.updates;
    if (!sender) return;
    this._topics?.onPeerRevisions(sender.address, ping);
    const isSame = ping.membersDigest === this._membersDigest || ping.membersDigest === '';
    if (!isSame) void this._pullDocuments(sender.address);
  }

  private async _pingNext(): Promise<void> {
    this.view.tick();
    const member = this.view.nextPing();
    if (!member) return;
    if (await this._ping(member.hostId, member.address)) return;
    if (!(await this._pingByOthers(member))) this.view.pingFailed(member.hostId);
  }

  private async _ping(hostId: string, address: string): Promise<boolean> {
    const reply = await this._peers.call(address, calls.ping, this._message(), PING_TIMEOUT_MS);
    if (!reply.ok) return false;
    const [sender] = reply.value.updates;
    if (sender?.hostId !== hostId) return false;
    this._takeIn(reply.value);
    this.view.pingAnswered(hostId, sender.incarnation);
    return true;
  }

  private async _pingByOthers(silent: Member): Promise<boolean> {
    const { random } = this._context;
    const others = this.livePeers().filter(peer => peer.hostId !== silent.hostId);
    const asked = Array.from(
      { length: Math.min(INDIRECT_PEERS, others.length) },
      () => others[random.below(others.length)],
    );
    const request = { hostId: silent.hostId, address: silent.address };
    const replies = await Promise.all(
      asked.map(peer => this._peers.call(peer?.address ?? '', calls.pingFor, request, 2 * PING_TIMEOUT_MS)),
    );
    return replies.some(reply => reply.ok && reply.value.isAlive);
  }

  private async _join(address: string): Promise<void> {
    const reply = await this._peers.call(address, calls.join, { self: this.view.self() }, PULL_TIMEOUT_MS);
    if (!reply.ok) return;
    for (const update of reply.value.updates) this.view.apply(update);
  }

  private async _pullDocuments(address: string): Promise<void> {
    const request = { known: this._revisions() };
    const reply = await this._peers.call(address, calls.membersPull, request, PULL_TIMEOUT_MS);
    if (!reply.ok) return;
    for (const document of reply.value.documents) this._learn(document);
  }

  /** Two hosts of a domain read the list; the others hear of changes by pings. All read it until they know it. */
  private async _readList(): Promise<void> {
    const { domain, domains, hostId } = this._context;
    const isOwnKnown = this._documents.has(domain);
    if (isOwnKnown && !isWatcher('members', hostId, this.view.liveIds())) return;
    const isLongRound = this._listRound % OTHER_DOMAINS_EVERY === 0;
    this._listRound += 1;
    const wanted = isLongRound ? domains : [domain];
    await Promise.all(wanted.map(name => this._readDomain(name)));
  }

  private async _readDomain(domain: string): Promise<void> {
    const raw = await this._list.read(domain, Deadline.after(this._context.clock, LIST_TIMEOUT_MS));
    if (raw === undefined) return;
    const parsed = memberDocumentSchema.safeParse(raw);
    if (parsed.success) this._learn(parsed.data);
    else
      this._context.log.error('membership list is not readable', {
        domain,
        problem: messageOf(parsed.error),
      });
  }

  private _revisions(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.documents().map(({ domain, revision }) => [domain, revision]));
  }

  private _learn(document: MemberDocument): void {
    if (document.revision <= (this._documents.get(document.domain)?.revision ?? -1)) return;
    this._documents.set(document.domain, document);
    this._membersDigest = digest(JSON.stringify(Object.entries(this._revisions()).sort()));
    if (document.domain === this._context.domain) {
      for (const host of document.hosts) this.view.addListedHost(host.id, host.peerAddress);
    }
    for (const listener of this._listeners) listener();
  }
}
