/**
 * Finds the home host of a submitted batch and asks it to accept and own the batch.
 *
 * Used only if the connections of the batch's pool are scarce. A home accepts or declines and never forwards the batch
 * again, so that hosts with different lists of live hosts cannot forward a batch without end.
 */
import { Deadline, err, type Result } from '@fuchsiahitch/base';
import {
  AcceptingHost,
  HomeHost,
  type Batch,
  type BatchSubmitReply,
  type Owner,
  type OwnerChoice,
} from '@fuchsiahitch/batches';
import { calls, type CallError } from '@fuchsiahitch/protocol';
import type { LogDetails } from '@fuchsiahitch/telemetry';
import { batchRoute } from './batchRoute.js';
import { hasScarceConnections, type ConnectionBudgetPorts } from './connectionBudget.js';
import type { ConfigurationService } from './configurationService.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';

export interface BatchHomePorts extends ConnectionBudgetPorts {
  readonly configuration: ConfigurationService;
  readonly hosts: Pick<Hosts, 'self' | 'peers' | 'isOwnDomain' | 'call'>;
}

/**
 * `here`: no other host has accepted the batch or will. `accepted`: another host owns it. `unknown`: another host may
 * have accepted it, or may still do so.
 */
export type HomeAnswer = 'here' | 'accepted' | 'unknown';

/** The end of asking one host. `not-sent`: the host did not receive the call. */
type AskEnd = BatchSubmitReply['kind'] | 'not-sent';

/** One host that was asked, as logged. */
interface Asked {
  readonly hostId: string;
  readonly end: AskEnd;
  readonly reason: string | undefined;
}

/**
 * Outcome of a submission in logs and metrics. `self`: this host is the home. `paused`: all hosts that come before this
 * one were skipped.
 */
type HomeOutcome = 'self' | 'paused' | 'oversized' | 'no-time' | AskEnd;

/** The hosts that were asked and those that were skipped because they are paused, in the order of the candidates. */
interface Search {
  readonly asked: readonly Asked[];
  readonly skipped: readonly Owner[];
  readonly outcome: HomeOutcome;
}

/** Bounds the delay of a submission by homes that do not answer. */
const MAX_ASK_MS = 700;
const MAX_ASKED_HOSTS = 2;
/** Left of the caller's deadline for a write by this host. */
const OWN_WRITE_MS = 300;
/** A home could not finish its write and answer within less time. */
const MIN_ASK_MS = 150;
/** Part of the time left that is reserved for the home's reply. */
const REPLY_MS = 50;
/** A host that failed or did not answer is not asked again for this long. */
const PAUSE_MS = 2000;
/**
 * Larger batches are not forwarded: a frame between hosts is limited to 8 MB, and a larger one closes the connection.
 * A step of a trainer takes about 250 KB.
 */
const MAX_FORWARDED_BYTES = 2 * 1024 * 1024;
/** Bound for an item's other fields besides its bodies and headers. */
const ITEM_OVERHEAD_BYTES = 500;
/** Bounds the text of a peer in a log line. */
const MAX_REASON = 100;
/** Bounds the skipped hosts in a log line. */
const MAX_LOGGED_HOSTS = 8;

export class BatchHomes {
  private readonly _context: GatewayContext;
  private readonly _ports: BatchHomePorts;
  private readonly _acceptingHost: OwnerChoice = new AcceptingHost();
  private readonly _homeHost: OwnerChoice = new HomeHost();
  /** Ends of pauses by process, so that a restarted host is asked at once. */
  private readonly _pausedUntilMs = new Map<string, number>();

  constructor(context: GatewayContext, ports: BatchHomePorts) {
    this._context = context;
    this._ports = ports;
  }

  /** True if batches of this kind have a home host. */
  isInEffect(batch: Batch): boolean {
    const pools = batchRoute(this._ports.configuration, batch)?.pools ?? [];
    return pools.some(({ pool }) => hasScarceConnections(pool, this._ports));
  }

  /**
   * Offers the batch to its home, then to the next candidate. `ownDeclineReason`: why this host should not own the batch
   * if another one accepts it.
   */
  async offer(batch: Batch, deadline: Deadline, ownDeclineReason: string | undefined): Promise<HomeAnswer> {
    const startedMs = this._context.clock.nowMs();
    const candidates = this._candidates(batch);
    const hosts = this._preferredHosts(candidates, ownDeclineReason === undefined);
    const search = await this._askInTurn(hosts, batch, deadline);
    const { outcome } = search;
    this._context.metrics.batchHomes.inc({ outcome });
    this._context.log.info('batch home', {
      batchId: batch.id,
      home: candidates[0]?.hostId,
      ...describeSearch(search),
      ownDeclineReason,
      liveHosts: candidates.length,
      tookMs: Math.round(this._context.clock.nowMs() - startedMs),
    });
    // A home's `not-run` means that no write of it is pending. This host's own store may answer, so it tries as well.
    return outcome === 'accepted' || outcome === 'unknown' ? outcome : 'here';
  }

  /** Returns the hosts that come before this one, or all others if this host should not own the batch. */
  private _preferredHosts(candidates: readonly Owner[], maySelfOwn: boolean): readonly Owner[] {
    const { hostId } = this._ports.hosts.self();
    const selfIndex = candidates.findIndex(candidate => candidate.hostId === hostId);
    return maySelfOwn
      ? candidates.slice(0, selfIndex)
      : candidates.filter(candidate => candidate.hostId !== hostId);
  }

