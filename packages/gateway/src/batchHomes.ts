/**
 * Finds the home host of a submitted batch and asks it to accept and own the batch.
 *
 * Used only if the connections of the batch's pool are scarce. A home accepts or declines and never forwards the batch
 * again, so that hosts with different lists of live hosts cannot send a batch around in circles.
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

/** Outcome of a submission in logs and metrics. */
type HomeOutcome = 'self' | 'oversized' | 'no-time' | AskEnd;

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
    const self = this._ports.hosts.self();
    const [home] = candidates;
    const asked: Asked[] = [];
    let outcome: HomeOutcome = 'self';
    if (sizeOf(batch) > MAX_FORWARDED_BYTES) outcome = 'oversized';
    else {
      const askDeadline = deadline.atMost(Math.min(MAX_ASK_MS, deadline.remainingMs() - OWN_WRITE_MS));
      for (const candidate of candidates) {
        const isSelf = candidate.hostId === self.hostId;
        if (isSelf && ownDeclineReason === undefined) break;
        if (isSelf || this._isPaused(candidate)) continue;
        if (asked.length === MAX_ASKED_HOSTS) break;
        if (askDeadline.remainingMs() < MIN_ASK_MS) {
          if (asked.length === 0) outcome = 'no-time';
          break;
        }
        const answer = await this._ask(candidate, batch, askDeadline.remainingMs());
        asked.push(answer);
        outcome = answer.end;
        if (outcome !== 'declined' && outcome !== 'not-sent') break;
      }
    }
    this._context.metrics.batchHomes.inc({ outcome });
    this._context.log.info('batch home', {
      batchId: batch.id,
      home: home?.hostId,
      outcome,
      asked: asked.map(describe).join(', '),
      ownDeclineReason,
      liveHosts: candidates.length,
      tookMs: Math.round(this._context.clock.nowMs() - startedMs),
    });
    if (outcome === 'accepted' || outcome === 'unknown') return outcome;
    return 'here';
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
    if (reply.ok)
      return {
        hostId,
        end: reply.value.kind,
        reason: 'reason' in reply.value ? reply.value.reason : undefined,
      };
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