  /** Asks hosts in turn until one accepts the batch or may have accepted it. */
  private async _askInTurn(hosts: readonly Owner[], batch: Batch, deadline: Deadline): Promise<Search> {
    const asked: Asked[] = [];
    const skipped: Owner[] = [];
    if (sizeOf(batch) > MAX_FORWARDED_BYTES) return { asked, skipped, outcome: 'oversized' };
    const askDeadline = deadline.atMost(Math.min(MAX_ASK_MS, deadline.remainingMs() - OWN_WRITE_MS));
    for (const host of hosts) {
      if (this._isPaused(host)) skipped.push(host);
      else if (askDeadline.remainingMs() < MIN_ASK_MS)
        return { asked, skipped, outcome: asked.at(-1)?.end ?? 'no-time' };
      else {
        asked.push(await this._ask(host, batch, askDeadline.remainingMs()));
        if (!mayAskNext(asked)) break;
      }
    }
    return { asked, skipped, outcome: asked.at(-1)?.end ?? (skipped.length > 0 ? 'paused' : 'self') };
  }

  /** Returns other hosts for a batch that this host gives up, the most preferred first. Excludes paused hosts. */
  successors(batch: Batch): Owner[] {
    const { hostId } = this._context;
    return this._candidates(batch).filter(peer => peer.hostId !== hostId && !this._isPaused(peer));
  }

  private _candidates(batch: Batch): readonly Owner[] {
    const { hosts } = this._ports;
    const choice = this.isInEffect(batch) ? this._homeHost : this._acceptingHost;
    const self = hosts.self();
    const owners = new Map(hosts.peers().map(peer => [peer.hostId, peer]));
    owners.set(self.hostId, self);
    const peers = hosts.peers().map(({ hostId }) => ({ hostId, isOwnDomain: hosts.isOwnDomain(hostId) }));
    return choice
      .candidates(batch, peers, self.hostId)
      .map(hostId => owners.get(hostId))
      .filter(owner => owner !== undefined);
  }

  private async _ask(host: Owner, batch: Batch, timeoutMs: number): Promise<Asked> {
    const { hostId, address } = host;
    const startedMs = this._context.clock.nowMs();
    const request = { batch, leftMs: timeoutMs - REPLY_MS };
    const reply = await this._within(
      timeoutMs,
      this._ports.hosts.call(address, calls.batchSubmit, request, timeoutMs),
    );
    if (reply.ok) {
      const { kind } = reply.value;
      // The home's store does not answer, so that each submission would wait for the home in vain.
      if (kind === 'unknown' || kind === 'not-run') this._pause(host);
      return { hostId, end: kind, reason: 'reason' in reply.value ? reply.value.reason : undefined };
    }
    const { error } = reply;
    // A host of an older version does not know the call. A handler never fails after it has begun to accept.
    if (error.kind === 'refused') return { hostId, end: 'declined', reason: error.text };
    // While this host's event loop lags, replies are read too late to tell anything about the other host.
    if (this._context.eventLoop.hasNoLagSince(startedMs)) this._pause(host);
    return { hostId, end: error.kind === 'not-sent' ? 'not-sent' : 'unknown', reason: error.kind };
  }

  /** Limits a call that waits for its connection, which may take longer than the call's own timeout. */
  private async _within<T>(
    timeoutMs: number,
    call: Promise<Result<T, CallError>>,
  ): Promise<Result<T, CallError>> {
    const { clock, eventLoop } = this._context;
    const startedMs = clock.nowMs();
    return new Promise(resolve => {
      let cancel = clock.after(timeoutMs, () => {
        cancel = eventLoop.afterPendingIo(startedMs, () => resolve(err({ kind: 'timed-out' })));
      });
      void call.then(reply => {
        cancel();
        resolve(reply);
      });
    });
  }

  private _isPaused(host: Owner): boolean {
    return (this._pausedUntilMs.get(processKey(host)) ?? -Infinity) > this._context.clock.nowMs();
  }

  private _pause(host: Owner): void {
    const nowMs = this._context.clock.nowMs();
    for (const [paused, untilMs] of this._pausedUntilMs)
      if (untilMs <= nowMs) this._pausedUntilMs.delete(paused);
    this._pausedUntilMs.set(processKey(host), nowMs + PAUSE_MS);
  }
}

function processKey({ hostId, incarnation }: Owner): string {
  return `${hostId}/${incarnation}`;
}

/** True if no host that was asked has a write pending, and another one may be asked. */
function mayAskNext(asked: readonly Asked[]): boolean {
  const end = asked.at(-1)?.end;
  return asked.length < MAX_ASKED_HOSTS && (end === 'declined' || end === 'not-sent');
}

/** Estimates the size of the message that carries the batch. */
function sizeOf(batch: Batch): number {
  let bytes = 0;
  for (const { bodyBase64, headers, scoring } of batch.items) {
    bytes += bodyBase64.length + (scoring?.bodyBase64.length ?? 0) + ITEM_OVERHEAD_BYTES;
    for (const [name, value] of Object.entries(headers)) bytes += name.length + value.length;
  }
  return bytes;
}

function describe({ hostId, end, reason }: Asked): string {
  return reason === undefined ? `${hostId}: ${end}` : `${hostId}: ${end} (${reason.slice(0, MAX_REASON)})`;
}

function describeSearch({ asked, skipped, outcome }: Search): LogDetails {
  return {
    outcome,
    asked: asked.map(describe).join(', '),
    skipped: skipped
      .slice(0, MAX_LOGGED_HOSTS)
      .map(({ hostId }) => hostId)
      .join(', '),
  };
}
